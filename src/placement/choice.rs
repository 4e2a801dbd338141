//! Where a request goes: the engine, the place in its queue, and what it should
//! copy from another engine.

use slab::Slab;
use xxhash_rust::xxh3::xxh3_64;

use super::copy::{CopySources, PartCopy};
use super::engine::{EngineModel, reading_units};
use super::engines::EngineInfo;
use super::message::PlacementRequest;
use super::parts::{EngineNumber, Match};
use super::queue::{Position, Queue};
use super::rests::RouterRests;
use super::rules::PlacementRules;
use super::shares::Standing;
use super::timing::FIXED_MS;
use super::warmth::Warmth;
use crate::dispatch::Millis;
use crate::eligibility::{Candidate, order_of};
use crate::region::are_distinct_regions;
use crate::wire::HostId;

/// Service over an equal part below which being served less says no more.
const LEAST_RELATIVE: f64 = 0.25;
/// Milliseconds by which requests beyond what their customer is owed are put off in the
/// order of an engine's queue: longer than any objective.
const BEYOND_OWED_MS: f64 = 60_000.0;
/// An engine as the placer plans it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The endpoint's id.
    pub id: String,
    /// When it started. What was known of an earlier start does not hold of it.
    pub started_at_ms: u64,
    /// A hash of the id, from which the order of equal engines comes.
    hash: u64,
    /// Its service.
    pub service: String,
    /// The release of its software.
    pub version: String,
    /// The region of its data hall.
    pub region: String,
    /// Its place in the order of [`order_of`] its id.
    order: u32,
    /// What was sent to it, and how fast it reads.
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
    /// How much it may be sent while it is cold.
    pub warmth: Warmth,
    /// Which routers it asked for rest.
    pub rests: RouterRests,
}

impl Engine {
    /// An idle engine that is ready.
    pub fn new(now: Millis, info: EngineInfo, reading_share: f64) -> Engine {
        let mut warmth = Warmth::default();
        warmth.learn(now, info.cold_per_second, info.call, info.warmup_ms);
        let mut model = EngineModel::new(info.slots, info.memory_tokens, info.rate, reading_share);
        model.set_tokens_per_event(info.tokens_per_event);
        Engine {
            warmth,
            hash: xxh3_64(info.id.as_bytes()),
            order: order_of(&info.id),
            id: info.id,
            started_at_ms: info.started_at_ms,
            service: info.service,
            version: info.version,
            region: info.region,
            model,
            queue: Queue::default(),
            copy_ms_per_token: info.copy_ms_per_token,
            open: true,
            is_gone: false,
            rests: RouterRests::default(),
        }
    }

    /// What of it decides whether it is eligible.
    pub fn candidate(&self) -> Candidate<'_> {
        Candidate { region: &self.region, version: &self.version, order: self.order }
    }

    /// Whether it may get requests at all.
    pub fn takes_work(&self) -> bool {
        self.open && !self.is_gone
    }

    /// Whether a router's requests should go elsewhere.
    pub fn is_unfit(&self, now: Millis, router: HostId) -> bool {
        !self.takes_work()
            || self.model.is_left_out(now)
            || self.model.is_stalled(now)
            || self.rests.is_unfit(now, router)
    }
}

/// What reading a prompt costs at an engine.
#[derive(Clone, Copy, Debug)]
struct Reading {
    copy: Option<PartCopy>,
    copy_ms: f64,
    units: f64,
    read_ms: f64,
    /// The longest pause that reading it makes, in milliseconds.
    pause_ms: f64,
}

/// An engine for a request, and what it would cost there.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// The engine.
    pub engine: EngineNumber,
    /// What it should copy.
    pub copy: Option<PartCopy>,
    /// The place in its queue.
    pub position: Position,
    /// The cost of reading the prompt, in tokens of an empty context.
    pub units: f64,
    /// Milliseconds of others' prompts that it may wait for.
    pub allowed_ms: f64,
    /// Milliseconds to read its own.
    pub own_ms: f64,
    /// The longest pause that reading it makes for streams there, in milliseconds.
    pub pause_ms: f64,
    /// The latest start that lets it be in time, in milliseconds of the clock.
    pub latest_start: f64,
}

impl Choice {
    /// Whether it need not wait for longer than it may.
    pub fn is_allowed(&self) -> bool {
        self.position.wait_ms <= self.allowed_ms
    }
}

/// How an engine compares with others; the least comes first. Equal ones go by
/// [`Chooser::rank`].
type Order = (bool, bool, f64);

/// What choices are made from.
pub struct Chooser<'a> {
    /// What to aim at.
    pub rules: &'a PlacementRules,
    /// All engines.
    pub engines: &'a Slab<Engine>,
    /// What each keeps of the request's prompt, by its number.
    pub found: &'a [Match],
    /// The router that asks.
    pub router: HostId,
    /// The region of the router that asks; empty where it is not known.
    pub from_region: &'a str,
    /// Units of long prompts that engines of the service read in a millisecond.
    pub long_rate: f64,
    /// Milliseconds on the placer's clock.
    pub now: Millis,
}

impl Chooser<'_> {
    /// The engine at which the request's first event comes first, with the reading of
    /// its own prompt counted dearer: all that waits there counts, not only what goes
    /// before it.
    pub fn best(&self, request: &PlacementRequest) -> Option<EngineNumber> {
        let tokens = memory_tokens(&request.parts, request.prompt_tokens, request.output_tokens);
        let sources = self.copy_sources(request);
        let fits = |(_, engine): &(EngineNumber, &Engine)| {
            self.is_candidate(engine, request)
                && !engine.warmth.is_full(self.now, self.rules.cold_part)
        };
        let mut best: Option<(Order, EngineNumber)> = None;
        for (number, engine) in self.engines.iter().filter(fits) {
            let reading = self.reading(number, engine, request, &sources);
            let score = engine.queue.wait_ms(self.now, engine.model.pace(self.now))
                + self.away_cost(engine)
                + self.rules.reading_weight * reading.read_ms
                + self.rules.copying_weight * reading.copy_ms
                + self.rules.late_stream_cost_ms
                    * engine.model.streams().harmed_by(reading.pause_ms) as f64;
            let order =
                (engine.is_unfit(self.now, self.router), !engine.model.has_room(tokens), score);
            let is_better = best.is_none_or(|(best_order, best_number)| {
                order < best_order
                    || order == best_order
                        && self.rank(request, number) < self.rank(request, best_number)
            });
            if is_better {
                best = Some((order, number));
            }
        }
        best.map(|(_, number)| number)
    }

    /// Milliseconds until an engine may be sent more, where all that the request could
    /// go to are cold and have been sent what they bear; none where there is no engine.
    pub fn until_one_is_free(&self, request: &PlacementRequest) -> Option<Millis> {
        let engines = self.engines.iter().map(|(_, engine)| engine);
        let candidates = engines.filter(|engine| self.is_candidate(engine, request));
        let free = candidates.filter_map(|e| e.warmth.next_at(self.now, self.rules.cold_part));
        free.min().map(|at| at.saturating_sub(self.now))
    }

    /// Where equal choices go: the same for every placer, so that a new one finds
    /// kept parts where the one before left them.
    fn rank(&self, request: &PlacementRequest, number: EngineNumber) -> u64 {
        let affinity = request.parts.first().map_or(0, |part| part.0);
        let hash = self.engines.get(number).map_or(0, |engine| engine.hash);
        xxh3_64(&(affinity ^ hash).to_be_bytes())
    }

    /// What a request would cost at an engine whose queue was advanced to now.
    pub fn at(
        &self,
        number: EngineNumber,
        request: &PlacementRequest,
        standing: Standing,
    ) -> Option<Choice> {
        let engine = self.engines.get(number)?;
        let now = self.now as f64;
        let Reading { copy, copy_ms, units, read_ms, pause_ms } =
            self.reading(number, engine, request, &self.copy_sources(request));
        let own_ms = read_ms + copy_ms + self.way_ms(engine);
        let in_time_ms = self.in_time_ms(request, own_ms);
        let latest_start = match standing.is_above() {
            // What a customer gets beyond what it is owed delays no other.
            true => now + in_time_ms + BEYOND_OWED_MS,
            false => now + in_time_ms,
        };
        let position = engine.queue.position(engine.model.pace(self.now), latest_start);
        let allowed_ms = self.allowed_ms(request, in_time_ms, standing);
        Some(Choice {
            engine: number,
            copy,
            position,
            units,
            allowed_ms,
            own_ms,
            pause_ms,
            latest_start,
        })
    }

    fn reading(
        &self,
        number: EngineNumber,
        engine: &Engine,
        request: &PlacementRequest,
        sources: &CopySources<'_>,
    ) -> Reading {
        let kept = self.found.get(number).map_or(0, |found| found.kept);
        let copy = sources.copy_for(engine, kept);
        let copied = copy.map_or(0, |copy| copy.tokens);
        let cached = (kept + copied).min(request.prompt_tokens);
        let units = reading_units(cached, request.prompt_tokens - cached);
        let copy_ms = copy.map_or(0.0, |copy| copy.ms);
        let uncached = request.prompt_tokens - cached;
        let reader = engine.model.reader(self.long_rate, self.rules.piece_tokens);
        let pause_ms = reader.longest_pause_ms(cached, uncached);
        Reading { copy, copy_ms, units, read_ms: units / engine.model.rate(), pause_ms }
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

    /// What an engine in another region counts dearer, in milliseconds of waiting.
    fn away_cost(&self, engine: &Engine) -> f64 {
        match are_distinct_regions(self.from_region, &engine.region) {
            true => self.rules.other_region_cost_ms,
            false => 0.0,
        }
    }

    /// Milliseconds on the way to an engine and back, beyond those within a region.
    fn way_ms(&self, engine: &Engine) -> f64 {
        match are_distinct_regions(self.from_region, &engine.region) {
            true => self.rules.other_region_round_trip_ms,
            false => 0.0,
        }
    }

    /// Whether a request could go to an engine at all.
    fn is_candidate(&self, engine: &Engine, request: &PlacementRequest) -> bool {
        engine.takes_work()
            && engine.service == request.service
            && !engine.rests.bars(self.now, self.router)
            && request.eligibility.allows(engine.candidate())
            && !request.avoid.contains(&engine.id)
    }

    /// From which engines parts of the prompt can be copied.
    fn copy_sources(&self, request: &PlacementRequest) -> CopySources<'_> {
        let between_regions = self.rules.copies_between_regions;
        CopySources::find(self.now, self.engines, self.found, request, between_regions)
    }
}

/// Memory that a request takes until it ends, in tokens, beside the parts of its
/// prompt that others use too: all but the last.
pub fn memory_tokens(parts: &[(u64, u32)], prompt_tokens: u32, output_tokens: u32) -> u64 {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let shared: u32 = shared.iter().map(|(_, tokens)| *tokens).sum();
    u64::from(prompt_tokens.saturating_sub(shared)) + u64::from(output_tokens)
}
