//! Requests whose endpoint ended their connection before the whole answer.

use super::request::Call;
use super::state::Ticket;

/// Characters of a path that a log line shows.
const PATH_SHOWN: usize = 80;

impl Call {
    /// The endpoint ended the connection before the whole answer: it crashed, or the
    /// connection broke.
    pub(super) fn lost_at(&self, ticket: &Ticket, why: &str) {
        self.gateway.metrics.lost.with_label_values(&[&self.service]).inc();
        log::info!(
            "gateway: request {} ({}) lost at {}, started at {}, {} ms after it was sent: {why}; \
             path {:.PATH_SHOWN$}, fingerprint {}",
            self.number,
            self.head.id.as_deref().unwrap_or_default(),
            ticket.endpoint,
            ticket.started_at_ms,
            ticket.observed.sent_ago().as_millis(),
            self.parts.uri.path(),
            self.fingerprint,
        );
    }
}
