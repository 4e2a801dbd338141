//! The placer of a fleet, as a state machine without I/O.

use std::collections::HashMap;

use slab::Slab;

use super::choice::{Choice, Chooser, Engine, memory_tokens};
use super::distance::Distances;
use super::engine::{Observation, RequestKey, reading_units};
use super::engines::EngineInfo;
use super::message::{
    Completion, FromPlacer, Knowledge, PlacementRequest, Refusal, RestTold, ToPlacer,
};
use super::parts::{EngineNumber, Match, PartIndex};
use super::pauses::LONG_READING_UNITS;
use super::queue::Planned;
use super::rate::ReadingRate;
use super::rules::PlacementRules;
use super::shares::{Shares, Standing};
use super::warmth::Warmth;
use crate::dispatch::Millis;
use crate::wire::HostId;

/// Shortest and longest time to come back after, in milliseconds.
const RETRY_MS: (f64, f64) = (60.0, 3_000.0);
/// Weight of what was learnt before of a service, at each new observation: some 200
/// prompts are remembered, so that one slow engine moves little.
const MEMORY: f64 = 0.995;
/// Part by which a service's rate must move before its engines are told.
const LEAST_MOVE: f64 = 0.05;

/// An answer to a router, with what decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The router.
    pub router: HostId,
    /// What it is told.
    pub answer: FromPlacer,
    /// Milliseconds of prompts to read before this one, at the best engine.
    pub backlog_ms: f64,
    /// Milliseconds to read its own prompt there.
    pub own_ms: f64,
    /// The customer's service received over its share.
    pub ratio: f64,
}

/// Decides for all routers where requests go.
#[derive(Clone, Debug, Default)]
pub struct Placer {
    rules: PlacementRules,
    engines: Slab<Engine>,
    numbers: HashMap<String, EngineNumber>,
    parts: PartIndex,
    /// What each engine keeps of the prompt that is being placed, by its number.
    found: Vec<Match>,
    placed: HashMap<RequestKey, EngineNumber>,
    shares: Shares,
    distances: Distances,
    paces: HashMap<String, ServicePace>,
}

/// How fast the engines of a service read.
#[derive(Clone, Copy, Debug)]
struct ServicePace {
    learnt: ReadingRate,
    /// The rate that its engines start from.
    told: f64,
    /// How fast long prompts are read.
    long: ReadingRate,
}

impl Placer {
    /// A placer that knows no engine yet.
    pub fn new(rules: PlacementRules) -> Placer {
        Placer { rules, ..Placer::default() }
    }

    /// What to aim at from now on.
    pub fn set_rules(&mut self, rules: PlacementRules) {
        self.rules = rules;
        for (_, engine) in &mut self.engines {
            engine.model.set_reading_share(rules.reading_share);
        }
    }

    /// What lies between data halls.
    pub fn set_distances(&mut self, distances: Distances) {
        self.distances = distances;
    }

    /// The engines that take work now. Others keep what was sent to them.
    pub fn set_engines(&mut self, now: Millis, engines: Vec<EngineInfo>) {
        for (_, engine) in &mut self.engines {
            engine.open = false;
        }
        for mut info in engines {
            let earlier = self.forget_earlier_start(&info);
            info.rate = self.guess(&info.service, info.rate);
            match self.numbers.get(&info.id) {
                Some(number) => {
                    let known = &mut self.engines[*number];
                    known.model.set_guess(info.rate);
                    known.warmth.learn(now, info.cold_per_second, info.call, info.warmup_ms);
                    known.open = true;
                }
                None => {
                    let id = info.id.clone();
                    let mut engine = Engine::new(now, info, self.rules.reading_share);
                    if let Some(earlier) = earlier {
                        engine.warmth.started_after(earlier);
                    }
                    self.numbers.insert(id, self.engines.insert(engine));
                }
            }
        }
        let (parts, numbers) = (&mut self.parts, &mut self.numbers);
        self.engines.retain(|number, engine| {
            let stays = engine.open || engine.model.requests() > 0;
            if !stays {
                parts.forget(number);
                numbers.remove(&engine.id);
            }
            stays
        });
        let most = self.numbers.values().max().map_or(0, |number| number + 1);
        self.found.resize(most, Match::default());
    }

    /// Forgets an engine that has started again: what was sent to the earlier start has
    /// ended, and the new one keeps nothing. Returns how warm the earlier start was.
    fn forget_earlier_start(&mut self, info: &EngineInfo) -> Option<Warmth> {
        let number = *self.numbers.get(&info.id)?;
        if self.engines[number].started_at_ms == info.started_at_ms {
            return None;
        }
        let earlier = self.engines.remove(number);
        self.numbers.remove(&info.id);
        self.parts.forget(number);
        self.placed.retain(|_, at| *at != number);
        Some(earlier.warmth)
    }

    /// The number of an engine that has not started again since `started_at_ms`.
    fn number_of(&self, endpoint: &str, started_at_ms: u64) -> Option<EngineNumber> {
        let number = *self.numbers.get(endpoint)?;
        (self.engines[number].started_at_ms == started_at_ms).then_some(number)
    }

    /// Part of what cold engines bear that this placer may send them from now on.
    pub fn set_cold_part(&mut self, part: f64) {
        self.rules.cold_part = part;
    }

    /// What all engines are meant to do in a second, in units of service; 0 where that
    /// is not known.
    pub fn set_nominal(&mut self, units_per_second: u64) {
        self.shares.set_nominal(units_per_second);
    }

    /// Takes a message from a router.
    pub fn receive(&mut self, now: Millis, router: HostId, message: ToPlacer) -> Option<Decision> {
        match message {
            ToPlacer::Known(knowledge) => self.learn(now, router, knowledge),
            ToPlacer::Rest(rest) => self.rest(now, router, &rest),
            ToPlacer::Place(request) => return Some(self.place(now, router, request)),
            ToPlacer::Begun { seq } => self.begun(now, (router, seq)),
            ToPlacer::Done { seq, completion } => self.done(now, (router, seq), completion),
        }
        None
    }

    /// A router is gone, and all its requests with it.
    pub fn lost(&mut self, now: Millis, router: HostId) {
        self.placed.retain(|key, _| key.0 != router);
        for (_, engine) in &mut self.engines {
            engine.model.drop_router(now, router);
            engine.rests.lost(router);
        }
    }

    /// Takes in what a router knows from placements that others decided.
    fn learn(&mut self, now: Millis, router: HostId, knowledge: Knowledge) {
        for kept in &knowledge.kept {
            if let Some(number) = self.number_of(&kept.endpoint, kept.started_at_ms) {
                self.keep(number, &kept.parts);
                self.parts.set_read(number, &kept.parts);
            }
        }
        knowledge.rests.iter().for_each(|rest| self.rest(now, router, rest));
        for open in knowledge.open {
            let key = (router, open.seq);
            let Some(number) = self.number_of(&open.endpoint, open.started_at_ms) else { continue };
            if self.placed.contains_key(&key) {
                continue;
            }
            let tokens = memory_tokens(&open.parts, open.prompt_tokens, open.output_tokens);
            let cached = self.parts.kept(number, &open.parts).min(open.prompt_tokens);
            self.keep(number, &open.parts);
            let engine = &mut self.engines[number];
            if open.begun {
                self.parts.set_read(number, &open.parts);
                engine.model.adopt_running(key, tokens);
            } else {
                let units = reading_units(cached, open.prompt_tokens - cached);
                engine.queue.insert(0, Planned { units, latest_start: now as f64 });
                engine.model.send(now, key, &open.parts, units, tokens);
            }
            engine.model.promise(key, open.pause_objective_ms, 0.0);
            self.placed.insert(key, number);
        }
    }

    /// An engine wants nothing from a router for a while.
    fn rest(&mut self, now: Millis, router: HostId, rest: &RestTold) {
        if let Some(number) = self.number_of(&rest.endpoint, rest.started_at_ms) {
            self.engines[number].rests.ask(now, router, rest.time_ms.into());
        }
    }

    /// An engine has read the parts, or is about to.
    fn keep(&mut self, number: EngineNumber, parts: &[(u64, u32)]) {
        let capacity = self.engines[number].model.usable_memory();
        self.parts.touch(number, parts, capacity);
    }

    fn begun(&mut self, now: Millis, key: RequestKey) {
        let Some(number) = self.placed.get(&key).copied() else { return };
        let engine = &mut self.engines[number];
        engine.rests.served(now, key.0);
        // What it has read by now was read at the pace known before.
        engine.queue.advance(now, engine.model.pace(now));
        let Some(begun) = engine.model.begun(now, key) else { return };
        self.parts.set_read(number, &begun.parts);
        if let Some(observed) = begun.observed {
            let service = engine.service.clone();
            self.observe(&service, observed);
        }
    }

    /// What one engine of a service reads is the guess for those that have read little:
    /// with thousands of engines most have. The nominal tokens of a fleet over the
    /// number of its engines may be off by ten and more; then idle engines look slow and
    /// requests are refused (226 of 250 in `tests/rate.rs` without this, none with it).
    fn observe(&mut self, service: &str, observed: Observation) {
        let Some(pace) = self.paces.get_mut(service) else { return };
        pace.learnt.observe(observed.units, observed.ms);
        if observed.units >= LONG_READING_UNITS {
            pace.long.observe(observed.units, observed.ms);
        }
        let rate = pace.learnt.get();
        if (rate / pace.told - 1.0).abs() < LEAST_MOVE {
            return;
        }
        pace.told = rate;
        for (_, engine) in self.engines.iter_mut().filter(|(_, e)| e.service == service) {
            engine.model.set_guess(rate);
        }
    }

    /// The guess for an engine of a service, as learnt from the others.
    fn guess(&mut self, service: &str, nominal: f64) -> f64 {
        let rate = ReadingRate::new(nominal, MEMORY);
        let new = || ServicePace { learnt: rate, told: nominal, long: rate };
        let pace = self.paces.entry(service.to_string()).or_insert_with(new);
        pace.learnt.set_guess(nominal);
        pace.told = pace.learnt.get();
        pace.told
    }

    fn done(&mut self, now: Millis, key: RequestKey, completion: Completion) {
        let Some(number) = self.placed.remove(&key) else { return };
        let engine = &mut self.engines[number];
        match completion {
            Completion::Failed => engine.model.failed(now),
            Completion::Replaced => engine.is_gone = true,
            Completion::Served => engine.rests.served(now, key.0),
            Completion::Abandoned => {}
        }
        engine.rests.ended(key.0);
        engine.model.ended(now, key);
    }

    fn place(&mut self, now: Millis, router: HostId, request: PlacementRequest) -> Decision {
        let key = (router, request.seq);
        let units = units(&request);
        if !request.demand_recorded {
            self.shares.asked(now, &request.customer, units);
        }
        let standing = self.shares.standing(&request.customer);
        let Some(choice) = self.choose(now, router, &request, standing) else {
            let answer = match self.chooser(now, router, &request).until_one_is_free(&request) {
                Some(wait_ms) => refuse_for_cold(key.1, wait_ms, standing),
                None => FromPlacer::Unknown { seq: key.1 },
            };
            let (backlog_ms, own_ms) = (0.0, 0.0);
            return Decision { router, answer, backlog_ms, own_ms, ratio: standing.ratio };
        };
        let goes_elsewhere = request.has_alternative && !self.has_room(choice.engine, &request);
        if !choice.is_allowed() || goes_elsewhere {
            return refuse(key, &choice, standing);
        }
        let id = |number: EngineNumber| self.engines[number].id.clone();
        let answer = FromPlacer::Go {
            seq: key.1,
            endpoint: id(choice.engine),
            started_at_ms: self.engines[choice.engine].started_at_ms,
            copy_from: choice.copy.map(|copy| id(copy.from)),
        };
        self.commit(now, key, &request, &choice);
        self.shares.served(now, &request.customer, units);
        let (backlog_ms, own_ms) = (choice.position.wait_ms, choice.own_ms);
        Decision { router, answer, backlog_ms, own_ms, ratio: standing.ratio }
    }

    fn choose(
        &mut self,
        now: Millis,
        router: HostId,
        request: &PlacementRequest,
        standing: Standing,
    ) -> Option<Choice> {
        self.parts.find(&request.parts, &mut self.found);
        let number = self.chooser(now, router, request).best(request)?;
        let engine = &mut self.engines[number];
        engine.queue.advance(now, engine.model.pace(now));
        self.chooser(now, router, request).at(number, request, standing)
    }

    fn has_room(&self, engine: EngineNumber, request: &PlacementRequest) -> bool {
        let PlacementRequest { parts, prompt_tokens, output_tokens, .. } = request;
        let tokens = memory_tokens(parts, *prompt_tokens, *output_tokens);
        self.engines.get(engine).is_some_and(|engine| engine.model.has_room(tokens))
    }

    fn chooser(&self, now: Millis, router: HostId, request: &PlacementRequest) -> Chooser<'_> {
        let pace = self.paces.get(&request.service);
        let long_rate = pace.map_or(f64::MAX, |pace| pace.long.get());
        let Placer { rules, engines, found, distances, .. } = self;
        let from_region = distances.region_of(request);
        Chooser { rules, engines, found, router, from_region, long_rate, now }
    }

    /// A request goes to an engine.
    fn commit(&mut self, now: Millis, key: RequestKey, request: &PlacementRequest, to: &Choice) {
        let PlacementRequest { parts, prompt_tokens, output_tokens, .. } = request;
        let tokens = memory_tokens(parts, *prompt_tokens, *output_tokens);
        let planned = Planned { units: to.units, latest_start: to.latest_start };
        self.keep(to.engine, parts);
        let engine = &mut self.engines[to.engine];
        engine.queue.insert(to.position.index, planned);
        engine.model.send(now, key, parts, planned.units, tokens);
        engine.model.promise(key, request.pause_objective_ms, to.pause_ms);
        engine.warmth.sent(now);
        engine.rests.sent(now, key.0);
        self.placed.insert(key, to.engine);
    }
}

fn refuse(key: RequestKey, choice: &Choice, standing: Standing) -> Decision {
    let (least, most) = RETRY_MS;
    let (backlog_ms, allowed_ms, own_ms) =
        (choice.position.wait_ms, choice.allowed_ms, choice.own_ms);
    let refusal = Refusal {
        retry_after_ms: (backlog_ms - allowed_ms + own_ms).clamp(least, most) as u32,
        backlog_ms: backlog_ms as u32,
        allowed_ms: allowed_ms as u32,
        own_ms: own_ms as u32,
        share_percent: (standing.ratio * 100.0) as u32,
    };
    let answer = FromPlacer::Refuse { seq: key.1, refusal };
    Decision { router: key.0, answer, backlog_ms, own_ms, ratio: standing.ratio }
}

/// All engines are cold and have been sent what they bear: when one may get more.
fn refuse_for_cold(seq: u64, wait_ms: Millis, standing: Standing) -> FromPlacer {
    let (least, most) = RETRY_MS;
    let refusal = Refusal {
        retry_after_ms: (wait_ms as f64).clamp(least, most) as u32,
        backlog_ms: wait_ms as u32,
        share_percent: (standing.ratio * 100.0) as u32,
        ..Refusal::default()
    };
    FromPlacer::Refuse { seq, refusal }
}

/// Units of service: tokens read once, tokens made twice.
fn units(request: &PlacementRequest) -> u64 {
    u64::from(request.prompt_tokens) + 2 * u64::from(request.output_tokens)
}
