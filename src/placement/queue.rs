//! What one engine has been given to read, in the order of latest starts.
//!
//! An engine should read for a part of its time only, but it reads what it has
//! at full speed and in the order of arrival. So each request counts here until an
//! engine that keeps to its part of the time, and reads first what must start
//! first, would have read it. Who may join is decided by this order: a short
//! prompt with a short objective need not wait for room behind long ones.

use std::collections::VecDeque;

use crate::dispatch::Millis;

/// A prompt that an engine is to read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Planned {
    /// The cost of reading it, in tokens of an empty context.
    pub units: f64,
    /// The latest start that lets the first event be in time, in milliseconds of
    /// the clock.
    pub latest_start: f64,
}

/// How fast an engine reads.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Milliseconds that a unit takes when the engine reads for its part of the
    /// time only.
    pub ms_per_unit: f64,
    /// Milliseconds until it has read all that was sent, at full speed.
    pub backlog_ms: f64,
    /// Milliseconds by which it reads later than planned.
    pub lateness_ms: f64,
}

/// Where a prompt would stand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Position {
    /// How many prompts go before it.
    pub index: usize,
    /// Milliseconds until reading it would begin.
    pub wait_ms: f64,
}

/// The prompts that one engine is to read.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    planned: VecDeque<Planned>,
    /// Units of all of them.
    units: f64,
    /// Units of the first that count as read.
    read: f64,
    advanced_at: Millis,
}

impl Queue {
    /// Counts as read what an engine has read by now that keeps to its pace.
    pub fn advance(&mut self, now: Millis, pace: Pace) {
        let passed = now.saturating_sub(self.advanced_at) as f64;
        self.advanced_at = now;
        self.read += passed / pace.ms_per_unit;
        while let Some(first) = self.planned.front()
            && first.units <= self.read
        {
            self.read -= first.units;
            self.units -= first.units;
            self.planned.pop_front();
        }
        if self.planned.is_empty() {
            // Sums of fractions do not come back to zero by themselves.
            self.units = 0.0;
            self.read = 0.0;
        }
    }

    /// Milliseconds until all will have been read, seen from `now`, which may be later
    /// than the queue was advanced to.
    pub fn wait_ms(&self, now: Millis, pace: Pace) -> f64 {
        let passed = now.saturating_sub(self.advanced_at) as f64;
        let paced = (self.units - self.read).max(0.0) * pace.ms_per_unit - passed;
        paced.max(0.0).max(pace.backlog_ms) + pace.lateness_ms
    }

    /// The first place at which all behind it may start later, in a queue that was
    /// advanced to now.
    pub fn position(&self, pace: Pace, latest_start: f64) -> Position {
        let mut index = self.planned.len();
        let mut before = self.units;
        for planned in self.planned.iter().rev() {
            if planned.latest_start <= latest_start {
                break;
            }
            before -= planned.units;
            index -= 1;
        }
        Position { index, wait_ms: self.wait_before(before, pace) }
    }

    /// Adds a prompt at a position that was found just before.
    pub fn insert(&mut self, index: usize, planned: Planned) {
        self.units += planned.units;
        self.planned.insert(index.min(self.planned.len()), planned);
    }

    /// Milliseconds until the first `units` have been read: no sooner than the
    /// engine's pace and its speed allow.
    fn wait_before(&self, units: f64, pace: Pace) -> f64 {
        let paced = (units - self.read).max(0.0) * pace.ms_per_unit;
        paced.max(pace.backlog_ms) + pace.lateness_ms
    }
}
