//! Learned rate at which prompts are read.

/// Milliseconds of observations that the initial rate counts for: some four prompts, after which
/// observations have more weight.
const INITIAL_RATE_MS: f64 = 250.0;

/// A rate that starts from an initial estimate and moves to the observed values.
#[derive(Clone, Copy, Debug)]
pub struct ReadingRate {
    /// Initial estimate, in tokens of an empty context per millisecond.
    initial: f64,
    /// Milliseconds of observations that the initial estimate still counts for.
    initial_ms: f64,
    units: f64,
    ms: f64,
    /// Weight of the earlier observations at each new one.
    decay: f64,
}

impl ReadingRate {
    /// A rate without observations.
    pub fn new(initial: f64, decay: f64) -> ReadingRate {
        ReadingRate { initial, initial_ms: INITIAL_RATE_MS, units: 0.0, ms: 0.0, decay }
    }

    /// Replaces the initial estimate.
    pub fn set_initial(&mut self, initial: f64) {
        self.initial = initial;
    }

    /// The initial estimate.
    pub fn initial(&self) -> f64 {
        self.initial
    }

    /// Records that reading a prompt of `units` took `ms` milliseconds.
    pub fn observe(&mut self, units: f64, ms: f64) {
        self.initial_ms *= self.decay;
        self.units = self.units * self.decay + units;
        self.ms = self.ms * self.decay + ms;
    }

    /// The learned rate, in tokens of an empty context per millisecond.
    pub fn get(&self) -> f64 {
        (self.units + self.initial * self.initial_ms) / (self.ms + self.initial_ms)
    }
}
