//! One attempt: sending a request to one endpoint and receiving the head of its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::body::Body;
use axum::http::response::Parts;
use axum::http::{HeaderMap, Request, Response, StatusCode, Uri, header};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;

use super::assignment::Assignment;
use super::connections::{Connection, SendError, Target};
use super::endpoints::Failure;
use super::header_names::Forwarding;
use super::observation::ReleaseObservation;
use super::request::Call;
use super::stream;
use crate::answer::{self, AnswerBody, Completeness};
use crate::caller_connection::EndsWithConnection;
use crate::placement::{Completion, Reservation};
use crate::registry::Registration;
use crate::routing::RouteKind;

/// An idempotent request is given up at one endpoint and sent to another after this multiple
/// of the route's objective.
const ANSWER_TIMEOUT_OBJECTIVES: u64 = 3;
/// Maximum number of characters of another request's id in a log line.
const MAX_LOGGED_ID_CHARS: usize = 80;
/// Shortest time to wait for an answer of one endpoint.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Result of one attempt.
pub(super) enum Attempt {
    /// The complete answer, for the caller.
    Answered(Response<Body>),
    /// The head of a stream, for the caller; its end is still to come.
    Streams(Response<Body>),
    /// The endpoint ran it and answered with an error.
    Error(Response<Body>),
    /// Nothing was sent.
    NotSent,
    /// The endpoint states that it did not run it.
    NotExecuted,
    /// It may have run; there is no answer that could be forwarded.
    Unknown,
    /// It may have run; no answer arrived in time.
    TimedOut,
}

/// Hop-by-hop headers.
const CONNECTION_HEADERS: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes hop-by-hop headers, including those that `Connection` names.
pub(super) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    let named: Vec<_> = named.flat_map(|text| text.split(',')).map(str::trim).collect();
    let named: Vec<_> =
        named.into_iter().filter_map(|n| n.parse::<header::HeaderName>().ok()).collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}

/// Builds the request that is sent to an endpoint.
pub(super) fn request_for(
    call: &Call,
    endpoint: &Registration,
    copy_from: Option<SocketAddr>,
    after_event: Option<&str>,
) -> Request<Full<Bytes>> {
    let mut headers = call.parts.headers.clone();
    strip_connection_headers(&mut headers);
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
    let forwarding = Forwarding {
        remaining_ms: call.remaining().as_millis() as u64,
        endpoint: &endpoint.id,
        customer: call.customer.as_deref(),
        copy_from,
        after_event,
    };
    call.gateway.header_names.write_request(&mut headers, &forwarding);
    let mut request = Request::new(Full::new(call.body.to_bytes()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = origin_form(&call.parts.uri);
    *request.headers_mut() = headers;
    request
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_else(|| Uri::from_static("/"))
}

/// An endpoint's answer whose head has arrived and whose body is still to be read.
pub(super) struct PendingAnswer {
    pub head: Parts,
    pub body: AnswerBody,
    pub connection: Connection,
    pub assignment: Assignment,
}

/// Sends a request to one endpoint and waits for its complete answer, or for the head of
/// its stream.
pub(super) async fn attempt(
    call: &Arc<Call>,
    endpoint: &Registration,
    reservation: Option<Reservation>,
    is_retry: bool,
) -> Attempt {
    if is_retry {
        call.gateway.metrics.retries.with_label_values(&[&call.service]).inc();
    }
    match begin_attempt(call, endpoint, reservation, None).await {
        Ok(pending) => complete_attempt(call, endpoint, pending).await,
        Err(attempt) => attempt,
    }
}

/// Sends a request and waits for the head of an answer; fails unless the answer is that of
/// this endpoint to this request.
pub(super) async fn begin_attempt(
    call: &Arc<Call>,
    endpoint: &Registration,
    reservation: Option<Reservation>,
    after_event: Option<&str>,
) -> Result<PendingAnswer, Attempt> {
    let Some(address) = endpoint.address else { return Err(Attempt::NotSent) };
    if !call.gateway.is_near(endpoint) {
        call.gateway.metrics.sent_to_other_region.with_label_values(&[&call.service]).inc();
    }
    let tokens = call.prompt_tokens();
    let observation = ReleaseObservation::new(call, endpoint);
    let mut assignment = Assignment::new(&call.gateway, endpoint, tokens, reservation, observation);
    assignment.set_completion(Completion::Failed);
    let request = request_for(call, endpoint, assignment.copy_from(), after_event);
    match send_and_await_head(call, endpoint, address, request, &mut assignment).await {
        Ok((response, connection)) => {
            let is_streaming = call.route.kind == RouteKind::Streaming;
            let (head, body) = AnswerBody::split(response, is_streaming);
            Ok(PendingAnswer { head, body, connection, assignment })
        }
        Err(attempt) => {
            assignment.observation.record_attempt(&attempt);
            Err(attempt)
        }
    }
}

async fn send_and_await_head(
    call: &Arc<Call>,
    endpoint: &Registration,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    assignment: &mut Assignment,
) -> Result<(Response<Incoming>, Connection), Attempt> {
    let is_allowed = || {
        let is_allowed = call.may_be_sent_to(endpoint);
        // It is written right after this.
        call.is_in_doubt.fetch_or(is_allowed, Ordering::Relaxed);
        is_allowed
    };
    let target = Target { address, started_at_ms: endpoint.started_at_ms };
    let exchange = call.gateway.connections.send(&endpoint.id, target, request, is_allowed);
    match tokio::time::timeout(answer_timeout(call), exchange).await {
        Ok(Ok((response, mut connection))) => {
            check_id(call, endpoint, &response)?;
            check_status(call, endpoint, &response)?;
            connection.read_keep_alive(&response);
            let requests_rest = call.apply_notice(endpoint, &response);
            if response.status() == StatusCode::MISDIRECTED_REQUEST {
                assignment.set_completion(Completion::Replaced);
            } else if requests_rest {
                assignment.set_completion(Completion::Abandoned);
            }
            check_head(call, endpoint, &response, requests_rest)?;
            call.record_answer_began(assignment);
            Ok((response, connection))
        }
        Ok(Err(SendError::NotAllowed)) => {
            log::info!(
                "gateway: request {} not sent to {}: no longer allowed there",
                call.number,
                endpoint.id
            );
            assignment.set_completion(Completion::Abandoned);
            Err(Attempt::NotSent)
        }
        Ok(Err(SendError::NotSent(reason))) => {
            log::info!("gateway: request {} not sent to {}: {reason}", call.number, endpoint.id);
            call.gateway.record_failure(&endpoint.id, endpoint.started_at_ms, Failure::Unreachable);
            call.gateway.record_broken_connection(&endpoint.id);
            assignment.observation.record_failed();
            Err(Attempt::NotSent)
        }
        Ok(Err(SendError::Unknown(reason))) => {
            call.record_lost_answer(assignment, &reason);
            Err(Attempt::Unknown)
        }
        Ok(Err(SendError::Exceeded(limit))) => {
            call.record_exceeded_limit(assignment, limit);
            Err(Attempt::Unknown)
        }
        Err(_) => {
            call.gateway.record_failure(&endpoint.id, endpoint.started_at_ms, Failure::Failed);
            log::info!(
                "gateway: request {} got no answer from {} in time",
                call.number,
                endpoint.id
            );
            // Idle connections may be dead too, and each would cost another request its full
            // timeout: six of six requests in a test, and one when they are closed here.
            call.gateway.connections.close_idle(&endpoint.id);
            Err(Attempt::TimedOut)
        }
    }
}

/// Checks that an answer is one to this request. Nothing else in another's answer is read, and its
/// connection is closed: the request may have run.
fn check_id(
    call: &Call,
    endpoint: &Registration,
    response: &Response<Incoming>,
) -> Result<(), Attempt> {
    let answered = call.gateway.header_names.read_answer(response.headers()).id;
    if answered == call.head.id {
        return Ok(());
    }
    log::info!(
        "gateway: request {} ({}) got a surplus answer from {}, to {:.MAX_LOGGED_ID_CHARS$}",
        call.number,
        call.head.id.as_deref().unwrap_or_default(),
        endpoint.id,
        answered.as_deref().unwrap_or("no request"),
    );
    call.gateway.metrics.surplus_answers.with_label_values(&[&call.service]).inc();
    call.gateway.record_failure(&endpoint.id, endpoint.started_at_ms, Failure::Failed);
    Err(Attempt::Unknown)
}

/// Checks that an answer has the status of a final answer. Nothing else in another one is read, and
/// its connection is closed: the request may have run.
fn check_status(
    call: &Call,
    endpoint: &Registration,
    response: &Response<Incoming>,
) -> Result<(), Attempt> {
    let status = response.status();
    if answer::is_final(status) {
        return Ok(());
    }
    log::info!(
        "gateway: request {} ({}) got an answer with status {} from {}",
        call.number,
        call.head.id.as_deref().unwrap_or_default(),
        status.as_str(),
        endpoint.id,
    );
    call.gateway.record_failure(&endpoint.id, endpoint.started_at_ms, Failure::Failed);
    Err(Attempt::Unknown)
}

/// How long to wait for an answer of one endpoint.
fn answer_timeout(call: &Call) -> Duration {
    let remaining = call.remaining();
    if !call.route.may_repeat() || call.route.attempts < 2 {
        return remaining;
    }
    let timeout = Duration::from_millis(call.route.objective_ms * ANSWER_TIMEOUT_OBJECTIVES);
    remaining.min(timeout.max(MIN_ANSWER_TIMEOUT))
}

/// Checks that the answer to a request is one of the endpoint that ran it. An endpoint that
/// requests a rest is not also recorded as failed.
fn check_head(
    call: &Call,
    endpoint: &Registration,
    response: &Response<Incoming>,
    requests_rest: bool,
) -> Result<(), Attempt> {
    let head = call.gateway.header_names.read_answer(response.headers());
    let status = response.status();
    if head.not_executed || status == StatusCode::MISDIRECTED_REQUEST {
        let replaced = status == StatusCode::MISDIRECTED_REQUEST;
        let failure = if replaced { Failure::Replaced } else { Failure::Rejected };
        log::info!("gateway: request {} not run by {}: {status}", call.number, endpoint.id);
        if !requests_rest {
            call.gateway.record_failure(&endpoint.id, endpoint.started_at_ms, failure);
        }
        return Err(Attempt::NotExecuted);
    }
    if !head.sealed {
        log::info!(
            "gateway: request {} got an answer from {} without its seal",
            call.number,
            endpoint.id
        );
        call.gateway.record_failure(&endpoint.id, endpoint.started_at_ms, Failure::Failed);
        return Err(Attempt::Unknown);
    }
    Ok(())
}

async fn complete_attempt(
    call: &Arc<Call>,
    endpoint: &Registration,
    pending: PendingAnswer,
) -> Attempt {
    let is_streaming = call.route.kind == RouteKind::Streaming;
    if pending.head.status.is_success() && is_streaming {
        if let Some(stream) = call.resumed_stream()
            && !call.may_go_on(&stream, endpoint, &pending.connection).await
        {
            return Attempt::Unknown;
        }
        call.gateway.record_accepted(&endpoint.id, endpoint.started_at_ms);
        return Attempt::Streams(stream::relay(call, pending));
    }
    let PendingAnswer { head, body, connection, mut assignment } = pending;
    let attempt = read_complete_answer(call, endpoint, head, body, connection, &assignment).await;
    if matches!(attempt, Attempt::Answered(_)) {
        assignment.set_completion(Completion::Served);
    }
    assignment.observation.record_attempt(&attempt);
    attempt
}

/// Reads the complete answer before any of it is forwarded.
async fn read_complete_answer(
    call: &Call,
    endpoint: &Registration,
    mut head: Parts,
    body: AnswerBody,
    connection: Connection,
    assignment: &Assignment,
) -> Attempt {
    let max_bytes = call.gateway.settings.answers.answer_bytes;
    let reading = body.read_within(max_bytes, &call.gateway.answer_memory);
    let Ok((body, end)) = tokio::time::timeout(call.remaining(), reading).await else {
        call.gateway.record_failure(&endpoint.id, endpoint.started_at_ms, Failure::Failed);
        return Attempt::TimedOut;
    };
    call.record_body_end(assignment, end);
    let completeness = match end.verdict() {
        Ok(completeness) => completeness,
        Err(broken) => {
            call.record_broken_answer(assignment, broken);
            return Attempt::Unknown;
        }
    };
    call.record_connection_end(&endpoint.id, completeness);
    call.gateway.connections.keep_idle(&endpoint.id, connection);
    strip_connection_headers(&mut head.headers);
    if call.parts.method != axum::http::Method::HEAD {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    call.record_end(head.status, completeness);
    let failed = head.status.is_server_error();
    let mut response = Response::from_parts(head, Body::from(body));
    if completeness == Completeness::Unstated {
        response.extensions_mut().insert(EndsWithConnection);
    }
    if failed {
        call.gateway.record_failure(&endpoint.id, endpoint.started_at_ms, Failure::Failed);
        return Attempt::Error(response);
    }
    call.gateway.record_success(&endpoint.id, endpoint.started_at_ms);
    Attempt::Answered(response)
}
