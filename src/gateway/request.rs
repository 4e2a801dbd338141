//! Serving one request from its arrival to its answer.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::body::Body;
use axum::http::request::Parts;
use axum::http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use super::arrival::admit;
use super::destination::Destination;
use super::exchange::{self, Attempt};
use super::header_names::RequestHead;
use super::refusal::Refusal;
use super::resumption::CallStream;
use super::state::{Gateway, InFlightGuard};
use crate::clock::BootInstant;
use crate::placement;
use crate::quarantine::RequestProfile;
use crate::region::AllowedRegions;
use crate::request_body::HeldBody;
use crate::rollout::ReleaseChoice;
use crate::routing::Route;

/// Maximum number of endpoints to which one request is sent when none of them runs it.
const MAX_ENDPOINTS_TRIED: usize = 4;
/// A request with less time left than this is not sent to another endpoint.
const MIN_REMAINING: Duration = Duration::from_millis(10);

/// A request whose route and customer are resolved.
pub(super) struct Call {
    pub gateway: Arc<Gateway>,
    pub number: u64,
    pub route: Route,
    pub service: String,
    pub is_engine: bool,
    pub cold_per_second: Option<f64>,
    pub customer: Option<String>,
    /// Regions in which it may be served, by the routing in force when it arrived.
    pub regions: AllowedRegions,
    /// Version of the routing in force when it arrived.
    pub routing_version: u64,
    pub head: RequestHead,
    pub parts: Parts,
    pub body: HeldBody,
    /// What of it can be blamed if it crashes endpoints.
    pub profile: RequestProfile,
    pub arrived: BootInstant,
    pub deadline: BootInstant,
    /// Which release it was assigned to while a release is rolled out.
    pub release_choice: Mutex<ReleaseChoice>,
    /// The stream that it begins or resumes, on a route that allows resuming.
    pub stream: Option<CallStream>,
    /// Whether it may have run at an endpoint, or may be running there.
    pub is_in_doubt: AtomicBool,
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

    /// Counts how it ended.
    pub fn count_outcome(&self, outcome: &str) {
        self.gateway.metrics.outcomes.with_label_values(&[&self.service, outcome]).inc();
    }

    /// Takes one retry out of the service's budget; false when nothing is left.
    pub fn try_spend_retry(&self) -> bool {
        let now = self.gateway.now();
        self.gateway.with_budgets(|budgets| budgets.try_spend(now, &self.service))
    }
}

/// Serves one request.
pub(super) async fn serve(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let stopping = gateway.stop.is_cancelled();
    let (parts, body) = request.into_parts();
    let head = gateway.header_names.read_request(&parts.headers);
    let id = head.id.clone();
    let admitted = tokio::select! {
        admitted = admit(&gateway, parts, head, body) => admitted,
        () = gateway.planned_stop.answers_ended() => Err(Refusal::Stopping),
    };
    let mut response = match admitted {
        Ok(call) => run_until_stopped(Arc::new(call)).await,
        Err(refusal) => {
            let refusal = replace_if_unconfirmed(&gateway, refusal);
            record_refusal(&gateway, id.as_deref(), refusal);
            refusal.into_response()
        }
    };
    // Closes the connection, since later requests on it could not be handed over.
    if stopping || gateway.should_hand_over() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Replaces a refusal for an unknown route or key by a retryable one unless the routing here
/// is known to be the newest: callers treat the former as final.
fn replace_if_unconfirmed(gateway: &Gateway, refusal: Refusal) -> Refusal {
    match refusal {
        Refusal::NoRoute | Refusal::UnknownKey if !gateway.feeds.is_current() => {
            Refusal::RoutingUnconfirmed
        }
        refusal => refusal,
    }
}

/// Counts and logs a request that is refused before its service is resolved.
fn record_refusal(gateway: &Gateway, id: Option<&str>, refusal: Refusal) {
    gateway.metrics.outcomes.with_label_values(&["", refusal.name()]).inc();
    log::info!(
        "gateway: request ({}) refused: {}, routing version {}, {} control hosts connected, \
         newest version announced {}, last message {} ms ago",
        id.unwrap_or_default(),
        refusal.name(),
        gateway.routing_version(),
        gateway.feeds.open_feeds(),
        gateway.feeds.newest_announced_version(),
        gateway.feeds.shortest_silence_ms().map_or_else(|| "?".into(), |ms| ms.to_string()),
    );
}

/// Attempts made so far for one request.
#[derive(Default)]
struct Progress {
    tried: Vec<String>,
    runs: u32,
    may_have_run: bool,
    last_error: Option<Response<Body>>,
}

/// Serves a request, and answers it at the end of a planned stop if nothing else has.
async fn run_until_stopped(call: Arc<Call>) -> Response<Body> {
    tokio::select! {
        response = run(call.clone()) => response,
        () = call.gateway.planned_stop.answers_ended() => {
            let outcome = match call.is_in_doubt.load(Ordering::Relaxed) {
                true => Refusal::AnswerLost,
                false => Refusal::Stopping,
            };
            refuse(&call, &[], outcome)
        }
    }
}

/// Sends a request to endpoints until one of them answers it or no attempt is left.
pub(super) async fn run(call: Arc<Call>) -> Response<Body> {
    let mut progress = Progress::default();
    let mut outcome = Refusal::NoEndpoint;
    if call.resumes_stream() {
        call.gateway.wait_until_caught_up(|| call.remaining()).await;
        if !call.may_resume() {
            return refuse(&call, &progress.tried, Refusal::VersionNotServed);
        }
    }
    while progress.tried.len() < MAX_ENDPOINTS_TRIED {
        if !call.version_is_served() {
            outcome = Refusal::VersionNotServed;
            break;
        }
        if call.remaining() < MIN_REMAINING {
            outcome = Refusal::TimedOutUnsent;
            break;
        }
        if let Some(refusal) = call.crash_refusal() {
            outcome = refusal;
            break;
        }
        let destination = match call.resumes_stream() {
            true => call.choose_destination_at_version(&progress.tried).await,
            false => call.choose_destination(&progress.tried).await,
        };
        let (endpoint, reservation) = match destination {
            Destination::Endpoint(endpoint, reservation) => (endpoint, reservation),
            Destination::NoEndpoint => {
                if progress.tried.is_empty() {
                    outcome = match call.resumes_stream() {
                        true => Refusal::VersionNotServed,
                        false => call.no_endpoint_reason(),
                    };
                }
                break;
            }
            Destination::TooLate(refusal) => {
                log_too_late(&call, &refusal);
                outcome = Refusal::TooLate { retry_after_ms: refusal.retry_after_ms };
                break;
            }
        };
        let is_retry = !progress.tried.is_empty();
        progress.tried.push(endpoint.id.clone());
        let attempt = exchange::attempt(&call, &endpoint, reservation, is_retry).await;
        call.record_failure_at(&endpoint.version, &attempt);
        if matches!(attempt, Attempt::NotSent | Attempt::NotExecuted) {
            call.is_in_doubt.store(progress.may_have_run, Ordering::Relaxed);
        }
        match attempt {
            Attempt::Answered(response) => return finish(&call, &endpoint.id, response),
            Attempt::Streams(response) => {
                record_head(&call, &endpoint.id, &response);
                return response;
            }
            Attempt::NotSent => outcome = Refusal::NotExecuted,
            Attempt::NotExecuted => {
                outcome = Refusal::NotExecuted;
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
                outcome = Refusal::AnswerLost;
                if !may_run_again(&call, &mut progress) {
                    break;
                }
            }
            Attempt::TimedOut => {
                outcome = Refusal::TimedOut;
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
    let finds_none =
        matches!(outcome, Refusal::NoEndpoint | Refusal::VersionNotServed | Refusal::NotExecuted);
    if finds_none && let Some(rest_ms) = call.first_rest_end_ms() {
        log::info!(
            "gateway: request {} found only resting endpoints, the first for another {rest_ms} ms",
            call.number
        );
        outcome = Refusal::EndpointsRest { retry_after_ms: rest_ms as u32 };
    }
    // 503 promises that the request has not run, so it is sent only when that is certain.
    if progress.may_have_run && outcome.status() == StatusCode::SERVICE_UNAVAILABLE {
        outcome = Refusal::AnswerLost;
    }
    refuse(&call, &progress.tried, outcome)
}

fn refuse(call: &Call, tried: &[String], outcome: Refusal) -> Response<Body> {
    let ms = call.arrived.elapsed().as_millis();
    log::info!(
        "gateway: request {} ({}) on {} ended {} after {ms} ms, tried {tried:?}",
        call.number,
        call.head.id.as_deref().unwrap_or_default(),
        call.route.name,
        outcome.name(),
    );
    call.count_outcome(outcome.name());
    outcome.into_response()
}

fn log_too_late(call: &Call, refusal: &placement::Refusal) {
    let placement::Refusal { backlog_ms, allowed_ms, own_ms, share_percent, .. } = *refusal;
    log::info!(
        "gateway: request {} ({}) of {} cannot be in time: {backlog_ms} ms of prompts ahead of \
         it, {allowed_ms} allowed, {own_ms} ms for its own, customer at {share_percent} % \
         of its share",
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
    record_head(call, endpoint, &response);
    let name = if response.status().is_success() { "answered" } else { "endpoint_error" };
    call.count_outcome(name);
    response
}

fn record_head(call: &Call, endpoint: &str, response: &Response<Body>) {
    log::debug!("gateway: request {} gets {} from {endpoint}", call.number, response.status());
    let seconds = call.arrived.elapsed().as_secs_f64();
    call.gateway.metrics.first_answer.with_label_values(&[&call.service]).observe(seconds);
}
