//! The stages of a planned stop: requests are still accepted, then refused, and those without an
//! answer at its end are answered by the gateway itself.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio_util::sync::CancellationToken;

use crate::clock::BootInstant;

/// How far the planned stop of a gateway has come.
#[derive(Debug, Default)]
pub(super) struct PlannedStop {
    /// Until when requests may wait for their answers; unset before the stop.
    answers_until: OnceLock<BootInstant>,
    refuses: AtomicBool,
    answers_ended: CancellationToken,
}

impl PlannedStop {
    /// Begins the stop; answers that have not begun at `answers_until` will not come.
    pub fn begin(&self, answers_until: BootInstant) {
        // It begins once.
        let _ = self.answers_until.set(answers_until);
    }

    /// Refuses requests that arrive from now on.
    pub fn stop_accepting(&self) {
        self.refuses.store(true, Ordering::Relaxed);
    }

    /// Whether requests that arrive are refused.
    pub fn is_refusing(&self) -> bool {
        self.refuses.load(Ordering::Relaxed)
    }

    /// Whether a request with this deadline, whose body has just been read, may be sent to an
    /// endpoint. Once requests are refused it may only if its deadline comes before the end:
    /// otherwise another router can serve it for certain.
    pub fn may_serve_until(&self, deadline: BootInstant) -> bool {
        let ends_in_time = || self.answers_until.get().is_none_or(|until| deadline <= *until);
        !self.is_refusing() || ends_in_time()
    }

    /// Ends the wait for answers that have not begun.
    pub fn end_answers(&self) {
        self.answers_ended.cancel();
    }

    /// Returns once no more answers are waited for.
    pub async fn answers_ended(&self) {
        self.answers_ended.cancelled().await;
    }
}
