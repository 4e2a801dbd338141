//! A single attempt to call an endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::response::Parts;
use axum::http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response};
use bytes::Bytes;
use hyper::body::Incoming;

use super::client::{HttpClient, SendError};
use super::header;
use super::outcome::UnknownReason;
use super::sse::Splitter;
use crate::answer::{self, AnswerBody, AnswerLimits, AnswerMemory, Completeness};
use crate::notice::Notice;
use crate::request_body::HeldBody;

/// Hop-by-hop headers: they apply to one connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 7] =
    ["connection", "keep-alive", "transfer-encoding", "content-length", "host", "te", "upgrade"];

/// A call as it is sent to an endpoint.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request id, echoed by endpoints.
    pub id: String,
    /// The HTTP method.
    pub method: Method,
    /// Path and query at the endpoint.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: HeldBody,
    /// Whether the call may run at most once, so that it must not be repeated.
    pub run_once: bool,
    /// Number of tokens already received, when a truncated stream is resumed.
    pub resume_after: Option<u32>,
}

/// An endpoint's answer: complete or streamed.
#[derive(Debug)]
pub enum Answer {
    /// The answer with its body, and whether the endpoint stated that it is whole.
    Complete(Response<Bytes>, Completeness),
    /// The head of the answer; server-sent events follow in the body.
    Stream(Box<Parts>, AnswerBody),
}

/// The result of one attempt.
#[derive(Debug)]
pub enum Attempt {
    /// The endpoint answered.
    Answered(Answer),
    /// No byte was sent, which proves that the call did not run.
    NotSent,
    /// The endpoint answered that it did not run the call.
    Refused,
    /// The call was sent; whether it ran is not known.
    Unknown(UnknownReason),
}

/// The result of an attempt, and the notice that the endpoint gave in its answer.
#[derive(Debug)]
pub struct AttemptReport {
    /// The result.
    pub attempt: Attempt,
    /// The notice in the head of the answer; empty if there was no answer.
    pub notice: Notice,
}

impl From<Attempt> for AttemptReport {
    fn from(attempt: Attempt) -> AttemptReport {
        AttemptReport { attempt, notice: Notice::default() }
    }
}

/// HTTP client for calls to endpoints.
#[derive(Clone, Debug)]
pub struct EndpointClient {
    client: HttpClient,
    limits: AnswerLimits,
    memory: Arc<AnswerMemory>,
}

impl EndpointClient {
    /// A client that reads and holds answers within `limits`.
    pub fn new(limits: AnswerLimits) -> EndpointClient {
        let memory = AnswerMemory::new(limits.held_bytes);
        EndpointClient { client: HttpClient::new(limits), limits, memory }
    }

    /// A splitter for the events of an answer, whose buffer counts as held.
    pub fn splitter(&self) -> Splitter {
        Splitter::within(self.memory.hold())
    }

    /// Calls `address` and waits up to `limit` for the head of the answer if it is streamed, or
    /// for the complete answer otherwise.
    pub async fn attempt(
        &self,
        address: SocketAddr,
        call: &Call,
        limit: Duration,
    ) -> AttemptReport {
        let Some(request) = call.request(address) else {
            return Attempt::NotSent.into();
        };
        match tokio::time::timeout(limit, self.exchange(call, request)).await {
            Ok(report) => report,
            Err(_) => Attempt::Unknown(UnknownReason::TimedOut).into(),
        }
    }

    async fn exchange(&self, call: &Call, request: Request<Body>) -> AttemptReport {
        let kept = !call.run_once;
        let (response, connection) = match self.client.send_within_limits(request, kept).await {
            Ok(answered) => answered,
            Err(SendError::NotSent) => return Attempt::NotSent.into(),
            Err(SendError::Broken) => return Attempt::Unknown(UnknownReason::Broken).into(),
            Err(SendError::Exceeded(limit)) => {
                log::info!(
                    "delivery: {} got no answer, the connection is closed: {limit}",
                    call.id
                );
                return Attempt::Unknown(UnknownReason::Broken).into();
            }
        };
        let echoed = header::text(response.headers(), header::REQUEST);
        if let Some(id) = echoed.filter(|id| *id != call.id) {
            log::info!("delivery: {} got a surplus answer, to {id:.80}", call.id);
            connection.retire();
            return Attempt::Unknown(UnknownReason::Crossed).into();
        }
        if !answer::is_final(response.status()) {
            log::info!("delivery: {} got status {}", call.id, response.status().as_str());
            connection.retire();
            return Attempt::Unknown(UnknownReason::Invalid).into();
        }
        let leaving = HeaderName::from_static(header::LEAVING);
        let notice = Notice::read(response.status(), response.headers(), &leaving);
        AttemptReport { attempt: self.classify(call, response).await, notice }
    }

    /// Determines the result of an attempt from an answer whose head has been received.
    async fn classify(&self, call: &Call, response: Response<Incoming>) -> Attempt {
        if response.headers().contains_key(header::NOT_RUN) {
            return Attempt::Refused;
        }
        let (head, body) = AnswerBody::split(response, false);
        if body.has_events() {
            return Attempt::Answered(Answer::Stream(Box::new(head), body));
        }
        let (body, end) = body.read_within(self.limits.answer_bytes, &self.memory).await;
        match end.verdict() {
            Ok(completeness) => {
                let response = Response::from_parts(head, body);
                Attempt::Answered(Answer::Complete(response, completeness))
            }
            Err(broken) => {
                log::info!("delivery: the answer to {} was broken off: {broken}", call.id);
                Attempt::Unknown(UnknownReason::Broken)
            }
        }
    }
}

/// Copies headers for forwarding in either direction, without the hop-by-hop ones.
pub(crate) fn strip_hop_headers(headers: &HeaderMap) -> HeaderMap {
    let mut end_to_end = headers.clone();
    for name in HOP_BY_HOP_HEADERS {
        end_to_end.remove(name);
    }
    end_to_end
}

impl Call {
    fn request(&self, address: SocketAddr) -> Option<Request<Body>> {
        let uri = format!("http://{address}{}", self.path);
        let mut request = Request::builder().method(self.method.clone()).uri(uri);
        *request.headers_mut()? = strip_hop_headers(&self.headers);
        let headers = request.headers_mut()?;
        headers.insert(header::REQUEST, HeaderValue::from_str(&self.id).ok()?);
        if let Some(tokens) = self.resume_after {
            headers.insert(header::RESUME, tokens.into());
        }
        request.body(Body::from(self.body.to_bytes())).ok()
    }
}
