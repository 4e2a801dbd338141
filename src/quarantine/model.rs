//! Which requests are refused: the part of it that control hosts agree on.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Fingerprint, QuarantineState};
use crate::dispatch::Millis;

/// Milliseconds for which a request is refused the first time. Its caller may have the
/// endpoints mended or the request changed meanwhile, and one that is refused by mistake has
/// to come back some time. Each time that it crashes an endpoint again they double.
const FIRST_MS: u64 = 10 * 60_000;
/// The same at most: endpoints get a new release every few days, which may bear it.
const MOST_MS: u64 = 24 * 3_600_000;
/// Refused requests of one customer. Each has crashed three endpoints, so that this many are
/// a customer whose every request does; beyond them its oldest run again.
const MOST_OF_CUSTOMER: usize = 64;
/// Refused requests of all customers: some 60 KB in memory, in snapshots, and on the feed of
/// a router that starts.
const MOST: usize = 1_024;
/// Releases that are remembered, for listeners that missed them.
const MOST_RELEASED: usize = 256;

/// Whether a request that crashed endpoints may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// It may run again, and one more crash is enough to refuse it anew.
    Trial,
    /// It is refused.
    Refused,
}

/// One request that crashed endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// Whether it may run.
    pub stage: Stage,
    /// Endpoints that it had crashed when it was last refused.
    pub crashes: u32,
    /// How often it was refused anew, 1 for the first time.
    pub times: u32,
    /// When it came to this stage, in milliseconds since the epoch.
    pub since_ms: u64,
    /// Until when it is refused, in milliseconds since the epoch.
    pub until_ms: u64,
}

/// What the leader decides of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It crashed endpoints, and is refused.
    Refuse {
        /// The request.
        fingerprint: Fingerprint,
        /// Endpoints that it crashed.
        crashes: u32,
        /// When, in milliseconds since the epoch.
        at_ms: u64,
    },
    /// Its time is over: it may run again.
    Trial {
        /// The request.
        fingerprint: Fingerprint,
        /// When, in milliseconds since the epoch.
        at_ms: u64,
    },
    /// It crashes nothing.
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

    /// Whether it says the same as another of the same request, at whatever time.
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

/// A request, and the revision in which it came to be as it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Held {
    quarantine: Quarantine,
    revision: u64,
}

/// All requests that are refused or on trial.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantines {
    revision: u64,
    requests: BTreeMap<Fingerprint, Held>,
    /// Requests that were released last, by revision.
    released: VecDeque<(u64, Fingerprint)>,
    /// Of releases up to this revision not all are known any more.
    forgotten: u64,
}

/// What changed from one revision to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// The revision that the listener has then.
    pub revision: u64,
    /// Whether the listener has to forget all that it knows.
    pub is_whole: bool,
    /// Requests that are new, or in another stage, and since which revision.
    pub changed: Vec<(Fingerprint, Quarantine, u64)>,
    /// Requests that are refused no more, and since which revision.
    pub released: Vec<(u64, Fingerprint)>,
}

impl Quarantines {
    /// Rises with every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes a verdict in. One that is out of date changes nothing.
    pub fn apply(&mut self, verdict: Verdict) {
        let has_changed = match verdict {
            Verdict::Refuse { fingerprint, crashes, at_ms } => {
                self.refuse(fingerprint, crashes, at_ms)
            }
            Verdict::Trial { fingerprint, at_ms } => self.try_again(&fingerprint, at_ms),
            Verdict::Release(fingerprint) => self.release(&fingerprint),
        };
        self.revision += u64::from(has_changed);
    }

    fn release(&mut self, fingerprint: &Fingerprint) -> bool {
        let was_held = self.requests.remove(fingerprint).is_some();
        if was_held {
            self.note_released(self.revision + 1, fingerprint.clone());
        }
        was_held
    }

    fn note_released(&mut self, revision: u64, fingerprint: Fingerprint) {
        self.released.push_back((revision, fingerprint));
        if self.released.len() > MOST_RELEASED
            && let Some((forgotten, _)) = self.released.pop_front()
        {
            self.forgotten = forgotten;
        }
    }

    fn refuse(&mut self, fingerprint: Fingerprint, crashes: u32, at_ms: u64) -> bool {
        let before = self.get(&fingerprint);
        if before.is_some_and(|before| before.stage == Stage::Refused) {
            return false;
        }
        let times = before.map_or(1, |before| before.times.saturating_add(1));
        let doubled = FIRST_MS << (times - 1).min(16);
        let until_ms = at_ms + doubled.min(MOST_MS);
        let stage = Stage::Refused;
        let quarantine = Quarantine { stage, crashes, times, since_ms: at_ms, until_ms };
        let held = Held { quarantine, revision: self.revision + 1 };
        self.requests.insert(fingerprint.clone(), held);
        self.make_room(&fingerprint);
        true
    }

    fn try_again(&mut self, fingerprint: &Fingerprint, at_ms: u64) -> bool {
        let Some(held) = self.requests.get_mut(fingerprint) else { return false };
        if held.quarantine.stage != Stage::Refused {
            return false;
        }
        held.quarantine.stage = Stage::Trial;
        held.quarantine.since_ms = at_ms;
        held.revision = self.revision + 1;
        true
    }

    /// Forgets requests beyond the bounds: the newcomer's customer's own first, so that no
    /// customer's requests push out those of others.
    fn make_room(&mut self, newcomer: &Fingerprint) {
        if self.number_of(&newcomer.customer) > MOST_OF_CUSTOMER {
            self.forget_oldest(&newcomer.customer, newcomer);
        }
        if self.requests.len() > MOST {
            let mut numbers = BTreeMap::new();
            for fingerprint in self.requests.keys() {
                *numbers.entry(fingerprint.customer.as_str()).or_insert(0) += 1;
            }
            let most = numbers.into_iter().max_by_key(|(_, number): &(&str, usize)| *number);
            let customer = most.map(|(customer, _)| customer.to_string()).unwrap_or_default();
            self.forget_oldest(&customer, newcomer);
        }
    }

    fn number_of(&self, customer: &str) -> usize {
        self.requests.keys().filter(|f| f.customer == customer).count()
    }

    /// Forgets a customer's request that is on trial for longest, or refused for longest.
    fn forget_oldest(&mut self, customer: &str, but: &Fingerprint) {
        let own = self.all().filter(|(f, _)| f.customer == customer && *f != but);
        let oldest = own.min_by_key(|(_, quarantine)| (quarantine.stage, quarantine.since_ms));
        if let Some(oldest) = oldest.map(|(fingerprint, _)| fingerprint.clone()) {
            self.release(&oldest);
        }
    }

    /// One request, if it is refused or on trial.
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<&Quarantine> {
        self.requests.get(fingerprint).map(|held| &held.quarantine)
    }

    /// How closely a request is looked at; `at_epoch` tells when on this process's clock it
    /// was a time of day.
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
        self.requests.iter().map(|(fingerprint, held)| (fingerprint, &held.quarantine))
    }

    /// Whether nothing is refused or on trial.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Requests that are refused here and were let run again until `later`.
    pub fn no_longer_refused<'a>(
        &'a self,
        later: &'a Quarantines,
    ) -> impl Iterator<Item = &'a Fingerprint> {
        let is_refused = |q: &Quarantine| q.stage == Stage::Refused;
        let refused = self.all().filter(move |(_, quarantine)| is_refused(quarantine));
        refused.map(|(f, _)| f).filter(move |f| !later.get(f).is_some_and(is_refused))
    }

    /// What a listener has to be told that has this revision at least; none where that is
    /// all. Every control host comes through the same revisions, so that news of one fit on
    /// those of another.
    pub fn update_after(&self, revision: u64) -> Option<QuarantineUpdate> {
        if revision >= self.revision {
            return None;
        }
        let is_whole = revision == 0 || revision < self.forgotten;
        let after = if is_whole { 0 } else { revision };
        let changed = self.requests.iter().filter(|(_, held)| held.revision > after);
        let released = self.released.iter().filter(|(at, _)| *at > after && !is_whole);
        Some(QuarantineUpdate {
            revision: self.revision,
            is_whole,
            changed: changed.map(|(f, held)| (f.clone(), held.quarantine, held.revision)).collect(),
            released: released.cloned().collect(),
        })
    }

    /// Takes news in, if they are newer.
    pub fn adopt(&mut self, news: QuarantineUpdate) -> bool {
        if news.revision <= self.revision {
            return false;
        }
        if news.is_whole {
            self.requests.clear();
            self.released.clear();
            self.forgotten = news.revision;
        }
        for (revision, fingerprint) in news.released {
            if revision > self.revision {
                self.requests.remove(&fingerprint);
                self.note_released(revision, fingerprint);
            }
        }
        for (fingerprint, quarantine, revision) in news.changed {
            self.requests.insert(fingerprint, Held { quarantine, revision });
        }
        self.revision = news.revision;
        true
    }
}
