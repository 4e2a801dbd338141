//! Effect of reading a long prompt on the pauses of the streams at its engine.
//!
//! An engine reads a prompt in pieces, one before each step of the running requests, and a piece
//! takes longer the more of the prompt has been read. An event of a stream takes several steps, so
//! prompts above some length delay the events of every stream at the engine beyond their
//! pause objectives. Times to first events do not show this.
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
/// pauses longer than the objective.
pub const LONG_READING_UNITS: f64 = 8_192.0;
/// Fraction of a pause objective above which a predicted pause counts as too long. The rest is left
/// for effects that are not modelled, such as prompts read back to back and the network path to the
/// caller.
const OBJECTIVE_FRACTION: f64 = 0.75;

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

/// Whether a pause of `pause_ms` is too long for a stream with a pause objective of `objective_ms`;
/// 0 for no objective.
pub fn exceeds_objective(pause_ms: f64, objective_ms: u32) -> bool {
    objective_ms > 0 && pause_ms > f64::from(objective_ms) * OBJECTIVE_FRACTION
}

/// The streams of an engine without a pause longer than their objective.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    in_time: Vec<(RequestKey, u32)>,
}

impl Streams {
    /// Adds a stream whose pauses should last at most `objective_ms`; 0 for no objective.
    pub fn add(&mut self, key: RequestKey, objective_ms: u32) {
        if objective_ms > 0 {
            self.in_time.push((key, objective_ms));
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
        self.in_time.iter().filter(|(_, objective)| exceeds_objective(pause_ms, *objective)).count()
    }

    /// Records a pause. Streams for which it is too long are late already and are no longer
    /// counted.
    pub fn record_pause(&mut self, pause_ms: f64) {
        self.in_time.retain(|(_, objective)| !exceeds_objective(pause_ms, *objective));
    }
}
