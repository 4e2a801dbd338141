//! Endpoints that accept no more requests because a rollout ended.

use super::{EndpointState, Registration};

/// Which endpoints of a service accept no more requests at the end of a rollout.
#[derive(Clone, Copy, Debug)]
pub struct Retirement<'a> {
    /// The service.
    pub service: &'a str,
    /// The releases whose endpoints are retired.
    pub releases: RetiredReleases<'a>,
    /// End of the rollout, in milliseconds since the epoch: endpoints that started later are
    /// not retired.
    pub at_ms: u64,
    /// Whether this host had recorded the rollout before it ended. Then endpoints without a
    /// start time count as started before the end.
    pub seen_in_progress: bool,
}

/// Releases whose endpoints are retired.
#[derive(Clone, Copy, Debug)]
pub enum RetiredReleases<'a> {
    /// All but the one that was rolled out: their endpoints have stopped.
    AllBut(&'a str),
    /// The one that was rolled back: its endpoints finish their running requests.
    Only(&'a str),
}

impl Retirement<'_> {
    pub(super) fn includes(&self, endpoint: &Registration) -> bool {
        let is_of_release = match self.releases {
            RetiredReleases::AllBut(version) => endpoint.version != version,
            RetiredReleases::Only(version) => endpoint.version == version,
        };
        let had_started = match endpoint.started_at_ms {
            0 => self.seen_in_progress,
            started_at_ms => started_at_ms < self.at_ms,
        };
        let is_included = endpoint.service == self.service && is_of_release && had_started;
        is_included && endpoint.state < self.state()
    }

    /// State of the retired endpoints.
    pub(super) fn state(&self) -> EndpointState {
        match self.releases {
            RetiredReleases::AllBut(_) => EndpointState::Gone,
            RetiredReleases::Only(_) => EndpointState::Leaving,
        }
    }
}
