//! Rests that one engine requested from routers, as seen by the placer.

use std::collections::HashMap;

use crate::dispatch::Millis;
use crate::notice::Rest;
use crate::wire::HostId;

/// Number of resting routers from which on the engine is avoided for all others as well where
/// possible: it would refuse each of them once.
const MIN_RESTING_ROUTERS: usize = 2;

/// Rests that one engine requested, by router.
#[derive(Clone, Debug, Default)]
pub struct RouterRests {
    by_router: HashMap<HostId, Rest>,
}

impl RouterRests {
    /// Records a rest of `time` milliseconds from now on that the engine requested from a router.
    pub fn record_rest(&mut self, now: Millis, router: HostId, time: Millis) {
        self.by_router.entry(router).or_default().extend(now, time);
    }

    /// Whether the engine must not be sent requests of a router.
    pub fn is_resting(&self, now: Millis, router: HostId) -> bool {
        self.by_router.get(&router).is_some_and(|rest| rest.remaining(now).is_some())
    }

    /// Whether other engines are preferred for requests of a router.
    pub fn should_avoid(&self, now: Millis, router: HostId) -> bool {
        if self.by_router.is_empty() {
            return false;
        }
        let resting = self.by_router.values().filter(|rest| rest.remaining(now).is_some()).count();
        resting >= MIN_RESTING_ROUTERS
            || self.by_router.get(&router).is_some_and(|rest| rest.is_probing(now))
    }

    /// Records that a request of a router is sent to the engine.
    pub fn record_sent(&mut self, now: Millis, router: HostId) {
        if let Some(rest) = self.by_router.get_mut(&router) {
            rest.record_sent(now);
        }
    }

    /// Records that a request of a router was served.
    pub fn record_served(&mut self, now: Millis, router: HostId) {
        if let Some(rest) = self.by_router.get_mut(&router) {
            rest.record_served(now);
            if rest.is_cleared() {
                self.by_router.remove(&router);
            }
        }
    }

    /// Records that a request of a router has ended, served or not.
    pub fn record_end(&mut self, router: HostId) {
        if let Some(rest) = self.by_router.get_mut(&router) {
            rest.record_ended();
        }
    }

    /// Removes a router that is gone, with the rest that it has recorded.
    pub fn remove_router(&mut self, router: HostId) {
        self.by_router.remove(&router);
    }
}
