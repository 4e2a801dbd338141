//! Endpoints whose connections broke a short time ago, and times without control hosts.

use std::collections::HashMap;

use super::CONFIRM_MS;
use crate::dispatch::Millis;

/// Maximum number of endpoints that are kept: more than a fleet loses within
/// [`CONFIRM_MS`].
const MAX_ENDPOINTS: usize = 16_384;

/// Milliseconds within which [`RecentLosses::record_disconnected`] is called again while no
/// control host is followed.
pub const DISCONNECTED_INTERVAL_MS: Millis = 100;

/// Milliseconds between two checks of the feeds from which on this process was stalled: as many as
/// [`CONFIRM_MS`] exceeds a heartbeat by, so that news may be read too late.
pub const STALL_MS: Millis = 300;

/// Milliseconds for which news are waited for after a stall, whether control hosts are followed or
/// not: feeds that ended meanwhile are opened again within 2 s.
const CATCH_UP_MS: Millis = 2_500;

/// The losses of connections to one endpoint that follow each other within [`CONFIRM_MS`].
#[derive(Clone, Copy, Debug)]
struct Losses {
    first_at: Millis,
    last_at: Millis,
}

/// A time in which this router followed no control host.
#[derive(Clone, Copy, Debug)]
struct Disconnection {
    /// From when on news may be missing.
    since: Millis,
    until: Millis,
}

/// When connections to endpoints broke last. Until an endpoint had the time to register again, and
/// this router to receive that, it may run other software than the registered one.
#[derive(Clone, Debug, Default)]
pub struct RecentLosses {
    by_endpoint: HashMap<String, Losses>,
    /// The last time in which this router followed no control host, if there was one.
    disconnection: Option<Disconnection>,
    /// When the one before it ended; 0 if there was none.
    disconnected_before: Millis,
    /// When the feeds of control hosts were checked last.
    checked_at: Option<Millis>,
    /// When the last stall of this process ended, if there was one.
    stalled_until: Option<Millis>,
}

impl RecentLosses {
    /// Records that a connection to an endpoint broke or was refused.
    pub fn record(&mut self, now: Millis, endpoint: &str) {
        if !self.by_endpoint.contains_key(endpoint) && self.by_endpoint.len() >= MAX_ENDPOINTS {
            self.forget_confirmed(now);
        }
        let losses = self.by_endpoint.entry(endpoint.to_string());
        let losses = losses.or_insert(Losses { first_at: now, last_at: now });
        if now >= losses.last_at + CONFIRM_MS {
            losses.first_at = now;
        }
        losses.last_at = now;
    }

    /// Records whether this router hears control hosts at this moment: all feeds delivered
    /// something within the last `max_silence_ms`. Returns for how long this process was stalled
    /// before, if it was: what was not known by then is not known yet, however much time passed.
    pub fn record_check(
        &mut self,
        now: Millis,
        hears_control: bool,
        max_silence_ms: Millis,
    ) -> Option<Millis> {
        let checked_before = self.checked_at.replace(now).unwrap_or(now);
        let unchecked_ms = now.saturating_sub(checked_before);
        let was_stalled = unchecked_ms >= STALL_MS;
        if was_stalled {
            self.stalled_until = Some(now);
        }
        if was_stalled || !hears_control {
            self.record_disconnected(now, checked_before.saturating_sub(max_silence_ms));
        }
        was_stalled.then_some(unchecked_ms)
    }

    /// Whether this process was stalled shortly before: what happened meanwhile may be read any
    /// moment, even if no control host is followed yet.
    pub fn is_catching_up(&self, now: Millis) -> bool {
        self.stalled_until.is_some_and(|until| now < until + CATCH_UP_MS)
    }

    /// Records that this router follows no control host at this moment, and from when on news may
    /// be missing if it did until now.
    pub fn record_disconnected(&mut self, now: Millis, missing_since: Millis) {
        self.forget_confirmed(now);
        match &mut self.disconnection {
            Some(disconnection) if now <= disconnection.until + DISCONNECTED_INTERVAL_MS => {
                disconnection.until = now
            }
            disconnection => {
                let before =
                    disconnection.replace(Disconnection { since: missing_since, until: now });
                self.disconnected_before = before.map_or(0, |before| before.until);
            }
        }
    }

    /// Whether a connection to the endpoint had broken shortly before another one was opened at
    /// `opened_at`, so that the software that answers on that may have another version than the
    /// endpoint is registered with.
    pub fn is_suspect(&self, now: Millis, endpoint: &str, opened_at: Millis) -> bool {
        self.by_endpoint.get(endpoint).is_some_and(|losses| {
            losses.first_at <= opened_at && now < self.known_from(losses.last_at)
        })
    }

    /// Whether this router has followed a control host at all times since `since`.
    pub fn has_followed_since(&self, since: Millis) -> bool {
        self.disconnection
            .is_none_or(|disconnection| disconnection.until + DISCONNECTED_INTERVAL_MS < since)
    }

    /// When this router knows, or knew, which version an endpoint ran at `since`, unless it follows
    /// no control host meanwhile.
    pub fn known_from(&self, since: Millis) -> Millis {
        let Some(disconnection) = self.disconnection else { return since + CONFIRM_MS };
        let known_before = since.max(self.disconnected_before) + CONFIRM_MS;
        match known_before <= disconnection.since {
            true => known_before,
            false => since.max(disconnection.until) + CONFIRM_MS,
        }
    }

    /// When a connection to the endpoint broke last, if that was recently.
    pub fn last_loss(&self, endpoint: &str) -> Option<Millis> {
        self.by_endpoint.get(endpoint).map(|losses| losses.last_at)
    }

    /// The endpoints whose versions are unconfirmed, and when connections to them broke last;
    /// forgets the others.
    pub fn unconfirmed(&mut self, now: Millis) -> impl Iterator<Item = (&str, Millis)> {
        self.forget_confirmed(now);
        self.by_endpoint.iter().map(|(endpoint, losses)| (endpoint.as_str(), losses.last_at))
    }

    fn forget_confirmed(&mut self, now: Millis) {
        let mut by_endpoint = std::mem::take(&mut self.by_endpoint);
        by_endpoint.retain(|_, losses| now < self.known_from(losses.last_at));
        self.by_endpoint = by_endpoint;
    }
}

/// Chooses among the unconfirmed endpoints that may resume a stream, given when connections to them
/// broke: the one that broke longest ago. `was_tried` tells at which of them the stream was already.
pub fn choose_unconfirmed(
    endpoints: &[(String, Millis)],
    was_tried: impl Fn(&str) -> bool,
) -> Option<&str> {
    let untried = endpoints.iter().filter(|(endpoint, _)| !was_tried(endpoint));
    untried.min_by_key(|(_, lost_at)| *lost_at).map(|(endpoint, _)| endpoint.as_str())
}
