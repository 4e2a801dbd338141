//! Notices in answers, by which endpoints report that they leave or request a rest.

use std::sync::Arc;

use axum::http::{Response, StatusCode};
use hyper::body::Incoming;

use super::request::Call;
use super::state::Gateway;
use crate::dispatch::Millis;
use crate::notice::{Notice, RequestedRest};
use crate::placement::EndpointStartRef;
use crate::registry::{EndpointStart, Origin, Registration};

impl Call {
    /// Applies the notice in the head of an answer, whatever became of the request. Returns
    /// whether it requests a rest.
    pub(super) fn apply_notice(
        &self,
        endpoint: &Registration,
        response: &Response<Incoming>,
    ) -> bool {
        let status = response.status();
        // The answer is another endpoint's, so its notice does not apply to the intended one.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return false;
        }
        let notice = self.gateway.header_names.read_notice(status, response.headers());
        self.gateway.apply_notice(endpoint, &notice);
        notice.rest.duration_ms().is_some()
    }

    /// Milliseconds until the first endpoint that may serve it ends its rest; `None` unless all
    /// of them are resting.
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
    /// Applies the notice in an answer, received on a connection that was opened while
    /// `endpoint` was the latest start known.
    pub(super) fn apply_notice(self: &Arc<Self>, endpoint: &Registration, notice: &Notice) {
        let now = self.now();
        let earlier_rest_ms =
            self.with_endpoints(|endpoints| endpoints.record_notice(now, endpoint, notice));
        if notice.is_leaving {
            self.count_notice(endpoint, "leaves");
            self.record_leaving(EndpointStart::of(endpoint));
        }
        match &notice.rest {
            RequestedRest::None => {}
            RequestedRest::For(rest_ms) => {
                self.count_notice(endpoint, "rests");
                log::info!("gateway: endpoint {} requests a rest of {rest_ms} ms", endpoint.id);
                if earlier_rest_ms > *rest_ms {
                    log::info!(
                        "gateway: endpoint {} rests for {earlier_rest_ms} ms by an earlier answer",
                        endpoint.id
                    );
                }
                self.record_rest(endpoint, earlier_rest_ms.max(*rest_ms));
            }
            RequestedRest::Unreadable(value) => {
                self.count_notice(endpoint, "unreadable");
                log::info!(
                    "gateway: endpoint {} requests a rest of unreadable length: {value:?}",
                    endpoint.id
                );
            }
        }
        // A later start may have become known while the answer was in transit.
        if notice.refuses_work() {
            self.check_if_uncertain(&endpoint.id);
        }
    }

    /// Counts a start check of an endpoint.
    pub(super) fn count_start_check(&self, endpoint: &Registration, outcome: &str) {
        self.metrics.start_checks.with_label_values(&[&endpoint.service, outcome]).inc();
    }

    fn count_notice(&self, endpoint: &Registration, notice: &str) {
        self.metrics.notices.with_label_values(&[&endpoint.service, notice]).inc();
    }

    /// Whether an endpoint may be sent a request at this moment. It may have begun to leave or
    /// rest while the request was placed or waited for a connection.
    pub(super) fn accepts_requests(&self, endpoint: &Registration) -> bool {
        let now = self.now();
        self.registry.read(|registry| registry.start_accepts_requests(endpoint))
            && self.with_endpoints(|endpoints| {
                endpoints.rest_left(now, endpoint).is_none()
                    && !endpoints.is_uncertain(now, endpoint)
            })
    }

    /// Records a rest of `rest_ms` that an endpoint requested from this router.
    fn record_rest(&self, endpoint: &Registration, rest_ms: Millis) {
        let now = self.now();
        let (id, started_at_ms) = (&endpoint.id, endpoint.started_at_ms);
        self.with_endpoints(|endpoints| endpoints.record_rest(now, id, started_at_ms, rest_ms));
        self.placements.record_rest(EndpointStartRef { endpoint: id, started_at_ms }, rest_ms);
    }

    /// Records that an endpoint reported in an answer that it leaves, as if it had registered
    /// so. The control host that it reported to may be cut off from all those that this router
    /// follows, and then the answer is the only notification that arrives here.
    fn record_leaving(&self, start: EndpointStart) {
        let starts = [start];
        if self.registry.record_leaving(&starts, Origin::Relayed) {
            log::info!("gateway: endpoint {} reports in an answer that it leaves", starts[0].id);
            self.feeds.report_leaving(&starts);
        }
    }
}
