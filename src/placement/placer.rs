//! The placer of a fleet, as a state machine without I/O.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::engine::{EngineModel, FIXED_MS, RequestKey};
use super::message::{Ending, FromPlacer, Knowledge, PlacementRequest, Refusal, ToPlacer};
use super::shares::Shares;
use crate::dispatch::Millis;
use crate::wire::HostId;

/// Ratio of service received to share from which on a customer is above it.
const SHARE_TOLERANCE: f64 = 1.002;
/// Milliseconds to begin a copy.
const COPY_SETUP_MS: f64 = 5.0;
/// Fewer tokens are read again rather than copied.
const LEAST_COPY: u32 = 500;
/// Shortest and longest time to come back after, in milliseconds.
const RETRY_MS: (f64, f64) = (60.0, 3_000.0);

/// What the placer aims at. The defaults are the measured ones, see
/// `docs/DISPATCH.md`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementRules {
    /// Part of their time that engines may spend on reading prompts; the rest
    /// keeps running streams from slowing down.
    pub reading_share: f64,
    /// How much dearer reading a prompt counts than waiting for others': what is
    /// read twice is lost to all.
    pub reading_weight: f64,
    /// How much dearer copying prompt parts counts than waiting.
    pub copying_weight: f64,
    /// Part of its objective that a customer at its share may count on; it falls
    /// with the square of what it was served over its share.
    pub above_share: f64,
    /// Milliseconds kept back from each objective, for what the model misses.
    pub margin_ms: f64,
    /// Part of its objective that a request which can never be in time may wait
    /// for others.
    pub never_in_time_wait: f64,
    /// The same for a request that was refused once already.
    pub returned_wait: f64,
    /// The same for a customer that got less than `underserved` of what it is owed:
    /// it is rather late than refused.
    pub underserved_wait: f64,
    /// Part of what a customer is owed below which it is underserved.
    pub underserved: f64,
}

impl Default for PlacementRules {
    fn default() -> Self {
        PlacementRules {
            reading_share: 0.72,
            reading_weight: 1.6,
            copying_weight: 14.0,
            above_share: 0.2,
            margin_ms: 60.0,
            never_in_time_wait: 0.35,
            returned_wait: 1.5,
            underserved_wait: 1.0,
            underserved: 0.5,
        }
    }
}

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

#[derive(Clone, Debug)]
struct Engine {
    service: String,
    model: EngineModel,
    copy_ms_per_token: Option<f64>,
    open: bool,
}

/// An engine for a request, and what it would cost there.
struct Choice<'a> {
    id: &'a str,
    copy: Option<PartCopy<'a>>,
    backlog_ms: f64,
    own_ms: f64,
}

/// Prompt parts to be copied from another engine.
#[derive(Clone, Copy)]
struct PartCopy<'a> {
    from: &'a str,
    tokens: u32,
    ms: f64,
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

    /// The engines that take work now. Others keep what they have.
    pub fn set_engines(&mut self, engines: Vec<EngineInfo>) {
        self.engines.values_mut().for_each(|engine| engine.open = false);
        let reading_share = self.rules.reading_share;
        for info in engines {
            let known = self.engines.entry(info.id).or_insert_with(|| Engine {
                service: info.service,
                model: EngineModel::new(info.slots, info.memory_tokens, info.rate, reading_share),
                copy_ms_per_token: info.copy_ms_per_token,
                open: true,
            });
            known.model.set_guess(info.rate);
            known.open = true;
        }
        self.engines.retain(|_, engine| engine.open || engine.model.requests() > 0);
    }

    /// Takes a message from a router.
    pub fn receive(&mut self, now: Millis, router: HostId, message: ToPlacer) -> Option<Decision> {
        match message {
            ToPlacer::Known(knowledge) => self.learn(now, router, knowledge),
            ToPlacer::Place(request) => return Some(self.place(now, router, &request)),
            ToPlacer::Begun { seq } => {
                if let Some(engine) = self.engine_of((router, seq)) {
                    engine.model.begun(now, (router, seq));
                }
            }
            ToPlacer::Done { seq, ending } => {
                let key = (router, seq);
                if let Some(engine) = self.engine_of(key) {
                    if ending == Ending::Failed {
                        engine.model.failed(now);
                    }
                    engine.model.ended(now, key);
                }
                self.placed.remove(&key);
            }
        }
        None
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
            let tokens = u64::from(open.prompt_tokens) + u64::from(open.output_tokens);
            match open.begun {
                true => engine.model.adopt_running(key, &open.parts, tokens),
                false => engine.model.place(now, key, &open.parts, open.prompt_tokens, 0, tokens),
            }
            self.placed.insert(key, open.endpoint);
        }
    }

    fn engine_of(&mut self, key: RequestKey) -> Option<&mut Engine> {
        let id = self.placed.get(&key)?;
        self.engines.get_mut(id)
    }

    /// A router is gone, and all its requests with it.
    pub fn lost(&mut self, now: Millis, router: HostId) {
        self.placed.retain(|key, _| key.0 != router);
        self.engines.values_mut().for_each(|engine| engine.model.drop_router(now, router));
    }

    fn place(&mut self, now: Millis, router: HostId, request: &PlacementRequest) -> Decision {
        let seq = request.seq;
        let units = units(request);
        self.shares.asked(now, &request.customer, units);
        let ratio = self.shares.ratio(&request.customer);
        let decide =
            |answer, backlog_ms, own_ms| Decision { router, answer, backlog_ms, own_ms, ratio };
        let Some(choice) = self.choose(now, request) else {
            return decide(FromPlacer::Unknown { seq }, 0.0, 0.0);
        };
        let Choice { backlog_ms, own_ms, copy, .. } = choice;
        let fulfilment = self.shares.fulfilment(&request.customer);
        let allowed = self.allowed_backlog(request, own_ms, ratio, fulfilment);
        if backlog_ms > allowed {
            let (least, most) = RETRY_MS;
            let retry_after_ms = (backlog_ms - allowed + own_ms).clamp(least, most) as u32;
            let refusal = Refusal {
                retry_after_ms,
                backlog_ms: backlog_ms as u32,
                allowed_ms: allowed as u32,
                own_ms: own_ms as u32,
                share_percent: (ratio * 100.0) as u32,
            };
            return decide(FromPlacer::Refuse { seq, refusal }, backlog_ms, own_ms);
        }
        let endpoint = choice.id.to_string();
        let copy_from = copy.map(|copy| copy.from.to_string());
        let copied = copy.map_or(0, |copy| copy.tokens);
        let tokens = memory_tokens(request);
        if let Some(engine) = self.engines.get_mut(&endpoint) {
            let key = (router, seq);
            let parts = &request.parts;
            engine.model.place(now, key, parts, request.prompt_tokens, copied, tokens);
            self.placed.insert(key, endpoint.clone());
        }
        self.shares.served(now, &request.customer, units);
        decide(FromPlacer::Go { seq, endpoint, copy_from }, backlog_ms, own_ms)
    }

    /// The engine that has read most of a prompt.
    fn copy_source(&self, now: Millis, request: &PlacementRequest) -> Option<(&str, u32)> {
        let able = |engine: &&Engine| {
            engine.open && engine.copy_ms_per_token.is_some() && !engine.model.is_left_out(now)
        };
        let sources = self.engines.iter().filter(|(_, engine)| able(engine));
        let read = sources.map(|(id, engine)| (id.as_str(), engine.model.copyable(&request.parts)));
        read.max_by_key(|(_, tokens)| *tokens).filter(|(_, tokens)| *tokens > 0)
    }

    /// What an engine should copy from the source, if that is worth it.
    fn copy_for<'a>(
        &self,
        request: &PlacementRequest,
        engine: &Engine,
        source: Option<(&'a str, u32)>,
    ) -> Option<PartCopy<'a>> {
        let (from, read) = source?;
        let tokens = read.checked_sub(engine.model.matched(&request.parts))?;
        let ms = COPY_SETUP_MS + f64::from(tokens) * engine.copy_ms_per_token?;
        (tokens >= LEAST_COPY).then_some(PartCopy { from, tokens, ms })
    }

    /// Milliseconds of others' prompts that a request may wait for.
    fn allowed_backlog(
        &self,
        request: &PlacementRequest,
        own_ms: f64,
        ratio: f64,
        fulfilment: f64,
    ) -> f64 {
        let rules = &self.rules;
        let objective = f64::from(request.objective_ms);
        let left = objective - own_ms - FIXED_MS - rules.margin_ms;
        let allowed = left.max(objective * rules.never_in_time_wait);
        if ratio > SHARE_TOLERANCE {
            return allowed.min(objective * rules.above_share / (ratio * ratio));
        }
        if request.returned {
            return allowed.max(objective * rules.returned_wait);
        }
        match fulfilment < rules.underserved {
            true => allowed.max(objective * rules.underserved_wait),
            false => allowed,
        }
    }

    /// The engine at which the request's first event comes first, with the
    /// reading of its own prompt counted dearer.
    fn choose(&self, now: Millis, request: &PlacementRequest) -> Option<Choice<'_>> {
        let tokens = memory_tokens(request);
        let fits = |(id, engine): &(&String, &Engine)| {
            engine.open && engine.service == request.service && !request.avoid.contains(id)
        };
        let mut best: Option<(bool, f64, u64, Choice<'_>)> = None;
        let affinity = request.parts.first().map_or(0, |part| part.0);
        let source = self.copy_source(now, request);
        for (id, engine) in self.engines.iter().filter(fits) {
            let unfit = engine.model.is_left_out(now) || !engine.model.has_room(tokens);
            let backlog_ms = engine.model.paced_backlog_ms(now);
            let copy = self.copy_for(request, engine, source);
            let copied = copy.map_or(0, |copy| copy.tokens);
            let copy_ms = copy.map_or(0.0, |copy| copy.ms);
            let read_ms = engine.model.own_ms(&request.parts, request.prompt_tokens, copied);
            let own_ms = read_ms + copy_ms;
            let rules = &self.rules;
            let score =
                backlog_ms + rules.reading_weight * read_ms + rules.copying_weight * copy_ms;
            let rank = rank(affinity, id);
            let better = best.as_ref().is_none_or(|(unfit_best, score_best, rank_best, _)| {
                (unfit, score, rank) < (*unfit_best, *score_best, *rank_best)
            });
            if better {
                best = Some((unfit, score, rank, Choice { id, copy, backlog_ms, own_ms }));
            }
        }
        best.map(|(.., choice)| choice)
    }
}

/// Units of service: tokens read once, tokens made twice.
fn units(request: &PlacementRequest) -> u64 {
    u64::from(request.prompt_tokens) + 2 * u64::from(request.output_tokens)
}

/// Memory that a request takes until it ends, in tokens.
fn memory_tokens(request: &PlacementRequest) -> u64 {
    u64::from(request.prompt_tokens) + u64::from(request.output_tokens)
}

/// Where equal choices go: the same for every placer, so that a new one finds
/// kept parts where the one before left them.
fn rank(affinity: u64, id: &str) -> u64 {
    let mut key = affinity.to_be_bytes().to_vec();
    key.extend_from_slice(id.as_bytes());
    xxh3_64(&key)
}
