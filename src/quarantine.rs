//! Requests that crash the endpoints that run them, and come again: after a few crashes they
//! are refused at every router.
//!
//! A request is known again by its [`Fingerprint`]. A router notes which requests were lost
//! when an endpoint broke off, and tells the leader ([`ObservationLog`]); the leader puts together
//! what all routers lost, and blames the fewest requests that explain the crashes
//! ([`CrashAnalysis`]). Whom it blames is agreed on by the control hosts ([`Quarantines`]), so that
//! it outlives them, and told to every router by feed. A router without a leader in reach
//! blames by what it saw itself ([`CrashGuard`]).
//!
//! A request that was only beside a crash is not blamed for it once the culprit is known, nor
//! one that is served elsewhere, nor is anything blamed for an endpoint that goes on
//! answering. See `docs/design/crashing-requests.md` for what was weighed.

mod crash;
mod crash_analysis;
mod culprits;
mod doubts;
mod fingerprint;
mod guard;
mod known_starts;
mod model;
mod observation_log;
mod report;
mod served;
mod shared;
mod starts;
#[cfg(test)]
mod tests;

pub use crash_analysis::{CrashAnalysis, Review};
pub use culprits::{Blame, QuarantineState};
pub use fingerprint::{Fingerprint, InvalidFingerprint};
pub use guard::{CrashGuard, report_crashes};
pub use known_starts::{KnownStarts, StartEvent};
pub use model::{Quarantine, QuarantineUpdate, Quarantines, Stage, Verdict};
pub use observation_log::ObservationLog;
pub use report::{CrashReport, Observation, ObservedEvent};
pub use served::RecentlyServed;
pub use shared::SharedQuarantine;
