//! Which endpoints have room, from the dispatcher's own outstanding grants.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{
    GRANT_DELAY_DIVISOR, MAX_GRANT_DELAY_MS, MAX_REPORT_DELAY_MS, Millis, REPORT_DELAY_DIVISOR,
};
use crate::config::{Config, EndpointId, HallId, HallSet, ServiceId};
use crate::notice::Rest;
use crate::wire::HostId;

/// First time an endpoint is left out after a failure, in milliseconds.
const FIRST_BACKOFF_MS: Millis = 200;
/// Longest time between two probes, in milliseconds.
const LAST_BACKOFF_MS: Millis = 10_000;
/// Routers that must see an endpoint fail before it is left out for all.
const QUORUM_OF_FAILURES: usize = 2;
/// Time from the end of a request to the start of the next, in milliseconds,
/// beside the time that the report may wait.
const ROUND_TRIP_MS: f64 = 4.0;
/// Prompt prefixes remembered for an endpoint.
const REMEMBERED_PREFIXES: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Failure {
    count: u32,
    until: Millis,
}

/// Prefix hashes most recently sent to an endpoint.
#[derive(Clone, Debug, Default)]
struct PrefixIndex {
    order: VecDeque<u32>,
    known: BTreeSet<u32>,
}

impl PrefixIndex {
    fn insert(&mut self, hashes: &[u32]) {
        for hash in hashes {
            if self.known.insert(*hash) {
                self.order.push_back(*hash);
            }
        }
        while self.order.len() > REMEMBERED_PREFIXES {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }

    /// How many of the ever longer prefixes are likely cached.
    fn matched(&self, hashes: &[u32]) -> usize {
        hashes.iter().take_while(|h| self.known.contains(h)).count()
    }
}

#[derive(Clone, Debug)]
struct State {
    hall: HallId,
    slots: u32,
    leaving: bool,
    outstanding: u32,
    failures: BTreeMap<HostId, Failure>,
    /// Which routers it asked for rest. Unlike failures, no answer ends that early.
    rests: BTreeMap<HostId, Rest>,
    /// Which routers it told that it leaves: what one was told holds for all.
    told_leaving: BTreeSet<HostId>,
    prefixes: PrefixIndex,
}

impl State {
    fn takes_work(&self) -> bool {
        !self.leaving && self.told_leaving.is_empty()
    }

    fn usable(&self, now: Millis, router: HostId, reach: HallSet) -> bool {
        if !self.takes_work() || !reach.contains(self.hall) {
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
        failing < QUORUM_OF_FAILURES
    }
}

/// What is running where, for reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its slots.
    pub slots: u32,
    /// Grants that have not ended.
    pub outstanding: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// The endpoints of one service.
#[derive(Clone, Debug)]
pub struct Capacity {
    divisor: u32,
    ahead: u32,
    round_trip_part: f64,
    max_grant_delay_ms: Millis,
    endpoints: BTreeMap<EndpointId, State>,
}

impl Capacity {
    /// Capacity of which this dispatcher may use one part in `divisor`.
    pub fn new(divisor: u32) -> Capacity {
        Capacity {
            divisor: divisor.max(1),
            ahead: 0,
            round_trip_part: 0.0,
            max_grant_delay_ms: 0,
            endpoints: BTreeMap::new(),
        }
    }

    /// Adopts the endpoints that `config` declares for `service`.
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
            let mut state = self.endpoints.remove(id).unwrap_or_else(|| State {
                hall,
                slots: 0,
                leaving: false,
                outstanding: 0,
                failures: BTreeMap::new(),
                rests: BTreeMap::new(),
                told_leaving: BTreeSet::new(),
                prefixes: PrefixIndex::default(),
            });
            state.hall = hall;
            state.slots = endpoint.slots.div_ceil(self.divisor);
            state.leaving = endpoint.leaving || leaving.contains(id);
            next.insert(*id, state);
        }
        self.endpoints = next;
    }

    /// Grants so far ahead that slots stay full through a round trip, given how
    /// long requests take.
    pub fn keep_full(&mut self, mean_ms: f64) {
        let report = mean_ms / f64::from(REPORT_DELAY_DIVISOR);
        let report = report.min(MAX_REPORT_DELAY_MS as f64);
        let grant = mean_ms / f64::from(GRANT_DELAY_DIVISOR);
        let grant = grant.min(MAX_GRANT_DELAY_MS as f64);
        self.max_grant_delay_ms = grant as Millis;
        self.round_trip_part = (ROUND_TRIP_MS + report + grant) / mean_ms.max(1.0);
    }

    /// Grants that an endpoint may have beyond its slots.
    fn ahead_of(&self, slots: u32) -> u32 {
        if self.divisor > 1 {
            return 0;
        }
        let wanted = (f64::from(slots) * self.round_trip_part).ceil() as u32;
        wanted.clamp(self.ahead, self.ahead.max(slots / 2))
    }

    /// Slots of endpoints that take new work.
    pub fn slots(&self) -> u32 {
        let active = self.endpoints.values().filter(|e| e.takes_work());
        active.map(|e| e.slots).sum()
    }

    /// Whether any endpoint in reach takes new work, now or later.
    pub fn serves(&self, reach: HallSet) -> bool {
        self.endpoints.values().any(|e| e.takes_work() && reach.contains(e.hall))
    }

    /// Milliseconds until the first endpoint in reach ends the rest that it asked a router
    /// for; none where one may be sent to now, or there are none.
    pub fn all_rest_for(&self, now: Millis, router: HostId, reach: HallSet) -> Option<Millis> {
        let in_reach = |e: &&State| e.takes_work() && reach.contains(e.hall);
        let mut rests = self.endpoints.values().filter(in_reach).map(|e| e.rests.get(&router));
        let first = rests.next()??.remaining(now)?;
        rests.try_fold(first, |least, rest| Some(least.min(rest?.remaining(now)?)))
    }

    /// Whether any endpoint has room.
    pub fn has_room(&self) -> bool {
        let room = |e: &State| e.outstanding < e.slots + self.ahead_of(e.slots);
        self.endpoints.values().any(|e| e.takes_work() && room(e))
    }

    /// The endpoint to run a request on: one with a free slot that likely has
    /// the longest prefix cached, else the least loaded; only when no slot is
    /// free, one that can queue a grant ahead.
    pub fn pick(
        &self,
        now: Millis,
        router: HostId,
        reach: HallSet,
        prefix: &[u32],
    ) -> Option<EndpointId> {
        let usable = |e: &&(&EndpointId, &State)| e.1.usable(now, router, reach);
        let candidates: Vec<_> = self.endpoints.iter().collect();
        let free =
            candidates.iter().filter(usable).filter(|(_, e)| e.outstanding < e.slots).max_by_key(
                |(id, e)| {
                    let idle = (e.slots - e.outstanding) * 1_000 / e.slots;
                    (e.prefixes.matched(prefix), idle, std::cmp::Reverse(**id))
                },
            );
        if let Some((id, _)) = free {
            return Some(**id);
        }
        let queued = candidates
            .iter()
            .filter(usable)
            .filter(|(_, e)| e.outstanding < e.slots + self.ahead_of(e.slots))
            .min_by_key(|(id, e)| (e.outstanding - e.slots, **id));
        queued.map(|(id, _)| **id)
    }

    /// How long a grant may wait on its way: none into a free slot, a moment when
    /// it queues at the endpoint.
    pub fn max_grant_delay(&self, endpoint: EndpointId) -> Millis {
        let full = self.endpoints.get(&endpoint).is_some_and(|e| e.outstanding >= e.slots);
        if full { self.max_grant_delay_ms } else { 0 }
    }

    /// An endpoint asked a router for so many milliseconds of rest.
    pub fn rest(&mut self, now: Millis, router: HostId, endpoint: EndpointId, time: Millis) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.rests.entry(router).or_default().extend(now, time);
        }
    }

    /// An endpoint told a router that it leaves, or the router found it back.
    pub fn set_leaving(&mut self, router: HostId, endpoint: EndpointId, is_leaving: bool) {
        let Some(state) = self.endpoints.get_mut(&endpoint) else { return };
        match is_leaving {
            true => state.told_leaving.insert(router),
            false => state.told_leaving.remove(&router),
        };
    }

    /// Takes a slot for a router's request.
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

    /// Frees every slot, when all grants are forgotten.
    pub fn release_all(&mut self) {
        self.endpoints.values_mut().for_each(|e| e.outstanding = 0);
    }

    /// Leaves the endpoint out for a router that saw it fail; returns for how
    /// many milliseconds.
    pub fn failed(&mut self, now: Millis, router: HostId, endpoint: EndpointId) -> Millis {
        let Some(state) = self.endpoints.get_mut(&endpoint) else {
            return 0;
        };
        state.prefixes = PrefixIndex::default();
        let failure = state.failures.entry(router).or_insert(Failure { count: 0, until: 0 });
        if failure.until > now {
            return failure.until - now;
        }
        let backoff = (FIRST_BACKOFF_MS << failure.count.min(16)).min(LAST_BACKOFF_MS);
        failure.count += 1;
        failure.until = now + backoff;
        backoff
    }

    /// Lets the endpoint back in for everyone after an answer.
    pub fn answered(&mut self, now: Millis, router: HostId, endpoint: EndpointId) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.failures.remove(&router);
            if let Some(rest) = state.rests.get_mut(&router) {
                rest.record_served(now);
            }
        }
    }

    /// Forgets what a router saw.
    pub fn forget_router(&mut self, router: HostId) {
        self.endpoints.values_mut().for_each(|e| {
            e.failures.remove(&router);
            e.rests.remove(&router);
            e.told_leaving.remove(&router);
        });
    }

    /// What is running where.
    pub fn loads(&self) -> Vec<EndpointLoad> {
        let load = |(id, e): (&EndpointId, &State)| EndpointLoad {
            endpoint: *id,
            slots: e.slots,
            outstanding: e.outstanding,
            leaving: !e.takes_work(),
        };
        self.endpoints.iter().map(load).collect()
    }
}
