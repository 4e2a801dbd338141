//! A model of one engine: what it has still to read, what it keeps, how fast it
//! reads.

use std::collections::{HashMap, VecDeque};

use super::cache::PartCache;
use super::queue::Pace;
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
/// Milliseconds of observations that the guess of the reading rate counts for: some
/// four prompts, after which what was seen weighs more.
const GUESS_MS: f64 = 250.0;
/// Weight of the newest observation in the lateness of an engine: five prompts are
/// remembered. Chosen, not measured.
const LATENESS_PART: f64 = 0.2;
/// Milliseconds in which the lateness of an engine halves by itself: within an
/// objective it is tried again. Chosen; without it an engine once late stayed unused.
const LATENESS_HALF_LIFE_MS: f64 = 200.0;
/// How far learning may move the reading rate from its start.
const RATE_RANGE: (f64, f64) = (0.4, 4.0);
/// Part of the engine's memory that kept parts and running requests may fill.
const USABLE_MEMORY: f64 = 0.92;
/// Shortest and longest time for which a failing engine is left out.
const LEFT_OUT_MS: (Millis, Millis) = (400, 5_000);
/// Milliseconds within which requests may arrive in another order than they were
/// sent in: the way through a router behind its work, or a copy of prompt parts.
/// Routers refuse from 40 ms of lag on; three times that and a copy.
const OVERTAKEN_MS: Millis = 150;
/// Milliseconds beyond twice the time that a prompt should take after which its
/// engine is taken for stalled: less than the shortest objective seen. Chosen.
const STALL_MS: f64 = 250.0;
/// Failures in a row after which an engine is left out.
const TOLERATED: u32 = 2;

#[derive(Clone, Debug)]
struct Pending {
    key: RequestKey,
    parts: Vec<(u64, u32)>,
    units: f64,
    since: Millis,
    /// When its prompt should have been read, on the clock.
    read_by: f64,
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
    cache: PartCache,
    start_rate: f64,
    reading_share: f64,
    /// When all that was sent should have been read, on the clock.
    read_until: f64,
    lateness_ms: f64,
    lateness_at: Millis,
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
            head_since: 0.0,
            running: HashMap::new(),
            running_tokens: 0,
            cache: PartCache::default(),
            start_rate: rate,
            reading_share,
            read_until: 0.0,
            lateness_ms: 0.0,
            lateness_at: 0,
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
        let spent = now as f64 - self.head_since;
        let head_ms = head.units / rate;
        let behind: f64 = self.pending.iter().skip(1).map(|p| p.units).sum();
        // A head that is overdue says that the engine is slower than thought.
        let head_left = match spent <= head_ms + FIXED_MS {
            true => (head_ms - spent).max(0.0),
            false => (spent - head_ms - FIXED_MS) / 2.0,
        };
        head_left + behind / rate
    }

    /// How fast it reads, and what it has still to read.
    pub fn pace(&self, now: Millis) -> Pace {
        Pace {
            ms_per_unit: 1.0 / (self.rate() * self.reading_share),
            backlog_ms: self.backlog_ms(now),
            lateness_ms: self.lateness_ms(now),
        }
    }

    /// The cost of reading a prompt here, in tokens of an empty context, when
    /// `copied` of its tokens come from another engine.
    pub fn own_units(&self, parts: &[(u64, u32)], prompt_tokens: u32, copied: u32) -> f64 {
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

    /// Whether the prompt that it reads takes so long that something is wrong.
    pub fn is_stalled(&self, now: Millis) -> bool {
        let Some(head) = self.pending.front() else { return false };
        let spent = now as f64 - self.head_since;
        spent > 2.0 * head.units / self.rate() + FIXED_MS + STALL_MS
    }

    /// Requests placed here that have not ended.
    pub fn requests(&self) -> usize {
        self.running.len()
    }

    /// A request will be read here: its parts count as kept from now on.
    pub fn reserve(&mut self, parts: &[(u64, u32)]) {
        let memory = self.usable_memory();
        self.cache.touch(parts, memory);
    }

    /// A request of `units` is sent here.
    pub fn send(
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
        self.read_until = self.read_until.max(now as f64) + units / self.rate();
        let read_by = self.read_until;
        self.pending.push_back(Pending { key, parts: parts.to_vec(), units, since: now, read_by });
        self.running.insert(key, tokens);
        self.running_tokens += tokens;
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
        // Its prompt had been read some time before its first event.
        let read_at = now as f64 - FIXED_MS;
        self.note_lateness(now, read_at - begun.read_by);
        let overtaken = self.drop_overtaken(&begun, at);
        if at == 0 {
            let took = (read_at - self.head_since).max(1.0);
            self.guess_ms *= MEMORY;
            self.learnt_units = self.learnt_units * MEMORY + begun.units;
            self.learnt_ms = self.learnt_ms * MEMORY + took;
        }
        if at == 0 || overtaken {
            self.start_head(read_at);
        }
    }

    /// Engines read in the order of arrival: what was sent well before a request
    /// that has begun has been read too, or never came. Its router may be cut off
    /// and cannot say so.
    fn drop_overtaken(&mut self, begun: &Pending, at: usize) -> bool {
        let before = self.pending.len();
        let mut index = 0;
        self.pending.retain(|pending| {
            index += 1;
            index > at || pending.since + OVERTAKEN_MS > begun.since
        });
        self.pending.len() < before
    }

    /// The engine has more to do than was sent from here, or is slower than thought.
    fn note_lateness(&mut self, now: Millis, late_ms: f64) {
        let before = self.lateness_ms(now);
        self.lateness_ms = before + (late_ms.max(0.0) - before) * LATENESS_PART;
        self.lateness_at = now;
    }

    /// Milliseconds by which prompts are read later than planned. It fades: an
    /// engine that gets nothing for it could not show that it is over.
    fn lateness_ms(&self, now: Millis) -> f64 {
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
    pub fn ended(&mut self, now: Millis, key: RequestKey) {
        if let Some(tokens) = self.running.remove(&key) {
            self.running_tokens -= tokens;
        }
        if let Some(at) = self.pending.iter().position(|p| p.key == key) {
            self.pending.remove(at);
            if at == 0 {
                self.start_head(now as f64);
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
