//! Recently served requests and their attributes, in bounded memory.

use super::Fingerprint;
use super::attributes::Attribute;
use super::profile::RequestProfile;
use crate::dispatch::Millis;

/// Entries that are recorded: at 200 requests a second per router, each with a few attributes,
/// those of half a minute.
const SLOTS: usize = 32_768;

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    tag: u64,
    at: Millis,
}

/// When requests, and requests with an attribute, were last served by this router. Each slot holds
/// the latest entry that maps to it, so a flood of requests overwrites earlier ones, but takes no
/// more memory.
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
    pub fn record(&mut self, now: Millis, request: &RequestProfile) {
        self.set(now, request.fingerprint.hash());
        for attribute in request.attributes() {
            self.set(now, attribute.hash_of(request.customer(), &request.service));
        }
    }

    /// When a request was last served, if that is still recorded.
    pub fn request(&self, fingerprint: &Fingerprint) -> Option<Millis> {
        self.get(fingerprint.hash())
    }

    /// When a customer's request to a service with an attribute was last served, if that is still
    /// recorded.
    pub fn attribute(&self, customer: &str, service: &str, attribute: Attribute) -> Option<Millis> {
        self.get(attribute.hash_of(customer, service))
    }

    fn set(&mut self, now: Millis, tag: u64) {
        self.slots[tag as usize % SLOTS] = Slot { tag, at: now };
    }

    fn get(&self, tag: u64) -> Option<Millis> {
        let slot = self.slots[tag as usize % SLOTS];
        (slot.tag == tag).then_some(slot.at)
    }
}
