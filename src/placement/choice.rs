//! Chooses the engine for a request, its position in that engine's queue, and the prompt parts to
//! copy from another engine.

use slab::Slab;
use xxhash_rust::xxh3::xxh3_64;

use super::candidates::{CandidateIndex, prompt_hash};
use super::cold_limiter::ColdLimiter;
use super::copy::{CopySources, PartCopy};
use super::engine::{EngineModel, reading_units};
use super::engines::EngineInfo;
use super::message::PlacementRequest;
use super::parts::{EngineNumber, Matches};
use super::queue::{Position, Queue};
use super::rests::RouterRests;
use super::rules::PlacementRules;
use super::shares::ShareUsage;
use super::timing::FIRST_EVENT_OVERHEAD_MS;
use crate::dispatch::Millis;
use crate::eligibility::{Candidate, hash_of, order_of};
use crate::region::are_distinct_regions;
use crate::wire::HostId;

/// Lower bound of a customer's relative service when its allowed wait is computed; the wait does
/// not grow further for customers that were served less.
const MIN_RELATIVE_SERVICE: f64 = 0.25;
/// Delay in milliseconds that is added to the latest start of requests beyond their customer's
/// share. Longer than any objective, so that they queue behind all requests within a share.
const ABOVE_SHARE_DELAY_MS: f64 = 60_000.0;

/// An engine in the placer's model.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The endpoint's id.
    pub id: String,
    /// When its process started, in milliseconds since the epoch. State from an earlier start does
    /// not apply to it.
    pub started_at_ms: u64,
    /// A hash of the id, which breaks ties between engines of equal cost.
    pub hash: u64,
    /// Its service.
    pub service: String,
    /// The release of its software.
    pub version: String,
    /// Its data hall.
    pub hall: String,
    /// The region of its data hall.
    pub region: String,
    /// Its position in the order of a rollout, from [`order_of`] its id.
    order: u32,
    /// The requests sent to it, and its learned reading rate.
    pub model: EngineModel,
    /// The prompts that it has still to read at its paced rate.
    pub queue: Queue,
    /// Milliseconds to copy the memory (KV cache) of one token from another engine; `None` if the
    /// engine cannot copy.
    pub copy_ms_per_token: Option<f64>,
    /// Whether it is registered as ready.
    pub is_ready: bool,
    /// Whether a router found another endpoint at its address.
    pub is_replaced: bool,
    /// Limits the requests sent to it while it is cold.
    pub cold_limiter: ColdLimiter,
    /// The rests that it requested, by router.
    pub rests: RouterRests,
}

impl Engine {
    /// An idle engine that is ready.
    pub fn new(now: Millis, info: EngineInfo, reading_share: f64) -> Engine {
        let mut cold_limiter = ColdLimiter::default();
        cold_limiter.update(now, info.cold_per_second, info.registration_seq, info.warmup_ms);
        let mut model = EngineModel::new(info.slots, info.memory_tokens, info.rate, reading_share);
        model.set_tokens_per_event(info.tokens_per_event);
        Engine {
            cold_limiter,
            hash: hash_of(&info.id),
            order: order_of(&info.id),
            id: info.id,
            started_at_ms: info.started_at_ms,
            service: info.service,
            version: info.version,
            hall: info.hall,
            region: info.region,
            model,
            queue: Queue::default(),
            copy_ms_per_token: info.copy_ms_per_token,
            is_ready: true,
            is_replaced: false,
            rests: RouterRests::default(),
        }
    }

    /// The properties that decide whether a request is eligible for it.
    pub fn candidate(&self) -> Candidate<'_> {
        Candidate { region: &self.region, version: &self.version, order: self.order }
    }

    /// When it will have read all prompts sent to it and may be sent more, in milliseconds on the
    /// clock.
    pub fn free_at(&self) -> Millis {
        let planned = self.queue.read_until(self.model.ms_per_unit());
        (planned.ceil() as Millis).max(self.model.free_at())
    }

    /// Whether it may be sent requests at all.
    pub fn accepts_requests(&self) -> bool {
        self.is_ready && !self.is_replaced
    }

    /// Whether other engines are preferred for requests of a router.
    pub fn should_avoid(&self, now: Millis, router: HostId) -> bool {
        !self.accepts_requests()
            || self.model.is_excluded(now)
            || self.model.is_stalled(now)
            || self.rests.should_avoid(now, router)
    }
}

/// Cost of reading a prompt at an engine.
#[derive(Clone, Copy, Debug)]
struct ReadingCost {
    copy: Option<PartCopy>,
    copy_ms: f64,
    units: f64,
    read_ms: f64,
    /// The longest pause that reading it causes for streams there, in milliseconds.
    pause_ms: f64,
}

/// An engine for a request, and the request's cost there.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// The engine.
    pub engine: EngineNumber,
    /// The prompt parts that it should copy from another engine.
    pub copy: Option<PartCopy>,
    /// The position in its queue.
    pub position: Position,
    /// The cost of reading the prompt, in tokens of an empty context.
    pub units: f64,
    /// The longest time that the request may wait for other prompts, in milliseconds.
    pub allowed_ms: f64,
    /// Milliseconds to read its own prompt, including a copy and the round trip to another region.
    pub own_ms: f64,
    /// The longest pause that reading it causes for streams there, in milliseconds.
    pub pause_ms: f64,
    /// The latest start that meets the objective, in milliseconds on the placer's clock.
    pub latest_start: f64,
}

/// The best engine for a request.
#[derive(Clone, Copy, Debug)]
pub struct Best {
    /// The engine.
    pub engine: EngineNumber,
    /// Number of engines that were weighed.
    pub weighed: usize,
}

impl Choice {
    /// Whether its expected wait is within the allowed wait.
    pub fn is_allowed(&self) -> bool {
        self.position.wait_ms <= self.allowed_ms
    }
}

/// Sort key of an engine, lowest first: to be avoided, without room, score in milliseconds. Ties
/// are broken by [`Chooser::tie_rank`].
type SortKey = (bool, bool, f64);

/// The state from which an engine is chosen for one request.
pub struct Chooser<'a> {
    /// The settings of the placer.
    pub rules: &'a PlacementRules,
    /// All engines.
    pub engines: &'a Slab<Engine>,
    /// The engines that accept requests.
    pub index: &'a CandidateIndex,
    /// The tokens of the request's prompt that each engine keeps.
    pub found: &'a Matches,
    /// The router that sent the request.
    pub router: HostId,
    /// The region of that router; empty if it is not known.
    pub from_region: &'a str,
    /// The data halls whose engines that router seems not to reach.
    pub avoided_halls: Vec<&'a str>,
    /// The rate at which engines of the service read long prompts, in units per millisecond.
    pub long_rate: f64,
    /// Milliseconds on the placer's clock.
    pub now: Millis,
}

impl Chooser<'_> {
    /// The engine with the earliest expected first event. Of many engines those that keep parts of
    /// the prompt and a sample of the others are weighed.
    pub fn best(&self, request: &PlacementRequest) -> Option<Best> {
        let all = || self.engines.iter().map(|(number, _)| number);
        if self.engines.len() <= self.rules.weigh_all_up_to {
            return self.best_of(request, all());
        }
        let tokens = memory_tokens(&request.parts, request.prompt_tokens, request.output_tokens);
        let is_usable = |number: EngineNumber| {
            self.engines.get(number).is_some_and(|engine| {
                self.fits(engine, request)
                    && engine.model.has_room(tokens)
                    && !self.should_avoid(engine)
            })
        };
        let start = prompt_hash(self.router, request);
        let sample = self.index.sample(self.now, request, start, is_usable);
        let holders = self.found.engines().iter().copied();
        self.best_of(request, holders.chain(sample)).or_else(|| self.best_of(request, all()))
    }

    /// The best of these engines. Reading the request's own prompt is weighted above waiting, and
    /// everything queued at the engine counts, not only the prompts before the request's position.
    fn best_of(
        &self,
        request: &PlacementRequest,
        numbers: impl Iterator<Item = EngineNumber>,
    ) -> Option<Best> {
        let tokens = memory_tokens(&request.parts, request.prompt_tokens, request.output_tokens);
        let sources = self.copy_sources(request);
        let seed = prompt_hash(self.router, request);
        let mut best: Option<(SortKey, EngineNumber)> = None;
        let mut weighed = 0;
        for number in numbers {
            let Some(engine) = self.engines.get(number) else { continue };
            if !self.fits(engine, request) {
                continue;
            }
            weighed += 1;
            let reading = self.reading_cost(number, engine, request, &sources);
            let score = engine.queue.wait_ms(self.now, engine.model.pace(self.now))
                + self.region_cost_ms(engine)
                + self.rules.reading_weight * reading.read_ms
                + self.rules.copying_weight * reading.copy_ms
                + self.rules.late_stream_cost_ms
                    * engine.model.streams().count_exceeded(reading.pause_ms) as f64;
            let order = (self.should_avoid(engine), !engine.model.has_room(tokens), score);
            let is_better = best.is_none_or(|(best_order, best_number)| {
                order < best_order
                    || order == best_order
                        && self.tie_rank(seed, number) < self.tie_rank(seed, best_number)
            });
            if is_better {
                best = Some((order, number));
            }
        }
        best.map(|(_, engine)| Best { engine, weighed })
    }

    /// Whether other engines are preferred.
    fn should_avoid(&self, engine: &Engine) -> bool {
        engine.should_avoid(self.now, self.router)
            || self.avoided_halls.contains(&engine.hall.as_str())
    }

    /// Whether an engine may be sent the request now.
    fn fits(&self, engine: &Engine, request: &PlacementRequest) -> bool {
        self.is_candidate(engine, request)
            && !engine.cold_limiter.is_exhausted(self.now, self.rules.cold_part)
    }

    /// Milliseconds until an engine may be sent another request, if all candidates are cold and
    /// have been sent what they can handle; `None` if there is no candidate.
    pub fn until_cold_engine_is_free(&self, request: &PlacementRequest) -> Option<Millis> {
        let engines = self.engines.iter().map(|(_, engine)| engine);
        let candidates = engines.filter(|engine| self.is_candidate(engine, request));
        let free =
            candidates.filter_map(|e| e.cold_limiter.next_at(self.now, self.rules.cold_part));
        free.min().map(|at| at.saturating_sub(self.now))
    }

    /// Breaks ties between engines, which are the rule while most of them are idle.
    fn tie_rank(&self, seed: u64, number: EngineNumber) -> u64 {
        let hash = self.engines.get(number).map_or(0, |engine| engine.hash);
        xxh3_64(&(seed ^ hash).to_be_bytes())
    }

    /// The cost of a request at an engine whose queue was advanced to `now`.
    pub fn evaluate(
        &self,
        number: EngineNumber,
        request: &PlacementRequest,
        usage: ShareUsage,
    ) -> Option<Choice> {
        let engine = self.engines.get(number)?;
        let now = self.now as f64;
        let ReadingCost { copy, copy_ms, units, read_ms, pause_ms } =
            self.reading_cost(number, engine, request, &self.copy_sources(request));
        let own_ms = read_ms + copy_ms + self.region_round_trip_ms(engine);
        let start_within_ms = self.start_within_ms(request, own_ms);
        let latest_start = match usage.is_above() {
            // Service beyond a customer's share must not delay other customers.
            true => now + start_within_ms + ABOVE_SHARE_DELAY_MS,
            false => now + start_within_ms,
        };
        let position = engine.queue.position(engine.model.pace(self.now), latest_start);
        let allowed_ms = self.allowed_ms(request, start_within_ms, usage);
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

    fn reading_cost(
        &self,
        number: EngineNumber,
        engine: &Engine,
        request: &PlacementRequest,
        sources: &CopySources<'_>,
    ) -> ReadingCost {
        let kept = self.found.at(number).kept;
        let copy = sources.copy_for(engine, kept);
        let copied = copy.map_or(0, |copy| copy.tokens);
        let cached = (kept + copied).min(request.prompt_tokens);
        let units = reading_units(cached, request.prompt_tokens - cached);
        let copy_ms = copy.map_or(0.0, |copy| copy.ms);
        let uncached = request.prompt_tokens - cached;
        let profile = engine.model.reading_profile(self.long_rate, self.rules.piece_tokens);
        let pause_ms = profile.longest_pause_ms(cached, uncached);
        ReadingCost { copy, copy_ms, units, read_ms: units / engine.model.rate(), pause_ms }
    }

    /// Milliseconds within which reading should begin to meet the objective. A request that cannot
    /// meet it at all does not have to be the first.
    fn start_within_ms(&self, request: &PlacementRequest, own_ms: f64) -> f64 {
        let objective = f64::from(request.objective_ms);
        let left = objective - own_ms - FIRST_EVENT_OVERHEAD_MS - self.rules.margin_ms;
        left.max(objective * self.rules.never_in_time_wait)
    }

    /// The longest time that a request may wait for other prompts, in milliseconds.
    fn allowed_ms(
        &self,
        request: &PlacementRequest,
        start_within_ms: f64,
        usage: ShareUsage,
    ) -> f64 {
        let rules = self.rules;
        let objective = f64::from(request.objective_ms);
        if usage.is_above() {
            let relative = usage.relative.max(MIN_RELATIVE_SERVICE);
            return start_within_ms.min(objective * rules.above_share / (relative * relative));
        }
        match usage.fulfilment < rules.underserved {
            true => start_within_ms.max(objective * rules.underserved_wait),
            false => start_within_ms,
        }
    }

    /// Extra cost of an engine in another region, in milliseconds of waiting.
    fn region_cost_ms(&self, engine: &Engine) -> f64 {
        match are_distinct_regions(self.from_region, &engine.region) {
            true => self.rules.other_region_cost_ms,
            false => 0.0,
        }
    }

    /// Milliseconds of the round trip to an engine, beyond those within a region.
    fn region_round_trip_ms(&self, engine: &Engine) -> f64 {
        match are_distinct_regions(self.from_region, &engine.region) {
            true => self.rules.other_region_round_trip_ms,
            false => 0.0,
        }
    }

    /// Whether an engine may be sent the request at all.
    fn is_candidate(&self, engine: &Engine, request: &PlacementRequest) -> bool {
        engine.accepts_requests()
            && engine.service == request.service
            && !engine.rests.is_resting(self.now, self.router)
            && request.eligibility.allows(engine.candidate())
            && !request.avoid.contains(&engine.id)
    }

    /// The engines from which parts of the prompt can be copied.
    fn copy_sources(&self, request: &PlacementRequest) -> CopySources<'_> {
        let between_regions = self.rules.copies_between_regions;
        CopySources::find(self.now, self.engines, self.found, request, between_regions)
    }
}

/// Memory that a request occupies until it ends, in tokens, without the parts of its prompt that
/// other requests share: all but the last.
pub fn memory_tokens(parts: &[(u64, u32)], prompt_tokens: u32, output_tokens: u32) -> u64 {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let shared: u32 = shared.iter().map(|(_, tokens)| *tokens).sum();
    u64::from(prompt_tokens.saturating_sub(shared)) + u64::from(output_tokens)
}
