//! Analysis of recent crashes from the observations of all routers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use super::StartEvent;
use super::crash::{Crash, LostRequest};
use super::culprits::{Blame, QuarantineState, QuarantineStates, culprits};
use super::report::{Observation, ObservedEvent};
use super::starts::Starts;
use super::suspect::Suspect;
use crate::dispatch::Millis;
use crate::registry::EndpointStart;
use crate::wire::HostId;

/// Milliseconds for which crashes count: as long as a blamed suspect is refused for the first
/// time. Until then each review checks whether another suspect explains the crashes better.
const KEPT_MS: Millis = 10 * 60_000;
/// Crashes that are kept: those of some minutes of an outage, 4 MB at most.
const MAX_CRASHES: usize = 256;
/// Milliseconds for which a suspect is not blamed after it was served completely: if many
/// callers send the same request, such as one with an empty body, the outage of a data hall loses
/// many of them at once.
const SERVED_MS: Millis = 10_000;
/// Entries of the map of suspects that are exempt from blame, and of the map of endpoints that
/// were alive.
const MAX_TIMES: usize = 4_096;

/// The result of a review of all crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Review {
    /// What is blamed, and not refused yet.
    pub blamed: Vec<Blame>,
    /// What was blamed here and no longer is: it was served, the endpoints are alive, or another
    /// suspect explains the crashes better.
    pub cleared: Vec<Suspect>,
}

/// What an analysis knows of recent crashes, for logs and metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashSummary {
    /// Number of crashes that are kept and in which something was lost that may be to blame.
    pub crashes: usize,
    /// How many of them still lack a second router's report or the time that replaces it.
    pub unconfirmed: usize,
    /// Number of crashes so far that were refuted because the endpoint was alive.
    pub refuted: u64,
    /// The request or attribute that was lost in the most of these crashes, and in how many.
    pub most_lost: Option<(Suspect, usize)>,
}

impl fmt::Display for CrashSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CrashSummary { crashes, unconfirmed, refuted, most_lost } = self;
        write!(
            f,
            "{crashes} crashes, {unconfirmed} of them unconfirmed, {refuted} refuted so far"
        )?;
        match most_lost {
            Some((suspect, times)) => write!(f, "; lost in the most, {times}: {suspect}"),
            None => Ok(()),
        }
    }
}

/// The crashes of the last minutes, and what is blamed for them.
#[derive(Clone, Debug, Default)]
pub struct CrashAnalysis {
    crashes: VecDeque<Crash>,
    starts: Starts,
    /// When starts of endpoints were last known to be alive.
    alive: BTreeMap<EndpointStart, Millis>,
    /// Until when requests and single attributes are exempt from blame.
    exempt_until: BTreeMap<Suspect, Millis>,
    newly_served: BTreeSet<Suspect>,
    /// What was blamed here, for crashes that are all still kept, so that a review can clear it.
    blamed: BTreeSet<Suspect>,
    has_changes: bool,
    reviewed_at: Millis,
    /// Number of crashes that were refuted so far.
    refuted: u64,
}

impl CrashAnalysis {
    /// Records an observation that a router reported.
    pub fn record(&mut self, now: Millis, router: HostId, observation: Observation) {
        let at = now.saturating_sub(observation.ago_ms.into());
        self.has_changes = true;
        match observation.event {
            ObservedEvent::Lost { endpoint, request, ran_ms } => {
                let is_exempt = |suspect: &Suspect| self.is_exempt(at, suspect);
                let lost = LostRequest::new(request, ran_ms, is_exempt);
                if !self.was_alive(at, &endpoint) && lost.has_suspects() {
                    self.crash_at(at, router, endpoint).add_lost(lost);
                }
            }
            ObservedEvent::Alive(endpoint) => self.record_alive(now, at, endpoint),
            ObservedEvent::Served(suspect) => self.record_served(at, suspect),
        }
        self.drop_expired(now);
    }

    fn was_alive(&self, at: Millis, endpoint: &EndpointStart) -> bool {
        self.alive.get(endpoint).is_some_and(|alive| at <= *alive)
    }

    /// Records that an endpoint was alive at this time, which refutes crashes of it before. An
    /// observation that belongs to a later start of the endpoint is ignored.
    fn record_alive(&mut self, now: Millis, at: Millis, endpoint: EndpointStart) {
        if self.starts.is_from_later_start(at, &endpoint) {
            return;
        }
        let is_refuted = |crash: &Crash| crash.endpoint == endpoint && crash.last_lost_at <= at;
        for crash in self.crashes.iter().filter(|crash| is_refuted(crash)) {
            self.refuted += 1;
            self.starts.record_refuted(now, crash.clone(), at);
        }
        self.crashes.retain(|crash| !is_refuted(crash));
        record_latest(&mut self.alive, endpoint, at);
    }

    /// Records that a start of an endpoint became known. If an earlier start seemed alive shortly
    /// before, that was this start, so crashes of the earlier one count again.
    fn record_start(&mut self, now: Millis, start: &EndpointStart) {
        let confirmed = self.starts.record_start(now, start);
        for crash in confirmed {
            self.has_changes = true;
            self.alive.remove(&crash.endpoint);
            let position = self.crashes.iter().take_while(|known| known.at <= crash.at).count();
            self.crashes.insert(position, crash);
        }
    }

    /// Records which starts of endpoints became known.
    pub fn record_starts(&mut self, now: Millis, events: Vec<StartEvent>) {
        for event in events {
            match event {
                StartEvent::Started(start) => self.record_start(now, &start),
                StartEvent::Gone(endpoint) => self.starts.remove(&endpoint),
            }
        }
    }

    fn is_exempt(&self, at: Millis, suspect: &Suspect) -> bool {
        self.exempt_until.get(suspect).is_some_and(|until| at < *until)
    }

    fn exempt(&mut self, suspect: &Suspect, until: Millis) {
        match suspect {
            Suspect::Request(_) => record_latest(&mut self.exempt_until, suspect.clone(), until),
            Suspect::Attributes(set) => {
                for single in set.singles() {
                    record_latest(&mut self.exempt_until, Suspect::Attributes(single), until);
                }
            }
        }
    }

    /// The crash of an endpoint at about this time, which is added if there is none yet.
    fn crash_at(&mut self, at: Millis, router: HostId, endpoint: EndpointStart) -> &mut Crash {
        let is_same = |crash: &Crash| crash.includes(&endpoint, at);
        let index = self.crashes.iter().position(is_same).unwrap_or_else(|| {
            self.crashes.push_back(Crash::new(endpoint, at, router));
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        crash.record_report(at, router);
        crash
    }

    /// Records that a request, or each attribute of a set, was served, which shows that it does not
    /// crash endpoints.
    fn record_served(&mut self, at: Millis, suspect: Suspect) {
        for crash in self.crashes.iter_mut().filter(|crash| crash.at < at + SERVED_MS) {
            crash.clear(&suspect);
        }
        self.exempt(&suspect, at + SERVED_MS);
        self.newly_served.insert(suspect);
    }

    /// Discards the losses of a suspect that is released: earlier crashes no longer count against
    /// it.
    pub fn discard_losses(&mut self, now: Millis, suspect: &Suspect) {
        for crash in &mut self.crashes {
            crash.clear(suspect);
        }
        self.blamed.remove(suspect);
        self.has_changes = true;
        self.exempt(suspect, now);
    }

    /// Discards the crashes that a suspect explains, which may run again because its time is over
    /// or an operator released it: they count against nothing any more, also not against what was
    /// lost with it.
    pub fn discard_crashes(&mut self, now: Millis, suspect: &Suspect) {
        self.crashes.retain(|crash| !crash.may_be_due_to(suspect));
        self.discard_losses(now, suspect);
    }

    fn drop_expired(&mut self, now: Millis) {
        self.crashes.retain(|crash| !crash.is_cleared());
        while self.crashes.len() > MAX_CRASHES
            || self.crashes.front().is_some_and(|crash| crash.at + KEPT_MS <= now)
        {
            let Some(dropped) = self.crashes.pop_front() else { return };
            self.blamed.retain(|suspect| !dropped.may_be_due_to(suspect));
        }
    }

    /// What was blamed here and has not been cleared since.
    pub fn blamed(&self) -> &BTreeSet<Suspect> {
        &self.blamed
    }

    /// Whether a review may have a new result: something was recorded since the last one, or the
    /// losses of a single router have begun to count.
    pub fn is_due(&self, now: Millis) -> bool {
        let is_unconfirmed = |crash: &Crash| !crash.is_confirmed(self.reviewed_at);
        self.has_changes || self.crashes.iter().any(|c| is_unconfirmed(c) && c.is_confirmed(now))
    }

    /// Reviews all crashes, given what is in quarantine.
    pub fn review(&mut self, now: Millis, quarantined: &QuarantineStates) -> Review {
        self.drop_expired(now);
        self.has_changes = false;
        self.reviewed_at = now;
        let confirmed = self.crashes.iter().filter(|crash| crash.is_confirmed(now));
        let confirmed: Vec<_> = confirmed.collect();
        let mut blamed = culprits(&confirmed, quarantined, &self.blamed);
        let is_blamed = |suspect: &Suspect| blamed.iter().any(|blame| blame.suspect == *suspect);
        let cleared: Vec<_> = self.blamed.iter().filter(|s| !is_blamed(s)).cloned().collect();
        self.blamed = blamed.iter().map(|blame| blame.suspect.clone()).collect();
        blamed.retain(|blame| quarantined.get(&blame.suspect) != Some(&QuarantineState::Refused));
        Review { blamed, cleared }
    }

    /// A summary of the crashes that are kept.
    pub fn summary(&self, now: Millis) -> CrashSummary {
        let mut times: BTreeMap<Suspect, usize> = BTreeMap::new();
        for crash in &self.crashes {
            let suspects: BTreeSet<_> = crash.lost().flat_map(LostRequest::suspects).collect();
            for suspect in suspects {
                *times.entry(suspect).or_default() += 1;
            }
        }
        let most_lost = times.into_iter().max_by_key(|(_, times)| *times);
        CrashSummary {
            crashes: self.crashes.len(),
            unconfirmed: self.crashes.iter().filter(|crash| !crash.is_confirmed(now)).count(),
            refuted: self.refuted,
            most_lost,
        }
    }

    /// Takes the requests and attributes that were served since the last call.
    pub fn take_served(&mut self) -> BTreeSet<Suspect> {
        std::mem::take(&mut self.newly_served)
    }
}

/// Records the latest time for a key, and evicts the key with the earliest time if there are too
/// many.
fn record_latest<K: Ord + Clone>(times: &mut BTreeMap<K, Millis>, key: K, at: Millis) {
    let time = times.entry(key).or_default();
    *time = at.max(*time);
    if times.len() > MAX_TIMES {
        let earliest = times.iter().min_by_key(|(_, at)| **at);
        if let Some(key) = earliest.map(|(key, _)| key.clone()) {
            times.remove(&key);
        }
    }
}
