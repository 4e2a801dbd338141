//! Bounds within which a release is rolled out.

use serde::{Deserialize, Serialize};

/// What a bad release may cost callers, as operators set it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutRules {
    /// Part of all requests to the service, from the order to its deadline, that a bad
    /// release may get.
    pub canary_share: f64,
    /// Requests that it may get beyond that part.
    pub canary_slack: u32,
    /// Milliseconds after its fiftieth bad answer within which a bad release must have
    /// got its last request.
    pub rollback_ms: u64,
}

impl Default for RolloutRules {
    /// One request in ten: enough to judge a release in seconds, and few enough callers
    /// for a bad one.
    fn default() -> Self {
        RolloutRules { canary_share: 0.1, canary_slack: 50, rollback_ms: 5_000 }
    }
}
