//! Settings shared by property tests.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

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
