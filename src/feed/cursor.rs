//! The position of a subscriber in the changes of endpoints, without I/O.

use std::time::Duration;

use tokio::time::Instant;

use super::EndpointsAfter;
use crate::registry::{Registration, Scope, SharedRegistry};

/// The maximum number of endpoints in one message, which then takes some 10 KB: a subscriber
/// that reads slowly delays all else in its feed for as long as it takes to read one.
const MAX_ENDPOINTS_PER_MESSAGE: usize = 256;
/// The minimum time between two updates of endpoints, in which changes are batched: thousands
/// of registrations within a second are sent in twenty messages instead of thousands. It is
/// short compared with the 2 s after which a leaving endpoint must get no new requests.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// A position in the changes of the registry.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cursor {
    /// Number of the last change that was sent.
    sent_upto: u64,
    scope: Scope,
    /// When the next update may be sent.
    not_before: Instant,
}

impl Cursor {
    /// The position from which a subscriber that holds the changes up to `after` continues.
    /// Ended endpoints are sent too: the subscriber may know them as ready from an earlier feed,
    /// or from another control host that has not learned of the end.
    pub fn new(after: EndpointsAfter, numbering: u64) -> Cursor {
        let is_known = after.numbering == numbering;
        let sent_upto = if is_known { after.change } else { 0 };
        Cursor { sent_upto, scope: after.scope, not_before: Instant::now() }
    }

    /// Which changes are sent.
    pub fn scope(&self) -> Scope {
        self.scope
    }

    /// When the next update may be sent.
    pub fn not_before(&self) -> Instant {
        self.not_before
    }

    /// Whether there are changes to send.
    pub fn is_behind(&self, last_change: u64) -> bool {
        self.sent_upto < last_change
    }

    /// The next endpoints to send, possibly none, and the number of the last change that they
    /// contain.
    pub fn next_batch(&mut self, registry: &SharedRegistry) -> (Vec<Registration>, u64) {
        let changes = registry
            .read(|r| r.changes_after(self.sent_upto, MAX_ENDPOINTS_PER_MESSAGE, self.scope));
        // The rest of a full batch follows at once; later changes wait for the interval.
        if changes.endpoints.len() < MAX_ENDPOINTS_PER_MESSAGE {
            self.not_before = Instant::now() + BATCH_INTERVAL;
        }
        self.sent_upto = changes.upto;
        (changes.endpoints, self.sent_upto)
    }
}
