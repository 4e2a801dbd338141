//! Recently served requests, in bounded memory.

use super::Fingerprint;
use crate::dispatch::Millis;

/// Requests that are recorded: at 200 a second per router, those of the last minute.
const SLOTS: usize = 8_192;

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    tag: u64,
    at: Millis,
}

/// When requests were last served by this router. Each slot holds the latest request that maps to
/// it, so a flood of requests overwrites earlier ones, but takes no more memory.
#[derive(Clone, Debug)]
pub struct RecentlyServed {
    slots: Vec<Slot>,
}

impl Default for RecentlyServed {
    fn default() -> Self {
        RecentlyServed { slots: vec![Slot::default(); SLOTS] }
    }
}

impl RecentlyServed {
    /// Records that a request was served completely.
    pub fn record(&mut self, now: Millis, fingerprint: &Fingerprint) {
        let tag = fingerprint.hash();
        self.slots[tag as usize % SLOTS] = Slot { tag, at: now };
    }

    /// When a request was last served, if that is still recorded.
    pub fn last_served(&self, fingerprint: &Fingerprint) -> Option<Millis> {
        let tag = fingerprint.hash();
        let slot = self.slots[tag as usize % SLOTS];
        (slot.tag == tag).then_some(slot.at)
    }
}
