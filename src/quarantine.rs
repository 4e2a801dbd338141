//! Quarantine of requests that crash endpoints: what was lost in several crashes is refused at
//! every router.
//!
//! What can be blamed is a [`Suspect`]: a request, identified by its [`Fingerprint`], or what
//! requests of one customer share, such as a part of their prompts. A router records what was
//! lost when an endpoint ended answers early, and reports that to the leader
//! ([`ObservationLog`]). The leader combines the losses of all routers, and blames the fewest
//! suspects that explain the crashes ([`CrashAnalysis`]). The control hosts agree on what is
//! blamed ([`Quarantines`]), so that a quarantine outlives the leader, and send it to every
//! router by feed. A router that cannot reach a leader decides from its own observations
//! ([`CrashGuard`]).
//!
//! A request that was in flight beside the culprit is not blamed once the culprit is known, nor
//! is what is served elsewhere. Nothing is blamed for losses at an endpoint that keeps answering.
//! See `docs/design/crashing-requests.md` for the alternatives considered.

mod attributes;
mod candidates;
mod crash;
mod crash_analysis;
mod culprits;
mod fingerprint;
mod guard;
mod known_starts;
mod legacy;
mod model;
mod observation_log;
mod policy;
mod profile;
mod report;
mod served;
mod shared;
mod starts;
mod suspect;
mod suspected_endpoints;
#[cfg(test)]
mod tests;

pub use attributes::{Attribute, AttributeSet};
pub use crash_analysis::{CrashAnalysis, CrashSummary, Review};
pub use culprits::{Blame, QuarantineState, QuarantineStates};
pub use fingerprint::{Fingerprint, InvalidFingerprint};
pub use guard::{CrashGuard, report_crashes};
pub use known_starts::{KnownStarts, StartEvent};
pub use legacy::{RequestQuarantines, RequestVerdict};
pub use model::{Quarantine, QuarantineUpdate, Quarantines, Stage, Verdict};
pub use observation_log::ObservationLog;
pub use policy::QuarantinePolicy;
pub use profile::{MAX_ATTRIBUTES, RequestProfile};
pub use report::{CrashReport, Observation, ObservedEvent};
pub use served::RecentlyServed;
pub use shared::SharedQuarantine;
pub use suspect::{InvalidSuspect, Suspect};
