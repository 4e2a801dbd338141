//! What one engine has been given to read, in the order of latest starts.
//!
//! Engines read prompts in the order of arrival, so what has been sent cannot be
//! overtaken. So a request is held back here until the engine is about to run
//! dry, and one that must start early goes ahead of those that may start later,
//! as long as none of these becomes late by it.
//!
//! An engine should read for a part of its time only, but it reads what it has
//! at full speed. So a request counts here, whether sent or not, until an engine
//! that keeps to its part of the time would have read it.

use std::collections::VecDeque;

use super::engine::RequestKey;
use super::message::PlacementRequest;
use crate::dispatch::Millis;
use crate::wire::HostId;

/// A request that has not been sent yet.
#[derive(Clone, Debug)]
pub struct Unsent {
    /// The request.
    pub request: PlacementRequest,
    /// The id of an engine from which prompt parts are to be copied.
    pub copy_from: Option<String>,
    /// The latest start that it was promised, in milliseconds of the clock; no
    /// other request may delay it more.
    pub limit: f64,
}

/// A request that an engine is to read.
#[derive(Clone, Debug)]
pub struct Planned {
    /// Its router and number.
    pub key: RequestKey,
    /// The cost of reading its prompt, in tokens of an empty context.
    pub units: f64,
    /// The latest start that lets its first event be in time, in milliseconds of
    /// the clock.
    pub latest_start: f64,
    /// What is to be sent; none once that is done.
    pub unsent: Option<Unsent>,
}

/// How fast an engine reads.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Milliseconds that a unit takes.
    pub ms_per_unit: f64,
    /// The same when it reads for its part of the time only.
    pub paced_ms_per_unit: f64,
    /// Milliseconds until it has read all that was sent.
    pub backlog_ms: f64,
    /// Milliseconds by which it reads later than planned.
    pub lateness_ms: f64,
}

/// Where a request would stand in a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Position {
    /// How many requests go before it.
    pub index: usize,
    /// Milliseconds until reading its prompt would begin.
    pub wait_ms: f64,
}

/// The requests that one engine is to read.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    planned: VecDeque<Planned>,
    /// Units of all of them.
    units: f64,
    /// Units of those not sent.
    unsent_units: f64,
    unsent: usize,
    /// Units of the first that count as read.
    read: f64,
    advanced_at: Millis,
}

impl Queue {
    /// Whether nothing waits to be sent.
    pub fn all_sent(&self) -> bool {
        self.unsent == 0
    }

    /// Counts as read what a paced engine has read by now. What is not sent cannot
    /// have been read.
    pub fn advance(&mut self, now: Millis, pace: Pace) {
        let passed = now.saturating_sub(self.advanced_at) as f64;
        self.advanced_at = now;
        self.read += passed / pace.paced_ms_per_unit;
        while let Some(first) = self.planned.front()
            && first.unsent.is_none()
            && first.units <= self.read
        {
            self.read -= first.units;
            self.units -= first.units;
            self.planned.pop_front();
        }
        if self.planned.front().is_none_or(|first| first.unsent.is_some()) {
            self.read = 0.0;
        }
        if self.planned.is_empty() {
            self.units = 0.0;
        }
    }

    /// Milliseconds until all has been read.
    pub fn wait_ms(&self, pace: Pace) -> f64 {
        wait_ms(pace, self.units - self.read, self.unsent_units)
    }

    /// The first place for a request of `units` at which all behind it start later
    /// than it must, and none that waits more than `tolerance_ms` after its limit.
    pub fn position(
        &self,
        now: Millis,
        pace: Pace,
        latest_start: f64,
        units: f64,
        tolerance_ms: f64,
    ) -> Position {
        let mut index = self.planned.len();
        let mut before = self.units - self.read;
        let mut unsent_before = self.unsent_units;
        while let Some(last) = index.checked_sub(1).and_then(|at| self.planned.get(at)) {
            if last.latest_start <= latest_start {
                break;
            }
            let next_before = before - last.units;
            let mut next_unsent = unsent_before;
            if let Some(waiting) = &last.unsent {
                next_unsent -= last.units;
                let delayed = wait_ms(pace, next_before + units, next_unsent + units);
                if now as f64 + delayed > waiting.limit + tolerance_ms {
                    break;
                }
            }
            before = next_before;
            unsent_before = next_unsent;
            index -= 1;
        }
        Position { index, wait_ms: wait_ms(pace, before, unsent_before) }
    }

    /// Adds a request at a position that was found just before.
    pub fn insert(&mut self, index: usize, planned: Planned) {
        self.units += planned.units;
        if planned.unsent.is_some() {
            self.unsent += 1;
            self.unsent_units += planned.units;
        }
        self.planned.insert(index.min(self.planned.len()), planned);
    }

    /// The request that is sent next; it goes on counting here.
    pub fn send_next(&mut self) -> Option<(RequestKey, f64, Unsent)> {
        let next = self.planned.iter_mut().find(|planned| planned.unsent.is_some())?;
        let sent = (next.key, next.units, next.unsent.take()?);
        self.note_sent(sent.1);
        Some(sent)
    }

    /// A request that waits to be sent.
    pub fn unsent(&self, key: RequestKey) -> Option<&Unsent> {
        let planned = self.planned.iter().find(|planned| planned.key == key)?;
        planned.unsent.as_ref()
    }

    /// Takes out a request that waits to be sent; false where it does not.
    pub fn remove_unsent(&mut self, key: RequestKey) -> bool {
        let waits = |planned: &Planned| planned.key == key && planned.unsent.is_some();
        let Some(at) = self.planned.iter().position(waits) else { return false };
        let removed = self.planned.remove(at);
        let units = removed.map_or(0.0, |planned| planned.units);
        self.units -= units;
        self.note_sent(units);
        true
    }

    /// Takes out all that waits to be sent for a router that is gone.
    pub fn remove_router(&mut self, router: HostId) {
        self.take_unsent_if(|planned| planned.key.0 == router);
    }

    /// Takes out all that waits to be sent.
    pub fn take_unsent(&mut self) -> Vec<Planned> {
        self.take_unsent_if(|_| true)
    }

    fn take_unsent_if(&mut self, chosen: impl Fn(&Planned) -> bool) -> Vec<Planned> {
        let all = std::mem::take(&mut self.planned);
        let (taken, kept): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|planned| planned.unsent.is_some() && chosen(planned));
        self.planned = kept.into();
        for planned in &taken {
            self.units -= planned.units;
            self.note_sent(planned.units);
        }
        taken
    }

    fn note_sent(&mut self, units: f64) {
        self.unsent -= 1;
        self.unsent_units -= units;
        if self.unsent == 0 {
            // Sums of fractions do not come back to zero by themselves.
            self.unsent_units = 0.0;
        }
    }
}

/// Milliseconds until an engine has read `units`, of which `unsent` have not been
/// sent to it: no sooner than its pace and its speed allow.
fn wait_ms(pace: Pace, units: f64, unsent: f64) -> f64 {
    let paced = units.max(0.0) * pace.paced_ms_per_unit;
    let at_full_speed = pace.backlog_ms + unsent.max(0.0) * pace.ms_per_unit;
    paced.max(at_full_speed) + pace.lateness_ms
}
