//! What engines have from each router, so that a router's end takes no time in proportion to the
//! engines.

use std::collections::{HashMap, HashSet};

use super::engine::RequestKey;
use super::parts::EngineNumber;
use crate::wire::HostId;

/// What engines have from one router.
#[derive(Clone, Debug, Default)]
pub struct RouterRequests {
    /// The router's data hall; empty before its first request.
    pub hall: String,
    /// The engine of each request that has not ended, by the request's number.
    pub placed: HashMap<u64, EngineNumber>,
    /// Engines that requested a rest from the router. They may have served it since.
    pub rests: HashSet<EngineNumber>,
}

/// What engines have from all routers.
#[derive(Clone, Debug, Default)]
pub struct PlacedRequests {
    routers: HashMap<HostId, RouterRequests>,
}

impl PlacedRequests {
    /// The engine of a request that has not ended.
    pub fn engine_of(&self, (router, seq): RequestKey) -> Option<EngineNumber> {
        self.routers.get(&router)?.placed.get(&seq).copied()
    }

    /// Records the data hall of a router.
    pub fn set_hall(&mut self, router: HostId, hall: &str) {
        let known = &mut self.routers.entry(router).or_default().hall;
        if known != hall {
            *known = hall.to_string();
        }
    }

    /// The data hall of a router; empty if it is not known.
    pub fn hall_of(&self, router: HostId) -> &str {
        self.routers.get(&router).map_or("", |router| router.hall.as_str())
    }

    /// Records the engine of a request.
    pub fn insert(&mut self, (router, seq): RequestKey, engine: EngineNumber) {
        self.routers.entry(router).or_default().placed.insert(seq, engine);
    }

    /// Removes a request that has ended; returns its engine.
    pub fn remove(&mut self, (router, seq): RequestKey) -> Option<EngineNumber> {
        self.routers.get_mut(&router)?.placed.remove(&seq)
    }

    /// Records that an engine requested a rest from a router.
    pub fn record_rest(&mut self, router: HostId, engine: EngineNumber) {
        self.routers.entry(router).or_default().rests.insert(engine);
    }

    /// Removes a router; returns what engines have from it.
    pub fn remove_router(&mut self, router: HostId) -> RouterRequests {
        self.routers.remove(&router).unwrap_or_default()
    }
}
