//! Requests whose endpoint ended their connection before the whole answer, and those that
//! are refused because that comes of them.

use super::refusal::Refusal;
use super::request::Call;
use super::state::Ticket;
use crate::registry::EndpointStart;

/// Characters of a path that a log line shows.
const PATH_SHOWN: usize = 80;

impl Call {
    /// The endpoint ended the connection before the whole answer: it crashed, or the
    /// connection broke.
    pub(super) fn lost_at(&self, ticket: &Ticket, why: &str) {
        self.gateway.metrics.lost.with_label_values(&[&self.service]).inc();
        let ran = ticket.observed.sent_ago();
        log::info!(
            "gateway: request {} ({}) lost at {}, started at {}, {} ms after it was sent: {why}; \
             path {:.PATH_SHOWN$}, fingerprint {}",
            self.number,
            self.head.id.as_deref().unwrap_or_default(),
            ticket.endpoint,
            ticket.started_at_ms,
            ran.as_millis(),
            self.parts.uri.path(),
            self.fingerprint,
        );
        let endpoint =
            EndpointStart { id: ticket.endpoint.clone(), started_at_ms: ticket.started_at_ms };
        self.gateway.guard.record_loss(endpoint, &self.fingerprint, ran);
    }

    /// The endpoint began its own answer to this request: it is there.
    pub(super) fn answered_by(&self, ticket: &Ticket) {
        let sent_ago = ticket.observed.sent_ago();
        self.gateway.guard.record_answer(&ticket.endpoint, ticket.started_at_ms, sent_ago);
    }

    /// The endpoint sends on its answer: it is there.
    pub(super) fn heard_from(&self, ticket: &Ticket) {
        self.gateway.guard.record_stream_data(&ticket.endpoint, ticket.started_at_ms);
    }

    /// It was served whole.
    pub(super) fn served(&self) {
        self.gateway.guard.record_served(&self.fingerprint);
    }

    /// Why it is not sent to any endpoint, if it crashes them.
    pub(super) fn crashes_endpoints(&self) -> Option<Refusal> {
        let has_leader = || self.gateway.feeds.leader().is_some();
        let retry_after_ms = self.gateway.guard.refusal(&self.fingerprint, has_leader)?;
        Some(Refusal::CrashesEndpoints { retry_after_ms })
    }
}
