//! Whether endpoints run the versions that they are registered with. Only registrations name a
//! version, and an endpoint's software may be replaced between two of them.

use std::sync::Arc;
use std::time::Duration;

use super::connections::Connection;
use super::state::Gateway;
use crate::dispatch::Millis;
use crate::registry::Registration;
use crate::resumption::{
    CONFIRM_MS, Certainty, DISCONNECTED_INTERVAL_MS, KnownStream, RecentLosses,
};

/// How often the feeds of control hosts are checked.
const FEED_CHECK_INTERVAL: Duration = Duration::from_millis(DISCONNECTED_INTERVAL_MS / 2);
/// Milliseconds of silence of a feed after which news may be missing: keep-alives come every
/// second.
const MAX_FEED_SILENCE_MS: Millis = 1_250;
/// Milliseconds from when control hosts are heard again until the endpoints that changed meanwhile
/// are received: they are requested 100 ms after a feed has opened.
const READ_MS: Millis = 150;
/// How often a stream that waits until versions are known looks for news.
const NEWS_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a stream cannot go on at an endpoint.
#[derive(Debug, snafu::Snafu)]
pub(super) enum VersionError {
    #[snafu(display("the endpoint has changed its version"))]
    Replaced,
    #[snafu(display("the stream may have begun at another version"))]
    InDoubt,
    #[snafu(display("versions may have changed, and no control host is followed"))]
    NoControl,
    #[snafu(display("the deadline passes before versions are known"))]
    TimedOut,
}

/// Records times in which this router hears of no changed versions.
pub(super) async fn watch_feeds(gateway: Arc<Gateway>) {
    loop {
        gateway.check_feeds();
        tokio::time::sleep(FEED_CHECK_INTERVAL).await;
    }
}

impl Gateway {
    /// Records whether news of control hosts may be missing at this moment.
    pub(super) fn check_feeds(&self) {
        let hears_control = self.feeds.hears_all(MAX_FEED_SILENCE_MS);
        let check = |losses: &mut RecentLosses| {
            // Read under the lock: checks of several tasks must not seem to go back in time.
            losses.record_check(self.now(), hears_control, MAX_FEED_SILENCE_MS)
        };
        if let Some(stalled_ms) = self.with_losses(check) {
            log::info!("gateway: stalled for {stalled_ms} ms, versions may have changed meanwhile");
        }
    }

    /// Whether this process was stalled shortly before, so that news of versions may not have been
    /// read yet.
    pub(super) fn is_catching_up(&self) -> bool {
        let now = self.now();
        self.with_losses(|losses| losses.is_catching_up(now))
    }

    /// Whether this router hears of changed versions at this moment.
    pub(super) fn follows_control(&self) -> bool {
        self.check_feeds();
        let now = self.now();
        self.with_losses(|losses| losses.has_followed_since(now))
    }

    /// Waits for a moment after a stall until what happened meanwhile has been read, so that the
    /// endpoint for a stream is not chosen by old registrations.
    pub(super) async fn wait_until_caught_up(&self, remaining: impl Fn() -> Duration) {
        loop {
            self.check_feeds();
            let now = self.now();
            let has_caught_up = self.with_losses(|losses| {
                !losses.is_catching_up(now)
                    || losses.has_followed_since(now.saturating_sub(READ_MS))
            });
            if has_caught_up || remaining() < NEWS_CHECK_INTERVAL {
                return;
            }
            tokio::time::sleep(NEWS_CHECK_INTERVAL).await;
        }
    }

    /// Records that a connection to an endpoint broke or was refused.
    pub(super) fn record_broken_connection(&self, endpoint: &str) {
        let now = self.now();
        self.with_losses(|losses| losses.record(now, endpoint));
    }

    /// Whether an endpoint is registered with a version.
    pub(super) fn has_version(&self, endpoint: &str, version: &str) -> bool {
        self.registry.read(|registry| registry.get(endpoint).is_some_and(|e| e.version == version))
    }

    /// Whether a stream may have begun at another version than its record says.
    pub(super) fn is_doubtful(&self, stream: &KnownStream) -> bool {
        let now = self.now();
        self.with_versions(|versions| versions.is_doubtful(now, stream))
    }

    /// Whether it is known or presumed at which version a stream began, or will be known.
    pub(super) fn is_knowable(&self, stream: &KnownStream) -> bool {
        let is_presumed = stream.record.certainty > Certainty::Doubtful;
        !self.is_doubtful(stream)
            && (is_presumed
                || self.follows_control()
                || self.is_catching_up()
                || self.now() >= self.beginning_known_from(stream))
    }

    /// Whether a connection to an endpoint had broken shortly before another one was opened.
    fn is_suspect(&self, now: Millis, endpoint: &str, opened_at: Millis) -> bool {
        self.with_losses(|losses| losses.is_suspect(now, endpoint, opened_at))
    }

    /// Whether endpoints of a service have replaced their software in place.
    fn changes_in_place(&self, service: &str) -> bool {
        self.registry.read(|registry| {
            let of_service = |id: &str| registry.get(id).is_some_and(|e| e.service == service);
            self.with_versions(|versions| versions.changed().any(|(id, _)| of_service(id)))
        })
    }

    /// How certain it is that an endpoint, reached by this connection, runs the version that it is
    /// registered with.
    pub(super) fn certainty(
        &self,
        service: &str,
        endpoint: &str,
        connection: &Connection,
    ) -> Certainty {
        let follows_control = self.follows_control();
        let now = self.now();
        let opened_at = now.saturating_sub(connection.age().as_millis() as Millis);
        if self.is_remembered(endpoint) {
            Certainty::Doubtful
        } else if now >= self.endpoint_known_from(endpoint, connection) {
            Certainty::Confirmed
        } else if self.is_suspect(now, endpoint, opened_at)
            || !follows_control && (self.is_catching_up() || self.changes_in_place(service))
        {
            Certainty::Doubtful
        } else {
            Certainty::Presumed
        }
    }

    /// Waits until it is known that an endpoint, reached by this connection, runs the version of
    /// a stream, and that the stream began at it. While no control host is followed, other than for
    /// a moment after a stall, this cannot be known, and the stream goes on unless endpoints of its
    /// service replace their software in place, or a connection to the endpoint broke before this
    /// one was opened.
    pub(super) async fn confirm_version(
        &self,
        stream: &KnownStream,
        endpoint: &Registration,
        connection: &Connection,
        remaining: impl Fn() -> Duration,
    ) -> Result<(), VersionError> {
        let started = self.now();
        let opened_at = started.saturating_sub(connection.age().as_millis() as Millis);
        loop {
            let now = self.now();
            let stream = stream.aged(now - started);
            if !self.has_version(&endpoint.id, &stream.record.version) {
                return ReplacedSnafu.fail();
            }
            if self.is_doubtful(&stream) {
                return InDoubtSnafu.fail();
            }
            let follows_control = self.follows_control();
            let beginning_known_from = self.beginning_known_from(&stream);
            let known_from =
                self.endpoint_known_from(&endpoint.id, connection).max(beginning_known_from);
            let is_remembered = self.is_remembered(&endpoint.id)
                || beginning_known_from > 0 && self.is_remembered(&stream.record.endpoint);
            if now >= known_from && !is_remembered {
                return Ok(());
            }
            let is_catching_up = self.is_catching_up();
            if !follows_control && !is_catching_up {
                let is_presumed = stream.record.certainty > Certainty::Doubtful
                    && !self.changes_in_place(&endpoint.service)
                    && !self.is_suspect(now, &endpoint.id, opened_at);
                return if is_presumed { Ok(()) } else { NoControlSnafu.fail() };
            }
            // It has not registered within a heartbeat: nobody will tell its version.
            if follows_control && now >= known_from + CONFIRM_MS {
                return InDoubtSnafu.fail();
            }
            if Duration::from_millis(known_from.saturating_sub(now)) >= remaining() {
                return TimedOutSnafu.fail();
            }
            tokio::time::sleep(NEWS_CHECK_INTERVAL).await;
        }
    }

    /// When it is known which version the software runs that answers on a connection. Other
    /// connections to the endpoint, opened before, show the same software unless one has broken.
    fn endpoint_known_from(&self, endpoint: &str, connection: &Connection) -> Millis {
        let now = self.now();
        let at = |age: Duration| now.saturating_sub(age.as_millis() as Millis);
        let (opened_at, oldest_opened_at) = (at(connection.age()), at(connection.oldest_age()));
        let registered_at = self.with_versions(|versions| versions.known_since(endpoint));
        self.with_losses(|losses| {
            let has_broken = losses.last_loss(endpoint).is_some_and(|at| at >= oldest_opened_at);
            let since = if has_broken { opened_at } else { oldest_opened_at };
            losses.known_from(since.max(registered_at.unwrap_or(0)))
        })
    }

    /// When it is known which version a stream began at; 0 if that was known at its beginning.
    fn beginning_known_from(&self, stream: &KnownStream) -> Millis {
        let began_at = self.now().saturating_sub(stream.age_ms);
        match stream.record.certainty {
            Certainty::Confirmed => 0,
            _ => self.with_losses(|losses| losses.known_from(began_at)),
        }
    }

    /// Whether control hosts only remember the endpoint from before their restart. It registers
    /// again within a heartbeat.
    fn is_remembered(&self, endpoint: &str) -> bool {
        self.registry.read(|registry| registry.is_remembered(endpoint))
    }
}
