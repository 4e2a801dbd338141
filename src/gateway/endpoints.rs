//! Choosing an endpoint from what this router has seen itself.
//!
//! No health answer decides: what counts is how the requests went that were
//! sent. An endpoint that fails is avoided for a while, longer each time.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

use crate::dispatch::Millis;
use crate::notice::{Notice, Rest, StartAddress, UnattributedNotices};
use crate::registry::Registration;
use crate::wire::HostId;

/// Shortest time for which an endpoint is avoided after a failure.
const MIN_AVOID_MS: Millis = 300;
/// Longest time for which an endpoint is avoided.
const MAX_AVOID_MS: Millis = 4_000;
/// Endpoints preferred for one prompt.
const PREFERRED_ENDPOINTS: usize = 2;
/// Failures in a row after which an endpoint is avoided, where one may be chance.
const FAILURES_BEFORE_AVOIDING: u32 = 2;
/// Milliseconds in which requests to a cold endpoint are counted: what it bears is a
/// rate of a second.
const SENT_WINDOW_MS: Millis = 1_000;

/// What decides between endpoints that seem equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preference {
    /// What a request has in common with others, whose prompt parts an engine keeps.
    Affinity(u64),
    /// A random number, drawn for each request.
    Random(u64),
}

/// How a request failed at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came about: it is unreachable.
    Unreachable,
    /// Another endpoint answers at its address: it is gone for good.
    Replaced,
    /// It rejected the request without running it.
    Rejected,
    /// It broke off, sent no answer or an error.
    Failed,
}

#[derive(Clone, Debug, Default)]
struct ObservedEndpoint {
    /// The start of the endpoint that was seen. Nothing of it holds of a later one.
    started_at_ms: u64,
    /// The start's revivals when it answered last.
    revivals: u32,
    in_flight: u32,
    prompt_tokens: u64,
    failures: u32,
    avoid_until: Millis,
    /// What it asked for itself. Unlike failures, no answer ends it before its time.
    rest: Rest,
    replaced: bool,
    /// When requests were sent to it in the last second.
    sent: VecDeque<Millis>,
}

/// This router's part of what cold endpoints of a service bear.
///
/// Routers do not ask each other. Where a part is less than one request a second, some
/// routers, drawn by hash for each endpoint, may send one, and the others none.
#[derive(Clone, Copy, Debug)]
pub struct ColdLimit {
    /// Requests a second that a cold endpoint bears from all routers together; none
    /// where it bears as many as a warm one.
    pub per_second: Option<f64>,
    /// Routers that share them.
    pub routers: usize,
    /// This router.
    pub router: HostId,
}

impl ColdLimit {
    /// Of cold engines no part at all: their placer may send them all that they bear.
    pub fn reserved_for_placer(self, is_engine: bool) -> ColdLimit {
        let per_second = self.per_second.map(|bears| if is_engine { 0.0 } else { bears });
        ColdLimit { per_second, ..self }
    }

    /// Requests a second that this router may send to a cold endpoint; none for as many
    /// as it likes.
    fn allowance(&self, id: &str) -> Option<usize> {
        let part = self.per_second? / self.routers.max(1) as f64;
        let drawn = rendezvous_rank(u64::from(self.router.0), id) as f64 / u64::MAX as f64;
        Some(part as usize + usize::from(drawn < part.fract()))
    }
}

/// What this router has seen of each endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointTracker {
    observed: HashMap<String, ObservedEndpoint>,
    unattributed: UnattributedNotices,
}

impl EndpointTracker {
    /// Chooses among `ready`, leaving out those in `tried`. Requests with the same
    /// affinity go to the same few endpoints as long as these have no more to do than
    /// others; all else goes where least is under way, ties by a random number: most
    /// of hundreds of routers have nothing under way, and must not agree on one.
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

    /// Whether an endpoint is not avoided after failures, nor tried after a rest.
    pub fn is_healthy(&self, now: Millis, endpoint: &Registration) -> bool {
        self.observed(endpoint)
            .is_none_or(|observed| observed.avoid_until <= now && !observed.rest.is_probing(now))
    }

    /// Milliseconds for which an endpoint gets nothing because it asked for rest.
    pub fn rest_left(&self, now: Millis, endpoint: &Registration) -> Option<Millis> {
        self.observed(endpoint)?.rest.remaining(now)
    }

    /// Whether this start of an endpoint may have said that it leaves, rests or ends, and has
    /// not answered since.
    pub fn is_uncertain(&self, now: Millis, endpoint: &Registration) -> bool {
        let answered = self.observed(endpoint).map_or(0, |observed| observed.revivals);
        if answered < endpoint.revivals {
            return true;
        }
        start_address(endpoint).is_some_and(|start| self.unattributed.may_apply_to(now, start))
    }

    /// An answer came on a connection that was opened while this start was the latest known.
    pub fn record_notice(&mut self, now: Millis, endpoint: &Registration, notice: &Notice) {
        if endpoint.revivals > 0
            && let Some(observed) = self.observed_mut(&endpoint.id, endpoint.started_at_ms)
        {
            observed.revivals = observed.revivals.max(endpoint.revivals);
        }
        if let Some(start) = start_address(endpoint) {
            self.unattributed.record(now, start, notice);
        }
    }

    /// What answers said that later starts may have said.
    pub fn unattributed(&mut self) -> &mut UnattributedNotices {
        &mut self.unattributed
    }

    /// Milliseconds until the first of these endpoints ends its rest; none where one may be
    /// sent to now, or there are none.
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

    /// Whether an endpoint is cold and was sent this router's part of what it bears.
    fn is_too_cold(&self, now: Millis, endpoint: &Registration, cold: ColdLimit) -> bool {
        if endpoint.warmup_ms == 0 {
            return false;
        }
        let Some(allowance) = cold.allowance(&endpoint.id) else { return false };
        let lately = |at: &&Millis| **at + SENT_WINDOW_MS > now;
        // What was sent to the start before may have reached this one.
        let sent =
            self.observed.get(&endpoint.id).map_or(0, |o| o.sent.iter().filter(lately).count());
        sent >= allowance
    }

    /// What was seen of an endpoint since it started.
    fn observed(&self, endpoint: &Registration) -> Option<&ObservedEndpoint> {
        self.observed
            .get(&endpoint.id)
            .filter(|observed| observed.started_at_ms == endpoint.started_at_ms)
    }

    /// The same, to be changed; none of a start after which a later one was seen.
    fn observed_mut(&mut self, id: &str, started_at_ms: u64) -> Option<&mut ObservedEndpoint> {
        let observed = self.observed.entry(id.to_string()).or_default();
        if observed.started_at_ms < started_at_ms {
            // What was sent a moment ago may have reached this start, which is cold.
            let sent = std::mem::take(&mut observed.sent);
            *observed = ObservedEndpoint { started_at_ms, sent, ..ObservedEndpoint::default() };
        }
        (observed.started_at_ms == started_at_ms).then_some(observed)
    }

    /// A request was sent to an endpoint that started at `started_at_ms`.
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

    /// Its prompt has been read: the first event came.
    pub fn record_first_event(&mut self, id: &str, started_at_ms: u64, prompt_tokens: u32) {
        if let Some(observed) =
            self.observed.get_mut(id).filter(|observed| observed.started_at_ms == started_at_ms)
        {
            observed.prompt_tokens =
                observed.prompt_tokens.saturating_sub(u64::from(prompt_tokens));
        }
    }

    /// A request has ended.
    pub fn record_end(&mut self, id: &str, started_at_ms: u64) {
        if let Some(observed) =
            self.observed.get_mut(id).filter(|observed| observed.started_at_ms == started_at_ms)
        {
            observed.in_flight = observed.in_flight.saturating_sub(1);
            observed.rest.record_ended();
        }
    }

    /// A request was answered.
    pub fn record_success(&mut self, now: Millis, id: &str, started_at_ms: u64) {
        if let Some(observed) =
            self.observed.get_mut(id).filter(|observed| observed.started_at_ms == started_at_ms)
        {
            observed.failures = 0;
            observed.avoid_until = 0;
            observed.rest.record_served(now);
        }
    }

    /// It turned a request away and asked for so many milliseconds of rest.
    pub fn record_rest(&mut self, now: Millis, id: &str, started_at_ms: u64, time: Millis) {
        if let Some(observed) = self.observed_mut(id, started_at_ms) {
            observed.rest.extend(now, time);
        }
    }

    /// A request failed; returns for how long the endpoint is avoided.
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

    /// Forgets endpoints that are gone.
    pub fn forget(&mut self, id: &str) {
        if self.observed.get(id).is_some_and(|o| o.in_flight == 0) {
            self.observed.remove(id);
        }
    }
}

/// A start of an endpoint that can be reached.
fn start_address(endpoint: &Registration) -> Option<StartAddress<'_>> {
    let (id, started_at_ms) = (endpoint.id.as_str(), endpoint.started_at_ms);
    endpoint.address.map(|address| StartAddress { id, started_at_ms, address })
}

/// Rendezvous hashing: where requests of one kind go stays the same as endpoints
/// come and go.
fn rendezvous_rank(seed: u64, id: &str) -> u64 {
    let mut key = seed.to_be_bytes().to_vec();
    key.extend_from_slice(id.as_bytes());
    xxh3_64(&key)
}
