//! A router's own placer, for the time when it reaches no control host.
//!
//! It knows only this router's requests, so it reads for no more than this
//! router's part of the engines' time, and a little more: others may be idle.

use std::sync::{Arc, Mutex, PoisonError};

use super::distance::Distances;
use super::engines::engines_of;
use super::message::{FromPlacer, PlacementRequest, ToPlacer};
use super::placer::Placer;
use super::rules::PlacementRules;
use crate::clock::Clock;
use crate::region::Regions;
use crate::registry::SharedRegistry;
use crate::routing::CurrentRouting;
use crate::wire::HostId;

/// How much more than an equal part of the engines a router takes alone.
const GENEROSITY: f64 = 1.5;

/// A placer for one router.
#[derive(Debug)]
pub struct LocalPlacer {
    me: HostId,
    clock: Clock,
    documents: Arc<CurrentRouting>,
    registry: Arc<SharedRegistry>,
    regions: Regions,
    placer: Mutex<Placer>,
}

impl LocalPlacer {
    /// A placer for the router `me`.
    pub fn new(
        me: HostId,
        clock: Clock,
        documents: Arc<CurrentRouting>,
        registry: Arc<SharedRegistry>,
        regions: Regions,
    ) -> LocalPlacer {
        let mut placer = Placer::default();
        placer.set_distances(Distances::new(regions.clone()));
        LocalPlacer { me, clock, documents, registry, regions, placer: Mutex::new(placer) }
    }

    /// Places a request, as one of `routers` that share the engines.
    pub fn place(&self, request: PlacementRequest, routers: usize) -> FromPlacer {
        let seq = request.seq;
        let Some(routing) = self.documents.current() else { return FromPlacer::Unknown { seq } };
        let engines = self.registry.read(|registry| engines_of(&routing, registry, &self.regions));
        let all = PlacementRules::default();
        let part = (GENEROSITY / routers.max(1) as f64).min(1.0);
        // No router knows what others send to a cold engine, so none sends it anything.
        let rules =
            PlacementRules { reading_share: all.reading_share * part, cold_part: 0.0, ..all };
        let mut placer = self.placer.lock().unwrap_or_else(PoisonError::into_inner);
        placer.set_rules(rules);
        let now = self.clock.now();
        placer.set_engines(now, engines);
        placer.set_nominal(routing.table.limits.tokens_per_second);
        let decision = placer.receive(now, self.me, ToPlacer::Place(request));
        decision.map_or(FromPlacer::Unknown { seq }, |decision| decision.answer)
    }

    /// Tells of a placed request.
    pub fn tell(&self, message: ToPlacer) {
        let mut placer = self.placer.lock().unwrap_or_else(PoisonError::into_inner);
        placer.receive(self.clock.now(), self.me, message);
    }
}
