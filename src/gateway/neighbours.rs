//! Which router of the data hall to ask to take a caller's connection, without I/O.
//!
//! With hundreds of routers most have time to spare, and each knows its own load best:
//! one is asked at random, and says no if it has none.

use std::collections::HashMap;

use crate::dispatch::Millis;
use crate::feed::Neighbour;
use crate::wire::HostId;

/// Milliseconds for which a router that said no, or nothing, is not asked again: its
/// load is a mean over some 200 ms.
pub(super) const REFUSAL_BACKOFF_MS: Millis = 500;
/// Milliseconds after which the list of routers is asked for again. A host that is
/// gone says nothing, and is left out by that.
pub(super) const REFRESH_INTERVAL_MS: Millis = 2_000;

/// What is known of the other routers of the data hall.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    refused_until: HashMap<HostId, Millis>,
    refreshed_at: Option<Millis>,
}

impl Neighbours {
    /// One of `known` that has not said no lately, by a random number.
    pub fn choose(&self, now: Millis, known: &[Neighbour], random: u64) -> Option<Neighbour> {
        let may_take = |n: &&Neighbour| self.refused_until.get(&n.host).is_none_or(|t| *t <= now);
        let able = known.iter().filter(may_take).count();
        let at = random.checked_rem(able as u64)?;
        known.iter().filter(may_take).nth(at as usize).copied()
    }

    /// A router said no, or nothing.
    pub fn record_refusal(&mut self, now: Millis, host: HostId) {
        self.refused_until.retain(|_, until| *until > now);
        self.refused_until.insert(host, now + REFUSAL_BACKOFF_MS);
    }

    /// Whether the list of routers is to be asked for; it then counts as asked for.
    pub fn start_refresh_if_due(&mut self, now: Millis) -> bool {
        let is_due =
            self.refreshed_at.is_none_or(|refreshed_at| now >= refreshed_at + REFRESH_INTERVAL_MS);
        if is_due {
            self.refreshed_at = Some(now);
        }
        is_due
    }
}
