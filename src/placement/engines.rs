//! The engines that accept requests, from routing and registrations.

use crate::region::Regions;
use crate::registry::{Registration, Registry, Scope};
use crate::routing::{Routing, ServicePool};

/// Initial reading rate of an engine in tokens per millisecond if the fleet's nominal rate is not
/// known.
const DEFAULT_RATE: f64 = 30.0;
/// Ratio of the tokens that an engine reads to its fraction of the fleet's nominal tokens, which
/// count all tokens of prompts, including those kept in caches.
const RATE_OVER_NOMINAL: f64 = 1.3;

/// An engine as described by its registration and the routing.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineInfo {
    /// The endpoint's id.
    pub id: String,
    /// When its process started, in milliseconds since the epoch.
    pub started_at_ms: u64,
    /// Its service.
    pub service: String,
    /// The release of its software.
    pub version: String,
    /// Its data hall.
    pub hall: String,
    /// The region of its data hall.
    pub region: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Initial estimate of its reading rate, in tokens per millisecond.
    pub rate: f64,
    /// Milliseconds to copy the memory (KV cache) of one token from another engine; `None` if the
    /// engine cannot copy.
    pub copy_ms_per_token: Option<f64>,
    /// Requests per second that it can handle while it is cold; `None` if there is no limit.
    pub cold_per_second: Option<f64>,
    /// Sequence number of the registration that reported `warmup_ms`.
    pub registration_seq: u64,
    /// Milliseconds for which it stays cold from that registration on.
    pub warmup_ms: u64,
}

/// The engines of a fleet, as its routing and its registry describe them.
#[derive(Clone, Copy, Debug)]
pub struct FleetEngines<'a> {
    /// The routing in force.
    pub routing: &'a Routing,
    /// The endpoints.
    pub registry: &'a Registry,
    /// The regions of data halls.
    pub regions: &'a Regions,
}

impl FleetEngines<'_> {
    /// All engines that accept requests.
    pub fn all(&self) -> Vec<EngineInfo> {
        let services = self.routing.table.services.iter();
        services.flat_map(|service| self.of_service(service, 0, usize::MAX)).collect()
    }

    /// At most `limit` engines of one service that accept requests: those that follow `start` in
    /// the order of [`crate::eligibility::order_of`].
    pub fn some_of(&self, service: &str, start: u32, limit: usize) -> Vec<EngineInfo> {
        let service = self.service(service);
        service.map(|service| self.of_service(service, start, limit)).unwrap_or_default()
    }

    /// The engine with this registration; `None` if it accepts no requests or is no engine.
    pub fn ready(&self, endpoint: &Registration) -> Option<EngineInfo> {
        let service = self.service(&endpoint.service)?;
        let endpoint = self.registry.get_ready(&endpoint.id)?;
        self.describe(service, endpoint, self.initial_rate(service))
    }

    fn service(&self, name: &str) -> Option<&ServicePool> {
        self.routing.table.services.iter().find(|service| service.name == name)
    }

    fn of_service(&self, service: &ServicePool, start: u32, limit: usize) -> Vec<EngineInfo> {
        let rate = self.initial_rate(service);
        let ready = self.registry.ready_from(&service.name, start).take(limit);
        ready.filter_map(|endpoint| self.describe(service, endpoint, rate)).collect()
    }

    /// The initial estimate of a reading rate, in tokens per millisecond.
    fn initial_rate(&self, service: &ServicePool) -> f64 {
        let nominal = self.routing.table.limits.tokens_per_second as f64 / 1_000.0;
        let engines = self.registry.ready_count(&service.name).max(1);
        match nominal > 0.0 {
            true => nominal * RATE_OVER_NOMINAL / engines as f64,
            false => DEFAULT_RATE,
        }
    }

    fn describe(
        &self,
        service: &ServicePool,
        endpoint: &Registration,
        rate: f64,
    ) -> Option<EngineInfo> {
        let engine = service.engine.as_ref()?;
        Some(EngineInfo {
            id: endpoint.id.clone(),
            started_at_ms: endpoint.started_at_ms,
            service: service.name.clone(),
            version: endpoint.version.clone(),
            hall: endpoint.hall.clone(),
            region: self.regions.of(&endpoint.hall).to_string(),
            slots: endpoint.slots.max(engine.slots),
            memory_tokens: engine.memory_tokens,
            tokens_per_event: engine.tokens_per_event,
            rate,
            copy_ms_per_token: engine.copy_ms_per_token,
            cold_per_second: service.cold_per_second,
            registration_seq: endpoint.sequence,
            warmup_ms: endpoint.warmup_ms,
        })
    }
}

/// A change of the engines that accept requests.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineUpdate {
    /// All that do.
    All(Vec<EngineInfo>),
    /// Those that have changed.
    Changed {
        /// Those of them that accept requests.
        ready: Vec<EngineInfo>,
        /// The ids of the others.
        gone: Vec<String>,
    },
}

/// Follows the engines of a fleet by their changes.
#[derive(Clone, Debug, Default)]
pub struct EngineChanges {
    /// The version of the routing and the registry's number of bulk changes at the last update.
    basis: Option<(u64, u64)>,
    last_change: u64,
}

impl EngineChanges {
    /// What has changed since the last update.
    pub fn next(&mut self, fleet: FleetEngines<'_>) -> EngineUpdate {
        let basis = Some((fleet.routing.table.version, fleet.registry.bulk_changes()));
        if std::mem::replace(&mut self.basis, basis) != basis {
            self.last_change = fleet.registry.last_change();
            return EngineUpdate::All(fleet.all());
        }
        let changes = fleet.registry.changes_after(self.last_change, usize::MAX, Scope::All);
        self.last_change = changes.upto;
        let (mut ready, mut gone) = (Vec::new(), Vec::new());
        for endpoint in changes.endpoints {
            match fleet.ready(&endpoint) {
                Some(info) => ready.push(info),
                None => gone.push(endpoint.id),
            }
        }
        EngineUpdate::Changed { ready, gone }
    }
}
