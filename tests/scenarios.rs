//! Scenarios in `tests/features`, with real processes on loopback.

#[path = "scenarios/fleet.rs"]
mod fleet;
#[path = "scenarios/loads.rs"]
mod loads;
#[path = "scenarios/steps.rs"]
mod steps;

use cucumber::World;

/// Scenarios that run at once; each starts a dozen processes.
const AT_ONCE: usize = 3;

#[tokio::main]
async fn main() {
    fleet::FleetWorld::cucumber()
        .max_concurrent_scenarios(AT_ONCE)
        .fail_on_skipped()
        .run_and_exit("tests/features")
        .await;
}
