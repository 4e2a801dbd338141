//! The placer of a fleet, as a state machine without I/O.

use std::collections::{BTreeMap, HashMap};

use super::choice::{Choice, Chooser, Engine, Standing, memory_tokens};
use super::engine::{EngineModel, RequestKey};
use super::message::{Ending, FromPlacer, Knowledge, PlacementRequest, Refusal, ToPlacer};
use super::queue::{Planned, Queue};
use super::rules::PlacementRules;
use super::shares::Shares;
use crate::dispatch::Millis;
use crate::wire::HostId;

/// Shortest and longest time to come back after, in milliseconds.
const RETRY_MS: (f64, f64) = (60.0, 3_000.0);
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

/// Decides for all routers where requests go.
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
        self.engines.retain(|_, engine| engine.open || engine.model.requests() > 0);
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
            ToPlacer::Place(request) => return Some(self.place(now, router, request)),
            ToPlacer::Begun { seq } => {
                if let Some(engine) = self.engine_of((router, seq)) {
                    engine.model.begun(now, (router, seq));
                }
            }
            ToPlacer::Done { seq, ending } => self.done(now, (router, seq), ending),
        }
        None
    }

    /// A router is gone, and all its requests with it.
    pub fn lost(&mut self, now: Millis, router: HostId) {
        self.placed.retain(|key, _| key.0 != router);
        self.engines.values_mut().for_each(|engine| engine.model.drop_router(now, router));
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
                    engine.queue.insert(0, Planned { units, latest_start: now as f64 });
                    engine.model.reserve(&open.parts);
                    engine.model.send(now, key, &open.parts, units, tokens);
                }
            }
            self.placed.insert(key, open.endpoint);
        }
    }

    fn done(&mut self, now: Millis, key: RequestKey, ending: Ending) {
        if let Some(engine) = self.engine_of(key) {
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

    fn place(&mut self, now: Millis, router: HostId, request: PlacementRequest) -> Decision {
        let key = (router, request.seq);
        let units = units(&request);
        self.shares.asked(now, &request.customer, units);
        for engine in self.engines.values_mut() {
            engine.queue.advance(now, engine.model.pace(now));
        }
        let standing = Standing {
            ratio: self.shares.ratio(&request.customer),
            fulfilment: self.shares.fulfilment(&request.customer),
            relative: self.shares.relative(&request.customer),
        };
        let chooser = Chooser { rules: &self.rules, engines: &self.engines, now };
        let Some(choice) = chooser.choose(&request, standing) else {
            let answer = FromPlacer::Unknown { seq: key.1 };
            return Decision {
                router,
                answer,
                backlog_ms: 0.0,
                own_ms: 0.0,
                ratio: standing.ratio,
            };
        };
        if !choice.is_allowed() {
            return refuse(key, &choice, standing);
        }
        let answer = FromPlacer::Go {
            seq: key.1,
            endpoint: choice.id.to_string(),
            copy_from: choice.copy.map(|copy| copy.from.to_string()),
        };
        let (backlog_ms, own_ms) = (choice.position.wait_ms, choice.own_ms);
        let placement = Placement::of(&choice);
        self.commit(now, key, &request, placement);
        self.shares.served(now, &request.customer, units);
        Decision { router, answer, backlog_ms, own_ms, ratio: standing.ratio }
    }

    /// A request goes to an engine.
    fn commit(
        &mut self,
        now: Millis,
        key: RequestKey,
        request: &PlacementRequest,
        placement: Placement,
    ) {
        let Placement { endpoint, index, planned } = placement;
        if let Some(engine) = self.engines.get_mut(&endpoint) {
            let PlacementRequest { parts, prompt_tokens, output_tokens, .. } = request;
            let tokens = memory_tokens(parts, *prompt_tokens, *output_tokens);
            engine.queue.insert(index, planned);
            engine.model.reserve(parts);
            engine.model.send(now, key, parts, planned.units, tokens);
            self.placed.insert(key, endpoint);
        }
    }
}

/// What of a choice is kept.
struct Placement {
    endpoint: String,
    index: usize,
    planned: Planned,
}

impl Placement {
    fn of(choice: &Choice<'_>) -> Placement {
        let Choice { id, position, units, latest_start, .. } = *choice;
        let planned = Planned { units, latest_start };
        Placement { endpoint: id.to_string(), index: position.index, planned }
    }
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
