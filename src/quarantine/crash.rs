//! One crash of an endpoint, as far as it is known.

use std::collections::BTreeMap;

use super::Fingerprint;
use crate::dispatch::Millis;
use crate::registry::EndpointStart;
use crate::wire::HostId;

/// Milliseconds within which losses at one start of an endpoint are of one crash: routers
/// notice it within that time, and no endpoint is back so soon.
const ONE_CRASH_MS: Millis = 1_000;
/// Milliseconds for which what one router alone lost is not taken for a crash: if the
/// endpoint lives, most routers find out in that time, and where much is lost at once
/// several routers lose it.
const UNCONFIRMED_MS: Millis = 500;
/// Requests that are kept of one crash: more than the largest endpoint runs at once.
const MOST_LOST: usize = 256;

/// An endpoint that broke off answers.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub endpoint: EndpointStart,
    /// When the first answer was lost.
    pub at: Millis,
    /// When the last one was.
    pub last: Millis,
    /// What was lost, and the shortest time in milliseconds for which it had been there.
    pub lost: BTreeMap<Fingerprint, u32>,
    /// The router that reported it first.
    router: HostId,
    is_seen_by_others: bool,
}

impl Crash {
    pub fn new(endpoint: EndpointStart, at: Millis, router: HostId) -> Crash {
        let lost = BTreeMap::new();
        Crash { endpoint, at, last: at, lost, router, is_seen_by_others: false }
    }

    /// Whether what was lost at an endpoint at this time was lost in this crash.
    pub fn is_of(&self, endpoint: &EndpointStart, at: Millis) -> bool {
        self.endpoint == *endpoint && self.at.abs_diff(at) < ONE_CRASH_MS
    }

    /// A router lost something in it.
    pub fn seen(&mut self, at: Millis, router: HostId) {
        self.is_seen_by_others |= self.router != router;
        self.last = self.last.max(at);
    }

    pub fn lose(&mut self, fingerprint: Fingerprint, ran_ms: u32) {
        if let Some(known) = self.lost.get_mut(&fingerprint) {
            *known = ran_ms.min(*known);
        } else if self.lost.len() < MOST_LOST {
            self.lost.insert(fingerprint, ran_ms);
        }
    }

    pub fn is_confirmed(&self, now: Millis) -> bool {
        self.is_seen_by_others || self.at + UNCONFIRMED_MS <= now
    }
}
