//! Rolling a release of a service out: a small part of its requests first, then all of
//! them, or none where the release is bad.
//!
//! Control hosts agree on each order and on its stage ([`Rollouts`]). While one is under
//! way, the leader grants routers a part of their requests for the new release, for a
//! moment at a time ([`Grants`]), and routers report what they saw of its answers and of
//! the other releases' ([`Report`]). A router without a valid grant sends the new release
//! nothing, so that a host that is cut off holds nothing open.

mod active;
mod analysis;
mod model;
mod plan;
mod report;
mod rules;
mod shared;
mod split;
mod tally;
#[cfg(test)]
mod tests;

pub use active::{ActiveRollout, Evaluation, Progress, RolloutEndpoint, ServiceState};
pub use analysis::{CanaryAnalysis, Finding, Window};
pub use model::{Order, OrderOutcome, Rollout, Rollouts, Stage, Step};
pub use plan::{Decision, Why, canary_permille, decide};
pub use report::{AnswerCounts, Grant, Grants, Release, Report, RouteTally, ServiceReport};
pub use rules::RolloutRules;
pub use shared::SharedRollouts;
pub use split::{ALL_PERMILLE, ReleaseChoice, RouterState, SplitReason, TrafficSplitter};
pub use tally::{RouterTally, TallyKey, release_of};
