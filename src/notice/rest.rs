//! A rest that an endpoint asked for, and its return to work.

use super::Millis;

/// Clocks show whole milliseconds: the one in which it was asked may have only begun.
const CLOCK_STEP_MS: Millis = 1;

/// When a rest is over that was asked for now.
pub(super) fn rest_end(now: Millis, time: Millis) -> Millis {
    now.saturating_add(time).saturating_add(CLOCK_STEP_MS)
}

/// What one endpoint asked of one sender, and how far its return has come.
///
/// The load that it answers: an endpoint that has more to do than it can bear. Until its
/// time is over it gets nothing. Then one request is tried, and only when it is served do
/// others follow: an endpoint that has nothing under way looks like the best one to all who
/// choose the least loaded, and may not be well yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rest {
    /// When it is over; none where none was asked, or the endpoint has served since.
    until: Option<Millis>,
    /// Whether a request that was sent after it is under way.
    is_probing: bool,
}

impl Rest {
    /// It asked for so much time from now on. What it asked before holds on.
    pub fn extend(&mut self, now: Millis, time: Millis) {
        let until = rest_end(now, time);
        self.until = Some(self.until.map_or(until, |before| before.max(until)));
        self.is_probing = false;
    }

    /// Milliseconds that are left of it; none where it is over.
    pub fn remaining(&self, now: Millis) -> Option<Millis> {
        self.until?.checked_sub(now).filter(|left| *left > 0)
    }

    /// Whether it is over, and it is not known yet how the first request went that was
    /// sent since.
    pub fn is_probing(&self, now: Millis) -> bool {
        self.is_probing && self.remaining(now).is_none()
    }

    /// Whether nothing is left of it.
    pub fn is_cleared(&self) -> bool {
        self.until.is_none()
    }

    /// A request is sent.
    pub fn record_sent(&mut self, now: Millis) {
        self.is_probing |= self.until.is_some() && self.remaining(now).is_none();
    }

    /// A request was served. During the rest that says nothing: it had begun before.
    pub fn record_served(&mut self, now: Millis) {
        if self.remaining(now).is_none() {
            *self = Rest::default();
        }
    }

    /// A request has ended, served or not.
    pub fn record_ended(&mut self) {
        self.is_probing = false;
    }
}
