//! The quarantines that control hosts agree on, and the updates that carry them to routers.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Fingerprint, QuarantineState};
use crate::dispatch::Millis;

/// Milliseconds for which a request is refused the first time. Meanwhile the endpoints or the
/// request may be fixed, and a request that is refused by mistake must eventually run again. The
/// time doubles with each further refusal.
const FIRST_REFUSAL_MS: u64 = 10 * 60_000;
/// Longest time in milliseconds for which a request is refused: endpoints get a new release every
/// few days, which may handle the request.
const MAX_REFUSAL_MS: u64 = 24 * 3_600_000;
/// Requests of one customer that are kept. Each has crashed three endpoints, so a customer that
/// reaches the limit is one whose every request does; beyond it the oldest are released.
const MAX_REQUESTS_PER_CUSTOMER: usize = 64;
/// Requests of all customers that are kept: about 60 KB in memory, in snapshots, and on the feed
/// of a router that starts.
const MAX_REQUESTS: usize = 1_024;
/// Releases that are kept for subscribers that missed them.
const MAX_RELEASED: usize = 256;

/// Whether a request that crashed endpoints may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// It may run again, and a single further crash is enough to refuse it again.
    Trial,
    /// It is refused.
    Refused,
}

/// The quarantine of one request that crashed endpoints.
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

/// A decision of the leader on one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Refuses a request that crashed endpoints.
    Refuse {
        /// The request.
        fingerprint: Fingerprint,
        /// Number of endpoints that it crashed.
        crashes: u32,
        /// When, in milliseconds since the epoch.
        at_ms: u64,
    },
    /// Lets a request run again on trial, once the time of its refusal is over.
    Trial {
        /// The request.
        fingerprint: Fingerprint,
        /// When, in milliseconds since the epoch.
        at_ms: u64,
    },
    /// Ends the quarantine of a request that does not crash endpoints.
    Release(Fingerprint),
}

impl Verdict {
    /// The request.
    pub fn fingerprint(&self) -> &Fingerprint {
        match self {
            Verdict::Refuse { fingerprint, .. } | Verdict::Trial { fingerprint, .. } => fingerprint,
            Verdict::Release(fingerprint) => fingerprint,
        }
    }

    /// Whether another verdict on the same request is of the same kind, whatever their times.
    pub fn is_same_kind(&self, other: &Verdict) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verdict::Refuse { fingerprint, crashes, .. } => {
                write!(f, "{fingerprint} is refused after {crashes} crashes")
            }
            Verdict::Trial { fingerprint, .. } => write!(f, "{fingerprint} may run again"),
            Verdict::Release(fingerprint) => write!(f, "{fingerprint} is released"),
        }
    }
}

/// A quarantine, and the revision in which it last changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    quarantine: Quarantine,
    revision: u64,
}

/// All requests that are refused or on trial.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantines {
    revision: u64,
    requests: BTreeMap<Fingerprint, Entry>,
    /// The latest released requests, each with the revision of its release.
    released: VecDeque<(u64, Fingerprint)>,
    /// Releases up to this revision may be missing from `released`.
    releases_dropped_to: u64,
}

/// Changes from one revision to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// The revision that the subscriber has once it has applied the update.
    pub revision: u64,
    /// Whether the update replaces all that the subscriber holds.
    pub is_full: bool,
    /// Requests that are new or entered another stage, each with the revision of the change.
    pub changed: Vec<(Fingerprint, Quarantine, u64)>,
    /// Requests that were released, each with the revision of the release.
    pub released: Vec<(u64, Fingerprint)>,
}

impl Quarantines {
    /// The revision, which rises with every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a verdict. A verdict that is out of date changes nothing.
    pub fn apply(&mut self, verdict: Verdict) {
        let has_changed = match verdict {
            Verdict::Refuse { fingerprint, crashes, at_ms } => {
                self.refuse(fingerprint, crashes, at_ms)
            }
            Verdict::Trial { fingerprint, at_ms } => self.start_trial(&fingerprint, at_ms),
            Verdict::Release(fingerprint) => self.release(&fingerprint),
        };
        self.revision += u64::from(has_changed);
    }

    fn release(&mut self, fingerprint: &Fingerprint) -> bool {
        let was_present = self.requests.remove(fingerprint).is_some();
        if was_present {
            self.record_released(self.revision + 1, fingerprint.clone());
        }
        was_present
    }

    fn record_released(&mut self, revision: u64, fingerprint: Fingerprint) {
        self.released.push_back((revision, fingerprint));
        if self.released.len() > MAX_RELEASED
            && let Some((releases_dropped_to, _)) = self.released.pop_front()
        {
            self.releases_dropped_to = releases_dropped_to;
        }
    }

    fn refuse(&mut self, fingerprint: Fingerprint, crashes: u32, at_ms: u64) -> bool {
        let before = self.get(&fingerprint);
        if before.is_some_and(|before| before.stage == Stage::Refused) {
            return false;
        }
        let times = before.map_or(1, |before| before.times.saturating_add(1));
        let refusal_ms = FIRST_REFUSAL_MS << (times - 1).min(16);
        let until_ms = at_ms + refusal_ms.min(MAX_REFUSAL_MS);
        let stage = Stage::Refused;
        let quarantine = Quarantine { stage, crashes, times, since_ms: at_ms, until_ms };
        let entry = Entry { quarantine, revision: self.revision + 1 };
        self.requests.insert(fingerprint.clone(), entry);
        self.enforce_limits(&fingerprint);
        true
    }

    fn start_trial(&mut self, fingerprint: &Fingerprint, at_ms: u64) -> bool {
        let Some(entry) = self.requests.get_mut(fingerprint) else { return false };
        if entry.quarantine.stage != Stage::Refused {
            return false;
        }
        entry.quarantine.stage = Stage::Trial;
        entry.quarantine.since_ms = at_ms;
        entry.revision = self.revision + 1;
        true
    }

    /// Evicts requests beyond the limits after one was added: first those of the same customer,
    /// then those of the customer with the most, so that one customer's requests do not evict
    /// those of others.
    fn enforce_limits(&mut self, added: &Fingerprint) {
        if self.count_of(&added.customer) > MAX_REQUESTS_PER_CUSTOMER {
            self.evict_oldest(&added.customer, added);
        }
        if self.requests.len() > MAX_REQUESTS {
            let mut counts = BTreeMap::new();
            for fingerprint in self.requests.keys() {
                *counts.entry(fingerprint.customer.as_str()).or_insert(0) += 1;
            }
            let largest = counts.into_iter().max_by_key(|(_, count): &(&str, usize)| *count);
            let customer = largest.map(|(customer, _)| customer.to_string()).unwrap_or_default();
            self.evict_oldest(&customer, added);
        }
    }

    fn count_of(&self, customer: &str) -> usize {
        self.requests.keys().filter(|f| f.customer == customer).count()
    }

    /// Evicts the customer's request that has been on trial longest or, if none is on trial, the
    /// one that has been refused longest.
    fn evict_oldest(&mut self, customer: &str, except: &Fingerprint) {
        let own = self.all().filter(|(f, _)| f.customer == customer && *f != except);
        let oldest = own.min_by_key(|(_, quarantine)| (quarantine.stage, quarantine.since_ms));
        if let Some(oldest) = oldest.map(|(fingerprint, _)| fingerprint.clone()) {
            self.release(&oldest);
        }
    }

    /// The quarantine of a request, if it is refused or on trial.
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<&Quarantine> {
        self.requests.get(fingerprint).map(|entry| &entry.quarantine)
    }

    /// The quarantine state of a request. `at_epoch` converts milliseconds since the epoch to
    /// this process's clock.
    pub fn quarantine_state(
        &self,
        of: &Fingerprint,
        at_epoch: impl Fn(u64) -> Millis,
    ) -> QuarantineState {
        match self.get(of) {
            None => QuarantineState::None,
            Some(quarantine) => match quarantine.stage {
                Stage::Refused => QuarantineState::Refused,
                Stage::Trial => QuarantineState::Trial(at_epoch(quarantine.since_ms)),
            },
        }
    }

    /// All requests that are refused or on trial.
    pub fn all(&self) -> impl Iterator<Item = (&Fingerprint, &Quarantine)> {
        self.requests.iter().map(|(fingerprint, entry)| (fingerprint, &entry.quarantine))
    }

    /// Whether nothing is refused or on trial.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Requests that are refused here, and may run in the state `later`.
    pub fn no_longer_refused<'a>(
        &'a self,
        later: &'a Quarantines,
    ) -> impl Iterator<Item = &'a Fingerprint> {
        let is_refused = |q: &Quarantine| q.stage == Stage::Refused;
        let refused = self.all().filter(move |(_, quarantine)| is_refused(quarantine));
        refused.map(|(f, _)| f).filter(move |f| !later.get(f).is_some_and(is_refused))
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
        let changed = self.requests.iter().filter(|(_, entry)| entry.revision > after);
        let released = self.released.iter().filter(|(at, _)| *at > after && !is_full);
        Some(QuarantineUpdate {
            revision: self.revision,
            is_full,
            changed: changed
                .map(|(f, entry)| (f.clone(), entry.quarantine, entry.revision))
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
            self.requests.clear();
            self.released.clear();
            self.releases_dropped_to = update.revision;
        }
        for (revision, fingerprint) in update.released {
            if revision > self.revision {
                self.requests.remove(&fingerprint);
                self.record_released(revision, fingerprint);
            }
        }
        for (fingerprint, quarantine, revision) in update.changed {
            self.requests.insert(fingerprint, Entry { quarantine, revision });
        }
        self.revision = update.revision;
        true
    }
}
