//! A model of one engine: what it has still to read, what it keeps, how fast it
//! reads.

use std::collections::{HashMap, VecDeque};

use super::cache::PartCache;
use crate::dispatch::Millis;
use crate::wire::HostId;

/// Names a request: its router and its number there.
pub type RequestKey = (HostId, u64);

/// Context at which attention makes reading a token twice as dear, in tokens.
const ATTENTION_TOKENS: f64 = 60_000.0;
/// Milliseconds to a first event beyond the reading of prompts.
pub const FIXED_MS: f64 = 55.0;
/// Weight of what was learnt before, at each new observation.
const MEMORY: f64 = 0.97;
/// Milliseconds of observations that the guess of the reading rate counts for.
const GUESS_MS: f64 = 1_000.0;
/// How far learning may move the reading rate from its start.
const RATE_RANGE: (f64, f64) = (0.4, 4.0);
/// Part of the engine's memory that kept parts and running requests may fill.
const USABLE_MEMORY: f64 = 0.92;
/// Shortest and longest time for which a failing engine is left out.
const LEFT_OUT_MS: (Millis, Millis) = (400, 5_000);
/// Failures in a row after which an engine is left out.
const TOLERATED: u32 = 2;

#[derive(Clone, Debug)]
struct Pending {
    key: RequestKey,
    parts: Vec<(u64, u32)>,
    units: f64,
    since: Millis,
}

/// One engine as a placer sees it.
#[derive(Clone, Debug)]
pub struct EngineModel {
    slots: u32,
    memory_tokens: u64,
    pending: VecDeque<Pending>,
    head_since: Millis,
    running: HashMap<RequestKey, u64>,
    running_tokens: u64,
    cache: PartCache,
    start_rate: f64,
    reading_share: f64,
    busy_until: f64,
    guess_ms: f64,
    learnt_units: f64,
    learnt_ms: f64,
    failures: u32,
    left_out_until: Millis,
}

/// The cost of reading `uncached` tokens behind `cached` ones, in tokens of an
/// empty context.
fn reading_units(cached: u32, uncached: u32) -> f64 {
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
            head_since: 0,
            running: HashMap::new(),
            running_tokens: 0,
            cache: PartCache::default(),
            start_rate: rate,
            reading_share,
            busy_until: 0.0,
            guess_ms: GUESS_MS,
            learnt_units: 0.0,
            learnt_ms: 0.0,
            failures: 0,
            left_out_until: 0,
        }
    }

    /// The part of its time that may go into reading from now on.
    pub fn set_reading_share(&mut self, share: f64) {
        self.reading_share = share;
    }

    /// A better guess of the tokens read in a millisecond: it depends on how many
    /// engines there are, which register one after the other.
    pub fn set_guess(&mut self, rate: f64) {
        self.start_rate = rate;
    }

    /// Tokens read in a millisecond, as learnt.
    pub fn rate(&self) -> f64 {
        let (low, high) = RATE_RANGE;
        let guessed_units = self.start_rate * self.guess_ms;
        let learnt = (self.learnt_units + guessed_units) / (self.learnt_ms + self.guess_ms);
        learnt.clamp(self.start_rate * low, self.start_rate * high)
    }

    /// Milliseconds until all that was placed here has been read.
    pub fn backlog_ms(&self, now: Millis) -> f64 {
        let Some(head) = self.pending.front() else { return 0.0 };
        let rate = self.rate();
        let spent = now.saturating_sub(self.head_since) as f64;
        let head_ms = head.units / rate;
        let behind: f64 = self.pending.iter().skip(1).map(|p| p.units).sum();
        // A head that is overdue says that the engine is slower than thought.
        let head_left = match spent <= head_ms + FIXED_MS {
            true => (head_ms - spent).max(0.0),
            false => (spent - head_ms - FIXED_MS) / 2.0,
        };
        head_left + behind / rate
    }

    /// Milliseconds until an engine that reads only for its share of the time
    /// would have read all that was placed here.
    pub fn paced_backlog_ms(&self, now: Millis) -> f64 {
        self.backlog_ms(now).max(self.busy_until - now as f64)
    }

    /// Milliseconds that reading a prompt takes here, when `copied` of its tokens
    /// come from another engine.
    pub fn own_ms(&self, parts: &[(u64, u32)], prompt_tokens: u32, copied: u32) -> f64 {
        self.own_units(parts, prompt_tokens, copied) / self.rate()
    }

    fn own_units(&self, parts: &[(u64, u32)], prompt_tokens: u32, copied: u32) -> f64 {
        let cached = (self.cache.matched(parts) + copied).min(prompt_tokens);
        reading_units(cached, prompt_tokens - cached)
    }

    /// Tokens of a prompt that are kept here, or will be when it is read.
    pub fn matched(&self, parts: &[(u64, u32)]) -> u32 {
        self.cache.matched(parts)
    }

    /// Tokens of a prompt that another engine can copy from here.
    pub fn copyable(&self, parts: &[(u64, u32)]) -> u32 {
        self.cache.copyable(parts)
    }

    /// Whether it can take one more request of this size.
    pub fn has_room(&self, tokens: u64) -> bool {
        let requests = self.pending.len() + self.running.len();
        let memory = self.usable_memory();
        let fits = requests == 0 || self.running_tokens + tokens <= memory;
        requests < self.slots as usize && fits
    }

    /// Whether it is left out after failures.
    pub fn is_left_out(&self, now: Millis) -> bool {
        now < self.left_out_until
    }

    /// Requests placed here that have not ended.
    pub fn requests(&self) -> usize {
        self.running.len()
    }

    /// A request is placed here.
    pub fn place(
        &mut self,
        now: Millis,
        key: RequestKey,
        parts: &[(u64, u32)],
        prompt_tokens: u32,
        copied: u32,
        tokens: u64,
    ) {
        let units = self.own_units(parts, prompt_tokens, copied);
        let paced = units / self.rate() / self.reading_share;
        self.busy_until = self.busy_until.max(now as f64) + paced;
        if self.pending.is_empty() {
            self.head_since = now;
        }
        self.pending.push_back(Pending { key, parts: parts.to_vec(), units, since: now });
        self.running.insert(key, tokens);
        self.running_tokens += tokens;
        let memory = self.usable_memory();
        // What runs shares its parts with what is kept.
        self.cache.touch(parts, memory);
    }

    /// Prompt parts were read here, as another placer decided.
    pub fn keep(&mut self, parts: &[(u64, u32)]) {
        self.cache.touch(parts, self.usable_memory());
        self.cache.set_read(parts);
    }

    /// A request runs here that another placer sent.
    pub fn adopt_running(&mut self, key: RequestKey, parts: &[(u64, u32)], tokens: u64) {
        self.keep(parts);
        self.running.insert(key, tokens);
        self.running_tokens += tokens;
    }

    fn usable_memory(&self) -> u64 {
        (self.memory_tokens as f64 * USABLE_MEMORY) as u64
    }

    /// The first event of a request came.
    pub fn begun(&mut self, now: Millis, key: RequestKey) {
        let Some(at) = self.pending.iter().position(|p| p.key == key) else { return };
        let Some(begun) = self.pending.remove(at) else { return };
        self.failures = 0;
        self.left_out_until = 0;
        self.cache.set_read(&begun.parts);
        if at != 0 {
            return;
        }
        let idle_before = begun.since == self.head_since;
        let fixed = if idle_before { FIXED_MS } else { 0.0 };
        let took = (now.saturating_sub(self.head_since) as f64 - fixed).max(1.0);
        self.guess_ms *= MEMORY;
        self.learnt_units = self.learnt_units * MEMORY + begun.units;
        self.learnt_ms = self.learnt_ms * MEMORY + took;
        self.head_since = now;
    }

    /// A request has ended, however.
    pub fn ended(&mut self, now: Millis, key: RequestKey) {
        if let Some(tokens) = self.running.remove(&key) {
            self.running_tokens -= tokens;
        }
        if let Some(at) = self.pending.iter().position(|p| p.key == key) {
            self.pending.remove(at);
            if at == 0 {
                self.head_since = now;
            }
        }
    }

    /// A request failed here.
    pub fn failed(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures >= TOLERATED {
            let (least, most) = LEFT_OUT_MS;
            let doubled = least << (self.failures - TOLERATED).min(6);
            self.left_out_until = now + doubled.min(most);
        }
    }

    /// All requests of a router are over.
    pub fn drop_router(&mut self, now: Millis, router: HostId) {
        let keys: Vec<_> = self.running.keys().filter(|k| k.0 == router).copied().collect();
        for key in keys {
            self.ended(now, key);
        }
    }
}
