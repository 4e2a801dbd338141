//! The crashes of the last minutes, from what all routers report.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::Fingerprint;
use super::StartEvent;
use super::crash::Crash;
use super::culprits::{Blame, QuarantineState, culprits};
use super::report::{Observation, ObservedEvent};
use super::starts::Starts;
use crate::dispatch::Millis;
use crate::registry::EndpointStart;
use crate::wire::HostId;

/// Milliseconds for which crashes count: as long as a request that was blamed is refused, it
/// is looked at again whether another one explains them better.
const KEPT_MS: Millis = 10 * 60_000;
/// Crashes that are kept: some minutes of an outage, 4 MB at the most.
const MOST_CRASHES: usize = 256;
/// Milliseconds for which a request that was served whole is not blamed: where many run the
/// same request, as for an empty body, a data hall's outage takes many of them at once.
const SERVED_MS: Millis = 10_000;
/// Requests of which it is kept until when they are not blamed, and endpoints of which when
/// they were there.
const MOST_TIMES: usize = 1_024;

/// What follows from looking at all crashes anew.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Review {
    /// Requests that are to blame, and not refused yet.
    pub blamed: Vec<Blame>,
    /// Requests that were blamed here and are not any more: they were served, the endpoints
    /// live, or another request explains the crashes better.
    pub cleared: Vec<Fingerprint>,
}

/// The crashes of the last minutes, and whom they are blamed on.
#[derive(Clone, Debug, Default)]
pub struct CrashAnalysis {
    crashes: VecDeque<Crash>,
    starts: Starts,
    alive: BTreeMap<EndpointStart, Millis>,
    /// Until when requests are not blamed.
    innocent_until: BTreeMap<Fingerprint, Millis>,
    just_served: BTreeSet<Fingerprint>,
    /// Requests that were blamed here, for crashes that are all still known: whether they
    /// are to blame can be seen anew.
    blamed: BTreeSet<Fingerprint>,
    has_news: bool,
    reviewed_at: Millis,
}

impl CrashAnalysis {
    /// Takes in what a router saw.
    pub fn record(&mut self, now: Millis, router: HostId, observation: Observation) {
        let at = now.saturating_sub(observation.ago_ms.into());
        self.has_news = true;
        match observation.event {
            ObservedEvent::Lost { endpoint, fingerprint, ran_ms } => {
                if !self.was_alive(at, &endpoint) && !self.is_innocent(at, &fingerprint) {
                    self.crash(at, router, endpoint).lose(fingerprint, ran_ms);
                }
            }
            ObservedEvent::Alive(endpoint) => self.alive(now, at, endpoint),
            ObservedEvent::Served(fingerprint) => self.served(at, fingerprint),
        }
        self.forget_old(now);
    }

    fn was_alive(&self, at: Millis, endpoint: &EndpointStart) -> bool {
        self.alive.get(endpoint).is_some_and(|alive| at <= *alive)
    }

    /// An endpoint was there at this time: what was lost before was not lost by its end.
    /// Unless that was a later start of it.
    fn alive(&mut self, now: Millis, at: Millis, endpoint: EndpointStart) {
        if self.starts.is_of_a_later_one(at, &endpoint) {
            return;
        }
        let is_refuted = |crash: &Crash| crash.endpoint == endpoint && crash.last <= at;
        for crash in self.crashes.iter().filter(|crash| is_refuted(crash)) {
            self.starts.refuted(now, crash.clone(), at);
        }
        self.crashes.retain(|crash| !is_refuted(crash));
        note_latest(&mut self.alive, endpoint, at);
    }

    /// A start of an endpoint became known: a sign of life of an earlier one that came a
    /// moment before was this one's, and the earlier one did crash.
    fn started(&mut self, now: Millis, start: &EndpointStart) {
        let confirmed = self.starts.started(now, start);
        for crash in confirmed {
            self.has_news = true;
            self.alive.remove(&crash.endpoint);
            let before = self.crashes.iter().take_while(|known| known.at <= crash.at).count();
            self.crashes.insert(before, crash);
        }
    }

    /// Takes in what became known of starts.
    pub fn record_starts(&mut self, now: Millis, news: Vec<StartEvent>) {
        for step in news {
            match step {
                StartEvent::Started(start) => self.started(now, &start),
                StartEvent::Gone(endpoint) => self.starts.forget(&endpoint),
            }
        }
    }

    fn is_innocent(&self, at: Millis, fingerprint: &Fingerprint) -> bool {
        self.innocent_until.get(fingerprint).is_some_and(|until| at < *until)
    }

    /// The crash of an endpoint at about this time.
    fn crash(&mut self, at: Millis, router: HostId, endpoint: EndpointStart) -> &mut Crash {
        let is_this = |crash: &Crash| crash.is_of(&endpoint, at);
        let index = self.crashes.iter().position(is_this).unwrap_or_else(|| {
            self.crashes.push_back(Crash::new(endpoint, at, router));
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        crash.seen(at, router);
        crash
    }

    /// A request that was served crashes nothing.
    fn served(&mut self, at: Millis, fingerprint: Fingerprint) {
        for crash in self.crashes.iter_mut().filter(|crash| crash.at < at + SERVED_MS) {
            crash.lost.remove(&fingerprint);
        }
        self.just_served.insert(fingerprint.clone());
        note_latest(&mut self.innocent_until, fingerprint, at + SERVED_MS);
    }

    /// A request may run again, by its time or an operator's word: crashes before count no
    /// more.
    pub fn discard_losses(&mut self, now: Millis, fingerprint: &Fingerprint) {
        for crash in &mut self.crashes {
            crash.lost.remove(fingerprint);
        }
        self.blamed.remove(fingerprint);
        self.has_news = true;
        note_latest(&mut self.innocent_until, fingerprint.clone(), now);
    }

    fn forget_old(&mut self, now: Millis) {
        self.crashes.retain(|crash| !crash.lost.is_empty());
        while self.crashes.len() > MOST_CRASHES
            || self.crashes.front().is_some_and(|crash| crash.at + KEPT_MS <= now)
        {
            let Some(forgotten) = self.crashes.pop_front() else { return };
            self.blamed.retain(|fingerprint| !forgotten.lost.contains_key(fingerprint));
        }
    }

    /// Requests that were blamed here and not cleared since.
    pub fn blamed(&self) -> &BTreeSet<Fingerprint> {
        &self.blamed
    }

    /// Whether a look at all crashes may say something new: something was taken in since the
    /// last one, or what one router alone lost may count by now.
    pub fn is_due(&self, now: Millis) -> bool {
        let is_unconfirmed = |crash: &Crash| !crash.is_confirmed(self.reviewed_at);
        self.has_news || self.crashes.iter().any(|c| is_unconfirmed(c) && c.is_confirmed(now))
    }

    /// Looks at all crashes anew.
    pub fn review(
        &mut self,
        now: Millis,
        quarantine_state: impl Fn(&Fingerprint) -> QuarantineState,
    ) -> Review {
        self.forget_old(now);
        self.has_news = false;
        self.reviewed_at = now;
        // Those that were refused elsewhere, by crashes that are not known here, need no
        // more proof.
        let is_settled = |f: &Fingerprint| {
            quarantine_state(f) == QuarantineState::Refused && !self.blamed.contains(f)
        };
        let confirmed = self.crashes.iter().filter(|crash| crash.is_confirmed(now));
        let confirmed: Vec<_> = confirmed.collect();
        let mut blamed = culprits(&confirmed, is_settled, &quarantine_state);
        let is_blamed = |f: &Fingerprint| blamed.iter().any(|blame| blame.fingerprint == *f);
        let cleared: Vec<_> = self.blamed.iter().filter(|f| !is_blamed(f)).cloned().collect();
        self.blamed = blamed.iter().map(|blame| blame.fingerprint.clone()).collect();
        blamed.retain(|blame| quarantine_state(&blame.fingerprint) != QuarantineState::Refused);
        Review { blamed, cleared }
    }

    /// Requests that were served since this was asked last.
    pub fn take_served(&mut self) -> BTreeSet<Fingerprint> {
        std::mem::take(&mut self.just_served)
    }
}

/// Notes the latest time for a key, and forgets the key whose time is longest ago where there
/// are too many.
fn note_latest<K: Ord + Clone>(times: &mut BTreeMap<K, Millis>, key: K, at: Millis) {
    let time = times.entry(key).or_default();
    *time = at.max(*time);
    if times.len() > MOST_TIMES {
        let longest_ago = times.iter().min_by_key(|(_, at)| **at);
        if let Some(key) = longest_ago.map(|(key, _)| key.clone()) {
            times.remove(&key);
        }
    }
}
