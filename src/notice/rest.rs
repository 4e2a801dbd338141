//! A rest that an endpoint requested, and the probe that ends it.

use super::Millis;

/// Resolution of the clock in milliseconds: the millisecond in which a rest was requested may have
/// only just begun.
const CLOCK_STEP_MS: Millis = 1;

/// When a rest of `time` milliseconds that was requested at `now` is over.
pub(super) fn rest_end(now: Millis, time: Millis) -> Millis {
    now.saturating_add(time).saturating_add(CLOCK_STEP_MS)
}

/// The rest that one endpoint requested from one sender, up to the first request that it serves
/// afterwards.
///
/// Endpoints request a rest when they are overloaded. Until the rest is over they get no requests.
/// Then a single request is sent as a probe, and others follow only once it has been served: an
/// endpoint without requests in flight looks best to every sender that chooses the least loaded
/// endpoint, and may not have recovered yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rest {
    /// When the rest is over; none if none was requested, or the endpoint has served a request
    /// since.
    until: Option<Millis>,
    /// Whether a request that was sent after the rest is in flight.
    is_probing: bool,
}

impl Rest {
    /// Extends the rest to at least `time` milliseconds from now. It never ends sooner than was
    /// requested before.
    pub fn extend(&mut self, now: Millis, time: Millis) {
        let until = rest_end(now, time);
        self.until = Some(self.until.map_or(until, |before| before.max(until)));
        self.is_probing = false;
    }

    /// Milliseconds that remain of the rest; none if it is over.
    pub fn remaining(&self, now: Millis) -> Option<Millis> {
        self.until?.checked_sub(now).filter(|remaining| *remaining > 0)
    }

    /// Whether the rest is over and the first request sent since, the probe, is still in flight.
    pub fn is_probing(&self, now: Millis) -> bool {
        self.is_probing && self.remaining(now).is_none()
    }

    /// Whether there is no rest, nor a probe to be awaited.
    pub fn is_cleared(&self) -> bool {
        self.until.is_none()
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Millis) {
        self.is_probing |= self.until.is_some() && self.remaining(now).is_none();
    }

    /// Records that a request was served, which clears the rest once it is over. A request that is
    /// served during the rest had been sent before, and changes nothing.
    pub fn record_served(&mut self, now: Millis) {
        if self.remaining(now).is_none() {
            *self = Rest::default();
        }
    }

    /// Records that a request ended, served or not.
    pub fn record_ended(&mut self) {
        self.is_probing = false;
    }
}
