//! Answers by which the gateway itself ends a request.

use axum::body::Body;
use axum::http::{HeaderValue, Response, StatusCode, header};

use crate::request_body::ReadError;

/// Default delay before a retry, in seconds.
const DEFAULT_RETRY_AFTER_S: f64 = 0.25;

/// Delay before a stream is resumed again that cannot be resumed now, in seconds: a router with
/// its record may come into reach, or an endpoint may register.
const RESUME_RETRY_AFTER_S: f64 = 1.0;

/// Why the gateway itself ends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No routing is in force here yet.
    NoRouting,
    /// A planned stop accepts no more requests.
    Stopping,
    /// This router is overloaded.
    Overloaded,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// No route or key matches, but the routing here may be outdated.
    RoutingUnconfirmed,
    /// The body is too large.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// The body was truncated.
    BodyBroken,
    /// This router holds too many bytes of requests.
    NoMemory,
    /// No endpoint of the service is known to accept requests.
    NoEndpoint,
    /// Endpoints of the service accept requests, but none in a region where the request may be
    /// served.
    NoAllowedRegion,
    /// Each endpoint that may serve it has requested a rest from this router.
    EndpointsRest {
        /// Milliseconds until the first of them ends its rest.
        retry_after_ms: u32,
    },
    /// It resumes a stream, and it is not known which version began that.
    UnknownStream,
    /// It resumes a stream, and no endpoint of the version that began that accepts requests.
    VersionNotServed,
    /// It was sent to endpoints and none ran it.
    NotExecuted,
    /// It cannot be served in time.
    TooLate {
        /// Milliseconds after which to retry.
        retry_after_ms: u32,
    },
    /// It crashed the endpoints that ran it before.
    CrashesEndpoints {
        /// Milliseconds after which to retry.
        retry_after_ms: u32,
    },
    /// The deadline passed before it was sent.
    TimedOutUnsent,
    /// The deadline passed after it was sent.
    TimedOut,
    /// It may have run, and its answer is lost.
    AnswerLost,
}

impl From<ReadError> for Refusal {
    fn from(error: ReadError) -> Refusal {
        match error {
            ReadError::TooLarge => Refusal::BodyTooLarge,
            ReadError::TooSlow => Refusal::BodyTooSlow,
            ReadError::Broken => Refusal::BodyBroken,
            ReadError::NoMemory => Refusal::NoMemory,
        }
    }
}

impl Refusal {
    pub(super) fn status(self) -> StatusCode {
        match self {
            Refusal::NoRouting
            | Refusal::RoutingUnconfirmed
            | Refusal::Stopping
            | Refusal::Overloaded
            | Refusal::NoMemory
            | Refusal::NoEndpoint
            | Refusal::NoAllowedRegion
            | Refusal::EndpointsRest { .. }
            | Refusal::UnknownStream
            | Refusal::VersionNotServed
            | Refusal::NotExecuted
            | Refusal::TooLate { .. }
            | Refusal::CrashesEndpoints { .. }
            | Refusal::TimedOutUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Refusal::BodyBroken => StatusCode::BAD_REQUEST,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::AnswerLost => StatusCode::BAD_GATEWAY,
        }
    }

    /// Whether the caller's connection cannot be used for further requests.
    fn closes_connection(self) -> bool {
        matches!(
            self,
            Refusal::Stopping
                | Refusal::Overloaded
                | Refusal::BodyTooLarge
                | Refusal::BodyTooSlow
                | Refusal::BodyBroken
                | Refusal::NoMemory
        )
    }

    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::NoRouting => "no_routing",
            Refusal::Stopping => "stopping",
            Refusal::Overloaded => "overloaded",
            Refusal::NoRoute => "no_route",
            Refusal::UnknownKey => "unknown_key",
            Refusal::RoutingUnconfirmed => "routing_unconfirmed",
            Refusal::BodyTooLarge => "body_too_large",
            Refusal::BodyTooSlow => "body_too_slow",
            Refusal::BodyBroken => "body_broken",
            Refusal::NoMemory => "no_memory",
            Refusal::NoEndpoint => "no_endpoint",
            Refusal::NoAllowedRegion => "no_allowed_region",
            Refusal::EndpointsRest { .. } => "endpoints_rest",
            Refusal::UnknownStream => "unknown_stream",
            Refusal::VersionNotServed => "version_not_served",
            Refusal::NotExecuted => "not_executed",
            Refusal::TooLate { .. } => "too_late",
            Refusal::CrashesEndpoints { .. } => "crashes_endpoints",
            Refusal::TimedOutUnsent => "timed_out_unsent",
            Refusal::TimedOut => "timed_out",
            Refusal::AnswerLost => "answer_lost",
        }
    }

    pub(super) fn into_response(self) -> Response<Body> {
        let mut response = Response::new(Body::from(self.name()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        if self.status() == StatusCode::SERVICE_UNAVAILABLE {
            let seconds = match self {
                Refusal::TooLate { retry_after_ms }
                | Refusal::EndpointsRest { retry_after_ms }
                | Refusal::CrashesEndpoints { retry_after_ms } => {
                    f64::from(retry_after_ms) / 1_000.0
                }
                // Another router can accept it at once.
                Refusal::Overloaded => 0.0,
                Refusal::UnknownStream | Refusal::VersionNotServed => RESUME_RETRY_AFTER_S,
                _ => DEFAULT_RETRY_AFTER_S,
            };
            let after = HeaderValue::from_str(&format!("{seconds}"));
            headers.insert(header::RETRY_AFTER, after.expect("a number is a legal header"));
        }
        if self.closes_connection() {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
