//! Names of HTTP headers exchanged with callers and endpoints.

use axum::http::HeaderMap;

/// The customer's name, set by callers.
pub const CUSTOMER: &str = "x-bramblecrank-customer";
/// Deadline for the answer in milliseconds from arrival, set by callers.
pub const DEADLINE: &str = "x-bramblecrank-deadline-ms";
/// Outcome of the request: `answered`, `not-run`, `running` or `unknown`.
pub const OUTCOME: &str = "x-bramblecrank-outcome";
/// Reason for the outcome, set if the request was not answered.
pub const REASON: &str = "x-bramblecrank-reason";
/// Request id given by the router, for `bramblecrank explain`.
pub const TRACE: &str = "x-bramblecrank-request";
/// Milliseconds after which to retry; more precise than `retry-after`, which is in seconds.
pub const RETRY_AFTER_MS: &str = "x-bramblecrank-retry-after-ms";
/// Set if the answer is the recorded answer of an earlier call with the same key.
pub const REPLAYED: &str = "x-bramblecrank-replayed";
/// Key that identifies a run-once call across resends, set by callers.
pub const KEY: &str = "idempotency-key";
/// Request id sent to endpoints, which echo it in their answers.
pub const REQUEST: &str = "x-request-id";
/// Number of tokens already received, sent to resume a truncated stream.
pub const RESUME: &str = "x-resume-tokens";
/// Version of an endpoint's software, which endpoints may set in their answers. What two versions
/// write does not fit together in one stream.
pub const VERSION: &str = "x-version";
/// Set by an endpoint that has not run a call and will not run it.
pub const NOT_RUN: &str = "x-not-run";

/// Set to `1` by an endpoint that is leaving: it finishes its requests and accepts no new ones.
pub const LEAVING: &str = "x-leaving";

/// Returns the value of a header if it is present and valid text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}
