//! Choosing the router of the data hall that is asked to accept a caller's connection, without
//! I/O.
//!
//! With hundreds of routers most have spare capacity, and only each itself has its current
//! load: one is asked at random, and refuses if it has no capacity left.

use std::collections::HashMap;

use crate::dispatch::Millis;
use crate::feed::Neighbour;
use crate::wire::HostId;

/// Milliseconds for which a router that refused, or did not answer, is not asked again: its
/// load is a mean over some 200 ms.
pub(super) const REFUSAL_BACKOFF_MS: Millis = 500;
/// Milliseconds after which the list of routers is requested again. A host that is
/// gone is skipped until then, since it does not answer.
pub(super) const REFRESH_INTERVAL_MS: Millis = 2_000;

/// Which other routers of the data hall refused recently.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    refused_until: HashMap<HostId, Millis>,
    refreshed_at: Option<Millis>,
}

impl Neighbours {
    /// One of `known` that has not refused recently, chosen by a random number.
    pub fn choose(&self, now: Millis, known: &[Neighbour], random: u64) -> Option<Neighbour> {
        let is_candidate =
            |n: &&Neighbour| self.refused_until.get(&n.host).is_none_or(|t| *t <= now);
        let candidates = known.iter().filter(is_candidate).count();
        let at = random.checked_rem(candidates as u64)?;
        known.iter().filter(is_candidate).nth(at as usize).copied()
    }

    /// Records that a router refused or did not answer.
    pub fn record_refusal(&mut self, now: Millis, host: HostId) {
        self.refused_until.retain(|_, until| *until > now);
        self.refused_until.insert(host, now + REFUSAL_BACKOFF_MS);
    }

    /// Whether the list of routers is due to be requested; if so, records it as requested now.
    pub fn start_refresh_if_due(&mut self, now: Millis) -> bool {
        let is_due =
            self.refreshed_at.is_none_or(|refreshed_at| now >= refreshed_at + REFRESH_INTERVAL_MS);
        if is_due {
            self.refreshed_at = Some(now);
        }
        is_due
    }
}
