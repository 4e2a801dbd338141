//! When a placer that answers nothing counts as out of reach on its connection, without
//! I/O.

use crate::dispatch::Millis;

/// Milliseconds for which questions may stay unanswered until the connection counts as
/// dead. Hosts that are gone are suspected before; one that is only behind its work keeps
/// its session, and with it all that it knows of a router's requests.
const DEAD_AFTER_MS: Millis = 2_000;

/// Questions in a row that were not answered in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Unanswered {
    /// When the first and the last of them ran out of time.
    run: Option<(Millis, Millis)>,
}

impl Unanswered {
    /// One more question ran out of time; whether the connection counts as dead. A pause
    /// without questions says nothing, so a run begins anew after it.
    pub fn record_timeout(&mut self, now: Millis) -> bool {
        let current_run = self.run.filter(|(_, last)| now.saturating_sub(*last) < DEAD_AFTER_MS);
        let first = current_run.map_or(now, |(first, _)| first);
        self.run = Some((first, now));
        now.saturating_sub(first) >= DEAD_AFTER_MS
    }
}
