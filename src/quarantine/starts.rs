//! Starts of endpoints that become known only after routers observed them.
//!
//! An endpoint that crashed may restart and answer before any host has recorded the new start:
//! heartbeats arrive about once a second, while answers arrive at once. To a router, such an answer
//! looks as if the start that crashed were still alive.

use std::collections::{BTreeMap, VecDeque};

use super::crash::Crash;
use crate::dispatch::Millis;
use crate::registry::EndpointStart;

/// Milliseconds within which a later start that becomes known after an observation of a live
/// endpoint shows that the observation was of the later start: two heartbeats.
const MAX_START_DELAY_MS: Millis = 2_500;
/// Endpoints whose latest known start is kept: more than a fleet has.
const MAX_STARTS: usize = 4_096;
/// Refuted crashes that are kept while a later start may still confirm them.
const MAX_REFUTED: usize = 256;

#[derive(Clone, Copy, Debug)]
struct KnownStart {
    started_at_ms: u64,
    known_at: Millis,
}

/// The latest known start of each endpoint, and crashes that were refuted because the endpoint
/// seemed alive.
#[derive(Clone, Debug, Default)]
pub(super) struct Starts {
    known: BTreeMap<String, KnownStart>,
    refuted: VecDeque<(Crash, Millis)>,
}

impl Starts {
    /// Whether an observation that this start was alive at this time belongs to a later start.
    pub fn is_from_later_start(&self, alive_at: Millis, endpoint: &EndpointStart) -> bool {
        self.known.get(&endpoint.id).is_some_and(|known| {
            known.started_at_ms > endpoint.started_at_ms
                && known.known_at < alive_at.saturating_add(MAX_START_DELAY_MS)
        })
    }

    /// Keeps a crash that was refuted because the endpoint was alive at `alive_at`, while a later
    /// start may still show that to be wrong.
    pub fn record_refuted(&mut self, now: Millis, crash: Crash, alive_at: Millis) {
        self.refuted.retain(|(_, alive_at)| now < *alive_at + MAX_START_DELAY_MS);
        if self.refuted.len() < MAX_REFUTED {
            self.refuted.push_back((crash, alive_at));
        }
    }

    /// Records that a start became known. Returns the crashes of earlier starts that it confirms.
    pub fn record_start(&mut self, now: Millis, start: &EndpointStart) -> Vec<Crash> {
        let before = self.known.get(&start.id);
        if before.is_some_and(|known| known.started_at_ms >= start.started_at_ms) {
            return Vec::new();
        }
        if before.is_some() || self.known.len() < MAX_STARTS {
            let known = KnownStart { started_at_ms: start.started_at_ms, known_at: now };
            self.known.insert(start.id.clone(), known);
        }
        let is_confirmed = |(crash, alive_at): &(Crash, Millis)| {
            crash.endpoint.id == start.id
                && crash.endpoint.started_at_ms < start.started_at_ms
                && now < *alive_at + MAX_START_DELAY_MS
        };
        let (confirmed, unconfirmed) = self.refuted.drain(..).partition::<Vec<_>, _>(is_confirmed);
        self.refuted.extend(unconfirmed);
        confirmed.into_iter().map(|(crash, _)| crash).collect()
    }

    /// Removes an endpoint that is gone for good.
    pub fn remove(&mut self, id: &str) {
        self.known.remove(id);
    }
}
