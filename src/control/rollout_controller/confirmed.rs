//! Whether this host leads for sure: one that was cut off does not hear that another
//! leads, and must not go on granting what the other has stopped.

use crate::dispatch::Millis;

/// Milliseconds between two questions to a majority.
const ASK_EVERY_MS: Millis = 300;
/// Milliseconds after which an answer is not waited for any more.
const ANSWER_MS: Millis = 1_000;
/// Milliseconds for which a majority's answer holds: a few questions may go unanswered
/// while hosts are busy.
const SURE_MS: Millis = 1_200;

/// What a majority said last, and what it is being asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmed {
    /// When the newest question was asked that was answered.
    sure_since: Option<Millis>,
    /// When the newest question was asked.
    asked: Option<Millis>,
    is_waiting: bool,
}

impl Confirmed {
    /// Whether to ask now; it counts as asked then.
    pub fn ask(&mut self, now: Millis) -> bool {
        let pause = if self.is_waiting { ANSWER_MS } else { ASK_EVERY_MS };
        let is_due = self.asked.is_none_or(|asked| now >= asked + pause);
        if is_due {
            self.asked = Some(now);
            self.is_waiting = true;
        }
        is_due
    }

    /// A question was answered that was asked then: this host leads, or not.
    pub fn answered(&mut self, asked: Millis, leads: bool) {
        if self.asked == Some(asked) {
            self.is_waiting = false;
        }
        if leads {
            self.sure_since = self.sure_since.max(Some(asked));
        }
    }

    /// Whether this host leads for sure, or did a moment ago.
    pub fn is_sure(&self, now: Millis) -> bool {
        self.sure_since.is_some_and(|since| now < since + SURE_MS)
    }
}
