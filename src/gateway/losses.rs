//! Answers that endpoints broke off, and the refusal of requests that crash endpoints.

use axum::http::StatusCode;

use super::assignment::Assignment;
use super::endpoints::Failure;
use super::refusal::Refusal;
use super::request::Call;
use crate::answer::{BodyEnd, BrokenAnswer, Completeness, ExceededLimit};
use crate::registry::EndpointStart;

/// Maximum number of characters of a path in a log line.
const MAX_LOGGED_PATH_CHARS: usize = 80;
/// Maximum number of parts of a prompt in a log line.
const MAX_LOGGED_PARTS: usize = 16;

impl Call {
    /// Records that an answer was not whole, which counts as a failure of its endpoint.
    pub(super) fn record_broken_answer(&self, assignment: &Assignment, broken: BrokenAnswer) {
        if broken.has_closed() {
            self.record_lost_answer(assignment, &broken.to_string());
            return;
        }
        self.gateway.metrics.lost_answers.with_label_values(&[&self.service]).inc();
        log::info!(
            "gateway: request {} ({}) broken off by {}, which goes on: {broken}",
            self.number,
            self.head.id.as_deref().unwrap_or_default(),
            assignment.endpoint,
        );
        self.record_failure(assignment);
    }

    /// Records that an endpoint sent bytes that are no head of an answer until a limit was exceeded.
    /// It goes on, so the request has not crashed it.
    pub(super) fn record_exceeded_limit(&self, assignment: &Assignment, limit: ExceededLimit) {
        let labels = [self.service.as_str(), limit.name()];
        self.gateway.metrics.exceeded_limits.with_label_values(&labels).inc();
        log::info!(
            "gateway: request {} ({}) got no answer from {}, whose connection is closed: {limit}",
            self.number,
            self.head.id.as_deref().unwrap_or_default(),
            assignment.endpoint,
        );
        self.record_failure(assignment);
    }

    fn record_failure(&self, assignment: &Assignment) {
        let Assignment { endpoint, started_at_ms, .. } = assignment;
        self.gateway.record_failure(endpoint, *started_at_ms, Failure::Failed);
    }

    /// Records that the endpoint closed the connection before the answer was complete: it
    /// crashed, or the connection failed.
    pub(super) fn record_lost_answer(&self, assignment: &Assignment, reason: &str) {
        self.gateway.metrics.lost_answers.with_label_values(&[&self.service]).inc();
        self.gateway.record_broken_connection(&assignment.endpoint);
        self.record_failure(assignment);
        let since_sent = assignment.observation.since_sent();
        log::info!(
            "gateway: request {} ({}) lost at {}, started at {}, {} ms after it was sent: {reason}; \
             path {:.MAX_LOGGED_PATH_CHARS$}, fingerprint {}, prompt parts {}",
            self.number,
            self.head.id.as_deref().unwrap_or_default(),
            assignment.endpoint,
            assignment.started_at_ms,
            since_sent.as_millis(),
            self.parts.uri.path(),
            self.profile.fingerprint,
            self.logged_prompt_parts(),
        );
        let endpoint = EndpointStart {
            id: assignment.endpoint.clone(),
            started_at_ms: assignment.started_at_ms,
        };
        self.gateway.guard.record_loss(endpoint, &self.profile, since_sent);
    }

    /// The ids of the prompt's parts as the caller named them, for a log line.
    fn logged_prompt_parts(&self) -> String {
        let parts = self.head.parts.iter().take(MAX_LOGGED_PARTS);
        parts.map(|part| format!("{:x}", part.content_id)).collect::<Vec<_>>().join(",")
    }

    /// Records that a connection may have broken: only its end ended an answer, as it does when the
    /// endpoint's software is replaced.
    pub(super) fn record_connection_end(&self, endpoint: &str, completeness: Completeness) {
        if completeness == Completeness::Unstated {
            self.gateway.record_broken_connection(endpoint);
        }
    }

    /// Records how the body of an answer ended.
    pub(super) fn record_body_end(&self, assignment: &Assignment, end: BodyEnd) {
        let (framing, ending) = (end.framing.name(), end.name());
        let labels = [self.service.as_str(), framing, ending];
        self.gateway.metrics.body_ends.with_label_values(&labels).inc();
        log::debug!(
            "gateway: request {} ({}) at {}: answer framed by {framing}, ended {ending}",
            self.number,
            self.head.id.as_deref().unwrap_or_default(),
            assignment.endpoint,
        );
    }

    /// Records that the endpoint began its own answer to this request, so it is alive.
    pub(super) fn record_answer_began(&self, assignment: &Assignment) {
        let since_sent = assignment.observation.since_sent();
        self.gateway.guard.record_answer(
            &assignment.endpoint,
            assignment.started_at_ms,
            since_sent,
        );
    }

    /// Records more data of an answer, so the endpoint is alive.
    pub(super) fn record_stream_data(&self, assignment: &Assignment) {
        self.gateway.guard.record_stream_data(&assignment.endpoint, assignment.started_at_ms);
    }

    /// Records that an answer came to its end without being broken off. It shows that the request
    /// crashes nothing only if it is a success and the endpoint stated that it is whole.
    pub(super) fn record_end(&self, status: StatusCode, completeness: Completeness) {
        if status.is_success() && completeness == Completeness::Stated {
            self.gateway.guard.record_served(&self.profile);
        }
    }

    /// The refusal, if the request is known to crash endpoints.
    pub(super) fn crash_refusal(&self) -> Option<Refusal> {
        let has_leader = || self.gateway.feeds.leader().is_some();
        let retry_after_ms = self.gateway.guard.refusal(&self.profile, has_leader)?;
        Some(Refusal::CrashesEndpoints { retry_after_ms })
    }
}
