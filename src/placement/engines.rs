//! The engines that accept requests, from routing and registrations.

use crate::region::Regions;
use crate::registry::{Registration, Registry};
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

/// All engines that accept requests.
pub fn engines_of(routing: &Routing, registry: &Registry, regions: &Regions) -> Vec<EngineInfo> {
    let nominal = routing.table.limits.tokens_per_second as f64 / 1_000.0;
    let services = routing.table.services.iter();
    services.flat_map(|service| engines_of_service(service, registry, regions, nominal)).collect()
}

fn engines_of_service(
    service: &ServicePool,
    registry: &Registry,
    regions: &Regions,
    nominal: f64,
) -> Vec<EngineInfo> {
    let Some(engine) = &service.engine else { return Vec::new() };
    let ready: Vec<_> = registry.ready(&service.name).collect();
    let rate = match nominal > 0.0 {
        true => nominal * RATE_OVER_NOMINAL / ready.len().max(1) as f64,
        false => DEFAULT_RATE,
    };
    let info = |endpoint: &Registration| EngineInfo {
        id: endpoint.id.clone(),
        started_at_ms: endpoint.started_at_ms,
        service: service.name.clone(),
        version: endpoint.version.clone(),
        region: regions.of(&endpoint.hall).to_string(),
        slots: endpoint.slots.max(engine.slots),
        memory_tokens: engine.memory_tokens,
        tokens_per_event: engine.tokens_per_event,
        rate,
        copy_ms_per_token: engine.copy_ms_per_token,
        cold_per_second: service.cold_per_second,
        registration_seq: endpoint.sequence,
        warmup_ms: endpoint.warmup_ms,
    };
    ready.into_iter().map(info).collect()
}
