//! How reading a long prompt stretches the pauses of the streams at its engine.
//!
//! An engine reads a prompt in pieces, one before each step of all that runs, and a
//! piece takes longer the more of the prompt has been read. An event of a stream takes
//! several steps, so from some length on a prompt makes the events of every stream there
//! come later than their callers were promised.

use super::engine::{RequestKey, reading_units};
use crate::dispatch::Millis;
use crate::wire::HostId;

/// Milliseconds of a step that reads nothing: between those of engines seen, 3 to 6. It
/// is a tenth of a step that reads, so callers notice no error in it.
const STEP_MS: f64 = 5.0;
/// Units of a prompt from which on its reading says how long pieces take: with shorter
/// ones the time to a first event outweighs that of reading, which callers notice as
/// pauses that nobody foresaw.
pub const TELLING_UNITS: f64 = 8_192.0;
/// Part of a promised pause from which a prompt counts as stretching it: what is not
/// modelled, such as prompts read back to back and the way to the caller, takes the rest.
const PROMISED_PART: f64 = 0.75;
/// Milliseconds over which the number of long prompts is averaged: some times the life of
/// a stream, so that the part of the engines kept for them follows the mix of requests
/// and not each arrival.
const MEMORY_MS: f64 = 4_000.0;
/// Engines kept for each long prompt that is under way: arrivals come in clumps, and who
/// finds no engine free makes callers' streams late.
const ENGINES_EACH: f64 = 1.3;
/// Most of a service's engines that are kept for long prompts: other callers' first
/// events must not wait for them.
const MOST_KEPT: f64 = 0.5;

/// How an engine reads.
#[derive(Clone, Copy, Debug)]
pub struct Reader {
    /// Tokens of an empty context read in a millisecond.
    pub rate: f64,
    /// Tokens in one event of a stream, one for each step.
    pub tokens_per_event: u32,
    /// Tokens of a prompt read before a step.
    pub piece_tokens: u32,
}

impl Reader {
    /// Milliseconds of the longest pause that reading `uncached` tokens behind `cached`
    /// ones makes: that of the last pieces, which are the dearest.
    pub fn longest_pause_ms(&self, cached: u32, uncached: u32) -> f64 {
        let within = self.tokens_per_event.saturating_mul(self.piece_tokens).min(uncached);
        let before = cached + uncached - within;
        f64::from(self.tokens_per_event) * STEP_MS + reading_units(before, within) / self.rate
    }
}

/// Whether a pause of that length breaks a promise.
pub fn is_stretched(pause_ms: f64, promised_ms: u32) -> bool {
    promised_ms > 0 && pause_ms > f64::from(promised_ms) * PROMISED_PART
}

/// The streams of an engine whose pauses have been as promised.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    in_time: Vec<(RequestKey, u32)>,
}

impl Streams {
    /// A stream that was promised pauses of at most so many milliseconds; 0 for none.
    pub fn begin(&mut self, key: RequestKey, promised_ms: u32) {
        if promised_ms > 0 {
            self.in_time.push((key, promised_ms));
        }
    }

    /// A stream has ended.
    pub fn end(&mut self, key: RequestKey) {
        if let Some(at) = self.in_time.iter().position(|(other, _)| *other == key) {
            self.in_time.swap_remove(at);
        }
    }

    /// How many a pause would make late.
    pub fn harmed_by(&self, pause_ms: f64) -> usize {
        self.in_time.iter().filter(|(_, promised)| is_stretched(pause_ms, *promised)).count()
    }

    /// A pause comes: who is late by it has no more to lose.
    pub fn stretch(&mut self, pause_ms: f64) {
        self.in_time.retain(|(_, promised)| !is_stretched(pause_ms, *promised));
    }
}

/// Long prompts of a service that are under way, from which follows how many of its
/// engines are kept for them.
#[derive(Clone, Debug, Default)]
pub struct LongPrompts {
    open: Vec<RequestKey>,
    mean: f64,
    at: Millis,
}

impl LongPrompts {
    /// One is placed.
    pub fn begin(&mut self, now: Millis, key: RequestKey) {
        self.advance(now);
        self.open.push(key);
    }

    /// A request has ended, a long one or not.
    pub fn end(&mut self, now: Millis, key: RequestKey) {
        if let Some(at) = self.open.iter().position(|other| *other == key) {
            self.advance(now);
            self.open.swap_remove(at);
        }
    }

    /// All requests of a router are over.
    pub fn drop_router(&mut self, now: Millis, router: HostId) {
        self.advance(now);
        self.open.retain(|key| key.0 != router);
    }

    /// The part of so many engines that is kept for long prompts.
    pub fn part_of(&self, engines: usize) -> f64 {
        (self.mean * ENGINES_EACH / engines.max(1) as f64).min(MOST_KEPT)
    }

    fn advance(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.at) as f64;
        self.at = now;
        self.mean += (self.open.len() as f64 - self.mean) * (1.0 - (-passed / MEMORY_MS).exp());
    }
}
