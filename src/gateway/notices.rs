//! What answers say of their endpoints, where the gateway hears it.

use std::sync::Arc;

use axum::http::{Response, StatusCode};
use hyper::body::Incoming;

use super::request::Call;
use super::state::Gateway;
use crate::dispatch::Millis;
use crate::notice::{Notice, RequestedRest};
use crate::placement::EndpointStartRef;
use crate::registry::{EndpointStart, Hearing, Registration};

impl Call {
    /// Takes in what the head of an answer says of its endpoint, whatever became of the
    /// request. Returns whether it asks for rest.
    pub(super) fn apply_notice(
        &self,
        endpoint: &Registration,
        response: &Response<Incoming>,
    ) -> bool {
        let status = response.status();
        // It was another endpoint's, which says nothing of the one that was meant.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return false;
        }
        let notice = self.gateway.header_names.read_notice(status, response.headers());
        self.gateway.apply_notice(endpoint, &notice);
        notice.rest.duration_ms().is_some()
    }

    /// Milliseconds until the first endpoint that may serve it ends its rest, where all of
    /// them rest.
    pub(super) fn first_rest_end_ms(&self) -> Option<Millis> {
        let eligibility = self.eligibility()?;
        let now = self.gateway.now();
        self.gateway.registry.read(|registry| {
            let ready = registry.ready(&self.service);
            let may_serve = ready.filter(|e| self.is_eligible(&eligibility, e));
            self.gateway.with_endpoints(|endpoints| endpoints.first_rest_end_ms(now, may_serve))
        })
    }
}

impl Gateway {
    /// Takes in what an answer says of its endpoint. It came on a connection that was opened
    /// while `endpoint` was the latest start known.
    pub(super) fn apply_notice(self: &Arc<Self>, endpoint: &Registration, notice: &Notice) {
        let now = self.now();
        self.with_endpoints(|endpoints| endpoints.record_notice(now, endpoint, notice));
        if notice.leaves {
            self.count_notice(endpoint, "leaves");
            self.record_leaving(EndpointStart::of(endpoint));
        }
        match &notice.rest {
            RequestedRest::None => {}
            RequestedRest::For(rest_ms) => {
                self.count_notice(endpoint, "rests");
                log::info!("gateway: endpoint {} asks for {rest_ms} ms of rest", endpoint.id);
                self.record_rest(endpoint, *rest_ms);
            }
            RequestedRest::Unreadable(value) => {
                self.count_notice(endpoint, "unreadable");
                log::info!("gateway: endpoint {} asks for no rest_ms: {value:?}", endpoint.id);
            }
        }
        // A later start may have become known while the answer was under way.
        if notice.refuses_work() {
            self.check_if_uncertain(&endpoint.id);
        }
    }

    /// Counts a check of a start of an endpoint.
    pub(super) fn count_start_check(&self, endpoint: &Registration, outcome: &str) {
        self.metrics.start_checks.with_label_values(&[&endpoint.service, outcome]).inc();
    }

    fn count_notice(&self, endpoint: &Registration, notice: &str) {
        self.metrics.notices.with_label_values(&[&endpoint.service, notice]).inc();
    }

    /// Whether an endpoint may get a request at this moment. It may have begun to leave or to
    /// rest while the request was placed, or waited for a connection.
    pub(super) fn takes_work(&self, endpoint: &Registration) -> bool {
        let now = self.now();
        self.registry.read(|registry| registry.start_takes_work(endpoint))
            && self.with_endpoints(|endpoints| {
                endpoints.rest_left(now, endpoint).is_none()
                    && !endpoints.is_uncertain(now, endpoint)
            })
    }

    /// An endpoint wants nothing from this router for so long.
    fn record_rest(&self, endpoint: &Registration, rest_ms: Millis) {
        let now = self.now();
        let (id, started_at_ms) = (&endpoint.id, endpoint.started_at_ms);
        self.with_endpoints(|endpoints| endpoints.record_rest(now, id, started_at_ms, rest_ms));
        self.placements.record_rest(EndpointStartRef { endpoint: id, started_at_ms }, rest_ms);
    }

    /// An endpoint told this router that it leaves. From here on that is known as if it had
    /// registered so: the control host that it told may be cut off from all that this router
    /// hears, and its answers are the only news.
    fn record_leaving(&self, start: EndpointStart) {
        let starts = [start];
        if self.registry.leave(&starts, Hearing::SecondHand) {
            log::info!("gateway: endpoint {} says in an answer that it leaves", starts[0].id);
            self.feeds.report_leaving(&starts);
        }
    }
}
