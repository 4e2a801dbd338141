//! Settings that bound the impact of a bad release.

use serde::{Deserialize, Serialize};

/// How many requests a bad release may receive, as set by operators.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutRules {
    /// Fraction (0 to 1) of all requests to the service, from the order to its deadline,
    /// that a bad release may receive.
    pub canary_share: f64,
    /// Requests that it may receive beyond that fraction.
    pub canary_slack: u32,
    /// Milliseconds after its fiftieth bad answer within which a bad release must have
    /// received its last request.
    pub rollback_ms: u64,
}

impl Default for RolloutRules {
    /// One request in ten is enough to judge a release within seconds, and limits how many
    /// callers a bad release affects.
    fn default() -> Self {
        RolloutRules { canary_share: 0.1, canary_slack: 50, rollback_ms: 5_000 }
    }
}
