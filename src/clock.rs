//! The process's clock, read at the edges and passed into decisions.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::dispatch::Millis;

/// A monotonic clock that starts at zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Millis {
        self.0.elapsed().as_millis() as Millis
    }

    /// What this clock showed at a time of day, in milliseconds since the epoch, as far as
    /// the time of day has not been set since.
    pub fn at_epoch(&self, epoch_at_ms: u64) -> Millis {
        self.now().saturating_sub(epoch_ms().saturating_sub(epoch_at_ms))
    }
}

/// Milliseconds since the epoch, for incarnations and reports.
pub fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
