//! The fleet's placer as a state machine without I/O.

use std::collections::HashMap;

use slab::Slab;

use super::choice::{Choice, Chooser, Engine, memory_tokens};
use super::cold_limiter::ColdLimiter;
use super::engine::{Observation, RequestKey, reading_units};
use super::engines::EngineInfo;
use super::hall_regions::HallRegions;
use super::message::{
    Completion, FromPlacer, PlacementRequest, Refusal, RestReport, RouterSnapshot, ToPlacer,
};
use super::parts::{EngineNumber, Match, PartIndex};
use super::pauses::LONG_READING_UNITS;
use super::queue::Planned;
use super::rate::ReadingRate;
use super::rules::PlacementRules;
use super::shares::{ShareUsage, Shares};
use crate::dispatch::Millis;
use crate::wire::HostId;

/// Shortest and longest retry delay of a refusal, in milliseconds.
const RETRY_MS: (f64, f64) = (60.0, 3_000.0);
/// Weight of the earlier observations of a service's reading rate at each new one: an average over
/// some 200 prompts, so that one slow engine changes it little.
const RATE_DECAY: f64 = 0.995;
/// Relative change of a service's reading rate from which on it is applied to the engines.
const MIN_RATE_CHANGE: f64 = 0.05;

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
}

/// Places the requests of all routers.
#[derive(Clone, Debug, Default)]
pub struct Placer {
    rules: PlacementRules,
    engines: Slab<Engine>,
    numbers: HashMap<String, EngineNumber>,
    parts: PartIndex,
    /// The tokens of the prompt being placed that each engine keeps, by engine number.
    found: Vec<Match>,
    placed: HashMap<RequestKey, EngineNumber>,
    shares: Shares,
    hall_regions: HallRegions,
    service_rates: HashMap<String, ServiceRates>,
}

/// How fast the engines of a service read.
#[derive(Clone, Copy, Debug)]
struct ServiceRates {
    overall: ReadingRate,
    /// The initial rate last given to its engines, in units per millisecond.
    applied: f64,
    /// The rate at which long prompts are read.
    long: ReadingRate,
}

impl Placer {
    /// A placer without engines.
    pub fn new(rules: PlacementRules) -> Placer {
        Placer { rules, ..Placer::default() }
    }

    /// Replaces the settings.
    pub fn set_rules(&mut self, rules: PlacementRules) {
        self.rules = rules;
        for (_, engine) in &mut self.engines {
            engine.model.set_reading_share(rules.reading_share);
        }
    }

    /// Sets the regions of data halls.
    pub fn set_hall_regions(&mut self, hall_regions: HallRegions) {
        self.hall_regions = hall_regions;
    }

    /// Sets the engines that accept requests now. Others keep the requests already sent to them.
    pub fn set_engines(&mut self, now: Millis, engines: Vec<EngineInfo>) {
        for (_, engine) in &mut self.engines {
            engine.is_ready = false;
        }
        for mut info in engines {
            let earlier = self.remove_earlier_start(&info);
            info.rate = self.initial_rate(&info.service, info.rate);
            match self.numbers.get(&info.id) {
                Some(number) => {
                    let known = &mut self.engines[*number];
                    known.model.set_initial_rate(info.rate);
                    known.cold_limiter.update(
                        now,
                        info.cold_per_second,
                        info.registration_seq,
                        info.warmup_ms,
                    );
                    known.is_ready = true;
                }
                None => {
                    let id = info.id.clone();
                    let mut engine = Engine::new(now, info, self.rules.reading_share);
                    if let Some(earlier) = earlier {
                        engine.cold_limiter.inherit_sent(earlier);
                    }
                    self.numbers.insert(id, self.engines.insert(engine));
                }
            }
        }
        let (parts, numbers) = (&mut self.parts, &mut self.numbers);
        self.engines.retain(|number, engine| {
            let is_kept = engine.is_ready || engine.model.requests() > 0;
            if !is_kept {
                parts.remove_engine(number);
                numbers.remove(&engine.id);
            }
            is_kept
        });
        let len = self.numbers.values().max().map_or(0, |number| number + 1);
        self.found.resize(len, Match::default());
    }

    /// Removes an engine that has restarted: the requests sent to the earlier start have ended, and
    /// the new process keeps no prompt parts. Returns the requests recently sent to the earlier
    /// start, as its cold limiter.
    fn remove_earlier_start(&mut self, info: &EngineInfo) -> Option<ColdLimiter> {
        let number = *self.numbers.get(&info.id)?;
        if self.engines[number].started_at_ms == info.started_at_ms {
            return None;
        }
        let earlier = self.engines.remove(number);
        self.numbers.remove(&info.id);
        self.parts.remove_engine(number);
        self.placed.retain(|_, at| *at != number);
        Some(earlier.cold_limiter)
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
        self.placed.retain(|key, _| key.0 != router);
        for (_, engine) in &mut self.engines {
            engine.model.remove_router(now, router);
            engine.rests.remove_router(router);
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
            if self.placed.contains_key(&key) {
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
            self.placed.insert(key, number);
        }
    }

    /// Records that an engine requested a rest from a router.
    fn record_rest(&mut self, now: Millis, router: HostId, rest: &RestReport) {
        if let Some(number) = self.number_of(&rest.endpoint, rest.started_at_ms) {
            self.engines[number].rests.record_rest(now, router, rest.time_ms.into());
        }
    }

    /// Records that an engine has read the parts or is about to read them.
    fn touch_parts(&mut self, number: EngineNumber, parts: &[(u64, u32)]) {
        let capacity = self.engines[number].model.usable_memory();
        self.parts.touch(number, parts, capacity);
    }

    fn on_first_event(&mut self, now: Millis, key: RequestKey) {
        let Some(number) = self.placed.get(&key).copied() else { return };
        let engine = &mut self.engines[number];
        engine.rests.record_served(now, key.0);
        // Prompts read until now were read at the pace known before this event.
        engine.queue.advance(now, engine.model.pace(now));
        let Some(first_event) = engine.model.record_first_event(now, key) else { return };
        self.parts.set_read(number, &first_event.parts);
        if let Some(observed) = first_event.observed {
            let service = engine.service.clone();
            self.observe_rate(&service, observed);
        }
    }

    /// Updates the reading rate of a service, which is the initial rate of engines that have read
    /// little; with thousands of engines that is most of them. The nominal tokens of a fleet
    /// divided by the number of its engines may be off by a factor of ten and more. Idle engines
    /// then look slow and requests are refused: 226 of 250 in `tests/rate.rs` without this update,
    /// none with it.
    fn observe_rate(&mut self, service: &str, observed: Observation) {
        let Some(rates) = self.service_rates.get_mut(service) else { return };
        rates.overall.observe(observed.units, observed.ms);
        if observed.units >= LONG_READING_UNITS {
            rates.long.observe(observed.units, observed.ms);
        }
        let rate = rates.overall.get();
        if (rate / rates.applied - 1.0).abs() < MIN_RATE_CHANGE {
            return;
        }
        rates.applied = rate;
        for (_, engine) in self.engines.iter_mut().filter(|(_, e)| e.service == service) {
            engine.model.set_initial_rate(rate);
        }
    }

    /// The initial reading rate of an engine of a service, from the observations of its other
    /// engines.
    fn initial_rate(&mut self, service: &str, nominal: f64) -> f64 {
        let rate = ReadingRate::new(nominal, RATE_DECAY);
        let new = || ServiceRates { overall: rate, applied: nominal, long: rate };
        let rates = self.service_rates.entry(service.to_string()).or_insert_with(new);
        rates.overall.set_initial(nominal);
        rates.applied = rates.overall.get();
        rates.applied
    }

    fn on_completion(&mut self, now: Millis, key: RequestKey, completion: Completion) {
        let Some(number) = self.placed.remove(&key) else { return };
        let engine = &mut self.engines[number];
        match completion {
            Completion::Failed => engine.model.record_failure(now),
            Completion::Replaced => engine.is_replaced = true,
            Completion::Served => engine.rests.record_served(now, key.0),
            Completion::Abandoned => {}
        }
        engine.rests.record_end(key.0);
        engine.model.remove_request(now, key);
    }

    fn place(&mut self, now: Millis, router: HostId, request: PlacementRequest) -> Decision {
        let key = (router, request.seq);
        let units = service_units(&request);
        if !request.demand_recorded {
            self.shares.record_demand(now, &request.customer, units);
        }
        let usage = self.shares.usage(&request.customer);
        let Some(choice) = self.choose(now, router, &request, usage) else {
            let answer =
                match self.chooser(now, router, &request).until_cold_engine_is_free(&request) {
                    Some(wait_ms) => refuse_for_cold(key.1, wait_ms, usage),
                    None => FromPlacer::Unknown { seq: key.1 },
                };
            let (backlog_ms, own_ms) = (0.0, 0.0);
            return Decision { router, answer, backlog_ms, own_ms, ratio: usage.ratio };
        };
        let prefers_retry = request.has_alternative && !self.has_room(choice.engine, &request);
        if !choice.is_allowed() || prefers_retry {
            return refuse(key, &choice, usage);
        }
        let id = |number: EngineNumber| self.engines[number].id.clone();
        let answer = FromPlacer::Go {
            seq: key.1,
            endpoint: id(choice.engine),
            started_at_ms: self.engines[choice.engine].started_at_ms,
            copy_from: choice.copy.map(|copy| id(copy.from)),
        };
        self.commit(now, key, &request, &choice);
        self.shares.record_service(now, &request.customer, units);
        let (backlog_ms, own_ms) = (choice.position.wait_ms, choice.own_ms);
        Decision { router, answer, backlog_ms, own_ms, ratio: usage.ratio }
    }

    fn choose(
        &mut self,
        now: Millis,
        router: HostId,
        request: &PlacementRequest,
        usage: ShareUsage,
    ) -> Option<Choice> {
        self.parts.find(&request.parts, &mut self.found);
        let number = self.chooser(now, router, request).best(request)?;
        let engine = &mut self.engines[number];
        engine.queue.advance(now, engine.model.pace(now));
        self.chooser(now, router, request).evaluate(number, request, usage)
    }

    fn has_room(&self, engine: EngineNumber, request: &PlacementRequest) -> bool {
        let PlacementRequest { parts, prompt_tokens, output_tokens, .. } = request;
        let tokens = memory_tokens(parts, *prompt_tokens, *output_tokens);
        self.engines.get(engine).is_some_and(|engine| engine.model.has_room(tokens))
    }

    fn chooser(&self, now: Millis, router: HostId, request: &PlacementRequest) -> Chooser<'_> {
        let rates = self.service_rates.get(&request.service);
        let long_rate = rates.map_or(f64::MAX, |rates| rates.long.get());
        let Placer { rules, engines, found, hall_regions, .. } = self;
        let from_region = hall_regions.region_of(request);
        Chooser { rules, engines, found, router, from_region, long_rate, now }
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
        self.placed.insert(key, to.engine);
    }
}

fn refuse(key: RequestKey, choice: &Choice, usage: ShareUsage) -> Decision {
    let (min, max) = RETRY_MS;
    let (backlog_ms, allowed_ms, own_ms) =
        (choice.position.wait_ms, choice.allowed_ms, choice.own_ms);
    let refusal = Refusal {
        retry_after_ms: (backlog_ms - allowed_ms + own_ms).clamp(min, max) as u32,
        backlog_ms: backlog_ms as u32,
        allowed_ms: allowed_ms as u32,
        own_ms: own_ms as u32,
        share_percent: (usage.ratio * 100.0) as u32,
    };
    let answer = FromPlacer::Refuse { seq: key.1, refusal };
    Decision { router: key.0, answer, backlog_ms, own_ms, ratio: usage.ratio }
}

/// Refuses a request because all candidates are cold and have been sent what they can handle; retry
/// when one may be sent more.
fn refuse_for_cold(seq: u64, wait_ms: Millis, usage: ShareUsage) -> FromPlacer {
    let (min, max) = RETRY_MS;
    let refusal = Refusal {
        retry_after_ms: (wait_ms as f64).clamp(min, max) as u32,
        backlog_ms: wait_ms as u32,
        share_percent: (usage.ratio * 100.0) as u32,
        ..Refusal::default()
    };
    FromPlacer::Refuse { seq, refusal }
}

/// Units of service: an input token counts one, an output token two.
fn service_units(request: &PlacementRequest) -> u64 {
    u64::from(request.prompt_tokens) + 2 * u64::from(request.output_tokens)
}
