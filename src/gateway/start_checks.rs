//! Health checks of endpoints that started again, where an earlier answer or end may have been
//! the new start's own.
//!
//! A check has a connection of its own and names the endpoint. Only the head of its answer
//! counts: whether the endpoint leaves or rests. The status does not, since answers to health
//! checks may be false.

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

/// How long an answer is waited for: a health check may wait for a free slot.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a check that failed is repeated, doubled each time.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two checks.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// How long a request waits for checks when no other endpoint may run it.
const MAX_REQUEST_WAIT: Duration = Duration::from_millis(300);

/// Why a check says nothing of the endpoint.
#[derive(Debug, Snafu)]
enum CheckError {
    #[snafu(display("no configuration in force names its service"))]
    NoService,
    #[snafu(display("its address is not known"))]
    NoAddress,
    #[snafu(display("{path:?} is no health path: {source}"))]
    Path { path: String, source: axum::http::Error },
    #[snafu(display("no answer: {error:?}"))]
    NoAnswer { error: SendError },
    #[snafu(display("no answer within {} ms", ANSWER_TIMEOUT.as_millis()))]
    TooSlow,
    #[snafu(display("another endpoint answers at its address"))]
    OtherEndpoint,
}

impl Gateway {
    /// Begins to check an endpoint that takes work by its registration and of which it is not
    /// certain, unless that is under way.
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
            let is_uncertain = self.with_endpoints(|seen| seen.is_uncertain(now, endpoint));
            is_uncertain.then(|| endpoint.clone())
        })
    }

    /// Ends the check of an endpoint, if it is certain by now.
    fn end_check_if_certain(&self, id: &str) -> bool {
        // Under the lock: whoever finds it uncertain later begins another check.
        self.with_start_checks(|ids| {
            let ends = self.uncertain_endpoint(id).is_none();
            if ends {
                ids.remove(id);
            }
            ends
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
                gateway.apply_notice(&endpoint, &notice);
            }
            Err(error) => {
                log::info!(
                    "gateway: endpoint {id}, started at {}, gets no work until it answers a \
                     check: {error}",
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
    let asking = gateway.connections.send_on_new(target, request);
    let response = match tokio::time::timeout(ANSWER_TIMEOUT, asking).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return NoAnswerSnafu { error }.fail(),
        Err(_) => return TooSlowSnafu.fail(),
    };
    match response.status() {
        StatusCode::MISDIRECTED_REQUEST => OtherEndpointSnafu.fail(),
        status => Ok(gateway.header_names.read_notice(status, response.headers())),
    }
}

fn health_check(
    gateway: &Gateway,
    endpoint: &Registration,
    target: Target,
) -> Result<Request<Full<Bytes>>, CheckError> {
    let routing = gateway.documents.current();
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
    /// Waits a moment for checks of endpoints that could run it; whether any was waited for.
    pub(super) async fn wait_for_start_checks(&self, tried: &[String]) -> bool {
        let limit = tokio::time::Instant::now() + MAX_REQUEST_WAIT.min(self.remaining());
        let mut waited = false;
        loop {
            let ended = self.gateway.start_checks_ended.notified();
            tokio::pin!(ended);
            // From here on it is told, also of what ends before it is awaited.
            ended.as_mut().enable();
            if !self.has_uncertain_candidate(tried) {
                return waited;
            }
            waited = true;
            if tokio::time::timeout_at(limit, ended).await.is_err() {
                return waited;
            }
        }
    }

    fn has_uncertain_candidate(&self, tried: &[String]) -> bool {
        let Some(eligibility) = self.eligibility() else { return false };
        let now = self.gateway.now();
        self.gateway.registry.read(|registry| {
            let mut ready = registry.ready(&self.service).filter(|e| !tried.contains(&e.id));
            self.gateway.with_endpoints(|seen| {
                ready.any(|e| self.is_eligible(&eligibility, e) && seen.is_uncertain(now, e))
            })
        })
    }
}
