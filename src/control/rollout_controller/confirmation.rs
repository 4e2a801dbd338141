//! Confirms with a majority that this host still leads. A leader that was cut off from the group
//! does not learn of its successor, and must stop publishing grants that the successor has
//! withdrawn.

use crate::dispatch::Millis;

/// Milliseconds between two requests to a majority.
const REQUEST_EVERY_MS: Millis = 300;
/// Milliseconds after which a request counts as unanswered and another is sent.
const ANSWER_TIMEOUT_MS: Millis = 1_000;
/// Milliseconds for which a majority's confirmation is valid, counted from its request. It
/// covers several requests, because busy hosts may leave a few unanswered.
const CONFIRMATION_VALID_MS: Millis = 1_200;

/// The last confirmation by a majority and the last request for one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeadershipConfirmation {
    /// When the newest confirmed request was sent.
    confirmed_since: Option<Millis>,
    /// When the newest request was sent.
    requested_at: Option<Millis>,
    is_waiting: bool,
}

impl LeadershipConfirmation {
    /// Whether a request is due now; if so, it is recorded as sent.
    pub fn start_if_due(&mut self, now: Millis) -> bool {
        let pause = if self.is_waiting { ANSWER_TIMEOUT_MS } else { REQUEST_EVERY_MS };
        let is_due = self.requested_at.is_none_or(|requested_at| now >= requested_at + pause);
        if is_due {
            self.requested_at = Some(now);
            self.is_waiting = true;
        }
        is_due
    }

    /// Records the answer to the request that was sent at `requested_at`.
    pub fn record_answer(&mut self, requested_at: Millis, leads: bool) {
        if self.requested_at == Some(requested_at) {
            self.is_waiting = false;
        }
        if leads {
            self.confirmed_since = self.confirmed_since.max(Some(requested_at));
        }
    }

    /// Whether a majority confirmed within `CONFIRMATION_VALID_MS` that this host leads.
    pub fn is_confirmed(&self, now: Millis) -> bool {
        self.confirmed_since.is_some_and(|since| now < since + CONFIRMATION_VALID_MS)
    }
}
