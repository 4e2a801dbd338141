//! How reading a long prompt stretches the pauses of the streams at its engine.
//!
//! An engine reads a prompt in pieces, one before each step of all that runs, and a
//! piece takes longer the more of the prompt has been read. An event of a stream takes
//! several steps, so from some length on a prompt makes the events of every stream there
//! come later than their callers were promised. First events show nothing of it.
//!
//! The load that this answers: some prompts so long that they do so, among streams of a
//! second or two. Placed where the first event came soonest, they made 22 in 100 of the
//! shorter streams late on 140 engines; placed where they harm the fewest streams still
//! in time, 2 in 100 (late of all such requests of a day played; the table is in
//! `docs/design/long-prompts.md`).

use super::engine::{RequestKey, reading_units};

/// Milliseconds of a step that reads nothing: 3 to 6 for a large model. A step that reads
/// takes ten times as long, so callers notice no error in it.
const STEP_MS: f64 = 5.0;
/// Units of a prompt from which on its reading tells how long pieces take. The fixed part
/// of the time to a first event hides it in shorter ones; rates learnt from those would
/// let callers' streams be stretched.
pub const LONG_READING_UNITS: f64 = 8_192.0;
/// Part of a promised pause from which a prompt counts as stretching it: what is not
/// modelled, such as prompts read back to back and the way to the caller, takes the rest.
const PROMISE_FRACTION: f64 = 0.75;

/// How an engine reads.
#[derive(Clone, Copy, Debug)]
pub struct ReadingProfile {
    /// Tokens of an empty context read in a millisecond.
    pub rate: f64,
    /// Tokens in one event of a stream, one for each step.
    pub tokens_per_event: u32,
    /// Tokens of a prompt read before a step.
    pub piece_tokens: u32,
}

impl ReadingProfile {
    /// Milliseconds of the longest pause that reading `uncached` tokens behind `cached`
    /// ones makes: that of the last pieces, which are the dearest.
    pub fn longest_pause_ms(&self, cached: u32, uncached: u32) -> f64 {
        let within = self.tokens_per_event.saturating_mul(self.piece_tokens).min(uncached);
        let before = cached + uncached - within;
        f64::from(self.tokens_per_event) * STEP_MS + reading_units(before, within) / self.rate
    }
}

/// Whether a pause of that length breaks a promise.
pub fn exceeds_promise(pause_ms: f64, promised_ms: u32) -> bool {
    promised_ms > 0 && pause_ms > f64::from(promised_ms) * PROMISE_FRACTION
}

/// The streams of an engine whose pauses have been as promised.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    in_time: Vec<(RequestKey, u32)>,
}

impl Streams {
    /// A stream that was promised pauses of at most so many milliseconds; 0 for none.
    pub fn add(&mut self, key: RequestKey, promised_ms: u32) {
        if promised_ms > 0 {
            self.in_time.push((key, promised_ms));
        }
    }

    /// A stream has ended.
    pub fn remove(&mut self, key: RequestKey) {
        if let Some(at) = self.in_time.iter().position(|(other, _)| *other == key) {
            self.in_time.swap_remove(at);
        }
    }

    /// How many a pause would make late.
    pub fn count_exceeded(&self, pause_ms: f64) -> usize {
        self.in_time.iter().filter(|(_, promised)| exceeds_promise(pause_ms, *promised)).count()
    }

    /// A pause comes: who is late by it has no more to lose.
    pub fn record_pause(&mut self, pause_ms: f64) {
        self.in_time.retain(|(_, promised)| !exceeds_promise(pause_ms, *promised));
    }
}
