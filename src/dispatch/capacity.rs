//! Free slots of the endpoints, computed from the dispatcher's own outstanding grants.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{
    GRANT_DELAY_DIVISOR, MAX_GRANT_DELAY_MS, MAX_REPORT_DELAY_MS, Millis, REPORT_DELAY_DIVISOR,
};
use crate::config::{Config, EndpointId, HallId, HallSet, ServiceId};
use crate::notice::Rest;
use crate::wire::HostId;

/// Time for which an endpoint is excluded after its first failure, in milliseconds.
const MIN_BACKOFF_MS: Millis = 200;
/// Maximum time for which an endpoint is excluded, in milliseconds.
const MAX_BACKOFF_MS: Millis = 10_000;
/// Number of routers at which an endpoint must fail before it is excluded for all routers.
const MIN_FAILING_ROUTERS: usize = 2;
/// Time from the end of a request to the start of the next, in milliseconds,
/// without the delays of the report and the grant.
const ROUND_TRIP_MS: f64 = 4.0;
/// Maximum number of prompt prefix hashes kept for an endpoint.
const MAX_PREFIXES: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Failure {
    count: u32,
    until: Millis,
}

/// Prefix hashes most recently sent to an endpoint, oldest evicted first.
#[derive(Clone, Debug, Default)]
struct PrefixIndex {
    order: VecDeque<u32>,
    hashes: BTreeSet<u32>,
}

impl PrefixIndex {
    fn insert(&mut self, hashes: &[u32]) {
        for hash in hashes {
            if self.hashes.insert(*hash) {
                self.order.push_back(*hash);
            }
        }
        while self.order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.order.pop_front() {
                self.hashes.remove(&oldest);
            }
        }
    }

    /// How many of these successively longer prefixes the endpoint has likely cached.
    fn cached_count(&self, hashes: &[u32]) -> usize {
        hashes.iter().take_while(|h| self.hashes.contains(h)).count()
    }
}

#[derive(Clone, Debug)]
struct EndpointEntry {
    hall: HallId,
    slots: u32,
    leaving: bool,
    outstanding: u32,
    failures: BTreeMap<HostId, Failure>,
    /// Rests that it requested, by router. Unlike an exclusion after a failure, a rest does
    /// not end early with an answer.
    rests: BTreeMap<HostId, Rest>,
    /// Routers that reported it as leaving; one report excludes it for all routers.
    leaving_reports: BTreeSet<HostId>,
    prefixes: PrefixIndex,
}

impl EndpointEntry {
    fn accepts_requests(&self) -> bool {
        !self.leaving && self.leaving_reports.is_empty()
    }

    fn usable(&self, now: Millis, router: HostId, reach: HallSet) -> bool {
        if !self.accepts_requests() || !reach.contains(self.hall) {
            return false;
        }
        if self.rests.get(&router).is_some_and(|r| r.remaining(now).is_some() || r.is_probing(now))
        {
            return false;
        }
        if self.failures.get(&router).is_some_and(|f| f.until > now) {
            return false;
        }
        let failing = self.failures.values().filter(|f| f.until > now).count();
        failing < MIN_FAILING_ROUTERS
    }
}

/// Load of one endpoint, for reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Slots that this dispatcher may use.
    pub slots: u32,
    /// Grants that have not completed.
    pub outstanding: u32,
    /// Whether it accepts no new requests.
    pub leaving: bool,
}

/// The endpoints of one service and their load.
#[derive(Clone, Debug)]
pub struct Capacity {
    divisor: u32,
    ahead: u32,
    round_trip_fraction: f64,
    max_grant_delay_ms: Millis,
    endpoints: BTreeMap<EndpointId, EndpointEntry>,
}

impl Capacity {
    /// Capacity without endpoints. The dispatcher uses 1/`divisor` of each endpoint's slots.
    pub fn new(divisor: u32) -> Capacity {
        Capacity {
            divisor: divisor.max(1),
            ahead: 0,
            round_trip_fraction: 0.0,
            max_grant_delay_ms: 0,
            endpoints: BTreeMap::new(),
        }
    }

    /// Adopts the endpoints that `config` declares for `service`; those in `leaving` get no
    /// new requests.
    pub fn configure(
        &mut self,
        config: &Config,
        service: ServiceId,
        leaving: &BTreeSet<EndpointId>,
    ) {
        let Some(declared) = config.services.get(&service) else {
            self.endpoints.clear();
            return;
        };
        self.ahead = declared.ahead;
        let of_service = config.endpoints.iter().filter(|(_, e)| e.service == declared.name);
        let mut next = BTreeMap::new();
        for (id, endpoint) in of_service {
            let Some(hall) = config.hall_id(&endpoint.hall) else {
                continue;
            };
            let mut state = self.endpoints.remove(id).unwrap_or_else(|| EndpointEntry {
                hall,
                slots: 0,
                leaving: false,
                outstanding: 0,
                failures: BTreeMap::new(),
                rests: BTreeMap::new(),
                leaving_reports: BTreeSet::new(),
                prefixes: PrefixIndex::default(),
            });
            state.hall = hall;
            state.slots = endpoint.slots.div_ceil(self.divisor);
            state.leaving = endpoint.leaving || leaving.contains(id);
            next.insert(*id, state);
        }
        self.endpoints = next;
    }

    /// Adapts how many grants are issued beyond an endpoint's slots, so that slots stay full
    /// during a round trip, to the mean duration of requests in milliseconds.
    pub fn update_lookahead(&mut self, mean_ms: f64) {
        let report = mean_ms / f64::from(REPORT_DELAY_DIVISOR);
        let report = report.min(MAX_REPORT_DELAY_MS as f64);
        let grant = mean_ms / f64::from(GRANT_DELAY_DIVISOR);
        let grant = grant.min(MAX_GRANT_DELAY_MS as f64);
        self.max_grant_delay_ms = grant as Millis;
        self.round_trip_fraction = (ROUND_TRIP_MS + report + grant) / mean_ms.max(1.0);
    }

    /// Maximum number of grants that an endpoint may have beyond its slots.
    fn max_queued(&self, slots: u32) -> u32 {
        if self.divisor > 1 {
            return 0;
        }
        let needed = (f64::from(slots) * self.round_trip_fraction).ceil() as u32;
        needed.clamp(self.ahead, self.ahead.max(slots / 2))
    }

    /// Slots of endpoints that accept new requests.
    pub fn slots(&self) -> u32 {
        let active = self.endpoints.values().filter(|e| e.accepts_requests());
        active.map(|e| e.slots).sum()
    }

    /// Whether any endpoint in reach accepts new requests, now or after a rest or failure.
    pub fn serves(&self, reach: HallSet) -> bool {
        self.endpoints.values().any(|e| e.accepts_requests() && reach.contains(e.hall))
    }

    /// Milliseconds until the first endpoint in reach ends the rest that it requested from
    /// `router`; none if an endpoint is not resting, or none is in reach.
    pub fn ms_until_rest_ends(
        &self,
        now: Millis,
        router: HostId,
        reach: HallSet,
    ) -> Option<Millis> {
        let in_reach = |e: &&EndpointEntry| e.accepts_requests() && reach.contains(e.hall);
        let mut rests = self.endpoints.values().filter(in_reach).map(|e| e.rests.get(&router));
        let first = rests.next()??.remaining(now)?;
        rests.try_fold(first, |shortest, rest| Some(shortest.min(rest?.remaining(now)?)))
    }

    /// Whether any endpoint has room.
    pub fn has_room(&self) -> bool {
        let room = |e: &EndpointEntry| e.outstanding < e.slots + self.max_queued(e.slots);
        self.endpoints.values().any(|e| e.accepts_requests() && room(e))
    }

    /// The endpoint to run a request on: of those with a free slot, the one that likely has
    /// the longest prefix cached, then the least loaded; only when no slot is free, one at
    /// which a grant can be queued.
    pub fn pick(
        &self,
        now: Millis,
        router: HostId,
        reach: HallSet,
        prefix: &[u32],
    ) -> Option<EndpointId> {
        let usable = |e: &&(&EndpointId, &EndpointEntry)| e.1.usable(now, router, reach);
        let candidates: Vec<_> = self.endpoints.iter().collect();
        let free =
            candidates.iter().filter(usable).filter(|(_, e)| e.outstanding < e.slots).max_by_key(
                |(id, e)| {
                    let idle = (e.slots - e.outstanding) * 1_000 / e.slots;
                    (e.prefixes.cached_count(prefix), idle, std::cmp::Reverse(**id))
                },
            );
        if let Some((id, _)) = free {
            return Some(**id);
        }
        let queued = candidates
            .iter()
            .filter(usable)
            .filter(|(_, e)| e.outstanding < e.slots + self.max_queued(e.slots))
            .min_by_key(|(id, e)| (e.outstanding - e.slots, **id));
        queued.map(|(id, _)| **id)
    }

    /// Milliseconds that a grant may wait to share a frame: 0 if it gets a free slot, more
    /// if it queues at the endpoint.
    pub fn max_grant_delay(&self, endpoint: EndpointId) -> Millis {
        let full = self.endpoints.get(&endpoint).is_some_and(|e| e.outstanding >= e.slots);
        if full { self.max_grant_delay_ms } else { 0 }
    }

    /// Records that an endpoint requested a rest of `time` milliseconds from a router.
    pub fn record_rest(&mut self, now: Millis, router: HostId, endpoint: EndpointId, time: Millis) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.rests.entry(router).or_default().extend(now, time);
        }
    }

    /// Records that a router reports an endpoint as leaving, or as no longer leaving.
    pub fn set_leaving(&mut self, router: HostId, endpoint: EndpointId, is_leaving: bool) {
        let Some(state) = self.endpoints.get_mut(&endpoint) else { return };
        match is_leaving {
            true => state.leaving_reports.insert(router),
            false => state.leaving_reports.remove(&router),
        };
    }

    /// Occupies a slot for a router's request and records its prompt prefixes.
    pub fn acquire(&mut self, now: Millis, router: HostId, endpoint: EndpointId, prefix: &[u32]) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.outstanding += 1;
            if let Some(rest) = state.rests.get_mut(&router) {
                rest.record_sent(now);
            }
            state.prefixes.insert(prefix);
        }
    }

    /// Frees the slot of a router's request.
    pub fn release(&mut self, router: HostId, endpoint: EndpointId) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.outstanding = state.outstanding.saturating_sub(1);
            if let Some(rest) = state.rests.get_mut(&router) {
                rest.record_ended();
            }
        }
    }

    /// Frees every slot, for a dispatcher that drops all its grants.
    pub fn release_all(&mut self) {
        self.endpoints.values_mut().for_each(|e| e.outstanding = 0);
    }

    /// Records that an endpoint failed for a router and excludes it there, with exponential
    /// backoff. Returns the milliseconds for which it stays excluded.
    pub fn record_failure(&mut self, now: Millis, router: HostId, endpoint: EndpointId) -> Millis {
        let Some(state) = self.endpoints.get_mut(&endpoint) else {
            return 0;
        };
        state.prefixes = PrefixIndex::default();
        let failure = state.failures.entry(router).or_insert(Failure { count: 0, until: 0 });
        if failure.until > now {
            return failure.until - now;
        }
        let backoff = (MIN_BACKOFF_MS << failure.count.min(16)).min(MAX_BACKOFF_MS);
        failure.count += 1;
        failure.until = now + backoff;
        backoff
    }

    /// Records an answer, which ends the exclusion after this router's failures.
    pub fn record_answer(&mut self, now: Millis, router: HostId, endpoint: EndpointId) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.failures.remove(&router);
            if let Some(rest) = state.rests.get_mut(&router) {
                rest.record_served(now);
            }
        }
    }

    /// Removes all failures, rests and leaving reports of a router.
    pub fn remove_router(&mut self, router: HostId) {
        self.endpoints.values_mut().for_each(|e| {
            e.failures.remove(&router);
            e.rests.remove(&router);
            e.leaving_reports.remove(&router);
        });
    }

    /// Load of each endpoint.
    pub fn loads(&self) -> Vec<EndpointLoad> {
        let load = |(id, e): (&EndpointId, &EndpointEntry)| EndpointLoad {
            endpoint: *id,
            slots: e.slots,
            outstanding: e.outstanding,
            leaving: !e.accepts_requests(),
        };
        self.endpoints.iter().map(load).collect()
    }
}
