//! Choosing an endpoint from what this router has observed itself.
//!
//! Health is inferred from the results of forwarded requests, not from health checks. An
//! endpoint that fails is avoided for a time that doubles with each failure.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

use crate::dispatch::Millis;
use crate::notice::{Notice, Rest, StartAddress, UnattributedNotices};
use crate::registry::Registration;
use crate::wire::HostId;

/// Shortest time for which an endpoint is avoided after a failure, in milliseconds.
const MIN_AVOID_MS: Millis = 300;
/// Longest time for which an endpoint is avoided, in milliseconds.
const MAX_AVOID_MS: Millis = 4_000;
/// Endpoints among which requests with the same affinity are distributed.
const PREFERRED_ENDPOINTS: usize = 2;
/// Consecutive failures after which an endpoint is avoided; a single one may be chance.
const FAILURES_BEFORE_AVOIDING: u32 = 2;
/// Milliseconds over which requests to a cold endpoint are counted. One second, since the
/// capacity of a cold endpoint is given in requests per second.
const SENT_WINDOW_MS: Millis = 1_000;

/// Breaks ties between endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preference {
    /// Hash of the prompt part that the request shares with others and that an engine caches.
    Affinity(u64),
    /// A random number, drawn for each request.
    Random(u64),
}

/// How a request failed at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened.
    Unreachable,
    /// Another endpoint answers at its address, so this one has ended.
    Replaced,
    /// It rejected the request without running it.
    Rejected,
    /// Its answer was truncated, missing or an error.
    Failed,
}

#[derive(Clone, Debug, Default)]
struct ObservedEndpoint {
    /// The start that was observed. Observations of it do not apply to a later start.
    started_at_ms: u64,
    /// Revivals of the start when it last stated in a health check that it accepts requests.
    confirmed_revivals: u32,
    in_flight: u32,
    prompt_tokens: u64,
    failures: u32,
    avoid_until: Millis,
    /// The rest that it requested. Unlike avoidance after failures, it isn't ended by a success.
    rest: Rest,
    replaced: bool,
    /// When requests were sent to it within the last second.
    sent: VecDeque<Millis>,
}

/// This router's limit for requests to a cold endpoint of a service.
///
/// Routers do not coordinate. Where the limit is less than one request per second, a hash of
/// router and endpoint selects the routers that may send one; the others send none.
#[derive(Clone, Copy, Debug)]
pub struct ColdLimit {
    /// Requests per second that a cold endpoint accepts from all routers together; `None`
    /// where it accepts as many as a warm one.
    pub per_second: Option<f64>,
    /// Number of routers that share them.
    pub routers: usize,
    /// This router.
    pub router: HostId,
}

impl ColdLimit {
    /// Sets the limit for cold engines to 0: the placer may use their full capacity.
    pub fn reserved_for_placer(self, is_engine: bool) -> ColdLimit {
        let per_second = self.per_second.map(|rate| if is_engine { 0.0 } else { rate });
        ColdLimit { per_second, ..self }
    }

    /// Requests per second that this router may send to a cold endpoint; `None` for no limit.
    fn allowance(&self, id: &str) -> Option<usize> {
        let limit = self.per_second? / self.routers.max(1) as f64;
        let rank = rendezvous_rank(u64::from(self.router.0), id) as f64 / u64::MAX as f64;
        Some(limit as usize + usize::from(rank < limit.fract()))
    }
}

/// What this router has observed of each endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointTracker {
    observed: HashMap<String, ObservedEndpoint>,
    unattributed: UnattributedNotices,
}

impl EndpointTracker {
    /// Chooses among `ready`, leaving out those in `tried`. Requests with the same affinity go to
    /// the same two endpoints, to the one with fewer prompt tokens to read. Others go to the least
    /// loaded endpoint, and ties are broken by a random number: most of hundreds of routers have
    /// nothing in flight and would otherwise all choose the same endpoint.
    pub fn choose<'a>(
        &self,
        now: Millis,
        ready: impl Iterator<Item = &'a Registration>,
        tried: &[String],
        preference: Preference,
        cold: ColdLimit,
    ) -> Option<&'a Registration> {
        let usable = |r: &&Registration| {
            let replaced = self.observed(r).is_some_and(|o| o.replaced);
            !replaced
                && !tried.contains(&r.id)
                && r.address.is_some()
                && self.rest_left(now, r).is_none()
                && !self.is_uncertain(now, r)
                && !self.is_too_cold(now, r, cold)
        };
        let mut usable: Vec<_> = ready.filter(usable).collect();
        if usable.iter().any(|r| self.is_healthy(now, r)) {
            usable.retain(|r| self.is_healthy(now, r));
        }
        if let Preference::Affinity(affinity) = preference {
            usable.sort_by_cached_key(|r| std::cmp::Reverse(rendezvous_rank(affinity, &r.id)));
            usable.truncate(PREFERRED_ENDPOINTS);
        }
        usable.into_iter().min_by_key(|r| self.load(r, preference))
    }

    /// Whether an endpoint is neither avoided after failures nor being probed after a rest.
    pub fn is_healthy(&self, now: Millis, endpoint: &Registration) -> bool {
        self.observed(endpoint)
            .is_none_or(|observed| observed.avoid_until <= now && !observed.rest.is_probing(now))
    }

    /// Milliseconds left of the rest that an endpoint requested; `None` when it is not resting.
    pub fn rest_left(&self, now: Millis, endpoint: &Registration) -> Option<Millis> {
        self.observed(endpoint)?.rest.remaining(now)
    }

    /// Whether this start was recorded as ended and has not stated since that it accepts
    /// requests.
    pub fn is_unconfirmed(&self, endpoint: &Registration) -> bool {
        let confirmed = self.observed(endpoint).map_or(0, |observed| observed.confirmed_revivals);
        confirmed < endpoint.revivals
    }

    /// Records that this start accepts requests, as its health check states.
    pub fn record_confirmed(&mut self, endpoint: &Registration) {
        if let Some(observed) = self.observed_mut(&endpoint.id, endpoint.started_at_ms) {
            observed.confirmed_revivals = observed.confirmed_revivals.max(endpoint.revivals);
        }
    }

    /// Whether this start may have reported that it leaves, rests or ends, and has not
    /// answered since.
    pub fn is_uncertain(&self, now: Millis, endpoint: &Registration) -> bool {
        if self.is_unconfirmed(endpoint) {
            return true;
        }
        start_address(endpoint).is_some_and(|start| self.unattributed.may_apply_to(now, start))
    }

    /// Records an answer on a connection opened while this start was the latest one known. Returns
    /// the milliseconds left of an earlier rest, as [`UnattributedNotices::record`] does.
    pub fn record_notice(
        &mut self,
        now: Millis,
        endpoint: &Registration,
        notice: &Notice,
    ) -> Millis {
        start_address(endpoint).map_or(0, |start| self.unattributed.record(now, start, notice))
    }

    /// Notices in answers that may have come from a later start than the one they were
    /// recorded for.
    pub fn unattributed(&mut self) -> &mut UnattributedNotices {
        &mut self.unattributed
    }

    /// Milliseconds until the first of these endpoints ends its rest; `None` when one of them
    /// is not resting, or there are none.
    pub fn first_rest_end_ms<'a>(
        &self,
        now: Millis,
        mut endpoints: impl Iterator<Item = &'a Registration>,
    ) -> Option<Millis> {
        let first = self.rest_left(now, endpoints.next()?)?;
        endpoints.try_fold(first, |least, e| Some(least.min(self.rest_left(now, e)?)))
    }

    fn load(&self, endpoint: &Registration, preference: Preference) -> (u64, u64) {
        let observed = self.observed(endpoint);
        match preference {
            Preference::Affinity(affinity) => {
                let tokens = observed.map_or(0, |observed| observed.prompt_tokens);
                (tokens, rendezvous_rank(affinity, &endpoint.id))
            }
            Preference::Random(tie) => {
                let in_flight = observed.map_or(0, |observed| u64::from(observed.in_flight));
                let by_slot = in_flight * 1_000 / u64::from(endpoint.slots.max(1));
                (by_slot, rendezvous_rank(tie, &endpoint.id))
            }
        }
    }

    /// Whether an endpoint is cold and this router has reached its limit for it.
    fn is_too_cold(&self, now: Millis, endpoint: &Registration, cold: ColdLimit) -> bool {
        if endpoint.warmup_ms == 0 {
            return false;
        }
        let Some(allowance) = cold.allowance(&endpoint.id) else { return false };
        let is_recent = |at: &&Millis| **at + SENT_WINDOW_MS > now;
        // Requests sent to the previous start may have reached this one.
        let sent =
            self.observed.get(&endpoint.id).map_or(0, |o| o.sent.iter().filter(is_recent).count());
        sent >= allowance
    }

    /// What was observed of this start of an endpoint.
    fn observed(&self, endpoint: &Registration) -> Option<&ObservedEndpoint> {
        self.observed
            .get(&endpoint.id)
            .filter(|observed| observed.started_at_ms == endpoint.started_at_ms)
    }

    /// Like `observed`, mutable. `None` when a later start has been observed.
    fn observed_mut(&mut self, id: &str, started_at_ms: u64) -> Option<&mut ObservedEndpoint> {
        let observed = self.observed.entry(id.to_string()).or_default();
        if observed.started_at_ms < started_at_ms {
            // Requests sent shortly before may have reached this start, which is cold.
            let sent = std::mem::take(&mut observed.sent);
            *observed = ObservedEndpoint { started_at_ms, sent, ..ObservedEndpoint::default() };
        }
        (observed.started_at_ms == started_at_ms).then_some(observed)
    }

    /// Records a request sent to the endpoint that started at `started_at_ms`.
    pub fn record_sent(&mut self, now: Millis, id: &str, started_at_ms: u64, prompt_tokens: u32) {
        let Some(observed) = self.observed_mut(id, started_at_ms) else { return };
        while observed.sent.front().is_some_and(|at| at + SENT_WINDOW_MS <= now) {
            observed.sent.pop_front();
        }
        observed.sent.push_back(now);
        observed.rest.record_sent(now);
        observed.in_flight += 1;
        observed.prompt_tokens += u64::from(prompt_tokens);
    }

    /// Records the first event of an answer: the prompt has been read.
    pub fn record_first_event(&mut self, id: &str, started_at_ms: u64, prompt_tokens: u32) {
        if let Some(observed) =
            self.observed.get_mut(id).filter(|observed| observed.started_at_ms == started_at_ms)
        {
            observed.prompt_tokens =
                observed.prompt_tokens.saturating_sub(u64::from(prompt_tokens));
        }
    }

    /// Records that a request has ended.
    pub fn record_end(&mut self, id: &str, started_at_ms: u64) {
        if let Some(observed) =
            self.observed.get_mut(id).filter(|observed| observed.started_at_ms == started_at_ms)
        {
            observed.in_flight = observed.in_flight.saturating_sub(1);
            observed.rest.record_ended();
        }
    }

    /// Records that an endpoint accepted a request and answers it, which ends its rest.
    pub fn record_accepted(&mut self, now: Millis, id: &str, started_at_ms: u64) {
        if let Some(observed) = self.observed_at(id, started_at_ms) {
            observed.rest.record_served(now);
        }
    }

    /// Records that a request was answered, and that the answer was not broken off.
    pub fn record_success(&mut self, now: Millis, id: &str, started_at_ms: u64) {
        if let Some(observed) = self.observed_at(id, started_at_ms) {
            observed.failures = 0;
            observed.avoid_until = 0;
            observed.rest.record_served(now);
        }
    }

    /// What was observed of this start of an endpoint, if no other start has been.
    fn observed_at(&mut self, id: &str, started_at_ms: u64) -> Option<&mut ObservedEndpoint> {
        self.observed.get_mut(id).filter(|observed| observed.started_at_ms == started_at_ms)
    }

    /// Records that it rejected a request and requested a rest of `time` milliseconds.
    pub fn record_rest(&mut self, now: Millis, id: &str, started_at_ms: u64, rest_ms: Millis) {
        if let Some(observed) = self.observed_mut(id, started_at_ms) {
            observed.rest.extend(now, rest_ms);
        }
    }

    /// Records a failed request; returns for how many milliseconds the endpoint is avoided.
    pub fn record_failure(
        &mut self,
        now: Millis,
        id: &str,
        started_at_ms: u64,
        failure: Failure,
    ) -> Millis {
        let Some(observed) = self.observed_mut(id, started_at_ms) else { return 0 };
        observed.failures += 1;
        observed.replaced |= failure == Failure::Replaced;
        let at_once = failure == Failure::Unreachable;
        if !at_once && observed.failures < FAILURES_BEFORE_AVOIDING {
            return 0;
        }
        let doubled = MIN_AVOID_MS << observed.failures.min(8).saturating_sub(1);
        let avoid = doubled.min(MAX_AVOID_MS);
        observed.avoid_until = now + avoid;
        avoid
    }

    /// Removes an endpoint that is gone, unless requests are in flight at it.
    pub fn forget(&mut self, id: &str) {
        if self.observed.get(id).is_some_and(|o| o.in_flight == 0) {
            self.observed.remove(id);
        }
    }
}

/// The address of this start of an endpoint, if one is known.
fn start_address(endpoint: &Registration) -> Option<StartAddress<'_>> {
    let (id, started_at_ms) = (endpoint.id.as_str(), endpoint.started_at_ms);
    endpoint.address.map(|address| StartAddress { id, started_at_ms, address })
}

/// Rendezvous hashing: requests with the same seed keep going to the same endpoint while
/// others are added and removed.
fn rendezvous_rank(seed: u64, id: &str) -> u64 {
    let mut key = seed.to_be_bytes().to_vec();
    key.extend_from_slice(id.as_bytes());
    xxh3_64(&key)
}
