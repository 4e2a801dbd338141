//! Engines that routers let rest, as the placer minds it.

use std::collections::HashMap;

use crate::dispatch::Millis;
use crate::notice::Rest;
use crate::wire::HostId;

/// Routers that an engine asked for rest, from which on others should pass it by as well
/// where they can: they would each be turned away once.
const MIN_RESTING_ROUTERS: usize = 2;

/// What an engine asked of routers.
#[derive(Clone, Debug, Default)]
pub struct RouterRests {
    by_router: HashMap<HostId, Rest>,
}

impl RouterRests {
    /// The engine asked a router for so many milliseconds from now on.
    pub fn record_rest(&mut self, now: Millis, router: HostId, time: Millis) {
        self.by_router.entry(router).or_default().ask(now, time);
    }

    /// Whether the engine may get nothing from a router.
    pub fn is_resting(&self, now: Millis, router: HostId) -> bool {
        self.by_router.get(&router).is_some_and(|rest| rest.left(now).is_some())
    }

    /// Whether requests of a router should rather go elsewhere.
    pub fn should_avoid(&self, now: Millis, router: HostId) -> bool {
        if self.by_router.is_empty() {
            return false;
        }
        let resting = self.by_router.values().filter(|rest| rest.left(now).is_some()).count();
        resting >= MIN_RESTING_ROUTERS
            || self.by_router.get(&router).is_some_and(|rest| rest.is_tried(now))
    }

    /// A router's request goes to the engine.
    pub fn record_sent(&mut self, now: Millis, router: HostId) {
        if let Some(rest) = self.by_router.get_mut(&router) {
            rest.sent(now);
        }
    }

    /// A router's request was served.
    pub fn record_served(&mut self, now: Millis, router: HostId) {
        if let Some(rest) = self.by_router.get_mut(&router) {
            rest.served(now);
            if rest.is_forgotten() {
                self.by_router.remove(&router);
            }
        }
    }

    /// A router's request has ended, served or not.
    pub fn record_end(&mut self, router: HostId) {
        if let Some(rest) = self.by_router.get_mut(&router) {
            rest.ended();
        }
    }

    /// A router is gone. What it was asked it has forgotten.
    pub fn remove_router(&mut self, router: HostId) {
        self.by_router.remove(&router);
    }
}
