//! Header names on the wire, towards callers and endpoints.

use axum::http::HeaderMap;

/// The customer, set by callers.
pub const CUSTOMER: &str = "x-bramblecrank-customer";
/// Milliseconds within which the caller wants its answer, set by callers.
pub const DEADLINE: &str = "x-bramblecrank-deadline-ms";
/// What became of the request: `answered`, `not-run`, `running` or `unknown`.
pub const OUTCOME: &str = "x-bramblecrank-outcome";
/// Why, when it was not answered.
pub const REASON: &str = "x-bramblecrank-reason";
/// The router's number of the request, for `bramblecrank explain`.
pub const TRACE: &str = "x-bramblecrank-request";
/// Milliseconds after which to come back; more exact than `retry-after`.
pub const RETRY_AFTER_MS: &str = "x-bramblecrank-retry-after-ms";
/// Set when the answer is the recorded one of an earlier run.
pub const REPLAYED: &str = "x-bramblecrank-replayed";
/// Names a call that may not be repeated, set by callers.
pub const KEY: &str = "idempotency-key";
/// The request's number towards endpoints, echoed in their answers.
pub const REQUEST: &str = "x-request-id";
/// Tokens already received, when a cut stream is resumed.
pub const RESUME: &str = "x-resume-tokens";
/// Set by an endpoint that has not run a call and will not.
pub const NOT_RUN: &str = "x-not-run";

/// Set to `1` by an endpoint that leaves: it finishes what it has and wants nothing new.
pub const LEAVING: &str = "x-leaving";

/// A header's value as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}
