//! Starts of endpoints, as they become known after what was seen of them.
//!
//! An endpoint that crashed may answer again, as another start, before anybody has heard that
//! it started again: heartbeats come every second or so, and answers come at once. To a router
//! that looks like a sign of life of the start that crashed.

use std::collections::{BTreeMap, VecDeque};

use super::crash::Crash;
use crate::dispatch::Millis;
use crate::registry::EndpointStart;

/// Milliseconds after a sign of life in which a later start that becomes known says that the
/// sign was the later one's: two heartbeats.
const UNKNOWN_START_MS: Millis = 2_500;
/// Endpoints of which it is kept when their start became known: more than a fleet has.
const MOST_STARTS: usize = 4_096;
/// Crashes that are kept for as long as a later start may confirm them.
const MOST_REFUTED: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Known {
    started_at_ms: u64,
    since: Millis,
}

/// Crashes that a sign of life refuted, and the starts that are known.
#[derive(Clone, Debug, Default)]
pub(super) struct Starts {
    known: BTreeMap<String, Known>,
    refuted: VecDeque<(Crash, Millis)>,
}

impl Starts {
    /// Whether a sign of life at this time was a later start's.
    pub fn is_of_a_later_one(&self, alive_at: Millis, endpoint: &EndpointStart) -> bool {
        self.known.get(&endpoint.id).is_some_and(|known| {
            known.started_at_ms > endpoint.started_at_ms
                && known.since < alive_at.saturating_add(UNKNOWN_START_MS)
        })
    }

    /// A sign of life refuted a crash, which is kept for as long as that may be wrong.
    pub fn refuted(&mut self, now: Millis, crash: Crash, alive_at: Millis) {
        self.refuted.retain(|(_, alive_at)| now < *alive_at + UNKNOWN_START_MS);
        if self.refuted.len() < MOST_REFUTED {
            self.refuted.push_back((crash, alive_at));
        }
    }

    /// A start became known. Returns the crashes of earlier ones that it confirms.
    pub fn started(&mut self, now: Millis, start: &EndpointStart) -> Vec<Crash> {
        let before = self.known.get(&start.id);
        if before.is_some_and(|known| known.started_at_ms >= start.started_at_ms) {
            return Vec::new();
        }
        if before.is_some() || self.known.len() < MOST_STARTS {
            let known = Known { started_at_ms: start.started_at_ms, since: now };
            self.known.insert(start.id.clone(), known);
        }
        let is_confirmed = |(crash, alive_at): &(Crash, Millis)| {
            crash.endpoint.id == start.id
                && crash.endpoint.started_at_ms < start.started_at_ms
                && now < *alive_at + UNKNOWN_START_MS
        };
        let (confirmed, rest) = self.refuted.drain(..).partition::<Vec<_>, _>(is_confirmed);
        self.refuted.extend(rest);
        confirmed.into_iter().map(|(crash, _)| crash).collect()
    }

    /// An endpoint that is gone for good.
    pub fn forget(&mut self, id: &str) {
        self.known.remove(id);
    }
}
