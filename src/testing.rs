//! What tests of several slices share.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

use crate::routing::{Route, RouteKind, Target};

/// A fixed seed, so that every run gives the same verdict. `PROPERTY_CASES` and
/// `PROPERTY_SEED` explore further.
pub fn property(cases: u32) -> ProptestConfig {
    let read = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    ProptestConfig {
        cases: read("PROPERTY_CASES").map_or(cases, |n| n as u32),
        rng_seed: RngSeed::Fixed(read("PROPERTY_SEED").unwrap_or(1)),
        max_shrink_iters: 500,
        ..ProptestConfig::default()
    }
}

/// A repeatable route to the service `app`.
pub fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Repeatable,
        timeout_ms: 1_000,
        objective_ms: 100,
        pause_objective_ms: 0,
        priority: 1,
        targets: vec![Target { service: "app".into(), weight: 1 }],
        attempts: 2,
        public: false,
        resumable: false,
    }
}
