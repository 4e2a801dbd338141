//! How fast prompts are read, as learnt from those that were.

/// Milliseconds of observations that a guess counts for: some four prompts, after which
/// what was seen weighs more.
const GUESS_MS: f64 = 250.0;

/// A rate that starts from a guess and moves to what is observed.
#[derive(Clone, Copy, Debug)]
pub struct ReadingRate {
    /// Tokens of an empty context read in a millisecond, before anything was observed.
    guess: f64,
    /// Milliseconds of observations that the guess still counts for.
    guess_ms: f64,
    units: f64,
    ms: f64,
    /// Weight of what was learnt before, at each new observation.
    memory: f64,
}

impl ReadingRate {
    /// A rate of which nothing has been observed.
    pub fn new(guess: f64, memory: f64) -> ReadingRate {
        ReadingRate { guess, guess_ms: GUESS_MS, units: 0.0, ms: 0.0, memory }
    }

    /// A better guess.
    pub fn set_guess(&mut self, guess: f64) {
        self.guess = guess;
    }

    /// The guess.
    pub fn guess(&self) -> f64 {
        self.guess
    }

    /// A prompt of `units` took so many milliseconds.
    pub fn observe(&mut self, units: f64, ms: f64) {
        self.guess_ms *= self.memory;
        self.units = self.units * self.memory + units;
        self.ms = self.ms * self.memory + ms;
    }

    /// Tokens of an empty context read in a millisecond, as learnt.
    pub fn get(&self) -> f64 {
        (self.units + self.guess * self.guess_ms) / (self.ms + self.guess_ms)
    }
}
