//! Points in time derived from the prompts that an engine has still to read. They are computed when
//! its requests change, so that comparing hundreds of engines is cheap.

use crate::dispatch::Millis;

/// Milliseconds to a first event in addition to reading prompts.
pub const FIRST_EVENT_OVERHEAD_MS: f64 = 55.0;
/// Milliseconds, beyond twice the time that a prompt should take, after which its engine counts as
/// stalled. Less than the shortest objective in use.
const STALL_MARGIN_MS: f64 = 250.0;

/// The prompt that an engine is reading.
#[derive(Clone, Copy, Debug)]
struct Head {
    /// When it should have been read, in milliseconds on the clock.
    done_at: f64,
    /// When its first event is overdue, in milliseconds on the clock.
    overdue_at: f64,
    /// When the engine counts as stalled, in milliseconds on the clock.
    stalled_at: f64,
}

/// The prompts that an engine has still to read, as times.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timing {
    head: Option<Head>,
    /// Milliseconds to read the prompts behind the head.
    behind_ms: f64,
}

impl Timing {
    /// Computes the times for prompts with these costs, the first being read since `head_since`, at
    /// `rate` units per millisecond.
    pub fn new(head_since: f64, rate: f64, mut units: impl Iterator<Item = f64>) -> Timing {
        let Some(first) = units.next() else { return Timing::default() };
        let head_ms = first / rate;
        let done_at = head_since + head_ms;
        let overdue_at = done_at + FIRST_EVENT_OVERHEAD_MS;
        let stalled_at = overdue_at + head_ms + STALL_MARGIN_MS;
        let head = Head { done_at, overdue_at, stalled_at };
        Timing { head: Some(head), behind_ms: units.sum::<f64>() / rate }
    }

    /// Milliseconds until all prompts have been read.
    pub fn backlog_ms(&self, now: Millis) -> f64 {
        let Some(head) = self.head else { return 0.0 };
        let now = now as f64;
        // An overdue head means that the engine is slower than assumed.
        let head_ms = match now <= head.overdue_at {
            true => (head.done_at - now).max(0.0),
            false => (now - head.overdue_at) / 2.0,
        };
        head_ms + self.behind_ms
    }

    /// When all prompts will have been read, in milliseconds on the clock; 0 if there are none.
    pub fn read_until(&self) -> f64 {
        self.head.map_or(0.0, |head| head.done_at + self.behind_ms)
    }

    /// Whether the head takes so long that the engine counts as stalled.
    pub fn is_stalled(&self, now: Millis) -> bool {
        self.head.is_some_and(|head| now as f64 > head.stalled_at)
    }
}
