//! How far a subscriber has been told of endpoints, without I/O.

use std::time::Duration;

use tokio::time::Instant;

use super::EndpointsAfter;
use crate::registry::{EndpointState, Registration, Scope, SharedRegistry};

/// Endpoints in one message, some 10 KB: what a subscriber that reads slowly holds up.
const MOST_ENDPOINTS: usize = 256;
/// How long changes of endpoints gather before a subscriber is told again: thousands
/// that register within a second come in twenty messages, not in thousands. Short
/// beside the 2 s in which a leaving endpoint must get no new work.
const GATHER: Duration = Duration::from_millis(50);

/// A place in the registry's changes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cursor {
    /// The last change that was told.
    told: u64,
    /// Endpoints that went before this change are passed over.
    gone_after: u64,
    scope: Scope,
    /// When more may be told.
    not_before: Instant,
}

impl Cursor {
    /// Where a subscriber goes on that knows all up to `after`.
    pub fn new(after: EndpointsAfter, numbering: u64, registry: &SharedRegistry) -> Cursor {
        let is_known = after.numbering == numbering;
        let told = if is_known { after.change } else { 0 };
        let gone_after = match after.with_gone || is_known {
            true => 0,
            false => registry.read(|r| r.last_change()),
        };
        Cursor { told, gone_after, scope: after.scope, not_before: Instant::now() }
    }

    /// Which changes are told.
    pub fn scope(&self) -> Scope {
        self.scope
    }

    /// When more may be told.
    pub fn not_before(&self) -> Instant {
        self.not_before
    }

    /// Whether there is more to tell.
    pub fn is_behind(&self, last_change: u64) -> bool {
        self.told < last_change
    }

    /// The next endpoints to tell, which may be none, and the number of the last change
    /// that they contain.
    pub fn next(&mut self, registry: &SharedRegistry) -> (Vec<Registration>, u64) {
        let changes = registry.read(|r| r.changes_after(self.told, MOST_ENDPOINTS, self.scope));
        // What is left is sent at once; what changes later waits for more.
        if changes.endpoints.len() < MOST_ENDPOINTS {
            self.not_before = Instant::now() + GATHER;
        }
        self.told = changes.upto;
        let mut endpoints = changes.endpoints;
        if self.told <= self.gone_after {
            endpoints.retain(|endpoint| endpoint.state != EndpointState::Gone);
        }
        (endpoints, self.told)
    }
}
