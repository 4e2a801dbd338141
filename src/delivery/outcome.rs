//! Outcomes of requests, and the responses that report them to callers.

use axum::body::Body;
use axum::http::{HeaderValue, Response, StatusCode};
use serde_json::json;

use super::header;
use crate::wire::RefuseReason;

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// The dispatcher or the router refused the request.
    Refused(RefuseReason),
    /// Too many body bytes of the customer are waiting at this router.
    TooManyBytes,
    /// The router has not received a configuration yet.
    NoConfiguration,
    /// The router is in a planned stop.
    Stopping,
    /// Endpoints could not be called or refused the request, and the retries or the deadline ran
    /// out.
    EndpointsRefuse,
    /// A run-once claim cannot be recorded: no majority of control hosts is reachable.
    NoMajority,
    /// The request is refused because endpoints that ran it crashed.
    CrashesEndpoints,
}

impl NotRunReason {
    /// A short name for headers and metrics.
    pub fn name(self) -> &'static str {
        match self {
            NotRunReason::Refused(RefuseReason::QueueFull) => "queue-full",
            NotRunReason::Refused(RefuseReason::DeadlineUnmet) => "deadline-unmet",
            NotRunReason::Refused(RefuseReason::NoEndpoint) => "no-endpoint",
            NotRunReason::Refused(RefuseReason::EndpointsRest) => "endpoints-rest",
            NotRunReason::TooManyBytes => "too-many-bytes",
            NotRunReason::NoConfiguration => "no-configuration",
            NotRunReason::Stopping => "stopping",
            NotRunReason::EndpointsRefuse => "endpoints-refuse",
            NotRunReason::NoMajority => "no-majority",
            NotRunReason::CrashesEndpoints => "crashes-endpoints",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            NotRunReason::Refused(RefuseReason::QueueFull) | NotRunReason::TooManyBytes => {
                StatusCode::TOO_MANY_REQUESTS
            }
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The connection broke after the call was sent.
    Broken,
    /// No answer came before the deadline.
    TimedOut,
    /// The answer belongs to another request.
    Crossed,
    /// The answer has a status that no answer has.
    Invalid,
    /// An earlier call with the same key ended without a known answer.
    Earlier,
}

impl UnknownReason {
    /// A short name for headers and metrics.
    pub fn name(self) -> &'static str {
        match self {
            UnknownReason::Broken => "broken",
            UnknownReason::TimedOut => "timed-out",
            UnknownReason::Crossed => "crossed",
            UnknownReason::Invalid => "invalid",
            UnknownReason::Earlier => "earlier",
        }
    }
}

/// Final outcome of a request.
#[derive(Debug)]
pub enum Outcome {
    /// An endpoint answered.
    Answered(Response<Body>),
    /// An endpoint answers with a stream, whose end is still to come.
    Streams(Response<Body>),
    /// The request did not run; the caller may retry after this many milliseconds.
    NotRun(NotRunReason, u32),
    /// An earlier call with the same key is still running; the caller may retry after this many
    /// milliseconds.
    Running(u32),
    /// An earlier call with the same key was answered, but its answer is not kept.
    AnsweredBefore,
    /// The request may have run.
    Unknown(UnknownReason),
    /// The request is invalid and did not run.
    BadRequest(StatusCode, String),
}

impl Outcome {
    /// A short name for headers and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Answered(_) | Outcome::Streams(_) | Outcome::AnsweredBefore => "answered",
            Outcome::NotRun(..) | Outcome::BadRequest(..) => "not-run",
            Outcome::Running(_) => "running",
            Outcome::Unknown(_) => "unknown",
        }
    }

    /// A short name of the reason; empty if the request was answered.
    pub fn reason(&self) -> &'static str {
        match self {
            Outcome::Answered(_) | Outcome::Streams(_) => "",
            Outcome::AnsweredBefore => "answer-not-kept",
            Outcome::NotRun(reason, _) => reason.name(),
            Outcome::Running(_) => "still-running",
            Outcome::Unknown(reason) => reason.name(),
            Outcome::BadRequest(..) => "bad-request",
        }
    }

    /// Converts the outcome to the response for the caller; `trace` is the request id.
    pub fn into_response(self, trace: &str) -> Response<Body> {
        let (name, reason) = (self.name(), self.reason());
        let (mut response, retry_ms) = match self {
            Outcome::Answered(response) | Outcome::Streams(response) => (response, None),
            Outcome::NotRun(cause, retry) => (error(cause.status(), reason), Some(retry)),
            Outcome::Running(retry) => (error(StatusCode::CONFLICT, reason), Some(retry)),
            Outcome::AnsweredBefore => (error(StatusCode::GONE, reason), None),
            Outcome::Unknown(UnknownReason::TimedOut) => {
                (error(StatusCode::GATEWAY_TIMEOUT, reason), None)
            }
            Outcome::Unknown(_) => (error(StatusCode::BAD_GATEWAY, reason), None),
            Outcome::BadRequest(status, message) => (error(status, &message), None),
        };
        let headers = response.headers_mut();
        headers.insert(header::OUTCOME, HeaderValue::from_static(name));
        if !reason.is_empty() {
            headers.insert(header::REASON, HeaderValue::from_static(reason));
        }
        if let Ok(value) = HeaderValue::from_str(trace) {
            headers.insert(header::TRACE, value);
        }
        if let Some(ms) = retry_ms {
            headers.insert(header::RETRY_AFTER_MS, ms.into());
            headers.insert("retry-after", ms.div_ceil(1_000).max(1).into());
        }
        response
    }
}

fn error(status: StatusCode, message: &str) -> Response<Body> {
    let body = json!({"error": {"message": message}}).to_string();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}
