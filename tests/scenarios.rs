//! Runs the scenarios in `tests/features` with real processes on loopback addresses.

// Shared with the tests of crowds, which use more of it.
#[allow(dead_code)]
#[path = "scenarios/fleet.rs"]
mod fleet;
#[path = "scenarios/loads.rs"]
mod loads;
#[path = "scenarios/steps.rs"]
mod steps;

use cucumber::World;

/// Scenarios that run concurrently; each starts a dozen processes.
const MAX_CONCURRENT_SCENARIOS: usize = 3;

#[tokio::main]
async fn main() {
    fleet::FleetWorld::cucumber()
        .max_concurrent_scenarios(MAX_CONCURRENT_SCENARIOS)
        .fail_on_skipped()
        .run_and_exit("tests/features")
        .await;
}
