//! How fast prompts are read, as learnt from those that were.

/// Milliseconds of observations that a guess counts for: some four prompts, after which
/// what was seen weighs more.
const INITIAL_RATE_MS: f64 = 250.0;

/// A rate that starts from a guess and moves to what is observed.
#[derive(Clone, Copy, Debug)]
pub struct ReadingRate {
    /// Tokens of an empty context read in a millisecond, before anything was observed.
    initial: f64,
    /// Milliseconds of observations that the guess still counts for.
    initial_ms: f64,
    units: f64,
    ms: f64,
    /// Weight of what was learnt before, at each new observation.
    decay: f64,
}

impl ReadingRate {
    /// A rate of which nothing has been observed.
    pub fn new(initial: f64, decay: f64) -> ReadingRate {
        ReadingRate { initial, initial_ms: INITIAL_RATE_MS, units: 0.0, ms: 0.0, decay }
    }

    /// A better guess.
    pub fn set_initial(&mut self, initial: f64) {
        self.initial = initial;
    }

    /// The guess.
    pub fn initial(&self) -> f64 {
        self.initial
    }

    /// A prompt of `units` took so many milliseconds.
    pub fn observe(&mut self, units: f64, ms: f64) {
        self.initial_ms *= self.decay;
        self.units = self.units * self.decay + units;
        self.ms = self.ms * self.decay + ms;
    }

    /// Tokens of an empty context read in a millisecond, as learnt.
    pub fn get(&self) -> f64 {
        (self.units + self.initial * self.initial_ms) / (self.ms + self.initial_ms)
    }
}
