//! The fleet's placer as a state machine without I/O.

mod engine_set;

use std::collections::HashMap;

use slab::Slab;

use super::candidates::CandidateIndex;
use super::choice::{Best, Choice, Chooser, Engine, memory_tokens};
use super::engine::{RequestKey, reading_units};
use super::hall_breakers::HallBreakers;
use super::hall_regions::HallRegions;
use super::message::{
    Completion, FromPlacer, PlacementRequest, RestReport, RouterSnapshot, ToPlacer,
};
use super::parts::{EngineNumber, Matches, PartIndex};
use super::queue::Planned;
use super::refusal::{refusal_for_cold, refusal_of};
use super::router_requests::{PlacedRequests, RouterRequests};
use super::rules::PlacementRules;
use super::service_rates::ServiceRates;
use super::shares::{ShareUsage, Shares};
use crate::dispatch::Millis;
use crate::wire::HostId;

/// An answer to a router, with the values that it is based on.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The router.
    pub router: HostId,
    /// The answer.
    pub answer: FromPlacer,
    /// Milliseconds of prompts to read before this one, at the best engine.
    pub backlog_ms: f64,
    /// Milliseconds to read its own prompt there.
    pub own_ms: f64,
    /// The customer's received service divided by its share.
    pub ratio: f64,
    /// Number of engines that were weighed.
    pub weighed: usize,
}

/// Places the requests of all routers.
#[derive(Clone, Debug, Default)]
pub struct Placer {
    rules: PlacementRules,
    engines: Slab<Engine>,
    numbers: HashMap<String, EngineNumber>,
    index: CandidateIndex,
    parts: PartIndex,
    /// The tokens of the prompt being placed that each engine keeps.
    found: Matches,
    placed: PlacedRequests,
    shares: Shares,
    hall_regions: HallRegions,
    hall_breakers: HallBreakers,
    service_rates: ServiceRates,
}

impl Placer {
    /// A placer without engines.
    pub fn new(rules: PlacementRules) -> Placer {
        Placer { rules, ..Placer::default() }
    }

    /// Replaces the settings.
    pub fn set_rules(&mut self, rules: PlacementRules) {
        let before = std::mem::replace(&mut self.rules, rules);
        if before.reading_share == rules.reading_share {
            return;
        }
        for (number, engine) in &mut self.engines {
            engine.model.set_reading_share(rules.reading_share);
            self.index.update(number, engine);
        }
    }

    /// Sets the regions of data halls.
    pub fn set_hall_regions(&mut self, hall_regions: HallRegions) {
        self.hall_regions = hall_regions;
    }

    /// The number of an engine that has not restarted since `started_at_ms`.
    fn number_of(&self, endpoint: &str, started_at_ms: u64) -> Option<EngineNumber> {
        let number = *self.numbers.get(endpoint)?;
        (self.engines[number].started_at_ms == started_at_ms).then_some(number)
    }

    /// Sets the fraction of cold engines' capacity that this placer may use.
    pub fn set_cold_part(&mut self, fraction: f64) {
        self.rules.cold_part = fraction;
    }

    /// Sets the nominal capacity of all engines in units of service per second; 0 if it is not
    /// known.
    pub fn set_nominal(&mut self, units_per_second: u64) {
        self.shares.set_nominal(units_per_second);
    }

    /// Applies a message from a router.
    pub fn receive(&mut self, now: Millis, router: HostId, message: ToPlacer) -> Option<Decision> {
        match message {
            ToPlacer::Snapshot(snapshot) => self.apply_snapshot(now, router, snapshot),
            ToPlacer::Rest(rest) => self.record_rest(now, router, &rest),
            ToPlacer::Place(request) => return Some(self.place(now, router, request)),
            ToPlacer::FirstEvent { seq } => self.on_first_event(now, (router, seq)),
            ToPlacer::Done { seq, completion } => {
                self.on_completion(now, (router, seq), completion)
            }
        }
        None
    }

    /// Removes a router and all its requests.
    pub fn remove_router(&mut self, now: Millis, router: HostId) {
        let RouterRequests { placed, rests, .. } = self.placed.remove_router(router);
        for (seq, number) in placed {
            self.engines[number].model.remove_request(now, (router, seq));
            self.index.update(number, &self.engines[number]);
            self.remove_if_unused(number);
        }
        for number in rests {
            if let Some(engine) = self.engines.get_mut(number) {
                engine.rests.remove_router(router);
            }
        }
    }

    /// Applies the state that a router sends about placements decided by other placers.
    fn apply_snapshot(&mut self, now: Millis, router: HostId, snapshot: RouterSnapshot) {
        for kept in &snapshot.kept {
            if let Some(number) = self.number_of(&kept.endpoint, kept.started_at_ms) {
                self.touch_parts(number, &kept.parts);
                self.parts.set_read(number, &kept.parts);
            }
        }
        snapshot.rests.iter().for_each(|rest| self.record_rest(now, router, rest));
        for open in snapshot.open {
            let key = (router, open.seq);
            let Some(number) = self.number_of(&open.endpoint, open.started_at_ms) else { continue };
            if self.placed.engine_of(key).is_some() {
                continue;
            }
            let tokens = memory_tokens(&open.parts, open.prompt_tokens, open.output_tokens);
            let cached = self.parts.kept(number, &open.parts).min(open.prompt_tokens);
            self.touch_parts(number, &open.parts);
            let engine = &mut self.engines[number];
            if open.first_event_seen {
                self.parts.set_read(number, &open.parts);
                engine.model.add_running(key, tokens);
            } else {
                let units = reading_units(cached, open.prompt_tokens - cached);
                engine.queue.insert(0, Planned { units, latest_start: now as f64 });
                engine.model.record_sent(now, key, &open.parts, units, tokens);
            }
            engine.model.add_stream(key, open.pause_objective_ms, 0.0);
            self.index.update(number, engine);
            self.placed.insert(key, number);
        }
    }

    /// Records that an engine requested a rest from a router.
    fn record_rest(&mut self, now: Millis, router: HostId, rest: &RestReport) {
        if let Some(number) = self.number_of(&rest.endpoint, rest.started_at_ms) {
            self.engines[number].rests.record_rest(now, router, rest.time_ms.into());
            self.placed.record_rest(router, number);
        }
    }

    /// Records that an engine has read the parts or is about to read them.
    fn touch_parts(&mut self, number: EngineNumber, parts: &[(u64, u32)]) {
        let capacity = self.engines[number].model.usable_memory();
        self.parts.touch(number, parts, capacity);
    }

    fn on_first_event(&mut self, now: Millis, key: RequestKey) {
        let Some(number) = self.placed.engine_of(key) else { return };
        let engine = &mut self.engines[number];
        engine.rests.record_served(now, key.0);
        self.hall_breakers.record_success(self.placed.hall_of(key.0), &engine.hall);
        // Prompts read until now were read at the pace known before this event.
        engine.queue.advance(now, engine.model.pace(now));
        let first_event = engine.model.record_first_event(now, key);
        self.index.update(number, engine);
        let Some(first_event) = first_event else { return };
        self.parts.set_read(number, &first_event.parts);
        if let Some(observed) = first_event.observed {
            let service = engine.service.clone();
            if let Some(rate) = self.service_rates.observe(&service, observed) {
                self.apply_rate(&service, rate);
            }
        }
    }

    fn on_completion(&mut self, now: Millis, key: RequestKey, completion: Completion) {
        let Some(number) = self.placed.remove(key) else { return };
        let engine = &mut self.engines[number];
        let from = self.placed.hall_of(key.0);
        match completion {
            Completion::Failed => {
                engine.model.record_failure(now);
                if self.hall_breakers.record_failure(now, from, &engine.hall, number) {
                    log::warn!(
                        "placement: engines of data hall {} fail for routers of {from}, avoided",
                        engine.hall
                    );
                }
            }
            Completion::Replaced => engine.is_replaced = true,
            Completion::Served => {
                engine.model.record_success();
                engine.rests.record_served(now, key.0);
                self.hall_breakers.record_success(from, &engine.hall);
            }
            Completion::Abandoned => {}
        }
        engine.rests.record_end(key.0);
        engine.model.remove_request(now, key);
        self.index.update(number, engine);
        self.remove_if_unused(number);
    }

    fn place(&mut self, now: Millis, router: HostId, request: PlacementRequest) -> Decision {
        let key = (router, request.seq);
        let units = service_units(&request);
        if !request.demand_recorded {
            self.shares.record_demand(now, &request.customer, units);
        }
        let usage = self.shares.usage(&request.customer);
        let chosen = self.choose(now, router, &request, usage);
        let answer = match &chosen {
            None => self.answer_without_engine(now, router, &request, usage),
            Some((choice, _)) if !self.may_go_to(choice, &request) => {
                FromPlacer::Refuse { seq: key.1, refusal: refusal_of(choice, usage) }
            }
            Some((choice, _)) => {
                self.commit(now, key, &request, choice);
                self.shares.record_service(now, &request.customer, units);
                self.assignment(key.1, choice)
            }
        };
        let (backlog_ms, own_ms, weighed) = chosen.map_or((0.0, 0.0, 0), |(choice, weighed)| {
            (choice.position.wait_ms, choice.own_ms, weighed)
        });
        Decision { router, answer, backlog_ms, own_ms, ratio: usage.ratio, weighed }
    }

    /// The engine for a request, and the number of engines that were weighed.
    fn choose(
        &mut self,
        now: Millis,
        router: HostId,
        request: &PlacementRequest,
        usage: ShareUsage,
    ) -> Option<(Choice, usize)> {
        // Differs from one request to the next.
        let start = u64::from(router.0).wrapping_add(request.seq);
        self.parts.find(&request.parts, start, &mut self.found);
        let Best { engine: number, weighed } = self.chooser(now, router, request).best(request)?;
        let engine = &mut self.engines[number];
        engine.queue.advance(now, engine.model.pace(now));
        let choice = self.chooser(now, router, request).evaluate(number, request, usage)?;
        Some((choice, weighed))
    }

    /// Whether a request is sent to the engine chosen for it, rather than refused.
    fn may_go_to(&self, choice: &Choice, request: &PlacementRequest) -> bool {
        let prefers_retry = request.has_alternative && !self.has_room(choice.engine, request);
        choice.is_allowed() && !prefers_retry
    }

    fn assignment(&self, seq: u64, choice: &Choice) -> FromPlacer {
        let id = |number: EngineNumber| self.engines[number].id.clone();
        FromPlacer::Go {
            seq,
            endpoint: id(choice.engine),
            started_at_ms: self.engines[choice.engine].started_at_ms,
            copy_from: choice.copy.map(|copy| id(copy.from)),
        }
    }

    fn answer_without_engine(
        &self,
        now: Millis,
        router: HostId,
        request: &PlacementRequest,
        usage: ShareUsage,
    ) -> FromPlacer {
        let seq = request.seq;
        match self.chooser(now, router, request).until_cold_engine_is_free(request) {
            Some(wait_ms) => FromPlacer::Refuse { seq, refusal: refusal_for_cold(wait_ms, usage) },
            None => FromPlacer::Unknown { seq },
        }
    }

    fn has_room(&self, engine: EngineNumber, request: &PlacementRequest) -> bool {
        let PlacementRequest { parts, prompt_tokens, output_tokens, .. } = request;
        let tokens = memory_tokens(parts, *prompt_tokens, *output_tokens);
        self.engines.get(engine).is_some_and(|engine| engine.model.has_room(tokens))
    }

    fn chooser(&self, now: Millis, router: HostId, request: &PlacementRequest) -> Chooser<'_> {
        let long_rate = self.service_rates.long(&request.service).unwrap_or(f64::MAX);
        let Placer { rules, engines, index, found, .. } = self;
        let from_region = self.hall_regions.region_of(request);
        let avoided_halls = self.hall_breakers.avoided_from(now, &request.hall);
        Chooser { rules, engines, index, found, router, from_region, avoided_halls, long_rate, now }
    }

    /// Records that a request is sent to an engine.
    fn commit(&mut self, now: Millis, key: RequestKey, request: &PlacementRequest, to: &Choice) {
        let PlacementRequest { parts, prompt_tokens, output_tokens, .. } = request;
        let tokens = memory_tokens(parts, *prompt_tokens, *output_tokens);
        let planned = Planned { units: to.units, latest_start: to.latest_start };
        self.touch_parts(to.engine, parts);
        let engine = &mut self.engines[to.engine];
        engine.queue.insert(to.position.index, planned);
        engine.model.record_sent(now, key, parts, planned.units, tokens);
        engine.model.add_stream(key, request.pause_objective_ms, to.pause_ms);
        engine.cold_limiter.record_sent(now);
        engine.rests.record_sent(now, key.0);
        self.index.update(to.engine, engine);
        self.hall_breakers.record_sent(now, &request.hall, &engine.hall);
        self.placed.set_hall(key.0, &request.hall);
        self.placed.insert(key, to.engine);
    }
}

/// Units of service: an input token counts one, an output token two.
fn service_units(request: &PlacementRequest) -> u64 {
    u64::from(request.prompt_tokens) + 2 * u64::from(request.output_tokens)
}
