//! Which requests were served lately, in little memory.

use super::Fingerprint;
use crate::dispatch::Millis;

/// Requests that are remembered: at 200 a second and router, the last minute of them.
const SLOTS: usize = 8_192;

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    tag: u64,
    at: Millis,
}

/// When requests were last served here. Of two that share a slot the later one is known:
/// who floods a router with requests makes it forget, and costs it no memory.
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
    /// A request was served whole.
    pub fn note(&mut self, now: Millis, fingerprint: &Fingerprint) {
        let tag = fingerprint.hash();
        self.slots[tag as usize % SLOTS] = Slot { tag, at: now };
    }

    /// When a request was last served, as far as that is remembered.
    pub fn last(&self, fingerprint: &Fingerprint) -> Option<Millis> {
        let tag = fingerprint.hash();
        let slot = self.slots[tag as usize % SLOTS];
        (slot.tag == tag).then_some(slot.at)
    }
}
