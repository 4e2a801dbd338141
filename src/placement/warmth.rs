//! How much an engine is sent while it is cold.
//!
//! An engine that has just started, or whose data hall has just been taken back, bears a
//! few requests a second and falls over at many. It answers the load of a hall that
//! returns while all others are busy: every request finds its engines idle. All requests
//! of the last second are counted, also those of the time before it turned cold.

use std::collections::VecDeque;

use crate::agree::MIN_ELECTION_TIMEOUT_MS;
use crate::dispatch::Millis;

/// Milliseconds in which requests are counted: the rate is one of a second.
const WINDOW_MS: f64 = 1_000.0;
/// Milliseconds for which a placer whose host has come to lead sends cold engines
/// nothing: a window in which the one before may have sent them all that they bear, and
/// the time for which that one may not have noticed that it leads no more.
const TAKE_OVER_MS: Millis = WINDOW_MS as Millis + MIN_ELECTION_TIMEOUT_MS;

/// Which placer may send to cold engines.
///
/// What an engine bears is the sum over all placers, which do not tell each other what
/// they send. So only the placer of the leader sends, and not before what the leader
/// before it sent has left the window; all others send cold engines nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdSender {
    /// The term in which the placer's host leads, and since when.
    leads: Option<(u64, Millis)>,
}

impl ColdSender {
    /// The term in which the placer's host leads now, if it does. Between two terms of
    /// its own another one may have led.
    pub fn set_leads(&mut self, now: Millis, term: Option<u64>) {
        let before = self.leads.filter(|(led, _)| Some(*led) == term);
        self.leads = before.or(term.map(|term| (term, now)));
    }

    /// Part of what cold engines bear that the placer may send them.
    pub fn part(&self, now: Millis) -> f64 {
        let may = self.leads.is_some_and(|(_, since)| now >= since + TAKE_OVER_MS);
        if may { 1.0 } else { 0.0 }
    }
}

/// What one engine was sent lately, and until when it is cold.
#[derive(Clone, Debug, Default)]
pub struct Warmth {
    /// Requests a second that it bears while it is cold; none where it bears as many as
    /// ever.
    per_second: Option<f64>,
    cold_until: Millis,
    /// What it said last: the number of its call, and for how many milliseconds it
    /// would be cold.
    said: Option<(u64, u64)>,
    sent: VecDeque<Millis>,
}

impl Warmth {
    /// The engine bears so many requests a second while it is cold, and said with the
    /// call of this number for how many milliseconds it will be. What it said before
    /// says nothing new.
    pub fn learn(&mut self, now: Millis, per_second: Option<f64>, call: u64, warmup_ms: u64) {
        self.per_second = per_second;
        if self.said.replace((call, warmup_ms)) != Some((call, warmup_ms)) {
            self.cold_until = now.saturating_add(warmup_ms);
        }
    }

    /// Whether it must be sent nothing more now by a placer that may use `part` of what
    /// it bears.
    pub fn is_full(&self, now: Millis, part: f64) -> bool {
        self.next_at(now, part).is_some_and(|at| at > now)
    }

    /// When it may be sent the next request; none where nothing holds it back, and the
    /// end of its being cold where this placer may send nothing before.
    pub fn next_at(&self, now: Millis, part: f64) -> Option<Millis> {
        let per_second = self.per_second.filter(|_| now < self.cold_until)? * part;
        if per_second <= 0.0 {
            return Some(self.cold_until);
        }
        let most = per_second.max(1.0) as usize;
        let window_ms = (WINDOW_MS / per_second.min(1.0)) as Millis;
        let counted = self.sent.iter().rev().nth(most - 1)?;
        Some((counted + window_ms).min(self.cold_until))
    }

    /// What was sent to the start before a moment ago may have reached this one.
    pub fn started_after(&mut self, earlier: Warmth) {
        self.sent = earlier.sent;
    }

    /// It was sent a request.
    pub fn sent(&mut self, now: Millis) {
        let Some(per_second) = self.per_second else { return };
        self.sent.push_back(now);
        while self.sent.len() > per_second.max(1.0) as usize {
            self.sent.pop_front();
        }
    }
}
