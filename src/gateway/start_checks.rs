//! Health checks of restarted endpoints, where an earlier notice or lost answer may have come
//! from the new start.
//!
//! A check uses its own connection and names the endpoint. Only the head of its answer counts:
//! whether the endpoint is leaving or resting. The status of a health check may be wrong, so it
//! counts only where the endpoint was recorded as ended: such an endpoint must state that it
//! accepts requests.

use std::sync::Arc;
use std::time::Duration;

use axum::http::{HeaderValue, Request, StatusCode, header};
use bytes::Bytes;
use http_body_util::Full;
use snafu::Snafu;

use super::connections::{SendError, Target};
use super::request::Call;
use super::state::Gateway;
use crate::notice::Notice;
use crate::registry::Registration;

/// How long to wait for an answer: a health check may queue for a free slot.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a failed check is repeated, doubled each time.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two checks.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// How long a request waits for checks when no other endpoint may run it.
const MAX_REQUEST_WAIT: Duration = Duration::from_millis(300);

/// Why a check gave no result.
#[derive(Debug, Snafu)]
enum CheckError {
    #[snafu(display("its service is not in the routing in force"))]
    NoService,
    #[snafu(display("its address is unknown"))]
    NoAddress,
    #[snafu(display("invalid health path {path:?}: {source}"))]
    Path { path: String, source: axum::http::Error },
    #[snafu(display("no answer: {error:?}"))]
    NoAnswer { error: SendError },
    #[snafu(display("no answer within {} ms", ANSWER_TIMEOUT.as_millis()))]
    TooSlow,
    #[snafu(display("another endpoint answers at its address"))]
    OtherEndpoint,
    #[snafu(display("it was recorded as ended, and answers {status}"))]
    Ended { status: StatusCode },
}

impl Gateway {
    /// Starts a check of an endpoint that is registered as ready and whose state is
    /// uncertain, unless one is in progress.
    pub(super) fn check_if_uncertain(self: &Arc<Self>, id: &str) {
        if self.uncertain_endpoint(id).is_some()
            && self.with_start_checks(|ids| ids.insert(id.to_string()))
        {
            tokio::spawn(check_until_certain(self.clone(), id.to_string()));
        }
    }

    fn uncertain_endpoint(&self, id: &str) -> Option<Registration> {
        let now = self.now();
        self.registry.read(|registry| {
            let endpoint = registry.get_ready(id)?;
            let is_uncertain =
                self.with_endpoints(|endpoints| endpoints.is_uncertain(now, endpoint));
            is_uncertain.then(|| endpoint.clone())
        })
    }

    /// Ends the check of an endpoint if its state is certain; returns whether it is.
    fn end_check_if_certain(&self, id: &str) -> bool {
        // Under the lock, so that an endpoint found uncertain later gets a new check.
        self.with_start_checks(|ids| {
            let is_certain = self.uncertain_endpoint(id).is_none();
            if is_certain {
                ids.remove(id);
            }
            is_certain
        })
    }
}

async fn check_until_certain(gateway: Arc<Gateway>, id: String) {
    let mut pause = FIRST_RETRY_PAUSE;
    while !gateway.end_check_if_certain(&id) {
        let Some(endpoint) = gateway.uncertain_endpoint(&id) else { continue };
        match check(&gateway, &endpoint).await {
            Ok(notice) => {
                log::info!(
                    "gateway: endpoint {id}, started at {}, answered its check: {notice:?}",
                    endpoint.started_at_ms
                );
                gateway.count_start_check(&endpoint, "answered");
                // In this order, so that an endpoint that refuses work is never taken for one that
                // accepts it.
                gateway.apply_notice(&endpoint, &notice);
                gateway.with_endpoints(|endpoints| endpoints.record_confirmed(&endpoint));
            }
            Err(error) => {
                log::info!(
                    "gateway: endpoint {id}, started at {}, gets no requests until it \
                     answers a check: {error}",
                    endpoint.started_at_ms
                );
                gateway.count_start_check(&endpoint, "failed");
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
    gateway.start_checks_ended.notify_waiters();
}

async fn check(gateway: &Gateway, endpoint: &Registration) -> Result<Notice, CheckError> {
    let Some(address) = endpoint.address else { return NoAddressSnafu.fail() };
    let target = Target { address, started_at_ms: endpoint.started_at_ms };
    let request = health_check(gateway, endpoint, target)?;
    let exchange = gateway.connections.send_on_new(target, request);
    let response = match tokio::time::timeout(ANSWER_TIMEOUT, exchange).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return NoAnswerSnafu { error }.fail(),
        Err(_) => return TooSlowSnafu.fail(),
    };
    let status = response.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        return OtherEndpointSnafu.fail();
    }
    let notice = gateway.header_names.read_notice(status, response.headers());
    let is_unconfirmed = gateway.with_endpoints(|endpoints| endpoints.is_unconfirmed(endpoint));
    if is_unconfirmed && !status.is_success() && !notice.is_leaving {
        return EndedSnafu { status }.fail();
    }
    Ok(notice)
}

fn health_check(
    gateway: &Gateway,
    endpoint: &Registration,
    target: Target,
) -> Result<Request<Full<Bytes>>, CheckError> {
    let routing = gateway.routing.current();
    let service = routing.as_ref().and_then(|routing| routing.service(&endpoint.service));
    let Some(service) = service else { return NoServiceSnafu.fail() };
    let path = &service.health_path;
    let request = Request::get(path.as_str())
        .header(header::HOST, target.address.to_string())
        .header(header::CONNECTION, HeaderValue::from_static("close"))
        .header(&gateway.header_names.endpoint, endpoint.id.as_str())
        .body(Full::default());
    request.map_err(|source| CheckError::Path { path: path.clone(), source })
}

impl Call {
    /// Waits a moment for checks of endpoints that could run it; returns whether it waited.
    pub(super) async fn wait_for_start_checks(&self, tried: &[String]) -> bool {
        let deadline = tokio::time::Instant::now() + MAX_REQUEST_WAIT.min(self.remaining());
        let mut waited = false;
        loop {
            let ended = self.gateway.start_checks_ended.notified();
            tokio::pin!(ended);
            // Registers for notifications, including those sent before it is awaited.
            ended.as_mut().enable();
            if !self.has_uncertain_candidate(tried) {
                return waited;
            }
            waited = true;
            if tokio::time::timeout_at(deadline, ended).await.is_err() {
                return waited;
            }
        }
    }

    fn has_uncertain_candidate(&self, tried: &[String]) -> bool {
        let Some(eligibility) = self.eligibility() else { return false };
        let now = self.gateway.now();
        self.gateway.registry.read(|registry| {
            let mut ready = registry.ready(&self.service).filter(|e| !tried.contains(&e.id));
            self.gateway.with_endpoints(|endpoints| {
                ready.any(|e| self.is_eligible(&eligibility, e) && endpoints.is_uncertain(now, e))
            })
        })
    }
}
