//! What may be to blame for crashes, and in which crashes it was lost.

use std::collections::{BTreeSet, HashMap, HashSet};

use super::Fingerprint;
use super::attributes::{Attribute, AttributeSet};
use super::crash::{Crash, LostRequest};
use super::culprits::{QuarantineState, QuarantineStates};
use super::suspect::Suspect;
use crate::dispatch::Millis;

/// Shortest time in milliseconds between two crashes that both count against an attribute: when a
/// data hall loses power, what many requests share is lost in many crashes at once.
const MIN_CRASH_INTERVAL_MS: Millis = 100;

/// What the search looks for in the requests lost in crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Candidate<'a> {
    Request(&'a Fingerprint),
    Attribute {
        customer: &'a str,
        service: &'a str,
        attribute: Attribute,
    },
    /// Attributes in quarantine, all of which may be to blame in the same lost request.
    Known(&'a AttributeSet),
}

impl<'a> Candidate<'a> {
    /// The candidates in a lost request. Only those are built for which `is_suspect` is true for a
    /// short hash, since most are lost only once, and sets in quarantine.
    fn all_of(
        lost: &'a LostRequest,
        known: &[&'a AttributeSet],
        is_suspect: impl Fn(u64) -> bool,
    ) -> Vec<Candidate<'a>> {
        let (customer, service) = (lost.customer(), lost.service());
        let mut candidates = Vec::new();
        if let Some((fingerprint, hash)) = lost.suspected_request()
            && is_suspect(hash)
        {
            candidates.push(Candidate::Request(fingerprint));
        }
        for (attribute, hash) in lost.suspected_attributes() {
            if attribute.may_be_blamed_alone() && is_suspect(hash) {
                candidates.push(Candidate::Attribute { customer, service, attribute });
            }
        }
        let known = known.iter().filter(|set| lost.suspects_all(set));
        candidates.extend(known.map(|set| Candidate::Known(set)));
        candidates
    }
}

/// Losses of one candidate over several crashes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Losses {
    pub crashes: usize,
    /// The same without those that follow another within [`MIN_CRASH_INTERVAL_MS`].
    pub spaced_crashes: usize,
    last_spaced: Millis,
    /// Requests with it that were lost, summed over all crashes.
    pub requests: usize,
    /// Milliseconds that a request with it had been running, the shortest time in each crash,
    /// summed over all crashes.
    pub ran_ms: u64,
    pub first: Millis,
    pub last: Millis,
    pub since_trial: usize,
}

pub(super) type LossesByCandidate<'a> = HashMap<Candidate<'a>, Losses>;

/// How a candidate was lost in one crash.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostInCrash {
    requests: usize,
    ran_ms: u32,
}

/// A crash and the candidates lost in it.
#[derive(Clone, Debug)]
pub(super) struct SuspectedCrash<'a> {
    pub crash: &'a Crash,
    pub candidates: HashMap<Candidate<'a>, LostInCrash>,
}

impl<'a> SuspectedCrash<'a> {
    fn of(
        crash: &'a Crash,
        known: &[&'a AttributeSet],
        is_suspect: impl Fn(u64) -> bool,
    ) -> SuspectedCrash<'a> {
        let mut candidates: HashMap<Candidate<'a>, LostInCrash> = HashMap::new();
        for lost in crash.lost() {
            for candidate in Candidate::all_of(lost, known, &is_suspect) {
                let none = LostInCrash { requests: 0, ran_ms: lost.ran_ms };
                let in_crash = candidates.entry(candidate).or_insert(none);
                in_crash.requests += 1;
                in_crash.ran_ms = in_crash.ran_ms.min(lost.ran_ms);
            }
        }
        SuspectedCrash { crash, candidates }
    }
}

/// The suspects in quarantine, as candidates.
pub(super) struct Quarantined<'a> {
    sets: Vec<&'a AttributeSet>,
    states: HashMap<Candidate<'a>, QuarantineState>,
    /// What an earlier review blamed.
    blamed: &'a BTreeSet<Suspect>,
}

impl<'a> Quarantined<'a> {
    pub fn new(states: &'a QuarantineStates, blamed: &'a BTreeSet<Suspect>) -> Quarantined<'a> {
        let mut quarantined = Quarantined { sets: Vec::new(), states: HashMap::new(), blamed };
        for (suspect, state) in states {
            let candidate = match suspect {
                Suspect::Request(fingerprint) => Candidate::Request(fingerprint),
                Suspect::Attributes(set) => {
                    quarantined.sets.push(set);
                    Candidate::Known(set)
                }
            };
            quarantined.states.insert(candidate, *state);
        }
        quarantined
    }

    fn request_hashes(&self) -> impl Iterator<Item = u64> {
        self.states.keys().filter_map(|candidate| match candidate {
            Candidate::Request(fingerprint) => Some(fingerprint.hash()),
            _ => None,
        })
    }

    /// Whether a candidate is a set of attributes that an earlier review blamed. One crash that
    /// nothing else explains is enough to go on: of two culprits that are often lost together, one
    /// would otherwise be released each time that the other explains more.
    pub fn was_blamed(&self, candidate: Candidate<'a>) -> bool {
        let Candidate::Known(set) = candidate else { return false };
        self.states.get(&candidate) == Some(&QuarantineState::Refused)
            && self.blamed.contains(&Suspect::Attributes(set.clone()))
    }

    /// Whether a candidate that was lost at this time was on trial.
    pub fn was_on_trial(&self, candidate: Candidate<'a>, at: Millis) -> bool {
        let state = self.states.get(&candidate);
        matches!(state, Some(QuarantineState::Trial(since)) if at >= *since)
    }
}

/// Pairs each crash with its candidates: those that were lost in more than one, or are in
/// quarantine. Most requests are lost only once, and with them the part that ends their prompt.
/// The crashes are in the order in which they occurred.
pub(super) fn suspected_crashes<'a>(
    crashes: &[&'a Crash],
    quarantined: &Quarantined<'a>,
) -> Vec<SuspectedCrash<'a>> {
    let mut times: HashMap<u64, usize> = HashMap::new();
    for crash in crashes {
        let hashes: HashSet<u64> = crash.lost().flat_map(LostRequest::hashes).collect();
        for hash in hashes {
            *times.entry(hash).or_default() += 1;
        }
    }
    times.retain(|_, times| *times > 1);
    for hash in quarantined.request_hashes() {
        times.insert(hash, 1);
    }
    let is_suspect = |hash| times.contains_key(&hash);
    let of = |crash: &&'a Crash| SuspectedCrash::of(crash, &quarantined.sets, is_suspect);
    let mut suspected: Vec<_> = crashes.iter().map(of).collect();
    suspected.sort_by_key(|suspected| suspected.crash.at);
    suspected
}

/// The losses of each candidate.
pub(super) fn losses_by_candidate<'a>(
    crashes: &[SuspectedCrash<'a>],
    quarantined: &Quarantined<'a>,
) -> LossesByCandidate<'a> {
    let mut losses_by_candidate = LossesByCandidate::new();
    for SuspectedCrash { crash, candidates } in crashes {
        let at = &crash.at;
        for (candidate, in_crash) in candidates {
            let (first, last) = (*at, *at);
            let losses = losses_by_candidate.entry(*candidate).or_insert(Losses {
                crashes: 0,
                spaced_crashes: 0,
                last_spaced: *at,
                requests: 0,
                ran_ms: 0,
                first,
                last,
                since_trial: 0,
            });
            if losses.crashes == 0 || *at >= losses.last_spaced + MIN_CRASH_INTERVAL_MS {
                losses.spaced_crashes += 1;
                losses.last_spaced = *at;
            }
            losses.crashes += 1;
            losses.requests += in_crash.requests;
            losses.ran_ms += u64::from(in_crash.ran_ms);
            losses.first = losses.first.min(*at);
            losses.last = losses.last.max(*at);
            losses.since_trial += usize::from(quarantined.was_on_trial(*candidate, *at));
        }
    }
    losses_by_candidate
}
