//! The prompts that one engine has still to read, ordered by latest start.
//!
//! An engine should spend only a fraction of its time on reading, but it reads what it is sent at
//! full speed and in the order of arrival. This queue therefore holds each prompt until an engine
//! that kept to that fraction, and read by latest start, would have read it. Requests are admitted
//! by this order, so a short prompt with a short objective does not wait behind long ones.

use std::collections::VecDeque;

use crate::dispatch::Millis;

/// A prompt to be read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Planned {
    /// The cost of reading it, in tokens of an empty context.
    pub units: f64,
    /// The latest start that meets the objective, in milliseconds on the clock.
    pub latest_start: f64,
}

/// How fast an engine reads.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Milliseconds to read one unit if the engine spends only its fraction of the time on reading.
    pub ms_per_unit: f64,
    /// Milliseconds until it has read all prompts sent to it, at full speed.
    pub backlog_ms: f64,
    /// Milliseconds by which it reads later than planned.
    pub lateness_ms: f64,
}

/// The position of a prompt in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Position {
    /// Number of prompts before it.
    pub index: usize,
    /// Milliseconds until the engine begins to read it.
    pub wait_ms: f64,
}

/// The prompts that one engine has still to read.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    planned: VecDeque<Planned>,
    /// Cost of all of them, in units.
    units: f64,
    /// Units of the first prompt that count as read.
    read: f64,
    advanced_at: Millis,
}

impl Queue {
    /// Removes the prompts that an engine keeping to `pace` has read by now.
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
            // Removes the rounding error of the sums.
            self.units = 0.0;
            self.read = 0.0;
        }
    }

    /// Milliseconds until all prompts have been read. `now` may be later than the time the queue
    /// was advanced to.
    pub fn wait_ms(&self, now: Millis, pace: Pace) -> f64 {
        let passed = now.saturating_sub(self.advanced_at) as f64;
        let paced = (self.units - self.read).max(0.0) * pace.ms_per_unit - passed;
        paced.max(0.0).max(pace.backlog_ms) + pace.lateness_ms
    }

    /// When all prompts will have been read at `ms_per_unit`, in milliseconds on the clock.
    pub fn read_until(&self, ms_per_unit: f64) -> f64 {
        self.advanced_at as f64 + (self.units - self.read).max(0.0) * ms_per_unit
    }

    /// The position before the first of the trailing prompts that all may start later than
    /// `latest_start`. The queue must have been advanced to now.
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

    /// Inserts a prompt at an index that [`Queue::position`] has just returned.
    pub fn insert(&mut self, index: usize, planned: Planned) {
        self.units += planned.units;
        self.planned.insert(index.min(self.planned.len()), planned);
    }

    /// Milliseconds until the first `units` have been read, limited by both the engine's pace and
    /// its full speed.
    fn wait_before(&self, units: f64, pace: Pace) -> f64 {
        let paced = (units - self.read).max(0.0) * pace.ms_per_unit;
        paced.max(pace.backlog_ms) + pace.lateness_ms
    }
}
