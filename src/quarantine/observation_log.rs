//! A router's observations of crashes, and when they are due to be sent to the leader.

use std::collections::VecDeque;

use super::attributes::AttributeSet;
use super::profile::RequestProfile;
use super::report::{CrashReport, Observation, ObservedEvent};
use super::suspect::Suspect;
use super::{Fingerprint, RecentlyServed};
use crate::dispatch::Millis;
use crate::registry::EndpointStart;

/// Milliseconds between the first and second, and the second and third time an observation is
/// sent to a leader: a dead connection may go undetected for about two seconds.
const RESEND_AFTER_MS: [Millis; 2] = [1_000, 3_000];
/// Milliseconds for which observations are kept for a new leader.
const KEPT_MS: Millis = 10 * 60_000;
/// Observations that are kept, one to four hundred bytes each: those of a dozen crashes of fully
/// loaded endpoints.
const MAX_OBSERVATIONS: usize = 512;
/// Milliseconds for which losses of a request or an attribute do not count after it was served here.
const SERVED_MS: Millis = 10_000;
/// Shortest time in milliseconds between two observations that the same attribute was served.
const SERVED_INTERVAL_MS: Millis = 1_000;

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
    fn lost_request(&self) -> Option<&RequestProfile> {
        match &self.event {
            ObservedEvent::Lost { request, .. } => Some(request),
            _ => None,
        }
    }

    fn is_loss_of(&self, fingerprint: &Fingerprint) -> bool {
        self.lost_request().is_some_and(|request| request.fingerprint == *fingerprint)
    }

    /// Removes attributes from the lost request. Returns whether it had any of them.
    fn remove_attributes(&mut self, set: &AttributeSet) -> bool {
        match &mut self.event {
            ObservedEvent::Lost { request, .. } => request.remove_attributes(set),
            _ => false,
        }
    }

    fn is_served(&self, suspect: &Suspect) -> bool {
        matches!(&self.event, ObservedEvent::Served(served) if served == suspect)
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
    /// request was sent. Returns the observations: none if the request was served recently;
    /// otherwise also which of its attributes were.
    pub fn record_loss(
        &mut self,
        now: Millis,
        endpoint: EndpointStart,
        mut request: RequestProfile,
        ran_ms: u32,
    ) -> Vec<Observation> {
        let is_recent = |at: Option<Millis>| at.is_some_and(|at| now < at + SERVED_MS);
        if is_recent(self.served.request(&request.fingerprint)) {
            return Vec::new();
        }
        let served = request.attributes_where(|attribute| {
            let (customer, service) = (request.customer(), &request.service);
            is_recent(self.served.attribute(customer, service, attribute))
        });
        let mut observations = Vec::new();
        if let Some(served) = served {
            request.remove_attributes(&served);
            observations = self.record_served_attributes(&served);
        }
        observations.push(self.push(now, ObservedEvent::Lost { endpoint, request, ran_ms }));
        observations
    }

    /// Records for the leader when each of the attributes was last served here, unless that has
    /// been done shortly before.
    fn record_served_attributes(&mut self, set: &AttributeSet) -> Vec<Observation> {
        let mut observations = Vec::new();
        for single in set.singles() {
            let attribute = single.attributes()[0];
            let Some(at) = self.served.attribute(&set.customer, &set.service, attribute) else {
                continue;
            };
            let suspect = Suspect::Attributes(single);
            let is_recorded =
                |entry: &Entry| entry.is_served(&suspect) && at < entry.at + SERVED_INTERVAL_MS;
            if !self.entries.iter().any(is_recorded) {
                observations.push(self.push(at, ObservedEvent::Served(suspect)));
            }
        }
        observations
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

    /// Records that a request was served completely. Returns an observation for the request if it
    /// was lost before or `is_suspect` because it is in quarantine, and for each attribute of which
    /// one of these is true.
    pub fn record_served(
        &mut self,
        now: Millis,
        request: &RequestProfile,
        is_suspect: impl Fn(&Suspect) -> bool,
    ) -> Vec<Observation> {
        self.served.record(now, request);
        let suspect = Suspect::Request(request.fingerprint.clone());
        let mut observations = Vec::new();
        let before = self.entries.len();
        self.entries.retain(|entry| !entry.is_loss_of(&request.fingerprint));
        if self.entries.len() < before || is_suspect(&suspect) {
            observations.push(self.push(now, ObservedEvent::Served(suspect)));
        }
        let Some(attributes) = request.attributes_where(|_| true) else { return observations };
        let mut to_report = Vec::new();
        for single in attributes.singles() {
            let mut was_lost = false;
            for entry in &mut self.entries {
                was_lost |= entry.remove_attributes(&single);
            }
            let attribute = single.attributes()[0];
            if was_lost || is_suspect(&Suspect::Attributes(single)) {
                to_report.push(attribute);
            }
        }
        if let Some(set) = attributes.without(|attribute| !to_report.contains(&attribute)) {
            observations.extend(self.record_served_attributes(&set));
        }
        observations
    }

    /// Discards the losses of what may run again.
    pub fn discard_losses(&mut self, suspect: &Suspect) {
        match suspect {
            Suspect::Request(fingerprint) => {
                self.entries.retain(|entry| !entry.is_loss_of(fingerprint));
            }
            Suspect::Attributes(set) => {
                let is_loss_with = |entry: &Entry| {
                    entry.lost_request().is_some_and(|request| request.has_all(set))
                };
                self.entries.retain(|entry| !is_loss_with(entry));
            }
        }
    }

    /// Records for the leader that what is refused from now on was served here shortly before, if
    /// it was.
    pub fn record_refusal(&mut self, now: Millis, suspect: &Suspect) {
        match suspect {
            Suspect::Request(fingerprint) => {
                let last = self.served.request(fingerprint);
                if let Some(at) = last.filter(|at| now < at + SERVED_MS) {
                    self.push(at, ObservedEvent::Served(suspect.clone()));
                }
            }
            Suspect::Attributes(set) => {
                let recently = set.without(|attribute| {
                    let last = self.served.attribute(&set.customer, &set.service, attribute);
                    last.is_none_or(|at| now >= at + SERVED_MS)
                });
                if let Some(recently) = recently {
                    self.record_served_attributes(&recently);
                }
            }
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
