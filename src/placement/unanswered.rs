//! Decides, without I/O, when a placer that does not answer counts as unreachable on its
//! connection.

use crate::dispatch::Millis;

/// Milliseconds of unanswered queries after which the connection counts as dead. The failure
/// detector suspects hosts that are gone earlier; a host that only lags keeps its session, and with
/// it all state of the router's requests.
const DEAD_AFTER_MS: Millis = 2_000;

/// A run of queries that timed out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Unanswered {
    /// When the first and the last query of the run timed out.
    run: Option<(Millis, Millis)>,
}

impl Unanswered {
    /// Records a query that timed out; returns whether the connection counts as dead. After a pause
    /// without timeouts a new run begins, since a pause shows nothing about the connection.
    pub fn record_timeout(&mut self, now: Millis) -> bool {
        let current_run = self.run.filter(|(_, last)| now.saturating_sub(*last) < DEAD_AFTER_MS);
        let first = current_run.map_or(now, |(first, _)| first);
        self.run = Some((first, now));
        now.saturating_sub(first) >= DEAD_AFTER_MS
    }
}
