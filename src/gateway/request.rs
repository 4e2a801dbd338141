//! One request from its arrival to its answer.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::body::Body;
use axum::http::request::Parts;
use axum::http::{HeaderValue, Request, Response, StatusCode, header};
use bytes::Bytes;
use hyper::body::Incoming;

use super::arrival::admit;
use super::destination::Destination;
use super::exchange::{self, Attempt};
use super::header_names::RequestHead;
use super::refusal::Refusal;
use super::state::{Gateway, InFlightGuard};
use crate::clock::BootInstant;
use crate::placement;
use crate::quarantine::Fingerprint;
use crate::region::AllowedRegions;
use crate::rollout::ReleaseChoice;
use crate::routing::Route;

/// Endpoints to which one request is sent at most when none has taken it.
const MAX_ENDPOINTS_TRIED: usize = 4;
/// Time left below which a request is not sent any more.
const MIN_REMAINING: Duration = Duration::from_millis(10);

/// A request that has found its route and customer.
pub(super) struct Call {
    pub gateway: Arc<Gateway>,
    pub number: u64,
    pub route: Route,
    pub service: String,
    pub is_engine: bool,
    pub cold_per_second: Option<f64>,
    pub customer: Option<String>,
    /// Where it may be served, by the routing that it was taken with.
    pub regions: AllowedRegions,
    /// The version of that routing.
    pub routing_version: u64,
    pub head: RequestHead,
    pub parts: Parts,
    pub body: Bytes,
    /// What it has in common with the same request when it comes again.
    pub fingerprint: Fingerprint,
    pub arrived: BootInstant,
    pub deadline: BootInstant,
    /// What it has drawn while a release is rolled out.
    pub release_choice: Mutex<ReleaseChoice>,
    pub _in_flight: InFlightGuard,
}

impl Call {
    /// Tokens of the prompt, which an engine has to read.
    pub fn prompt_tokens(&self) -> u32 {
        self.head.prompt_tokens
    }

    pub fn remaining(&self) -> Duration {
        self.deadline.remaining()
    }

    /// Whether the budget allows to send it again.
    pub fn try_spend_retry(&self) -> bool {
        let now = self.gateway.now();
        self.gateway.with_budgets(|budgets| budgets.try_spend(now, &self.service))
    }
}

/// Serves one request.
pub(super) async fn serve(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let stopping = gateway.stop.is_cancelled();
    let (parts, body) = request.into_parts();
    let head = gateway.header_names.read_call(&parts.headers);
    let id = head.id.clone();
    let mut response = match admit(&gateway, parts, head, body).await {
        Ok(call) => run(Arc::new(call)).await,
        Err(refusal) => {
            let refusal = replace_if_unconfirmed(&gateway, refusal);
            note_refusal(&gateway, id.as_deref(), refusal);
            refusal.into_response()
        }
    };
    // What comes next on this connection could not be handed over.
    if stopping || gateway.should_hand_over() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// That a route or key does not exist is final for a caller, so it is said only where
/// the routing is known to be the newest; elsewhere the caller may ask again.
fn replace_if_unconfirmed(gateway: &Gateway, refusal: Refusal) -> Refusal {
    match refusal {
        Refusal::NoRoute | Refusal::UnknownKey if !gateway.feeds.is_current() => {
            Refusal::RoutingUnconfirmed
        }
        refusal => refusal,
    }
}

/// Counts and logs a request that is refused before it has found its service.
fn note_refusal(gateway: &Gateway, id: Option<&str>, refusal: Refusal) {
    gateway.metrics.outcomes.with_label_values(&["", refusal.name()]).inc();
    log::info!(
        "gateway: request ({}) refused: {}, routing version {}, {} control hosts followed, \
         newest announced {}, last heard {} ms ago",
        id.unwrap_or_default(),
        refusal.name(),
        gateway.routing_version(),
        gateway.feeds.open_feeds(),
        gateway.feeds.newest_announced(),
        gateway.feeds.last_heard_ms().map_or_else(|| "?".into(), |ms| ms.to_string()),
    );
}

/// How often a request was sent, and what is known of its runs.
#[derive(Default)]
struct Progress {
    tried: Vec<String>,
    runs: u32,
    may_have_run: bool,
    last_error: Option<Response<Body>>,
}

/// Sends a request to endpoints until it has its answer.
pub(super) async fn run(call: Arc<Call>) -> Response<Body> {
    let mut progress = Progress::default();
    let mut ended = Refusal::NoEndpoint;
    while progress.tried.len() < MAX_ENDPOINTS_TRIED {
        if call.remaining() < MIN_REMAINING {
            ended = Refusal::TimedOutUnsent;
            break;
        }
        if let Some(refusal) = call.crash_refusal() {
            ended = refusal;
            break;
        }
        let (endpoint, reservation) = match call.choose_destination(&progress.tried).await {
            Destination::Endpoint(endpoint, reservation) => (endpoint, reservation),
            Destination::NoEndpoint => {
                if progress.tried.is_empty() {
                    ended = call.no_endpoint_reason();
                }
                break;
            }
            Destination::TooLate(refusal) => {
                log_too_late(&call, &refusal);
                ended = Refusal::TooLate { retry_after_ms: refusal.retry_after_ms };
                break;
            }
        };
        let is_retry = !progress.tried.is_empty();
        progress.tried.push(endpoint.id.clone());
        let attempt = exchange::attempt(&call, &endpoint, reservation, is_retry).await;
        call.record_failure_at(&endpoint.version, &attempt);
        match attempt {
            Attempt::Answered(response) => return finish(&call, &endpoint.id, response),
            Attempt::NotSent => ended = Refusal::NotExecuted,
            Attempt::NotExecuted => {
                ended = Refusal::NotExecuted;
                if !call.try_spend_retry() {
                    break;
                }
            }
            Attempt::Error(response) => {
                progress.last_error = Some(response);
                if !may_run_again(&call, &mut progress) {
                    break;
                }
            }
            Attempt::Unknown => {
                ended = Refusal::AnswerLost;
                if !may_run_again(&call, &mut progress) {
                    break;
                }
            }
            Attempt::TimedOut => {
                ended = Refusal::TimedOut;
                if !may_run_again(&call, &mut progress) {
                    break;
                }
            }
        }
    }
    if let Some(response) = progress.last_error {
        let endpoint = progress.tried.last().cloned().unwrap_or_default();
        return finish(&call, &endpoint, response);
    }
    if matches!(ended, Refusal::NoEndpoint | Refusal::NotExecuted)
        && let Some(rest_ms) = call.first_rest_end_ms()
    {
        log::info!(
            "gateway: request {} meets only endpoints that rest, the first for {rest_ms} ms more",
            call.number
        );
        ended = Refusal::EndpointsRest { retry_after_ms: rest_ms as u32 };
    }
    // A promise that it has not run may be given only when that is sure.
    if progress.may_have_run && ended.status() == StatusCode::SERVICE_UNAVAILABLE {
        ended = Refusal::AnswerLost;
    }
    let ms = call.arrived.elapsed().as_millis();
    log::info!(
        "gateway: request {} ({}) on {} ended {} after {ms} ms, tried {:?}",
        call.number,
        call.head.id.as_deref().unwrap_or_default(),
        call.route.name,
        ended.name(),
        progress.tried
    );
    count_outcome(&call, ended.name());
    ended.into_response()
}

fn log_too_late(call: &Call, refusal: &placement::Refusal) {
    let placement::Refusal { backlog_ms, allowed_ms, own_ms, share_percent, .. } = *refusal;
    log::info!(
        "gateway: request {} ({}) of {} cannot be in time: {backlog_ms} ms of prompts before it, \
         {allowed_ms} allowed, {own_ms} ms for its own, customer at {share_percent} % of its share",
        call.number,
        call.head.id.as_deref().unwrap_or_default(),
        call.customer.as_deref().unwrap_or_default(),
    );
}

fn may_run_again(call: &Call, progress: &mut Progress) -> bool {
    progress.runs += 1;
    progress.may_have_run = true;
    call.route.may_repeat() && progress.runs < call.route.attempts && call.try_spend_retry()
}

fn finish(call: &Call, endpoint: &str, response: Response<Body>) -> Response<Body> {
    log::debug!("gateway: request {} answered {} by {endpoint}", call.number, response.status());
    let name = if response.status().is_success() { "answered" } else { "endpoint_error" };
    count_outcome(call, name);
    let seconds = call.arrived.elapsed().as_secs_f64();
    call.gateway.metrics.first_answer.with_label_values(&[&call.service]).observe(seconds);
    response
}

fn count_outcome(call: &Call, outcome: &str) {
    call.gateway.metrics.outcomes.with_label_values(&[&call.service, outcome]).inc();
}
