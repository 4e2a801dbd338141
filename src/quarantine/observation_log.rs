//! A router's observations of crashes, and when they are due to be sent to the leader.

use std::collections::VecDeque;

use super::report::{CrashReport, Observation, ObservedEvent};
use super::{Fingerprint, RecentlyServed};
use crate::dispatch::Millis;
use crate::registry::EndpointStart;

/// Milliseconds between the first and second, and the second and third time an observation is
/// sent to a leader: a dead connection may go undetected for about two seconds.
const RESEND_AFTER_MS: [Millis; 2] = [1_000, 3_000];
/// Milliseconds for which observations are kept for a new leader.
const KEPT_MS: Millis = 10 * 60_000;
/// Observations that are kept, about a hundred bytes each: those of a dozen crashes of fully
/// loaded endpoints.
const MAX_OBSERVATIONS: usize = 512;
/// Milliseconds for which losses of a request do not count after it was served here.
const SERVED_MS: Millis = 10_000;

#[derive(Clone, Debug)]
struct Entry {
    at: Millis,
    event: ObservedEvent,
    /// How often it was sent to the current leader.
    times_sent: usize,
    /// When it is to be sent next; none once it was sent often enough.
    due: Option<Millis>,
}

impl Entry {
    fn is_loss_of(&self, fingerprint: &Fingerprint) -> bool {
        matches!(&self.event, ObservedEvent::Lost { fingerprint: lost, .. } if lost == fingerprint)
    }
}

/// Recent observations of one router.
#[derive(Clone, Debug, Default)]
pub struct ObservationLog {
    entries: VecDeque<Entry>,
    served: RecentlyServed,
}

impl ObservationLog {
    /// Records that an endpoint ended a request's answer early, `ran_ms` milliseconds after the
    /// request was sent. Returns the observation, or none if the request was served recently.
    pub fn record_loss(
        &mut self,
        now: Millis,
        endpoint: EndpointStart,
        fingerprint: Fingerprint,
        ran_ms: u32,
    ) -> Option<Observation> {
        if self.served.last_served(&fingerprint).is_some_and(|served| now < served + SERVED_MS) {
            return None;
        }
        Some(self.push(now, ObservedEvent::Lost { endpoint, fingerprint, ran_ms }))
    }

    /// Records that an endpoint answered a request that was sent to it at `sent_at`. Returns the
    /// observation if answers of this endpoint were lost before that: it did not crash.
    pub fn record_answer(
        &mut self,
        now: Millis,
        at: &EndpointStart,
        sent_at: Millis,
    ) -> Option<Observation> {
        let is_refuted = |entry: &Entry| {
            let ObservedEvent::Lost { endpoint, .. } = &entry.event else { return false };
            endpoint == at && entry.at < sent_at
        };
        let before = self.entries.len();
        self.entries.retain(|entry| !is_refuted(entry));
        (self.entries.len() < before).then(|| self.push(now, ObservedEvent::Alive(at.clone())))
    }

    /// Records that a request was served completely. Returns the observation if the request was
    /// lost before, or if it `is_suspect` because it is in quarantine.
    pub fn record_served(
        &mut self,
        now: Millis,
        fingerprint: &Fingerprint,
        is_suspect: bool,
    ) -> Option<Observation> {
        self.served.record(now, fingerprint);
        let before = self.entries.len();
        self.discard_losses(fingerprint);
        let was_lost = self.entries.len() < before;
        (was_lost || is_suspect).then(|| self.push(now, ObservedEvent::Served(fingerprint.clone())))
    }

    /// Discards the losses of a request that may run again.
    pub fn discard_losses(&mut self, fingerprint: &Fingerprint) {
        self.entries.retain(|entry| !entry.is_loss_of(fingerprint));
    }

    /// Records for the leader that a request which is refused from now on was served here shortly
    /// before, if it was.
    pub fn record_refusal(&mut self, now: Millis, fingerprint: &Fingerprint) {
        let last = self.served.last_served(fingerprint);
        if let Some(at) = last.filter(|at| now < at + SERVED_MS) {
            self.push(at, ObservedEvent::Served(fingerprint.clone()));
        }
    }

    fn push(&mut self, at: Millis, event: ObservedEvent) -> Observation {
        let observation = Observation { ago_ms: 0, event: event.clone() };
        self.entries.push_back(Entry { at, event, times_sent: 0, due: Some(at) });
        if self.entries.len() > MAX_OBSERVATIONS {
            self.entries.pop_front();
        }
        observation
    }

    /// Whether there are no observations.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes the report of all observations that are due, which count as sent from then on.
    pub fn report(&mut self, now: Millis) -> CrashReport {
        while self.entries.front().is_some_and(|entry| entry.at + KEPT_MS <= now) {
            self.entries.pop_front();
        }
        let mut observations = Vec::new();
        for entry in self.entries.iter_mut().filter(|entry| entry.due.is_some_and(|due| due <= now))
        {
            let resend_after = RESEND_AFTER_MS.get(entry.times_sent);
            entry.due = resend_after.map(|after| now + after);
            entry.times_sent += 1;
            let ago_ms = u32::try_from(now.saturating_sub(entry.at)).unwrap_or(u32::MAX);
            observations.push(Observation { ago_ms, event: entry.event.clone() });
        }
        CrashReport { observations }
    }

    /// When the next observation is due, if any.
    pub fn due(&self) -> Option<Millis> {
        self.entries.iter().filter_map(|entry| entry.due).min()
    }

    /// Makes all observations due again, for another leader or another connection to it.
    pub fn resend_all(&mut self, now: Millis) {
        for entry in &mut self.entries {
            entry.times_sent = 0;
            entry.due = Some(now);
        }
    }
}
