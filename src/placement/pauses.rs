//! Effect of reading a long prompt on the pauses of the streams at its engine.
//!
//! An engine reads a prompt in pieces, one before each step of the running requests, and a piece
//! takes longer the more of the prompt has been read. An event of a stream takes several steps, so
//! prompts above some length delay the events of every stream at the engine beyond what callers
//! were promised. Times to first events do not show this.
//!
//! The load behind this module: prompts that are long enough to do so, among streams of one or two
//! seconds. Placed by earliest first event, they made 22 in 100 of the shorter streams late on 140
//! engines; placed where they delay the fewest streams that are still in time, 2 in 100 (of all
//! such requests of a simulated day; the table is in `docs/design/long-prompts.md`).

use super::engine::{RequestKey, reading_units};

/// Milliseconds of a step that reads nothing: 3 to 6 for a large model. A step that reads takes ten
/// times as long, so callers do not notice an error in this value.
const STEP_MS: f64 = 5.0;
/// Cost in units from which on a prompt is used to learn how long pieces take. In shorter prompts
/// the fixed part of the time to a first event hides it; rates learned from those would allow
/// pauses longer than promised.
pub const LONG_READING_UNITS: f64 = 8_192.0;
/// Fraction of a promised pause above which a predicted pause counts as too long. The rest is left
/// for effects that are not modelled, such as prompts read back to back and the network path to the
/// caller.
const PROMISE_FRACTION: f64 = 0.75;

/// Parameters of how an engine reads long prompts.
#[derive(Clone, Copy, Debug)]
pub struct ReadingProfile {
    /// Reading rate in tokens of an empty context per millisecond.
    pub rate: f64,
    /// Tokens in one event of a stream, one for each step.
    pub tokens_per_event: u32,
    /// Tokens of a prompt read before a step.
    pub piece_tokens: u32,
}

impl ReadingProfile {
    /// The longest pause in milliseconds that reading `uncached` tokens behind `cached` ones causes
    /// for streams: the one around the last pieces, which take longest.
    pub fn longest_pause_ms(&self, cached: u32, uncached: u32) -> f64 {
        let within = self.tokens_per_event.saturating_mul(self.piece_tokens).min(uncached);
        let before = cached + uncached - within;
        f64::from(self.tokens_per_event) * STEP_MS + reading_units(before, within) / self.rate
    }
}

/// Whether a pause of `pause_ms` is too long for a stream that was promised `promised_ms`; 0
/// promises nothing.
pub fn exceeds_promise(pause_ms: f64, promised_ms: u32) -> bool {
    promised_ms > 0 && pause_ms > f64::from(promised_ms) * PROMISE_FRACTION
}

/// The streams of an engine without a pause longer than promised.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    in_time: Vec<(RequestKey, u32)>,
}

impl Streams {
    /// Adds a stream that was promised pauses of at most `promised_ms`; 0 for no promise.
    pub fn add(&mut self, key: RequestKey, promised_ms: u32) {
        if promised_ms > 0 {
            self.in_time.push((key, promised_ms));
        }
    }

    /// Removes a stream that has ended.
    pub fn remove(&mut self, key: RequestKey) {
        if let Some(at) = self.in_time.iter().position(|(other, _)| *other == key) {
            self.in_time.swap_remove(at);
        }
    }

    /// Number of streams for which a pause would be too long.
    pub fn count_exceeded(&self, pause_ms: f64) -> usize {
        self.in_time.iter().filter(|(_, promised)| exceeds_promise(pause_ms, *promised)).count()
    }

    /// Records a pause. Streams for which it is too long are late already and are no longer
    /// counted.
    pub fn record_pause(&mut self, pause_ms: f64) {
        self.in_time.retain(|(_, promised)| !exceeds_promise(pause_ms, *promised));
    }
}
