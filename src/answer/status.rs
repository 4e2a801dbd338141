//! Which statuses an answer may have.

use axum::http::StatusCode;

/// Whether a status is that of a final answer. The HTTP client accepts any three digits, and hands
/// out a switch of protocols that was never requested; statuses below 200 only announce an answer.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
