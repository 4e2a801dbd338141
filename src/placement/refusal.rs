//! What a caller is told when its request cannot be served in time.

use super::choice::Choice;
use super::message::Refusal;
use super::shares::ShareUsage;
use crate::dispatch::Millis;

/// Shortest and longest retry delay of a refusal, in milliseconds.
const RETRY_MS: (f64, f64) = (60.0, 3_000.0);

/// The refusal of a request whose best engine cannot start it in time.
pub fn refusal_of(choice: &Choice, usage: ShareUsage) -> Refusal {
    let (min, max) = RETRY_MS;
    let (backlog_ms, allowed_ms, own_ms) =
        (choice.position.wait_ms, choice.allowed_ms, choice.own_ms);
    Refusal {
        retry_after_ms: (backlog_ms - allowed_ms + own_ms).clamp(min, max) as u32,
        backlog_ms: backlog_ms as u32,
        allowed_ms: allowed_ms as u32,
        own_ms: own_ms as u32,
        share_percent: (usage.ratio * 100.0) as u32,
    }
}

/// The refusal of a request because all candidates are cold and have been sent what they can
/// handle; a retry succeeds when one may be sent more, after `wait_ms`.
pub fn refusal_for_cold(wait_ms: Millis, usage: ShareUsage) -> Refusal {
    let (min, max) = RETRY_MS;
    Refusal {
        retry_after_ms: (wait_ms as f64).clamp(min, max) as u32,
        backlog_ms: wait_ms as u32,
        share_percent: (usage.ratio * 100.0) as u32,
        ..Refusal::default()
    }
}
