//! The process's clock, read by I/O code and passed into decisions.
//!
//! It includes the time for which the host was suspended, as the clocks of other hosts do:
//! messages, grants and promises from before a suspension have aged by that time. The
//! standard library's `Instant` does not advance during it.

use std::ops::Add;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::dispatch::Millis;

/// An instant of a monotonic clock that advances while the host is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The current instant.
    pub fn now() -> BootInstant {
        let since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME);
        BootInstant(since_boot.expect("Linux has CLOCK_BOOTTIME since 2.6.39").into())
    }

    /// The time since this instant; zero if it is in the future.
    pub fn elapsed(self) -> Duration {
        BootInstant::now().0.saturating_sub(self.0)
    }

    /// The time until this instant; zero if it has passed.
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

    /// The value of this clock at a time of day in milliseconds since the epoch; wrong if the
    /// time of day has been set in between.
    pub fn at_epoch(&self, epoch_at_ms: u64) -> Millis {
        self.now().saturating_sub(epoch_ms().saturating_sub(epoch_at_ms))
    }
}

/// Milliseconds since the epoch, for incarnations and reports.
pub fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// The time of day in the format of HTTP, for the `date` header.
pub(crate) fn http_date() -> String {
    httpdate::fmt_http_date(SystemTime::now())
}
