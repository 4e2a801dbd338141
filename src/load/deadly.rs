//! Whether requests with a part that crashes engines stop reaching engines, and whether all others
//! go on being answered.

use std::time::Duration;

use tokio::time::Instant;

/// Runs with the part after which it has to become known to all routers.
const KNOWN_AFTER_RUNS: usize = 5;
/// How long it may take to become known.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Runs that may follow after that.
const MAX_LATE_RUNS: usize = 3;
/// Requests without the part before and after that from which on their shares of answers are
/// compared.
const MIN_COMPARED: usize = 20;

/// Numbers of requests without the part.
#[derive(Clone, Copy, Debug, Default)]
struct Sound {
    sent: usize,
    answered: usize,
}

/// Requests with and without the part.
#[derive(Clone, Debug, Default)]
pub struct DeadlyParts {
    /// When those with the part were sent that may have run, in the order of their answers.
    runs: Vec<Instant>,
    /// Requests without the part that were sent before the first run with it, and after it had to
    /// be known.
    before: Sound,
    after: Sound,
}

impl DeadlyParts {
    /// Records that a request with the part, sent then, may have run.
    pub fn record_run(&mut self, sent: Instant) {
        self.runs.push(sent);
    }

    /// Records that a request without the part is sent.
    pub fn record_sound(&mut self, sent: Instant) {
        if let Some(sound) = self.sound_at(sent) {
            sound.sent += 1;
        }
    }

    /// Records that a request without the part, sent then, was answered completely.
    pub fn record_answered(&mut self, sent: Instant) {
        if let Some(sound) = self.sound_at(sent) {
            sound.answered += 1;
        }
    }

    fn known_at(&self) -> Option<Instant> {
        self.runs.get(KNOWN_AFTER_RUNS - 1).map(|sent| *sent + PROPAGATION_TIME)
    }

    fn sound_at(&mut self, sent: Instant) -> Option<&mut Sound> {
        if self.runs.is_empty() {
            return Some(&mut self.before);
        }
        self.known_at().is_some_and(|known_at| sent > known_at).then_some(&mut self.after)
    }

    /// Number of requests with the part that may have run.
    pub fn runs(&self) -> u64 {
        self.runs.len() as u64
    }

    /// Number of those that were sent after the part had to be known.
    pub fn late_runs(&self) -> u64 {
        let known_at = self.known_at();
        self.runs.iter().filter(|sent| known_at.is_some_and(|at| **sent > at)).count() as u64
    }

    /// Whether too many with the part ran too late, or those without it were answered less than
    /// half as often afterwards as before.
    pub fn is_violated(&self) -> bool {
        let Sound { sent, answered } = self.after;
        let can_compare = sent >= MIN_COMPARED && self.before.sent >= MIN_COMPARED;
        let is_halved = 2 * answered * self.before.sent < self.before.answered * sent;
        self.late_runs() > MAX_LATE_RUNS as u64 || can_compare && is_halved
    }
}
