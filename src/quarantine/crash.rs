//! One crash of an endpoint, as reported by routers.

use std::collections::BTreeMap;

use super::Fingerprint;
use crate::dispatch::Millis;
use crate::registry::EndpointStart;
use crate::wire::HostId;

/// Milliseconds within which losses at one start of an endpoint belong to one crash: routers
/// detect a crash within that time, and no endpoint restarts sooner.
const CRASH_WINDOW_MS: Millis = 1_000;
/// Milliseconds for which losses that only one router reported do not count as a crash: if the
/// endpoint is alive, most routers detect that within this time, and if many requests are lost at
/// once, several routers report losses.
const CONFIRMATION_MS: Millis = 500;
/// Lost requests that are kept per crash: more than the largest endpoint runs at once.
const MAX_LOST: usize = 256;

/// The crash of an endpoint that ended answers early.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub endpoint: EndpointStart,
    /// When the first answer was lost.
    pub at: Millis,
    /// When the last answer was lost.
    pub last_lost_at: Millis,
    /// The lost requests, each with the shortest time in milliseconds for which it had run.
    pub lost: BTreeMap<Fingerprint, u32>,
    /// The router that reported the crash first.
    router: HostId,
    has_other_reporters: bool,
}

impl Crash {
    pub fn new(endpoint: EndpointStart, at: Millis, router: HostId) -> Crash {
        let lost = BTreeMap::new();
        Crash { endpoint, at, last_lost_at: at, lost, router, has_other_reporters: false }
    }

    /// Whether a loss at this endpoint and time belongs to this crash.
    pub fn includes(&self, endpoint: &EndpointStart, at: Millis) -> bool {
        self.endpoint == *endpoint && self.at.abs_diff(at) < CRASH_WINDOW_MS
    }

    /// Records that a router lost an answer in this crash.
    pub fn record_report(&mut self, at: Millis, router: HostId) {
        self.has_other_reporters |= self.router != router;
        self.last_lost_at = self.last_lost_at.max(at);
    }

    pub fn add_lost(&mut self, fingerprint: Fingerprint, ran_ms: u32) {
        if let Some(shortest_ms) = self.lost.get_mut(&fingerprint) {
            *shortest_ms = ran_ms.min(*shortest_ms);
        } else if self.lost.len() < MAX_LOST {
            self.lost.insert(fingerprint, ran_ms);
        }
    }

    pub fn is_confirmed(&self, now: Millis) -> bool {
        self.has_other_reporters || self.at + CONFIRMATION_MS <= now
    }
}
