//! What a request at an endpoint shows about the endpoint's release.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::exchange::Attempt;
use super::request::Call;
use super::state::Gateway;
use crate::registry::Registration;
use crate::rollout::{Release, TallyKey, release_of};

/// A request at an endpoint; counted as open at the endpoint's release until dropped.
pub(super) struct ReleaseObservation {
    gateway: Arc<Gateway>,
    service: String,
    /// The endpoint's release.
    pub version: String,
    /// The tally that the request counts in, while a release is rolled out.
    tally_key: Option<TallyKey>,
    is_cold: bool,
    sent_at: Instant,
    has_answered: bool,
    has_failed: bool,
}

impl ReleaseObservation {
    /// Records a request that is about to be sent.
    pub fn new(call: &Call, endpoint: &Registration) -> ReleaseObservation {
        let gateway = call.gateway.clone();
        let table = gateway.rollouts.table();
        let rollout = table.get(&call.service).filter(|rollout| !rollout.stage.is_final());
        let tally_key = rollout.map(|rollout| TallyKey {
            service: call.service.clone(),
            number: rollout.number,
            route: call.route.name.clone(),
            release: release_of(rollout, &endpoint.version),
        });
        gateway.with_releases(|releases| {
            releases.tally.record_opened(&call.service, &endpoint.version);
            if let Some(tally_key) = &tally_key {
                releases.tally.record_sent(tally_key);
            }
        });
        let observation = ReleaseObservation {
            gateway,
            service: call.service.clone(),
            version: endpoint.version.clone(),
            tally_key,
            is_cold: endpoint.warmup_ms > 0,
            sent_at: Instant::now(),
            has_answered: false,
            has_failed: false,
        };
        observation.count("sent");
        observation
    }

    /// The time since it was sent.
    pub fn since_sent(&self) -> Duration {
        self.sent_at.elapsed()
    }

    /// Records the result of an attempt, up to its complete answer or the head of a stream.
    pub fn record_attempt(&mut self, attempt: &Attempt) {
        match attempt {
            Attempt::Answered(_) => self.record_answered(),
            Attempt::Error(_) | Attempt::Unknown | Attempt::TimedOut => self.record_failed(),
            Attempt::NotSent => self.record_unsent(),
            // A stream counts from its first event on.
            Attempt::NotExecuted | Attempt::Streams(_) => {}
        }
    }

    /// Records that the answer began without an error.
    pub fn record_answered(&mut self) {
        let Some(tally_key) = &self.tally_key else { return };
        if std::mem::replace(&mut self.has_answered, true) {
            return;
        }
        let ms = self.sent_at.elapsed().as_secs_f64() * 1_000.0;
        self.gateway.with_releases(|releases| match self.is_cold {
            true => releases.tally.record_answered_cold(tally_key),
            false => releases.tally.record_answered(tally_key, ms),
        });
    }

    /// Records that the answer is an error, was truncated or never arrived, or that no process
    /// listens at the endpoint, as when a release exits by itself.
    pub fn record_failed(&mut self) {
        if std::mem::replace(&mut self.has_failed, true) {
            return;
        }
        if let Some(tally_key) = &self.tally_key {
            self.gateway.with_releases(|releases| match self.has_answered {
                true => releases.tally.record_truncated(tally_key),
                false => releases.tally.record_failed(tally_key),
            });
        }
        self.count("failed");
    }

    fn record_unsent(&self) {
        if self.has_failed {
            return;
        }
        if let Some(tally_key) = &self.tally_key {
            self.gateway.with_releases(|releases| releases.tally.record_unsent(tally_key));
        }
        self.count("unsent");
    }

    fn count(&self, outcome: &str) {
        if let Some(tally_key) = &self.tally_key {
            let release = match tally_key.release {
                Release::New => "new",
                Release::Old => "old",
            };
            let labels = [self.service.as_str(), release, outcome];
            self.gateway.metrics.rollout_requests.with_label_values(&labels).inc();
        }
    }
}

impl Drop for ReleaseObservation {
    fn drop(&mut self) {
        self.gateway.with_releases(|r| r.tally.record_closed(&self.service, &self.version));
    }
}
