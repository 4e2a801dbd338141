//! One attempt: a request sent to one endpoint, and the head of its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, Request, Response, StatusCode, Uri, header};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::connections::{Connection, SendError, Target};
use super::endpoints::Failure;
use super::header_names::Forwarding;
use super::observed::Observed;
use super::request::Call;
use super::state::Ticket;
use super::stream;
use crate::placement::{Completion, Reservation};
use crate::registry::Registration;
use crate::routing::RouteKind;

/// Largest answer that is not a stream, in bytes.
const MAX_ANSWER: usize = 16 << 20;
/// A repeatable request is given up at one endpoint after so many times its
/// objective, to be sent to another.
const PATIENCE: u64 = 3;
/// The shortest time for which one endpoint is waited for.
const LEAST_PATIENCE: Duration = Duration::from_millis(300);

/// What came of one attempt.
pub(super) enum Attempt {
    /// The answer, for the caller.
    Answered(Response<Body>),
    /// The endpoint ran it and answered with an error.
    Error(Response<Body>),
    /// Nothing was sent.
    NotSent,
    /// The endpoint states that it did not run it.
    NotExecuted,
    /// It may have run; there is no answer that could be passed on.
    Unknown,
    /// It may have run; no answer came in time.
    TimedOut,
}

/// Headers that concern one connection only.
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

/// Removes what concerns one connection only, also where `Connection` names it.
pub(super) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    let named: Vec<_> = named.flat_map(|text| text.split(',')).map(str::trim).collect();
    let named: Vec<_> =
        named.into_iter().filter_map(|n| n.parse::<header::HeaderName>().ok()).collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}

/// The request as an endpoint gets it.
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
    call.gateway.header_names.write_call(&mut headers, &forwarding);
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = origin_form(&call.parts.uri);
    *request.headers_mut() = headers;
    request
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_else(|| Uri::from_static("/"))
}

/// An endpoint's answer under way.
pub(super) struct Opened {
    pub response: Response<Incoming>,
    pub connection: Connection,
    pub ticket: Ticket,
}

/// Sends a request to one endpoint and waits for its answer, or for the head of
/// its stream.
pub(super) async fn attempt(
    call: &Arc<Call>,
    endpoint: &Registration,
    reservation: Option<Reservation>,
    again: bool,
) -> Attempt {
    if again {
        call.gateway.metrics.retries.with_label_values(&[&call.service]).inc();
    }
    match open(call, endpoint, reservation, None).await {
        Ok(opened) => judge(call, endpoint, opened).await,
        Err(attempt) => attempt,
    }
}

/// Sends a request and waits for the head of an answer that is the endpoint's
/// own, to this request.
pub(super) async fn open(
    call: &Arc<Call>,
    endpoint: &Registration,
    reservation: Option<Reservation>,
    after_event: Option<&str>,
) -> Result<Opened, Attempt> {
    let Some(address) = endpoint.address else { return Err(Attempt::NotSent) };
    if !call.gateway.is_near(endpoint) {
        call.gateway.metrics.across.with_label_values(&[&call.service]).inc();
    }
    let tokens = call.prompt_tokens();
    let observed = Observed::new(call, endpoint);
    let mut ticket = Ticket::new(&call.gateway, endpoint, tokens, reservation, observed);
    ticket.set_ending(Completion::Failed);
    let request = request_for(call, endpoint, ticket.copy_from(), after_event);
    match head_of_answer(call, endpoint, address, request, &mut ticket).await {
        Ok((response, connection)) => Ok(Opened { response, connection, ticket }),
        Err(attempt) => {
            ticket.observed.note(&attempt);
            Err(attempt)
        }
    }
}

async fn head_of_answer(
    call: &Arc<Call>,
    endpoint: &Registration,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    ticket: &mut Ticket,
) -> Result<(Response<Incoming>, Connection), Attempt> {
    let is_allowed = || call.may_be_sent_to(endpoint);
    let target = Target { address, started_at_ms: endpoint.started_at_ms };
    let exchange = call.gateway.connections.send(&endpoint.id, target, request, is_allowed);
    match tokio::time::timeout(patience(call), exchange).await {
        Ok(Ok((response, connection))) => {
            let rests = call.take_notice(endpoint, &response);
            if response.status() == StatusCode::MISDIRECTED_REQUEST {
                ticket.set_ending(Completion::Replaced);
            } else if rests {
                ticket.set_ending(Completion::Abandoned);
            }
            check_head(call, endpoint, &response, rests)?;
            call.answered_by(ticket);
            Ok((response, connection))
        }
        Ok(Err(SendError::NotAllowed)) => {
            log::info!(
                "gateway: request {} not sent to {}: no longer allowed there",
                call.number,
                endpoint.id
            );
            ticket.set_ending(Completion::Abandoned);
            Err(Attempt::NotSent)
        }
        Ok(Err(SendError::NotSent(why))) => {
            log::info!("gateway: request {} not sent to {}: {why}", call.number, endpoint.id);
            call.gateway.note_failure(&endpoint.id, endpoint.started_at_ms, Failure::Unreachable);
            ticket.observed.failed();
            Err(Attempt::NotSent)
        }
        Ok(Err(SendError::Unknown(why))) => Err(lost(call, endpoint, ticket, &why)),
        Err(_) => {
            call.gateway.note_failure(&endpoint.id, endpoint.started_at_ms, Failure::Failed);
            log::info!("gateway: request {} got no answer of {}", call.number, endpoint.id);
            // Kept connections may be dead as well, and each would cost another request its
            // whole time: six of six in a test, one with this.
            call.gateway.connections.forget(&endpoint.id);
            Err(Attempt::TimedOut)
        }
    }
}

/// The endpoint ended the connection before the whole answer.
fn lost(call: &Call, endpoint: &Registration, ticket: &Ticket, why: &str) -> Attempt {
    call.lost_at(ticket, why);
    call.gateway.note_failure(&endpoint.id, endpoint.started_at_ms, Failure::Failed);
    Attempt::Unknown
}

fn unknown(call: &Call, endpoint: &Registration, why: &str) -> Attempt {
    log::info!(
        "gateway: request {} got no answer of its own at {}: {why}",
        call.number,
        endpoint.id
    );
    call.gateway.note_failure(&endpoint.id, endpoint.started_at_ms, Failure::Failed);
    Attempt::Unknown
}

/// How long an endpoint is waited for.
fn patience(call: &Call) -> Duration {
    let remaining = call.remaining();
    if !call.route.may_repeat() || call.route.attempts < 2 {
        return remaining;
    }
    let patience = Duration::from_millis(call.route.objective_ms * PATIENCE);
    remaining.min(patience.max(LEAST_PATIENCE))
}

/// Whether a head is the endpoint's own answer to this request. One that asks for rest gets
/// that, and is not taken to have failed besides.
fn check_head(
    call: &Call,
    endpoint: &Registration,
    response: &Response<Incoming>,
    rests: bool,
) -> Result<(), Attempt> {
    let head = call.gateway.header_names.read_answer(response.headers());
    let status = response.status();
    if head.not_executed || status == StatusCode::MISDIRECTED_REQUEST {
        let replaced = status == StatusCode::MISDIRECTED_REQUEST;
        let failure = if replaced { Failure::Replaced } else { Failure::Rejected };
        log::info!("gateway: request {} not run by {}: {status}", call.number, endpoint.id);
        if !rests {
            call.gateway.note_failure(&endpoint.id, endpoint.started_at_ms, failure);
        }
        return Err(Attempt::NotExecuted);
    }
    if head.id != call.head.id {
        return Err(unknown(call, endpoint, "the answer is another request's"));
    }
    if !head.sealed {
        return Err(unknown(call, endpoint, "the answer is not the endpoint's"));
    }
    Ok(())
}

async fn judge(call: &Arc<Call>, endpoint: &Registration, opened: Opened) -> Attempt {
    let streams = call.route.kind == RouteKind::Streaming;
    if opened.response.status().is_success() && streams {
        call.gateway.note_success(endpoint);
        return Attempt::Answered(stream::relay(call, opened));
    }
    let Opened { response, connection, mut ticket } = opened;
    let attempt = whole(call, endpoint, response, connection, &ticket).await;
    if matches!(attempt, Attempt::Answered(_)) {
        ticket.set_ending(Completion::Served);
    }
    ticket.observed.note(&attempt);
    attempt
}

/// Reads a whole answer before any of it is passed on.
async fn whole(
    call: &Call,
    endpoint: &Registration,
    response: Response<Incoming>,
    connection: Connection,
    ticket: &Ticket,
) -> Attempt {
    let (mut head, body) = response.into_parts();
    let reading = Limited::new(body, MAX_ANSWER).collect();
    let body = match tokio::time::timeout(call.remaining(), reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return lost(call, endpoint, ticket, &error.to_string()),
        Err(_) => return Attempt::TimedOut,
    };
    call.gateway.connections.keep(&endpoint.id, connection);
    strip_connection_headers(&mut head.headers);
    if call.parts.method != axum::http::Method::HEAD {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    call.served();
    let failed = head.status.is_server_error();
    let response = Response::from_parts(head, Body::from(body));
    if failed {
        call.gateway.note_failure(&endpoint.id, endpoint.started_at_ms, Failure::Failed);
        return Attempt::Error(response);
    }
    call.gateway.note_success(endpoint);
    Attempt::Answered(response)
}
