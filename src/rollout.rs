//! Canary rollouts of a service's release: a small fraction of its requests goes to the
//! new release first, then all of them, or none if the release is bad.
//!
//! Control hosts agree on each order and on its stage ([`Rollouts`]). While a rollout is in
//! progress, the leader grants routers a fraction of their requests for the new release,
//! valid for less than a second ([`Grants`]), and routers report the answers of the new and
//! the old releases ([`Report`]). A router without a valid grant sends nothing to the new
//! release, so that a router cut off from the leader cannot keep a bad release in use.

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
pub use plan::{Decision, StepReason, canary_permille, decide};
pub use report::{AnswerCounts, Grant, Grants, Release, Report, RouteTally, ServiceReport};
pub use rules::RolloutRules;
pub use shared::SharedRollouts;
pub use split::{ALL_PERMILLE, ReleaseChoice, RouterState, SplitReason, TrafficSplitter};
pub use tally::{RouterTally, TallyKey, release_of};
