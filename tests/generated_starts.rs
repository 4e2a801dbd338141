//! Compares strategies to treat notices in answers while it is unknown which start of an
//! endpoint sent them, on the same simulations.
//!
//! `cargo test --test generated_starts -- --nocapture` prints the results; `STARTS_SEEDS` sets
//! the number of seeds.

#[path = "starts/day.rs"]
mod day;
#[path = "starts/ways.rs"]
mod ways;

use day::{Results, Workload};
use ways::Strategy;

const SEEDS: u64 = 20;

const USUAL: Workload = Workload {
    name: "updates in time",
    uptime_ms: 2_000..9_000,
    late_update_ms: 0..150,
    late_share: 0.0,
    clock_skew_ms: 0,
    requests_per_s: 20.0,
    response_ms: 20..400,
};

const WORKLOADS: [Workload; 6] = [
    USUAL,
    Workload {
        name: "updates late by seconds",
        late_update_ms: 500..8_000,
        late_share: 0.5,
        ..USUAL
    },
    Workload {
        name: "the same, endpoints' clocks ahead",
        late_update_ms: 500..8_000,
        late_share: 0.5,
        clock_skew_ms: 30_000,
        ..USUAL
    },
    Workload {
        name: "the same, behind",
        late_update_ms: 500..8_000,
        late_share: 0.5,
        clock_skew_ms: -30_000,
        ..USUAL
    },
    Workload {
        name: "starts in quick succession",
        uptime_ms: 300..4_000,
        late_update_ms: 200..3_000,
        late_share: 0.5,
        ..USUAL
    },
    Workload { name: "long answers", response_ms: 500..4_000, ..USUAL },
];

fn run(workload: &Workload, strategy: Strategy) -> Results {
    let seeds: u64 = std::env::var("STARTS_SEEDS").map_or(SEEDS, |text| text.parse().unwrap());
    let mut sum = Results::default();
    for seed in 0..seeds {
        sum.add(&day::run(workload, strategy, seed));
    }
    println!(
        "{:34} {strategy:8?} {:6} requests, {:4} to starts that refuse work, {:4} of {} starts not used, \
         first request {:5.0} ms after it could be sent, {:5} at most, {:4} queries",
        workload.name,
        sum.requests,
        sum.violations,
        sum.unused,
        sum.usable,
        sum.waited_ms as f64 / (sum.usable - sum.unused).max(1) as f64,
        sum.max_wait_ms,
        sum.queries,
    );
    sum
}

#[test]
fn a_notice_applies_only_to_the_start_that_sent_it() {
    for workload in &WORKLOADS {
        for strategy in [Strategy::Forget, Strategy::Carry, Strategy::Rest, Strategy::Trial] {
            run(workload, strategy);
        }
        let results = run(workload, Strategy::Ask);
        assert_eq!((results.violations, results.unused), (0, 0), "{}", workload.name);
        assert!(results.max_wait_ms <= 2_000, "{}: {} ms", workload.name, results.max_wait_ms);
    }
}

/// The checks detect the observed failure and the drawbacks of simpler strategies.
#[test]
fn other_strategies_send_to_refusing_starts_or_leave_starts_unused() {
    let late = &WORKLOADS[1];
    assert!(run(late, Strategy::Forget).violations > 0);
    assert!(run(late, Strategy::Carry).unused > 0);
    assert!(run(late, Strategy::Trial).violations > 0);
}
