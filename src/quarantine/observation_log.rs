//! What a router saw of crashes, and what of it the leader has to be told.

use std::collections::VecDeque;

use super::report::{CrashReport, Observation, ObservedEvent};
use super::{Fingerprint, RecentlyServed};
use crate::dispatch::Millis;
use crate::registry::EndpointStart;

/// Milliseconds after the first time when the leader is told the same again: connections
/// may be dead for some two seconds before they are given up.
const TOLD_AGAIN_MS: [Millis; 2] = [1_000, 3_000];
/// Milliseconds for which observations are kept for a new leader.
const KEPT_MS: Millis = 10 * 60_000;
/// Observations that are kept: some hundred bytes each, a dozen crashes of full endpoints.
const MOST: usize = 512;
/// Milliseconds for which a request that was served here is not taken for one that crashes
/// endpoints.
const SERVED_MS: Millis = 10_000;

#[derive(Clone, Debug)]
struct Kept {
    at: Millis,
    event: ObservedEvent,
    /// How often it was told to this leader.
    told: usize,
    /// When it is to be told again; none when it was told often enough.
    due: Option<Millis>,
}

impl Kept {
    fn is_loss_of(&self, fingerprint: &Fingerprint) -> bool {
        matches!(&self.event, ObservedEvent::Lost { fingerprint: lost, .. } if lost == fingerprint)
    }
}

/// What a router saw lately.
#[derive(Clone, Debug, Default)]
pub struct ObservationLog {
    kept: VecDeque<Kept>,
    served: RecentlyServed,
}

impl ObservationLog {
    /// An endpoint broke off a request's answer. Returns the observation, unless the request
    /// was served a moment ago.
    pub fn record_loss(
        &mut self,
        now: Millis,
        endpoint: EndpointStart,
        fingerprint: Fingerprint,
        ran_ms: u32,
    ) -> Option<Observation> {
        if self.served.last(&fingerprint).is_some_and(|served| now < served + SERVED_MS) {
            return None;
        }
        Some(self.keep(now, ObservedEvent::Lost { endpoint, fingerprint, ran_ms }))
    }

    /// An endpoint answered a request that was sent to it at `sent`. Returns the
    /// observation where it had broken off others before, which it did not end by.
    pub fn record_answer(
        &mut self,
        now: Millis,
        at: &EndpointStart,
        sent: Millis,
    ) -> Option<Observation> {
        let is_refuted = |kept: &Kept| {
            let ObservedEvent::Lost { endpoint, .. } = &kept.event else { return false };
            endpoint == at && kept.at < sent
        };
        let before = self.kept.len();
        self.kept.retain(|kept| !is_refuted(kept));
        (self.kept.len() < before).then(|| self.keep(now, ObservedEvent::Alive(at.clone())))
    }

    /// A request was served whole. Returns the observation where it was lost before, or
    /// `is_suspect` by what was agreed.
    pub fn record_served(
        &mut self,
        now: Millis,
        fingerprint: &Fingerprint,
        is_suspect: bool,
    ) -> Option<Observation> {
        self.served.note(now, fingerprint);
        let before = self.kept.len();
        self.discard_losses(fingerprint);
        let was_lost = self.kept.len() < before;
        (was_lost || is_suspect).then(|| self.keep(now, ObservedEvent::Served(fingerprint.clone())))
    }

    /// A request may run again: what was lost of it counts no more.
    pub fn discard_losses(&mut self, fingerprint: &Fingerprint) {
        self.kept.retain(|kept| !kept.is_loss_of(fingerprint));
    }

    /// A request is refused from now on: it is kept for the leader if it was served here,
    /// a moment before it was blamed.
    pub fn record_refusal(&mut self, now: Millis, fingerprint: &Fingerprint) {
        let last = self.served.last(fingerprint);
        if let Some(at) = last.filter(|at| now < at + SERVED_MS) {
            self.keep(at, ObservedEvent::Served(fingerprint.clone()));
        }
    }

    fn keep(&mut self, at: Millis, event: ObservedEvent) -> Observation {
        let observation = Observation { ago_ms: 0, event: event.clone() };
        self.kept.push_back(Kept { at, event, told: 0, due: Some(at) });
        if self.kept.len() > MOST {
            self.kept.pop_front();
        }
        observation
    }

    /// Whether anything was seen that bears on crashes.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// What the leader is to be told now; it counts as told then.
    pub fn report(&mut self, now: Millis) -> CrashReport {
        while self.kept.front().is_some_and(|kept| kept.at + KEPT_MS <= now) {
            self.kept.pop_front();
        }
        let mut observations = Vec::new();
        for kept in self.kept.iter_mut().filter(|kept| kept.due.is_some_and(|due| due <= now)) {
            let again = TOLD_AGAIN_MS.get(kept.told);
            kept.due = again.map(|after| now + after);
            kept.told += 1;
            let ago_ms = u32::try_from(now.saturating_sub(kept.at)).unwrap_or(u32::MAX);
            observations.push(Observation { ago_ms, event: kept.event.clone() });
        }
        CrashReport { observations }
    }

    /// When there is something to tell next.
    pub fn due(&self) -> Option<Millis> {
        self.kept.iter().filter_map(|kept| kept.due).min()
    }

    /// Another leader, or another connection to it: all has to be told anew.
    pub fn tell_anew(&mut self, now: Millis) {
        for kept in &mut self.kept {
            kept.told = 0;
            kept.due = Some(now);
        }
    }
}
