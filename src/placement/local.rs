//! A router's own placer, used while the router reaches no control host.
//!
//! It receives only this router's requests, so it plans with an equal fraction of the engines' time
//! for each router, and a little more, since other routers may be idle.

use std::sync::{Arc, Mutex, PoisonError};

use super::candidates::prompt_hash;
use super::engines::FleetEngines;
use super::hall_regions::HallRegions;
use super::message::{FromPlacer, PlacementRequest, ToPlacer};
use super::placer::Placer;
use super::rules::PlacementRules;
use crate::clock::Clock;
use crate::region::Regions;
use crate::registry::SharedRegistry;
use crate::routing::CurrentRouting;
use crate::wire::HostId;

/// Multiple of an equal fraction of the engines' time that a router plans with while it decides by
/// itself.
const LOCAL_SHARE_FACTOR: f64 = 1.5;

/// The placer of one router.
#[derive(Debug)]
pub struct LocalPlacer {
    me: HostId,
    clock: Clock,
    routing: Arc<CurrentRouting>,
    registry: Arc<SharedRegistry>,
    regions: Regions,
    placer: Mutex<Placer>,
}

impl LocalPlacer {
    /// A placer for the router `me`.
    pub fn new(
        me: HostId,
        clock: Clock,
        routing: Arc<CurrentRouting>,
        registry: Arc<SharedRegistry>,
        regions: Regions,
    ) -> LocalPlacer {
        let mut placer = Placer::default();
        placer.set_hall_regions(HallRegions::new(regions.clone()));
        LocalPlacer { me, clock, routing, registry, regions, placer: Mutex::new(placer) }
    }

    /// Places a request, as one of `routers` that share the engines.
    pub fn place(&self, request: PlacementRequest, routers: usize) -> FromPlacer {
        let seq = request.seq;
        let Some(routing) = self.routing.current() else { return FromPlacer::Unknown { seq } };
        let defaults = PlacementRules::default();
        // Routers agree on the engines for prompts with the same first part.
        let start = prompt_hash(self.me, &request) as u32;
        let engines = self.registry.read(|registry| {
            let fleet = FleetEngines { routing: &routing, registry, regions: &self.regions };
            fleet.some_of(&request.service, start, defaults.weigh_all_up_to)
        });
        let fraction = (LOCAL_SHARE_FACTOR / routers.max(1) as f64).min(1.0);
        // A router has no record of what others send to a cold engine, so it sends cold engines
        // nothing.
        let rules = PlacementRules {
            reading_share: defaults.reading_share * fraction,
            cold_part: 0.0,
            ..defaults
        };
        let mut placer = self.placer.lock().unwrap_or_else(PoisonError::into_inner);
        placer.set_rules(rules);
        let now = self.clock.now();
        placer.set_engines(now, engines);
        placer.set_nominal(routing.table.limits.tokens_per_second);
        let decision = placer.receive(now, self.me, ToPlacer::Place(request));
        decision.map_or(FromPlacer::Unknown { seq }, |decision| decision.answer)
    }

    /// Applies an update of a placed request.
    pub fn receive(&self, message: ToPlacer) {
        let mut placer = self.placer.lock().unwrap_or_else(PoisonError::into_inner);
        placer.receive(self.clock.now(), self.me, message);
    }
}
