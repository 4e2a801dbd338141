//! Endpoints that take no more work since a roll-out ended.

use super::{EndpointState, Registration};

/// Which endpoints of a service take no more work at the end of a roll-out.
#[derive(Clone, Copy, Debug)]
pub struct Retirement<'a> {
    /// The service.
    pub service: &'a str,
    /// Of which releases.
    pub releases: RetiredReleases<'a>,
    /// When it ended, in milliseconds since the epoch: what started later is not meant.
    pub at_ms: u64,
    /// Whether this host learns of it as it happens, so that those which do not say when
    /// they started were there before.
    pub seen_in_progress: bool,
}

/// RetiredReleases whose endpoints are retired.
#[derive(Clone, Copy, Debug)]
pub enum RetiredReleases<'a> {
    /// All but the one that was rolled out: they have stopped.
    AllBut(&'a str),
    /// The one that was rolled back: it finishes what it has.
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
        let is_meant = endpoint.service == self.service && is_of_release && had_started;
        is_meant && endpoint.state < self.state()
    }

    /// How far the life of the endpoints has come.
    pub(super) fn state(&self) -> EndpointState {
        match self.releases {
            RetiredReleases::AllBut(_) => EndpointState::Gone,
            RetiredReleases::Only(_) => EndpointState::Leaving,
        }
    }
}
