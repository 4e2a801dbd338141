//! Model of one engine: the prompts that it has still to read, and its reading rate.

use std::collections::{HashMap, VecDeque};

use super::message::PromptParts;
use super::pauses::{ReadingProfile, Streams};
use super::queue::Pace;
use super::rate::ReadingRate;
use super::timing::{FIRST_EVENT_OVERHEAD_MS, Timing};
use crate::dispatch::Millis;
use crate::wire::HostId;

/// Identifies a request: its router and its number there.
pub type RequestKey = (HostId, u64);

/// Context length in tokens at which attention doubles the cost of reading a token.
const ATTENTION_TOKENS: f64 = 60_000.0;
/// Weight of the earlier observations of the reading rate at each new one.
const RATE_DECAY: f64 = 0.97;
/// Weight of the newest observation in an engine's lateness: an average over about five prompts.
const LATENESS_WEIGHT: f64 = 0.2;
/// Half-life of an engine's lateness in milliseconds, so that it is used again within an
/// objective. Without this decay an engine that was late once stayed unused.
const LATENESS_HALF_LIFE_MS: f64 = 200.0;
/// Lateness in milliseconds below which it counts as none.
const MIN_LATENESS_MS: f64 = 0.01;
/// Lowest and highest learned reading rate, as multiples of the initial rate.
const RATE_RANGE: (f64, f64) = (0.4, 4.0);
/// Fraction of the engine's memory that kept parts and running requests may fill.
const USABLE_MEMORY: f64 = 0.92;
/// Shortest and longest time for which a failing engine is excluded, in milliseconds.
const EXCLUSION_MS: (Millis, Millis) = (400, 5_000);
/// Milliseconds by which a request may arrive at an engine before one that was sent earlier,
/// because of a router's lagging event loop or a copy of prompt parts. Routers refuse requests from
/// 40 ms of lag on; this is three times that plus a copy.
const MAX_REORDERING_MS: Millis = 150;
/// Consecutive failures after which an engine is excluded.
const FAILURES_TO_EXCLUDE: u32 = 2;

#[derive(Clone, Debug)]
struct Pending {
    key: RequestKey,
    parts: PromptParts,
    units: f64,
    since: Millis,
    /// When its prompt should have been read, in milliseconds on the clock.
    read_by: f64,
}

/// Time that an engine took to read a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The cost of reading it, in tokens of an empty context.
    pub units: f64,
    /// The time taken, in milliseconds.
    pub ms: f64,
}

/// The result of a request's first event.
#[derive(Clone, Debug, PartialEq)]
pub struct FirstEvent {
    /// The prompt parts that were read.
    pub parts: PromptParts,
    /// How long reading them took, if known.
    pub observed: Option<Observation>,
}

/// An engine as the placer models it.
#[derive(Clone, Debug)]
pub struct EngineModel {
    slots: u32,
    memory_tokens: u64,
    pending: VecDeque<Pending>,
    head_since: f64,
    running: HashMap<RequestKey, u64>,
    running_tokens: u64,
    tokens_per_event: u32,
    streams: Streams,
    reading_rate: ReadingRate,
    reading_share: f64,
    /// When all prompts sent to it should have been read, in milliseconds on the clock.
    read_until: f64,
    lateness_ms: f64,
    lateness_at: Millis,
    /// Times derived from the pending prompts and the rate.
    timing: Timing,
    rate: f64,
    failures: u32,
    excluded_until: Millis,
}

/// The cost of reading `uncached` tokens behind `cached` ones, in tokens of an empty context.
pub fn reading_units(cached: u32, uncached: u32) -> f64 {
    let context = f64::from(cached) + f64::from(uncached) / 2.0;
    f64::from(uncached) * (1.0 + context / ATTENTION_TOKENS)
}

impl EngineModel {
    /// An idle engine with an empty cache. `rate` is the initial reading rate in tokens per
    /// millisecond, `reading_share` the fraction of its time that may be spent on reading.
    pub fn new(slots: u32, memory_tokens: u64, rate: f64, reading_share: f64) -> EngineModel {
        EngineModel {
            slots,
            memory_tokens,
            pending: VecDeque::new(),
            head_since: 0.0,
            running: HashMap::new(),
            running_tokens: 0,
            tokens_per_event: 1,
            streams: Streams::default(),
            reading_rate: ReadingRate::new(rate, RATE_DECAY),
            reading_share,
            read_until: 0.0,
            lateness_ms: 0.0,
            lateness_at: 0,
            timing: Timing::default(),
            rate,
            failures: 0,
            excluded_until: 0,
        }
    }

    /// Sets the tokens in one event of its streams.
    pub fn set_tokens_per_event(&mut self, tokens: u32) {
        self.tokens_per_event = tokens.max(1);
    }

    /// How it reads long prompts: `rate` in units per millisecond, pieces of `piece_tokens` tokens.
    pub fn reading_profile(&self, rate: f64, piece_tokens: u32) -> ReadingProfile {
        ReadingProfile { rate, tokens_per_event: self.tokens_per_event, piece_tokens }
    }

    /// Its streams without a pause longer than their objective.
    pub fn streams(&self) -> &Streams {
        &self.streams
    }

    /// Adds a stream whose pauses should last at most `objective_ms`; reading its own prompt causes
    /// a pause of `pause_ms` for the streams already here.
    pub fn add_stream(&mut self, key: RequestKey, objective_ms: u32, pause_ms: f64) {
        self.streams.record_pause(pause_ms);
        self.streams.add(key, objective_ms);
    }

    /// Sets the fraction of its time that may be spent on reading from now on.
    pub fn set_reading_share(&mut self, share: f64) {
        self.reading_share = share;
    }

    /// Replaces the initial reading rate, in tokens per millisecond, by one learned from other
    /// engines of its service.
    pub fn set_initial_rate(&mut self, rate: f64) {
        self.reading_rate.set_initial(rate);
        self.refresh();
    }

    /// Tokens read per millisecond, as learned.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Recomputes the rate and the times derived from it and from the pending prompts.
    fn refresh(&mut self) {
        let (low, high) = RATE_RANGE;
        let initial = self.reading_rate.initial();
        self.rate = self.reading_rate.get().clamp(initial * low, initial * high);
        let units = self.pending.iter().map(|p| p.units);
        self.timing = Timing::new(self.head_since, self.rate, units);
    }

    /// Milliseconds until all prompts placed here have been read.
    pub fn backlog_ms(&self, now: Millis) -> f64 {
        self.timing.backlog_ms(now)
    }

    /// Milliseconds to read one unit if it spends only its fraction of the time on reading.
    pub fn ms_per_unit(&self) -> f64 {
        1.0 / (self.rate() * self.reading_share)
    }

    /// When it will have read all prompts placed here and may be sent more, in milliseconds on the
    /// clock.
    pub fn free_at(&self) -> Millis {
        (self.timing.read_until().ceil() as Millis).max(self.excluded_until)
    }

    /// How fast it reads, and how much it has still to read.
    pub fn pace(&self, now: Millis) -> Pace {
        Pace {
            ms_per_unit: self.ms_per_unit(),
            backlog_ms: self.backlog_ms(now),
            lateness_ms: self.lateness_ms(now),
        }
    }

    /// Whether it has room for one more request of this size in tokens.
    pub fn has_room(&self, tokens: u64) -> bool {
        let is_idle = self.pending.is_empty() && self.running.is_empty();
        let fits = is_idle || self.running_tokens + tokens <= self.usable_memory();
        self.has_slot() && fits
    }

    /// Whether it has a slot for one more request.
    pub fn has_slot(&self) -> bool {
        self.pending.len() + self.running.len() < self.slots as usize
    }

    /// Whether it is excluded after failures.
    pub fn is_excluded(&self, now: Millis) -> bool {
        now < self.excluded_until
    }

    /// Whether the prompt that it reads takes so long that the engine is assumed to be stalled.
    pub fn is_stalled(&self, now: Millis) -> bool {
        self.timing.is_stalled(now)
    }

    /// Number of requests placed here that have not ended.
    pub fn requests(&self) -> usize {
        self.running.len()
    }

    /// Records a request sent here: `units` is the cost of reading its prompt, `tokens` the memory
    /// that it occupies.
    pub fn record_sent(
        &mut self,
        now: Millis,
        key: RequestKey,
        parts: &[(u64, u32)],
        units: f64,
        tokens: u64,
    ) {
        if self.pending.is_empty() {
            self.head_since = now as f64;
        }
        self.read_until = self.read_until.max(now as f64) + units / self.rate;
        let read_by = self.read_until;
        self.pending.push_back(Pending { key, parts: parts.to_vec(), units, since: now, read_by });
        self.refresh();
        self.add_running(key, tokens);
    }

    /// Records a running request that occupies `tokens` of memory.
    pub fn add_running(&mut self, key: RequestKey, tokens: u64) {
        self.running.insert(key, tokens);
        self.running_tokens += tokens;
    }

    /// Tokens that kept parts and running requests may fill.
    pub fn usable_memory(&self) -> u64 {
        (self.memory_tokens as f64 * USABLE_MEMORY) as u64
    }

    /// Records the first event of a request.
    pub fn record_first_event(&mut self, now: Millis, key: RequestKey) -> Option<FirstEvent> {
        let at = self.pending.iter().position(|p| p.key == key)?;
        let started = self.pending.remove(at)?;
        // Its prompt had been read some time before its first event.
        let read_at = now as f64 - FIRST_EVENT_OVERHEAD_MS;
        self.record_lateness(now, read_at - started.read_by);
        let overtaken = self.drop_overtaken(&started, at);
        let observed = (at == 0).then(|| Observation {
            units: started.units,
            ms: (read_at - self.head_since).max(1.0),
        });
        if let Some(Observation { units, ms }) = observed {
            self.reading_rate.observe(units, ms);
        }
        if at == 0 || overtaken {
            self.start_head(read_at);
        }
        self.refresh();
        Some(FirstEvent { parts: started.parts, observed })
    }

    /// Drops prompts that must have been read or lost. Engines read in the order of arrival, so a
    /// prompt sent well before one that has been read was read as well or never arrived. Its router
    /// may be cut off and unable to report it.
    fn drop_overtaken(&mut self, started: &Pending, at: usize) -> bool {
        let before = self.pending.len();
        let mut index = 0;
        self.pending.retain(|pending| {
            index += 1;
            index > at || pending.since + MAX_REORDERING_MS > started.since
        });
        self.pending.len() < before
    }

    /// Updates the lateness: the engine has more to read than was sent by this placer, or reads
    /// more slowly than assumed.
    fn record_lateness(&mut self, now: Millis, late_ms: f64) {
        let before = self.lateness_ms(now);
        self.lateness_ms = before + (late_ms.max(0.0) - before) * LATENESS_WEIGHT;
        self.lateness_at = now;
    }

    /// Milliseconds by which prompts are read later than planned. Decays over time, because an
    /// engine that is sent nothing could not show that it has recovered.
    fn lateness_ms(&self, now: Millis) -> f64 {
        if self.lateness_ms < MIN_LATENESS_MS {
            return 0.0;
        }
        let passed = now.saturating_sub(self.lateness_at) as f64;
        self.lateness_ms * 0.5_f64.powf(passed / LATENESS_HALF_LIFE_MS)
    }

    /// Moves the engine on to the next prompt, at `at` or at the time it was sent if that is later.
    fn start_head(&mut self, at: f64) {
        if let Some(head) = self.pending.front() {
            self.head_since = at.max(head.since as f64);
        }
    }

    /// Removes a request that has ended in any way.
    pub fn remove_request(&mut self, now: Millis, key: RequestKey) {
        if let Some(tokens) = self.running.remove(&key) {
            self.running_tokens -= tokens;
            self.streams.remove(key);
        }
        if let Some(at) = self.pending.iter().position(|p| p.key == key) {
            self.pending.remove(at);
            if at == 0 {
                self.start_head(now as f64);
            }
            self.refresh();
        }
    }

    /// Records that a request was answered here, up to the end of its answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.excluded_until = 0;
    }

    /// Records the failure of a request here.
    pub fn record_failure(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures >= FAILURES_TO_EXCLUDE {
            let (min, max) = EXCLUSION_MS;
            let doubled = min << (self.failures - FAILURES_TO_EXCLUDE).min(6);
            self.excluded_until = now + doubled.min(max);
        }
    }

    /// The requests placed here that have not ended.
    pub fn request_keys(&self) -> impl Iterator<Item = RequestKey> + '_ {
        self.running.keys().copied()
    }
}
