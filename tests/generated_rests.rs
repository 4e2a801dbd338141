//! Compares strategies to let an endpoint rest on its request, on the same simulations.
//!
//! `cargo test --test generated_rests -- --nocapture` prints the results; `RESTS_SEEDS` sets
//! the number of seeds.

#[path = "rests/day.rs"]
mod day;
#[path = "rests/ways.rs"]
mod ways;

use day::{Results, Simulation, Workload};
use ways::Strategy;

const SEEDS: u64 = 4;

const USUAL: Workload = Workload {
    name: "one of three, as in the incident",
    routers: 8,
    endpoints: 3,
    slots: 6,
    requests_per_s: 300.0,
    service_ms: (25, 400),
    resting: 1,
    rejecting_ms: 9_000,
    requested_rest_ms: 3_000,
};

const WORKLOADS: [Workload; 5] = [
    USUAL,
    Workload { name: "short rests", requested_rest_ms: 1_000, rejecting_ms: 500, ..USUAL },
    Workload {
        name: "all endpoints",
        resting: 3,
        rejecting_ms: 1_500,
        requested_rest_ms: 1_000,
        ..USUAL
    },
    Workload { name: "long answers", service_ms: (25, 1_100), requests_per_s: 120.0, ..USUAL },
    Workload {
        name: "340 routers, 12 endpoints",
        routers: 340,
        endpoints: 12,
        slots: 60,
        requests_per_s: 4_000.0,
        service_ms: (60, 400),
        resting: 3,
        rejecting_ms: 3_000,
        requested_rest_ms: 3_000,
    },
];

fn run(workload: Workload, strategy: Strategy) -> Results {
    let seeds: u64 = std::env::var("RESTS_SEEDS").map_or(SEEDS, |text| text.parse().unwrap());
    let mut sum = Results::default();
    for seed in 0..seeds {
        let simulation = Simulation::run(workload, strategy, seed);
        sum.requests += simulation.requests;
        sum.violations += simulation.violations;
        sum.turned_away += simulation.turned_away;
        sum.refused += simulation.refused;
        sum.peak_ratio = sum.peak_ratio.max(simulation.peak_ratio);
        sum.recovery_ms = sum.recovery_ms.max(simulation.recovery_ms);
    }
    println!(
        "{:32} {strategy:8?} {:7} requests, {:4} rests violated, {:6} turned away, {:6} refused, \
         peak {:4.1}, share regained after {:5} ms",
        workload.name,
        sum.requests,
        sum.violations,
        sum.turned_away,
        sum.refused,
        sum.peak_ratio,
        sum.recovery_ms
    );
    sum
}

#[test]
fn rests_are_observed_and_shares_are_regained_in_time() {
    for workload in WORKLOADS {
        for strategy in [Strategy::Failure, Strategy::Obey, Strategy::Ramp] {
            run(workload, strategy);
        }
        let results = run(workload, Strategy::Trial);
        assert_eq!(results.violations, 0, "{}", workload.name);
        // An endpoint regains its share within a second after the longest rest that it requested.
        let latest = workload.requested_rest_ms + 1_000;
        assert!(results.recovery_ms <= latest, "{}: {} ms", workload.name, results.recovery_ms);
    }
}

/// Treating a request for rest as a failure caused the incident; the check must detect it.
#[test]
fn treating_rest_requests_as_failures_violates_rests() {
    assert!(run(USUAL, Strategy::Failure).violations > 0);
}
