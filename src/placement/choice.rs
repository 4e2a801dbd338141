//! Where a request goes: the engine, the place in its queue, and what it should
//! copy from another engine.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use super::engine::{EngineModel, FIXED_MS};
use super::message::PlacementRequest;
use super::queue::{Position, Queue};
use super::rules::PlacementRules;
use crate::dispatch::Millis;

/// Ratio of service received to share from which on a customer is above it.
const SHARE_TOLERANCE: f64 = 1.002;
/// Service over an equal part below which being served less says no more.
const LEAST_RELATIVE: f64 = 0.25;
/// Milliseconds by which requests beyond what their customer is owed are put off in the
/// order of an engine's queue: longer than any objective.
const BEYOND_OWED_MS: f64 = 60_000.0;
/// Milliseconds to begin a copy.
const COPY_SETUP_MS: f64 = 5.0;
/// Fewer tokens are read again rather than copied.
const LEAST_COPY: u32 = 500;

/// An engine as the placer plans it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its service.
    pub service: String,
    /// What was sent to it, and what it keeps.
    pub model: EngineModel,
    /// What it is to read.
    pub queue: Queue,
    /// Milliseconds to copy the memory of one token from another engine; none
    /// where engines cannot.
    pub copy_ms_per_token: Option<f64>,
    /// Whether it is registered as ready.
    pub open: bool,
    /// Whether a router found another endpoint at its address.
    pub is_gone: bool,
}

impl Engine {
    /// Whether it may get requests at all.
    pub fn takes_work(&self) -> bool {
        self.open && !self.is_gone
    }

    /// Whether requests should go elsewhere.
    pub fn is_unfit(&self, now: Millis) -> bool {
        !self.takes_work() || self.model.is_left_out(now) || self.model.is_stalled(now)
    }
}

/// What a customer got so far.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// Service received over its share.
    pub ratio: f64,
    /// Service received over what it is owed.
    pub fulfilment: f64,
    /// Service received over what an equal division of all service gives, also of
    /// what engines do beyond what they are meant to.
    pub relative: f64,
}

impl Standing {
    /// Whether it has had what it is owed.
    pub fn is_above(&self) -> bool {
        self.ratio > SHARE_TOLERANCE
    }
}

/// Prompt parts to be copied from another engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartCopy<'a> {
    /// That engine's id.
    pub from: &'a str,
    /// Their tokens.
    pub tokens: u32,
    ms: f64,
}

/// An engine for a request, and what it would cost there.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    /// The engine's id.
    pub id: &'a str,
    /// What it should copy.
    pub copy: Option<PartCopy<'a>>,
    /// The place in its queue.
    pub position: Position,
    /// The cost of reading the prompt, in tokens of an empty context.
    pub units: f64,
    /// Milliseconds of others' prompts that it may wait for.
    pub allowed_ms: f64,
    /// Milliseconds to read its own.
    pub own_ms: f64,
    /// The latest start that lets it be in time, in milliseconds of the clock.
    pub latest_start: f64,
}

impl Choice<'_> {
    /// Whether it need not wait for longer than it may.
    pub fn is_allowed(&self) -> bool {
        self.position.wait_ms <= self.allowed_ms
    }
}

/// What choices are made from.
pub struct Chooser<'a> {
    /// What to aim at.
    pub rules: &'a PlacementRules,
    /// All engines by id.
    pub engines: &'a BTreeMap<String, Engine>,
    /// Milliseconds on the placer's clock.
    pub now: Millis,
}

impl<'a> Chooser<'a> {
    /// The engine at which the request's first event comes first, with the
    /// reading of its own prompt counted dearer.
    pub fn choose(&self, request: &PlacementRequest, standing: Standing) -> Option<Choice<'a>> {
        let tokens = memory_tokens(&request.parts, request.prompt_tokens, request.output_tokens);
        let affinity = request.parts.first().map_or(0, |part| part.0);
        let source = self.copy_source(request);
        let fits = |(id, engine): &(&String, &Engine)| {
            engine.takes_work() && engine.service == request.service && !request.avoid.contains(id)
        };
        let mut best: Option<((bool, bool, f64, u64), Choice<'a>)> = None;
        for (id, engine) in self.engines.iter().filter(fits) {
            let (choice, score) = self.at(id, engine, request, standing, source);
            let unfit = engine.is_unfit(self.now);
            let full = !engine.model.has_room(tokens);
            let order = (unfit, full, score, rank(affinity, id));
            if best.as_ref().is_none_or(|(best_order, _)| order < *best_order) {
                best = Some((order, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// What a request would cost at an engine, and how that compares with others:
    /// all that waits there counts, not only what goes before it.
    fn at(
        &self,
        id: &'a str,
        engine: &Engine,
        request: &PlacementRequest,
        standing: Standing,
        source: Option<(&'a str, u32)>,
    ) -> (Choice<'a>, f64) {
        let rules = self.rules;
        let now = self.now as f64;
        let copy = self.copy_for(request, engine, source);
        let copied = copy.map_or(0, |copy| copy.tokens);
        let copy_ms = copy.map_or(0.0, |copy| copy.ms);
        let units = engine.model.own_units(&request.parts, request.prompt_tokens, copied);
        let read_ms = units / engine.model.rate();
        let own_ms = read_ms + copy_ms;
        let in_time_ms = self.in_time_ms(request, own_ms);
        let latest_start = match standing.is_above() {
            // What a customer gets beyond what it is owed delays no other.
            true => now + in_time_ms + BEYOND_OWED_MS,
            false => now + in_time_ms,
        };
        let pace = engine.model.pace(self.now);
        let position = engine.queue.position(pace, latest_start);
        let allowed_ms = self.allowed_ms(request, in_time_ms, standing);
        let score = engine.queue.wait_ms(pace)
            + rules.reading_weight * read_ms
            + rules.copying_weight * copy_ms;
        let choice = Choice { id, copy, position, units, allowed_ms, own_ms, latest_start };
        (choice, score)
    }

    /// Milliseconds after which a request should begin to be read. One that cannot
    /// be in time at all need not be the first.
    fn in_time_ms(&self, request: &PlacementRequest, own_ms: f64) -> f64 {
        let objective = f64::from(request.objective_ms);
        let left = objective - own_ms - FIXED_MS - self.rules.margin_ms;
        left.max(objective * self.rules.never_in_time_wait)
    }

    /// Milliseconds of others' prompts that a request may wait for.
    fn allowed_ms(&self, request: &PlacementRequest, in_time_ms: f64, standing: Standing) -> f64 {
        let rules = self.rules;
        let objective = f64::from(request.objective_ms);
        if standing.is_above() {
            let relative = standing.relative.max(LEAST_RELATIVE);
            return in_time_ms.min(objective * rules.above_share / (relative * relative));
        }
        match standing.fulfilment < rules.underserved {
            true => in_time_ms.max(objective * rules.underserved_wait),
            false => in_time_ms,
        }
    }

    /// The engine that has read most of a prompt.
    fn copy_source(&self, request: &PlacementRequest) -> Option<(&'a str, u32)> {
        let able = |engine: &&Engine| {
            engine.takes_work()
                && engine.copy_ms_per_token.is_some()
                && !engine.model.is_left_out(self.now)
        };
        let sources = self.engines.iter().filter(|(_, engine)| able(engine));
        let read = sources.map(|(id, engine)| (id.as_str(), engine.model.copyable(&request.parts)));
        read.max_by_key(|(_, tokens)| *tokens).filter(|(_, tokens)| *tokens > 0)
    }

    /// What an engine should copy from the source, if that is worth it.
    fn copy_for(
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
}

/// Memory that a request takes until it ends, in tokens, beside the parts of its
/// prompt that others use too: all but the last.
pub fn memory_tokens(parts: &[(u64, u32)], prompt_tokens: u32, output_tokens: u32) -> u64 {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let shared: u32 = shared.iter().map(|(_, tokens)| *tokens).sum();
    u64::from(prompt_tokens.saturating_sub(shared)) + u64::from(output_tokens)
}

/// Where equal choices go: the same for every placer, so that a new one finds
/// kept parts where the one before left them.
fn rank(affinity: u64, id: &str) -> u64 {
    let mut key = affinity.to_be_bytes().to_vec();
    key.extend_from_slice(id.as_bytes());
    xxh3_64(&key)
}
