//! Tells a start that is still running from heartbeats that arrive late.
//!
//! A heartbeat may arrive seconds after it was sent, also after the end of its start or after
//! other software has taken its place. Only heartbeats that go on for longer than any of them can
//! be late show that the start is running.

/// How far the heartbeats above the highest known number must go on: as many may have been in
/// flight.
const MIN_NEWER_HEARTBEATS: u64 = 4;
/// How far heartbeats that are not above the highest known number must go on, as those of a
/// process that counts anew do. Numbers rise about once a second, and a heartbeat arrives at most
/// a few seconds late.
const MIN_OLDER_HEARTBEATS: u64 = 16;

/// The heartbeats of one start and release since the start was recorded as ended or replaced.
#[derive(Clone, Debug)]
pub(super) struct Continuation {
    started_at_ms: u64,
    version: String,
    /// The first number above the highest known one.
    first_newer: Option<u64>,
    /// The lowest of the other numbers.
    lowest_older: Option<u64>,
}

impl Continuation {
    /// No heartbeats yet of this start and release.
    pub fn new(started_at_ms: u64, version: &str) -> Continuation {
        let version = version.to_string();
        Continuation { started_at_ms, version, first_newer: None, lowest_older: None }
    }

    /// Whether it holds heartbeats of this start and release.
    pub fn is_of(&self, started_at_ms: u64, version: &str) -> bool {
        self.started_at_ms == started_at_ms && self.version == version
    }

    /// Whether it holds heartbeats of a later start than this one.
    pub fn is_later_than(&self, started_at_ms: u64) -> bool {
        self.started_at_ms > started_at_ms
    }

    /// Records a heartbeat that was received from the endpoint itself. `highest_known` is the
    /// highest number recorded of this start and release, 0 if none is. Returns whether the start
    /// is still running.
    pub fn record(&mut self, sequence: u64, highest_known: u64) -> bool {
        if sequence > highest_known {
            let first = (*self.first_newer.get_or_insert(sequence)).max(highest_known);
            return sequence >= first.saturating_add(MIN_NEWER_HEARTBEATS);
        }
        let lowest = self.lowest_older.map_or(sequence, |lowest| lowest.min(sequence));
        self.lowest_older = Some(lowest);
        sequence >= lowest.saturating_add(MIN_OLDER_HEARTBEATS)
    }
}
