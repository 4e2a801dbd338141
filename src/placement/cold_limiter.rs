//! Limits the requests sent to cold engines.
//!
//! An engine that has just started, or whose data hall has just been restored, can handle a few
//! requests per second and fails under more. Without a limit the engines of a restored hall would
//! be sent every request while all others are busy, because they are idle. All requests of the last
//! second are counted, including those sent before the engine turned cold.

use std::collections::VecDeque;

use crate::agree::MIN_ELECTION_TIMEOUT_MS;
use crate::dispatch::Millis;

/// Milliseconds over which requests are counted; limits are per second.
const WINDOW_MS: f64 = 1_000.0;
/// Milliseconds for which a placer whose host has become the leader sends cold engines nothing: one
/// window, in which the previous leader's placer may have used their whole capacity, and the time
/// that the previous leader may take to notice that it no longer leads.
const TAKE_OVER_MS: Millis = WINDOW_MS as Millis + MIN_ELECTION_TIMEOUT_MS;

/// Decides whether this placer may send requests to cold engines.
///
/// The capacity of a cold engine is shared by all placers, which do not exchange what they send. So
/// only the leader's placer sends to cold engines, and only after the requests of the previous
/// leader's placer have left the window; all others send cold engines nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdSendPermit {
    /// The term in which the placer's host leads, and since when.
    leads: Option<(u64, Millis)>,
}

impl ColdSendPermit {
    /// Sets the term in which the placer's host leads now, if it does. A new term restarts the
    /// wait, because another host may have led between two terms of this one.
    pub fn set_leading_term(&mut self, now: Millis, term: Option<u64>) {
        let before = self.leads.filter(|(led, _)| Some(*led) == term);
        self.leads = before.or(term.map(|term| (term, now)));
    }

    /// Fraction of cold engines' capacity that the placer may use.
    pub fn fraction(&self, now: Millis) -> f64 {
        let may = self.leads.is_some_and(|(_, since)| now >= since + TAKE_OVER_MS);
        if may { 1.0 } else { 0.0 }
    }
}

/// The requests recently sent to one engine, and until when it is cold.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    /// Requests per second that it can handle while it is cold; `None` if there is no limit.
    per_second: Option<f64>,
    cold_until: Millis,
    /// Its last report: the sequence number of its registration, and for how many milliseconds it
    /// stays cold.
    last_report: Option<(u64, u64)>,
    sent: VecDeque<Millis>,
}

impl ColdLimiter {
    /// Applies a registration: the engine can handle `per_second` requests while it is cold, and
    /// stays cold for `warmup_ms` from the arrival of registration number `seq`. A registration
    /// that was already applied does not extend the time.
    pub fn update(&mut self, now: Millis, per_second: Option<f64>, seq: u64, warmup_ms: u64) {
        self.per_second = per_second;
        if self.last_report.replace((seq, warmup_ms)) != Some((seq, warmup_ms)) {
            self.cold_until = now.saturating_add(warmup_ms);
        }
    }

    /// Whether a placer that may use this fraction of its capacity must send it nothing more now.
    pub fn is_exhausted(&self, now: Millis, fraction: f64) -> bool {
        self.next_at(now, fraction).is_some_and(|at| at > now)
    }

    /// When a placer that may use this fraction of its capacity may send it the next request:
    /// `None` if nothing limits it, and the end of its cold phase if the placer may send nothing
    /// before.
    pub fn next_at(&self, now: Millis, fraction: f64) -> Option<Millis> {
        let per_second = self.per_second.filter(|_| now < self.cold_until)? * fraction;
        if per_second <= 0.0 {
            return Some(self.cold_until);
        }
        let max_sent = per_second.max(1.0) as usize;
        let window_ms = (WINDOW_MS / per_second.min(1.0)) as Millis;
        let counted = self.sent.iter().rev().nth(max_sent - 1)?;
        Some((counted + window_ms).min(self.cold_until))
    }

    /// Takes over requests that were sent to an earlier start: they may have reached this one.
    pub fn inherit_sent(&mut self, earlier: ColdLimiter) {
        self.sent = earlier.sent;
    }

    /// Records a request sent to it.
    pub fn record_sent(&mut self, now: Millis) {
        let Some(per_second) = self.per_second else { return };
        self.sent.push_back(now);
        while self.sent.len() > per_second.max(1.0) as usize {
            self.sent.pop_front();
        }
    }
}
