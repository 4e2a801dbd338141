//! What an engine has still to read, as moments on the clock: worked out when its
//! requests change, so that looking at hundreds of engines costs little.

use crate::dispatch::Millis;

/// Milliseconds to a first event beyond the reading of prompts.
pub const FIRST_EVENT_OVERHEAD_MS: f64 = 55.0;
/// Milliseconds beyond twice the time that a prompt should take after which its
/// engine is taken for stalled: less than the shortest objective seen. Chosen.
const STALL_MARGIN_MS: f64 = 250.0;

/// The prompt that an engine reads now.
#[derive(Clone, Copy, Debug)]
struct Head {
    /// When it should have been read, on the clock.
    done_at: f64,
    /// When its first event is overdue.
    overdue_at: f64,
    /// When something is wrong with the engine.
    stalled_at: f64,
}

/// What an engine has still to read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timing {
    head: Option<Head>,
    /// Milliseconds to read what waits behind the head.
    behind_ms: f64,
}

impl Timing {
    /// The prompts to be read, by their units, the first since `head_since`, at `rate`
    /// units a millisecond.
    pub fn new(head_since: f64, rate: f64, mut units: impl Iterator<Item = f64>) -> Timing {
        let Some(first) = units.next() else { return Timing::default() };
        let head_ms = first / rate;
        let done_at = head_since + head_ms;
        let overdue_at = done_at + FIRST_EVENT_OVERHEAD_MS;
        let stalled_at = overdue_at + head_ms + STALL_MARGIN_MS;
        let head = Head { done_at, overdue_at, stalled_at };
        Timing { head: Some(head), behind_ms: units.sum::<f64>() / rate }
    }

    /// Milliseconds until all has been read.
    pub fn backlog_ms(&self, now: Millis) -> f64 {
        let Some(head) = self.head else { return 0.0 };
        let now = now as f64;
        // A head that is overdue says that the engine is slower than thought.
        let head_ms = match now <= head.overdue_at {
            true => (head.done_at - now).max(0.0),
            false => (now - head.overdue_at) / 2.0,
        };
        head_ms + self.behind_ms
    }

    /// Whether the head takes so long that something is wrong.
    pub fn is_stalled(&self, now: Millis) -> bool {
        self.head.is_some_and(|head| now as f64 > head.stalled_at)
    }
}
