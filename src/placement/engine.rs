//! A model of one engine: what it has still to read, and how fast it reads.

use std::collections::{HashMap, VecDeque};

use super::message::PromptParts;
use super::pauses::{ReadingProfile, Streams};
use super::queue::Pace;
use super::rate::ReadingRate;
use super::timing::{FIRST_EVENT_OVERHEAD_MS, Timing};
use crate::dispatch::Millis;
use crate::wire::HostId;

/// Names a request: its router and its number there.
pub type RequestKey = (HostId, u64);

/// Context at which attention makes reading a token twice as dear, in tokens.
const ATTENTION_TOKENS: f64 = 60_000.0;
/// Weight of what was learnt before, at each new observation.
const RATE_DECAY: f64 = 0.97;
/// Weight of the newest observation in the lateness of an engine: five prompts are
/// remembered. Chosen, not measured.
const LATENESS_WEIGHT: f64 = 0.2;
/// Milliseconds in which the lateness of an engine halves by itself: within an
/// objective it is tried again. Chosen; without it an engine once late stayed unused.
const LATENESS_HALF_LIFE_MS: f64 = 200.0;
/// Less lateness than this counts as none, in milliseconds.
const MIN_LATENESS_MS: f64 = 0.01;
/// How far learning may move the reading rate from its start.
const RATE_RANGE: (f64, f64) = (0.4, 4.0);
/// Part of the engine's memory that kept parts and running requests may fill.
const USABLE_MEMORY: f64 = 0.92;
/// Shortest and longest time for which a failing engine is left out.
const EXCLUSION_MS: (Millis, Millis) = (400, 5_000);
/// Milliseconds within which requests may arrive in another order than they were
/// sent in: the way through a router behind its work, or a copy of prompt parts.
/// Routers refuse from 40 ms of lag on; three times that and a copy.
const MAX_REORDERING_MS: Millis = 150;
/// Failures in a row after which an engine is left out.
const FAILURES_TO_EXCLUDE: u32 = 2;

#[derive(Clone, Debug)]
struct Pending {
    key: RequestKey,
    parts: PromptParts,
    units: f64,
    since: Millis,
    /// When its prompt should have been read, on the clock.
    read_by: f64,
}

/// How long an engine took to read a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The cost of reading it, in tokens of an empty context.
    pub units: f64,
    /// Milliseconds that it took.
    pub ms: f64,
}

/// What the first event of a request says.
#[derive(Clone, Debug, PartialEq)]
pub struct FirstEvent {
    /// The prompt parts that were read.
    pub parts: PromptParts,
    /// How long that took, where it is known.
    pub observed: Option<Observation>,
}

/// One engine as a placer sees it.
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
    /// When all that was sent should have been read, on the clock.
    read_until: f64,
    lateness_ms: f64,
    lateness_at: Millis,
    /// What follows from the prompts to be read and the rate.
    timing: Timing,
    rate: f64,
    failures: u32,
    excluded_until: Millis,
}

/// The cost of reading `uncached` tokens behind `cached` ones, in tokens of an
/// empty context.
pub fn reading_units(cached: u32, uncached: u32) -> f64 {
    let context = f64::from(cached) + f64::from(uncached) / 2.0;
    f64::from(uncached) * (1.0 + context / ATTENTION_TOKENS)
}

impl EngineModel {
    /// An idle engine that keeps nothing; `rate` is the guess of tokens read in a
    /// millisecond, `reading_share` the part of its time that may go into it.
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

    /// Tokens in one event of its streams.
    pub fn set_tokens_per_event(&mut self, tokens: u32) {
        self.tokens_per_event = tokens.max(1);
    }

    /// How it reads long prompts, so many units a millisecond in pieces of so many tokens.
    pub fn reading_profile(&self, rate: f64, piece_tokens: u32) -> ReadingProfile {
        ReadingProfile { rate, tokens_per_event: self.tokens_per_event, piece_tokens }
    }

    /// Its streams whose pauses have been as promised.
    pub fn streams(&self) -> &Streams {
        &self.streams
    }

    /// A stream is placed here that was promised such pauses, beside a prompt that makes
    /// one of `stretched_ms`.
    pub fn add_stream(&mut self, key: RequestKey, promised_ms: u32, pause_ms: f64) {
        self.streams.record_pause(pause_ms);
        self.streams.add(key, promised_ms);
    }

    /// The part of its time that may go into reading from now on.
    pub fn set_reading_share(&mut self, share: f64) {
        self.reading_share = share;
    }

    /// A better guess of the tokens read in a millisecond, from what other engines of
    /// its service read.
    pub fn set_initial_rate(&mut self, rate: f64) {
        self.reading_rate.set_initial(rate);
        self.refresh();
    }

    /// Tokens read in a millisecond, as learnt.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Works out what follows from the prompts to be read and from what was learnt.
    fn refresh(&mut self) {
        let (low, high) = RATE_RANGE;
        let initial = self.reading_rate.initial();
        self.rate = self.reading_rate.get().clamp(initial * low, initial * high);
        let units = self.pending.iter().map(|p| p.units);
        self.timing = Timing::new(self.head_since, self.rate, units);
    }

    /// Milliseconds until all that was placed here has been read.
    pub fn backlog_ms(&self, now: Millis) -> f64 {
        self.timing.backlog_ms(now)
    }

    /// How fast it reads, and what it has still to read.
    pub fn pace(&self, now: Millis) -> Pace {
        Pace {
            ms_per_unit: 1.0 / (self.rate() * self.reading_share),
            backlog_ms: self.backlog_ms(now),
            lateness_ms: self.lateness_ms(now),
        }
    }

    /// Whether it can take one more request of this size.
    pub fn has_room(&self, tokens: u64) -> bool {
        let requests = self.pending.len() + self.running.len();
        let memory = self.usable_memory();
        let fits = requests == 0 || self.running_tokens + tokens <= memory;
        requests < self.slots as usize && fits
    }

    /// Whether it is left out after failures.
    pub fn is_excluded(&self, now: Millis) -> bool {
        now < self.excluded_until
    }

    /// Whether the prompt that it reads takes so long that something is wrong.
    pub fn is_stalled(&self, now: Millis) -> bool {
        self.timing.is_stalled(now)
    }

    /// Requests placed here that have not ended.
    pub fn requests(&self) -> usize {
        self.running.len()
    }

    /// A request of `units` is sent here.
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

    /// A request runs here whose prompt has been read.
    pub fn add_running(&mut self, key: RequestKey, tokens: u64) {
        self.running.insert(key, tokens);
        self.running_tokens += tokens;
    }

    /// Tokens that kept parts and running requests may fill.
    pub fn usable_memory(&self) -> u64 {
        (self.memory_tokens as f64 * USABLE_MEMORY) as u64
    }

    /// The first event of a request came.
    pub fn record_first_event(&mut self, now: Millis, key: RequestKey) -> Option<FirstEvent> {
        let at = self.pending.iter().position(|p| p.key == key)?;
        let started = self.pending.remove(at)?;
        self.failures = 0;
        self.excluded_until = 0;
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

    /// Engines read in the order of arrival: what was sent well before a request
    /// that has begun has been read too, or never came. Its router may be cut off
    /// and cannot say so.
    fn drop_overtaken(&mut self, started: &Pending, at: usize) -> bool {
        let before = self.pending.len();
        let mut index = 0;
        self.pending.retain(|pending| {
            index += 1;
            index > at || pending.since + MAX_REORDERING_MS > started.since
        });
        self.pending.len() < before
    }

    /// The engine has more to do than was sent from here, or is slower than thought.
    fn record_lateness(&mut self, now: Millis, late_ms: f64) {
        let before = self.lateness_ms(now);
        self.lateness_ms = before + (late_ms.max(0.0) - before) * LATENESS_WEIGHT;
        self.lateness_at = now;
    }

    /// Milliseconds by which prompts are read later than planned. It fades: an
    /// engine that gets nothing for it could not show that it is over.
    fn lateness_ms(&self, now: Millis) -> f64 {
        if self.lateness_ms < MIN_LATENESS_MS {
            return 0.0;
        }
        let passed = now.saturating_sub(self.lateness_at) as f64;
        self.lateness_ms * 0.5_f64.powf(passed / LATENESS_HALF_LIFE_MS)
    }

    /// The engine goes on to the next prompt, at `at` or when it was sent.
    fn start_head(&mut self, at: f64) {
        if let Some(head) = self.pending.front() {
            self.head_since = at.max(head.since as f64);
        }
    }

    /// A request has ended, however.
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

    /// A request failed here.
    pub fn record_failure(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures >= FAILURES_TO_EXCLUDE {
            let (min, max) = EXCLUSION_MS;
            let doubled = min << (self.failures - FAILURES_TO_EXCLUDE).min(6);
            self.excluded_until = now + doubled.min(max);
        }
    }

    /// All requests of a router are over.
    pub fn remove_router(&mut self, now: Millis, router: HostId) {
        let keys: Vec<_> = self.running.keys().filter(|k| k.0 == router).copied().collect();
        for key in keys {
            self.remove_request(now, key);
        }
    }
}
