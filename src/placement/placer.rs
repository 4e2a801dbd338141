//! The placer of a fleet, as a state machine without I/O.

use std::collections::{BTreeMap, HashMap};

use super::choice::{Choice, Chooser, Engine, Standing, memory_tokens};
use super::engine::{EngineModel, FIXED_MS, RequestKey};
use super::message::{Ending, FromPlacer, Knowledge, PlacementRequest, Refusal, ToPlacer};
use super::queue::{Planned, Queue, Unsent};
use super::rules::PlacementRules;
use super::shares::Shares;
use crate::dispatch::Millis;
use crate::wire::HostId;

/// Shortest and longest time to come back after, in milliseconds.
const RETRY_MS: (f64, f64) = (60.0, 3_000.0);
/// Shortest and longest time after which queues are looked at again, in
/// milliseconds: a finer step costs more than it gains, and an engine that
/// stalls should not be noticed much later.
const POLL_MS: (f64, f64) = (2.0, 25.0);
/// Milliseconds beyond the moment that a request was promised after which its
/// router need not wait for the placer any more.
const PROMISE_SLACK_MS: f64 = 100.0;

/// What is known of an engine from its registration and the routing.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineInfo {
    /// The endpoint's id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// A guess of the tokens that it reads in a millisecond.
    pub rate: f64,
    /// Milliseconds to copy the memory of one token from another engine; none
    /// where engines cannot.
    pub copy_ms_per_token: Option<f64>,
}

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

/// Decides for all routers where requests go, and when.
#[derive(Clone, Debug, Default)]
pub struct Placer {
    rules: PlacementRules,
    engines: BTreeMap<String, Engine>,
    placed: HashMap<RequestKey, String>,
    shares: Shares,
}

impl Placer {
    /// A placer that knows no engine yet.
    pub fn new(rules: PlacementRules) -> Placer {
        Placer { rules, ..Placer::default() }
    }

    /// What to aim at from now on.
    pub fn set_rules(&mut self, rules: PlacementRules) {
        self.rules = rules;
        self.engines.values_mut().for_each(|e| e.model.set_reading_share(rules.reading_share));
    }

    /// The engines that take work now. Others keep what was sent to them.
    pub fn set_engines(&mut self, engines: Vec<EngineInfo>) {
        self.engines.values_mut().for_each(|engine| engine.open = false);
        let reading_share = self.rules.reading_share;
        for info in engines {
            let known = self.engines.entry(info.id).or_insert_with(|| Engine {
                service: info.service,
                model: EngineModel::new(info.slots, info.memory_tokens, info.rate, reading_share),
                queue: Queue::default(),
                copy_ms_per_token: info.copy_ms_per_token,
                open: true,
                is_gone: false,
            });
            known.model.set_guess(info.rate);
            known.open = true;
        }
        let has_work = |engine: &Engine| engine.model.requests() > 0 || !engine.queue.all_sent();
        self.engines.retain(|_, engine| engine.open || has_work(engine));
    }

    /// What all engines are meant to do in a second, in units of service; 0 where that
    /// is not known.
    pub fn set_nominal(&mut self, units_per_second: u64) {
        self.shares.set_nominal(units_per_second);
    }

    /// Takes a message from a router; returns what routers are to be told.
    pub fn receive(&mut self, now: Millis, router: HostId, message: ToPlacer) -> Vec<Decision> {
        match message {
            ToPlacer::Known(knowledge) => self.learn(now, router, knowledge),
            ToPlacer::Place(request) => return self.place(now, router, request),
            ToPlacer::Begun { seq } => {
                if let Some(engine) = self.engine_of((router, seq)) {
                    engine.model.begun(now, (router, seq));
                }
            }
            ToPlacer::Done { seq, ending } => self.done(now, (router, seq), ending),
        }
        self.poll(now)
    }

    /// Sends what engines have come to, and finds other engines for what waits at
    /// one that has failed; to be called again after `next_poll_ms`.
    pub fn poll(&mut self, now: Millis) -> Vec<Decision> {
        let mut decisions = self.move_from_unfit(now);
        let ahead = self.rules.send_ahead_ms;
        for (id, engine) in &mut self.engines {
            while !engine.queue.all_sent() && engine.model.backlog_ms(now) <= ahead {
                decisions.extend(send_next(now, id, engine));
            }
        }
        decisions
    }

    /// Milliseconds until an engine should be sent more; none while nothing waits.
    pub fn next_poll_ms(&self, now: Millis) -> Option<f64> {
        let ahead = self.rules.send_ahead_ms;
        let waiting = self.engines.values().filter(|engine| !engine.queue.all_sent());
        let due = waiting.map(|engine| engine.model.backlog_ms(now) - ahead);
        let (least, most) = POLL_MS;
        due.min_by(f64::total_cmp).map(|ms| ms.clamp(least, most))
    }

    /// A router is gone, and all its requests with it.
    pub fn lost(&mut self, now: Millis, router: HostId) {
        self.placed.retain(|key, _| key.0 != router);
        for engine in self.engines.values_mut() {
            engine.model.drop_router(now, router);
            engine.queue.remove_router(router);
        }
    }

    /// Takes in what a router knows from placements that others decided.
    fn learn(&mut self, now: Millis, router: HostId, knowledge: Knowledge) {
        for kept in &knowledge.kept {
            if let Some(engine) = self.engines.get_mut(&kept.endpoint) {
                engine.model.keep(&kept.parts);
            }
        }
        for open in knowledge.open {
            let key = (router, open.seq);
            if self.placed.contains_key(&key) {
                continue;
            }
            let Some(engine) = self.engines.get_mut(&open.endpoint) else { continue };
            let tokens = memory_tokens(&open.parts, open.prompt_tokens, open.output_tokens);
            match open.begun {
                true => engine.model.adopt_running(key, &open.parts, tokens),
                false => {
                    let units = engine.model.own_units(&open.parts, open.prompt_tokens, 0);
                    let latest_start = now as f64;
                    let sent = Planned { key, units, latest_start, unsent: None };
                    engine.queue.insert(0, sent);
                    engine.model.reserve(&open.parts);
                    engine.model.send(now, key, &open.parts, units, tokens);
                }
            }
            self.placed.insert(key, open.endpoint);
        }
    }

    fn done(&mut self, now: Millis, key: RequestKey, ending: Ending) {
        if let Some(engine) = self.engine_of(key)
            && !engine.queue.remove_unsent(key)
        {
            match ending {
                Ending::Failed => engine.model.failed(now),
                Ending::Replaced => engine.is_gone = true,
                Ending::Served | Ending::Abandoned => {}
            }
            engine.model.ended(now, key);
        }
        self.placed.remove(&key);
    }

    fn engine_of(&mut self, key: RequestKey) -> Option<&mut Engine> {
        let id = self.placed.get(&key)?;
        self.engines.get_mut(id)
    }

    fn place(&mut self, now: Millis, router: HostId, request: PlacementRequest) -> Vec<Decision> {
        let units = units(&request);
        let customer = request.customer.clone();
        self.shares.asked(now, &customer, units);
        let key = (router, request.seq);
        for engine in self.engines.values_mut() {
            engine.queue.advance(now, engine.model.pace(now));
        }
        if let Err(refused) = self.enqueue(now, key, request) {
            return vec![refused];
        }
        self.shares.served(now, &customer, units);
        let mut decisions = self.poll(now);
        decisions.extend(self.still_waiting(now, key));
        decisions
    }

    /// Puts a request into the queue of the best engine, or refuses it.
    fn enqueue(
        &mut self,
        now: Millis,
        key: RequestKey,
        request: PlacementRequest,
    ) -> Result<(), Decision> {
        let seq = request.seq;
        let standing = Standing {
            ratio: self.shares.ratio(&request.customer),
            fulfilment: self.shares.fulfilment(&request.customer),
            relative: self.shares.relative(&request.customer),
        };
        let chooser = Chooser { rules: &self.rules, engines: &self.engines, now };
        let Some(choice) = chooser.choose(&request, standing) else {
            let answer = FromPlacer::Unknown { seq };
            let ratio = standing.ratio;
            return Err(Decision { router: key.0, answer, backlog_ms: 0.0, own_ms: 0.0, ratio });
        };
        if !choice.is_allowed() {
            return Err(refuse(key, &choice, standing));
        }
        let Choice { units, latest_start, position, .. } = choice;
        let promised = latest_start.max(now as f64 + choice.allowed_ms);
        let limit = if standing.is_above() { f64::INFINITY } else { promised };
        let copy_from = choice.copy.map(|copy| copy.from.to_string());
        let id = choice.id.to_string();
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.model.reserve(&request.parts);
            let unsent = Some(Unsent { request, copy_from, limit });
            let planned = Planned { key, units, latest_start, unsent };
            engine.queue.insert(position.index, planned);
            self.placed.insert(key, id);
        }
        Ok(())
    }

    /// Tells a router that its request waits, and for how long at most.
    fn still_waiting(&self, now: Millis, key: RequestKey) -> Option<Decision> {
        let engine = self.engines.get(self.placed.get(&key)?)?;
        let waiting = engine.queue.unsent(key)?;
        let objective = f64::from(waiting.request.objective_ms);
        let within_ms = (waiting.limit - now as f64).clamp(0.0, objective) + PROMISE_SLACK_MS;
        let answer = FromPlacer::Queued { seq: key.1, within_ms: within_ms as u32 };
        let (router, backlog_ms) = (key.0, engine.model.backlog_ms(now));
        Some(Decision { router, answer, backlog_ms, own_ms: 0.0, ratio: 0.0 })
    }

    /// Finds other engines for all that waits at engines that have failed, stalled
    /// or left.
    fn move_from_unfit(&mut self, now: Millis) -> Vec<Decision> {
        let unfit = |engine: &&mut Engine| !engine.queue.all_sent() && engine.is_unfit(now);
        let engines = self.engines.values_mut().filter(unfit);
        let moved: Vec<_> = engines.flat_map(|engine| engine.queue.take_unsent()).collect();
        let moves = moved.into_iter().map(|planned| self.move_one(now, planned));
        moves.filter_map(Result::err).collect()
    }

    fn move_one(&mut self, now: Millis, planned: Planned) -> Result<(), Decision> {
        let Planned { key, latest_start, unsent, .. } = planned;
        let Some(Unsent { mut request, .. }) = unsent else { return Ok(()) };
        self.placed.remove(&key);
        // Of its objective as much is left as it was short of its latest start.
        let left_ms = (latest_start - now as f64).max(0.0) as u32;
        request.objective_ms = request.objective_ms.min(left_ms + 2 * FIXED_MS as u32);
        self.enqueue(now, key, request)
    }
}

/// Sends the next request that waits for an engine.
fn send_next(now: Millis, id: &str, engine: &mut Engine) -> Option<Decision> {
    let (key, units, Unsent { request, copy_from, .. }) = engine.queue.send_next()?;
    let backlog_ms = engine.model.backlog_ms(now);
    let own_ms = units / engine.model.rate();
    let PlacementRequest { parts, prompt_tokens, output_tokens, .. } = &request;
    let tokens = memory_tokens(parts, *prompt_tokens, *output_tokens);
    engine.model.send(now, key, parts, units, tokens);
    let answer = FromPlacer::Go { seq: key.1, endpoint: id.to_string(), copy_from };
    Some(Decision { router: key.0, answer, backlog_ms, own_ms, ratio: 0.0 })
}

fn refuse(key: RequestKey, choice: &Choice<'_>, standing: Standing) -> Decision {
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

/// Units of service: tokens read once, tokens made twice.
fn units(request: &PlacementRequest) -> u64 {
    u64::from(request.prompt_tokens) + 2 * u64::from(request.output_tokens)
}
