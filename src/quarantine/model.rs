//! The quarantines that control hosts agree on, and the updates that carry them to routers.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

use super::attributes::AttributeSet;
use super::profile::RequestProfile;
use super::suspect::Suspect;
use super::{QuarantineState, QuarantineStates};
use crate::dispatch::Millis;

/// Milliseconds for which a suspect is refused the first time. Meanwhile the endpoints or the
/// requests may be fixed, and what is refused by mistake must eventually run again. The
/// time doubles with each further refusal.
const FIRST_REFUSAL_MS: u64 = 10 * 60_000;
/// Longest time in milliseconds for which a suspect is refused: endpoints get a new release every
/// few days, which may handle it.
const MAX_REFUSAL_MS: u64 = 24 * 3_600_000;
/// Suspects of one customer that are kept. Each has crashed three endpoints, so a customer that
/// reaches the limit is one whose every request does; beyond it the oldest are released.
const MAX_SUSPECTS_PER_CUSTOMER: usize = 64;
/// Suspects of all customers that are kept: about 60 KB in memory, in snapshots, and on the feed
/// of a router that starts, and some 400 KB if all of them are sets of the most attributes.
const MAX_SUSPECTS: usize = 1_024;
/// Releases that are kept for subscribers that missed them.
const MAX_RELEASED: usize = 256;

/// Whether what crashed endpoints may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// It may run again, and a single further crash is enough to refuse it again.
    Trial,
    /// It is refused.
    Refused,
}

/// The quarantine of one suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// Whether it may run.
    pub stage: Stage,
    /// Endpoints that it had crashed when it was last refused.
    pub crashes: u32,
    /// How often it has been refused, 1 after the first time.
    pub times: u32,
    /// When it entered this stage, in milliseconds since the epoch.
    pub since_ms: u64,
    /// Until when it is refused, in milliseconds since the epoch.
    pub until_ms: u64,
}

/// A decision of the leader on one suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Refuses what crashed endpoints.
    Refuse {
        /// What is refused.
        suspect: Suspect,
        /// Number of endpoints that it crashed.
        crashes: u32,
        /// When, in milliseconds since the epoch.
        at_ms: u64,
    },
    /// Lets it run again on trial, once the time of its refusal is over.
    Trial {
        /// What may run.
        suspect: Suspect,
        /// When, in milliseconds since the epoch.
        at_ms: u64,
    },
    /// Ends the quarantine of what does not crash endpoints.
    Release(Suspect),
}

impl Verdict {
    /// What it decides on.
    pub fn suspect(&self) -> &Suspect {
        match self {
            Verdict::Refuse { suspect, .. } | Verdict::Trial { suspect, .. } => suspect,
            Verdict::Release(suspect) => suspect,
        }
    }

    /// Whether another verdict on the same suspect is of the same kind, whatever their times.
    pub fn is_same_kind(&self, other: &Verdict) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verdict::Refuse { suspect, crashes, .. } => {
                write!(f, "{suspect} is refused after {crashes} crashes")
            }
            Verdict::Trial { suspect, .. } => write!(f, "{suspect} may run again"),
            Verdict::Release(suspect) => write!(f, "{suspect} is released"),
        }
    }
}

/// A quarantine, and the revision in which it last changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Entry {
    quarantine: Quarantine,
    revision: u64,
}

/// All that is refused or on trial.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantines {
    pub(super) revision: u64,
    pub(super) suspects: BTreeMap<Suspect, Entry>,
    /// The latest releases, each with its revision.
    pub(super) released: VecDeque<(u64, Suspect)>,
    /// Releases up to this revision may be missing from `released`.
    pub(super) releases_dropped_to: u64,
}

/// Changes from one revision to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// The revision that the subscriber has once it has applied the update.
    pub revision: u64,
    /// Whether the update replaces all that the subscriber holds.
    pub is_full: bool,
    /// Suspects that are new or entered another stage, each with the revision of the change.
    pub changed: Vec<(Suspect, Quarantine, u64)>,
    /// Suspects that were released, each with the revision of the release.
    pub released: Vec<(u64, Suspect)>,
}

impl Quarantines {
    /// The revision, which rises with every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a verdict. A verdict that is out of date changes nothing.
    pub fn apply(&mut self, verdict: Verdict) {
        let has_changed = match verdict {
            Verdict::Refuse { suspect, crashes, at_ms } => self.refuse(suspect, crashes, at_ms),
            Verdict::Trial { suspect, at_ms } => self.start_trial(&suspect, at_ms),
            Verdict::Release(suspect) => self.release(&suspect),
        };
        self.revision += u64::from(has_changed);
    }

    fn release(&mut self, suspect: &Suspect) -> bool {
        let was_present = self.suspects.remove(suspect).is_some();
        if was_present {
            self.record_released(self.revision + 1, suspect.clone());
        }
        was_present
    }

    fn record_released(&mut self, revision: u64, suspect: Suspect) {
        self.released.push_back((revision, suspect));
        if self.released.len() > MAX_RELEASED
            && let Some((releases_dropped_to, _)) = self.released.pop_front()
        {
            self.releases_dropped_to = releases_dropped_to;
        }
    }

    fn refuse(&mut self, suspect: Suspect, crashes: u32, at_ms: u64) -> bool {
        let before = self.get(&suspect);
        if before.is_some_and(|before| before.stage == Stage::Refused) {
            return false;
        }
        let times = before.map_or(1, |before| before.times.saturating_add(1));
        let refusal_ms = FIRST_REFUSAL_MS << (times - 1).min(16);
        let until_ms = at_ms + refusal_ms.min(MAX_REFUSAL_MS);
        let stage = Stage::Refused;
        let quarantine = Quarantine { stage, crashes, times, since_ms: at_ms, until_ms };
        let entry = Entry { quarantine, revision: self.revision + 1 };
        self.suspects.insert(suspect.clone(), entry);
        self.enforce_limits(&suspect);
        true
    }

    fn start_trial(&mut self, suspect: &Suspect, at_ms: u64) -> bool {
        let Some(entry) = self.suspects.get_mut(suspect) else { return false };
        if entry.quarantine.stage != Stage::Refused {
            return false;
        }
        entry.quarantine.stage = Stage::Trial;
        entry.quarantine.since_ms = at_ms;
        entry.revision = self.revision + 1;
        true
    }

    /// Evicts suspects beyond the limits after one was added: first those of the same customer,
    /// then those of the customer with the most, so that one customer's suspects do not evict
    /// those of others.
    fn enforce_limits(&mut self, added: &Suspect) {
        if self.count_of(added.customer()) > MAX_SUSPECTS_PER_CUSTOMER {
            self.evict_oldest(added.customer(), added);
        }
        if self.suspects.len() > MAX_SUSPECTS {
            let mut counts = BTreeMap::new();
            for suspect in self.suspects.keys() {
                *counts.entry(suspect.customer()).or_insert(0) += 1;
            }
            let largest = counts.into_iter().max_by_key(|(_, count): &(&str, usize)| *count);
            let customer = largest.map(|(customer, _)| customer.to_string()).unwrap_or_default();
            self.evict_oldest(&customer, added);
        }
    }

    fn count_of(&self, customer: &str) -> usize {
        self.suspects.keys().filter(|s| s.customer() == customer).count()
    }

    /// Evicts the customer's suspect that has been on trial longest or, if none is on trial, the
    /// one that has been refused longest.
    fn evict_oldest(&mut self, customer: &str, except: &Suspect) {
        let own = self.all().filter(|(s, _)| s.customer() == customer && *s != except);
        let oldest = own.min_by_key(|(_, quarantine)| (quarantine.stage, quarantine.since_ms));
        if let Some(oldest) = oldest.map(|(suspect, _)| suspect.clone()) {
            self.release(&oldest);
        }
    }

    /// The quarantine of a suspect, if it is refused or on trial.
    pub fn get(&self, suspect: &Suspect) -> Option<&Quarantine> {
        self.suspects.get(suspect).map(|entry| &entry.quarantine)
    }

    /// Whether a suspect is refused.
    pub fn refuses(&self, suspect: &Suspect) -> bool {
        self.get(suspect).is_some_and(|quarantine| quarantine.stage == Stage::Refused)
    }

    /// The suspect for which a request is refused, and its quarantine.
    pub fn refusal_of(&self, request: &RequestProfile) -> Option<(&Suspect, &Quarantine)> {
        if self.is_empty() {
            return None;
        }
        let matching = self.all().filter(|(suspect, _)| request.matches(suspect));
        matching.filter(|(_, q)| q.stage == Stage::Refused).max_by_key(|(_, q)| q.until_ms)
    }

    /// Whether a request, or an attribute alone or with others, is refused or on trial.
    pub fn concerns(&self, suspect: &Suspect) -> bool {
        let Suspect::Attributes(set) = suspect else { return self.get(suspect).is_some() };
        self.sets().any(|(quarantined, _)| quarantined.overlaps(set))
    }

    /// The sets of attributes that are refused or on trial.
    pub fn sets(&self) -> impl Iterator<Item = (&AttributeSet, &Quarantine)> {
        self.all().filter_map(|(suspect, quarantine)| match suspect {
            Suspect::Request(_) => None,
            Suspect::Attributes(set) => Some((set, quarantine)),
        })
    }

    /// The quarantine states of all suspects. `at_epoch` converts milliseconds since the epoch to
    /// this process's clock.
    pub fn states(&self, at_epoch: impl Fn(u64) -> Millis) -> QuarantineStates {
        let state = |quarantine: &Quarantine| match quarantine.stage {
            Stage::Refused => QuarantineState::Refused,
            Stage::Trial => QuarantineState::Trial(at_epoch(quarantine.since_ms)),
        };
        self.all().map(|(suspect, quarantine)| (suspect.clone(), state(quarantine))).collect()
    }

    /// All that is refused or on trial.
    pub fn all(&self) -> impl Iterator<Item = (&Suspect, &Quarantine)> {
        self.suspects.iter().map(|(suspect, entry)| (suspect, &entry.quarantine))
    }

    /// Whether nothing is refused or on trial.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// What is refused here, and may run in the state `later`, since that refuses nothing in its
    /// place.
    pub fn no_longer_refused<'a>(
        &'a self,
        later: &'a Quarantines,
    ) -> impl Iterator<Item = &'a Suspect> {
        let refused = self.all().map(|(suspect, _)| suspect).filter(|s| self.refuses(s));
        let is_replaced = |suspect: &Suspect| {
            later.all().any(|(other, _)| later.refuses(other) && other.replaces(suspect))
        };
        refused.filter(move |suspect| !later.refuses(suspect) && !is_replaced(suspect))
    }

    /// The update for a subscriber that has at least this revision; none if it is up to date.
    /// All control hosts pass through the same revisions, so an update from one host applies to a
    /// state received from another.
    pub fn update_after(&self, revision: u64) -> Option<QuarantineUpdate> {
        if revision >= self.revision {
            return None;
        }
        let is_full = revision == 0 || revision < self.releases_dropped_to;
        let after = if is_full { 0 } else { revision };
        let changed = self.suspects.iter().filter(|(_, entry)| entry.revision > after);
        let released = self.released.iter().filter(|(at, _)| *at > after && !is_full);
        Some(QuarantineUpdate {
            revision: self.revision,
            is_full,
            changed: changed
                .map(|(s, entry)| (s.clone(), entry.quarantine, entry.revision))
                .collect(),
            released: released.cloned().collect(),
        })
    }

    /// Applies an update if it has a later revision. Returns whether it did.
    pub fn adopt(&mut self, update: QuarantineUpdate) -> bool {
        if update.revision <= self.revision {
            return false;
        }
        if update.is_full {
            self.suspects.clear();
            self.released.clear();
            self.releases_dropped_to = update.revision;
        }
        for (revision, suspect) in update.released {
            if revision > self.revision {
                self.suspects.remove(&suspect);
                self.record_released(revision, suspect);
            }
        }
        for (suspect, quarantine, revision) in update.changed {
            self.suspects.insert(suspect, Entry { quarantine, revision });
        }
        self.revision = update.revision;
        true
    }
}
