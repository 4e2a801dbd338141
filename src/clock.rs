//! The process's clock, read at the edges and passed into decisions.
//!
//! It counts the time for which the host was suspended, as others' clocks do: what a host
//! heard, was granted or promised before that is older afterwards by as much. The standard
//! library's `Instant` stands still meanwhile.

use std::ops::Add;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::dispatch::Millis;

/// A moment on a steady clock that goes on while the host is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Now.
    pub fn now() -> BootInstant {
        let since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME);
        BootInstant(since_boot.expect("every kernel since 2.6.39 has this clock").into())
    }

    /// The time since then; none where it is still to come.
    pub fn elapsed(self) -> Duration {
        BootInstant::now().0.saturating_sub(self.0)
    }

    /// The time until then; none where it has passed.
    pub fn remaining(self) -> Duration {
        self.0.saturating_sub(BootInstant::now().0)
    }
}

impl Add<Duration> for BootInstant {
    type Output = BootInstant;

    fn add(self, time: Duration) -> BootInstant {
        BootInstant(self.0.saturating_add(time))
    }
}

/// A monotonic clock that starts at zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock(BootInstant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock(BootInstant::now())
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
