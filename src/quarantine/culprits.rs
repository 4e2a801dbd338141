//! Finds what is to blame for crashes from the requests lost in each crash.
//!
//! The search is greedy: it repeatedly blames what explains the most crashes. A crash that one
//! suspect explains is no evidence against the others that were lost in it.
//!
//! What requests share is searched for attribute by attribute, but blamed together with all
//! attributes that were in the same lost requests: nothing has told these apart yet, and the
//! requests that have all of them are the fewest whose refusal would have prevented the crashes.
//! A later crash without one of them, or a served request with one, narrows the set.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::attributes::{Attribute, AttributeSet};
use super::candidates::{
    Candidate, Losses, LossesByCandidate, Quarantined, SuspectedCrash, losses_by_candidate,
    suspected_crashes,
};
use super::crash::Crash;
use super::suspect::Suspect;
use crate::dispatch::Millis;

/// Crashes after which a suspect is blamed. Two are often chance: with n endpoints, one in n
/// requests that are sent again meets the culprit a second time.
const MIN_CRASHES: usize = 3;
/// Crashes after which a request is blamed however many endpoints crash for other reasons: in
/// a large outage a request that is sent again and again is lost three times by chance, but
/// hardly five times. What many requests share is lost in every crash of an outage.
const MIN_CRASHES_IN_OUTAGE: usize = 5;
/// A suspect is blamed only if it explains at least one in this many of the crashes of its
/// period: its own, and those that nothing explains and that count as chance.
const MIN_FRACTION_DIVISOR: usize = 3;
/// Crashes after which a request is blamed although other suspects explain all of them: a
/// request that crashes nothing is hardly sent so often and lost each time.
const MIN_CRASHES_BESIDE_CULPRITS: usize = 2 * MIN_CRASHES;

/// A suspect that is blamed for crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blame {
    /// What is blamed.
    pub suspect: Suspect,
    /// Number of crashes that it explains.
    pub crashes: usize,
    /// The same, plus the crashes in the same period that nothing explains.
    pub among: usize,
}

/// Quarantine state of a suspect, as far as the search for culprits depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineState {
    /// Refused already: crashes in which it was lost need no other explanation.
    Refused,
    /// On trial since this time: one later crash is enough to blame it.
    Trial(Millis),
}

/// The quarantine state of each suspect in quarantine.
pub type QuarantineStates = BTreeMap<Suspect, QuarantineState>;

/// What explains the crashes, including what is refused already. Suspects that are refused and not
/// in `blamed` explain their crashes without further evidence and are left out.
pub(super) fn culprits(
    crashes: &[&Crash],
    states: &QuarantineStates,
    blamed: &BTreeSet<Suspect>,
) -> Vec<Blame> {
    let settled: Vec<_> = states
        .iter()
        .filter(|(suspect, state)| {
            **state == QuarantineState::Refused && !blamed.contains(*suspect)
        })
        .map(|(suspect, _)| suspect)
        .collect();
    let quarantined = Quarantined::new(states, blamed);
    let suspected = suspected_crashes(crashes, &quarantined);
    let in_all = losses_by_candidate(&suspected, &quarantined);
    let is_settled = |crash: &Crash| settled.iter().any(|suspect| crash.may_be_due_to(suspect));
    let mut unexplained = suspected;
    unexplained.retain(|suspected| !is_settled(suspected.crash));
    let mut culprits: Vec<Blame> = Vec::new();
    let mut explaining = BTreeSet::new();
    while let Some(best) = best_explanation(&unexplained, &in_all, &quarantined) {
        unexplained.retain(|crash| !crash.candidates.contains_key(&best.candidate));
        explaining.insert(best.candidate);
        culprits.push(Blame {
            suspect: suspect_of(best.candidate, crashes),
            crashes: best.crashes,
            among: best.crashes + best.by_chance,
        });
    }
    let beside_culprits = in_all.iter().filter(|(candidate, losses)| {
        matches!(candidate, Candidate::Request(_))
            && losses.crashes >= MIN_CRASHES_BESIDE_CULPRITS
            && !explaining.contains(*candidate)
    });
    culprits.extend(beside_culprits.map(|(candidate, losses)| Blame {
        suspect: suspect_of(*candidate, crashes),
        crashes: losses.crashes,
        among: losses.crashes,
    }));
    culprits
}

/// What is blamed for a candidate: an attribute together with all others that were in each lost
/// request with it.
fn suspect_of(candidate: Candidate<'_>, crashes: &[&Crash]) -> Suspect {
    let Candidate::Attribute { customer, service, attribute } = candidate else {
        return match candidate {
            Candidate::Request(fingerprint) => Suspect::Request(fingerprint.clone()),
            Candidate::Known(set) => Suspect::Attributes(set.clone()),
            Candidate::Attribute { .. } => unreachable!("handled before"),
        };
    };
    let lost = crashes.iter().flat_map(|crash| crash.lost());
    let with_it = lost.filter(|lost| {
        lost.customer() == customer
            && lost.service() == service
            && lost.suspects_attribute(attribute)
    });
    let mut common: Option<Vec<Attribute>> = None;
    for lost in with_it {
        match &mut common {
            Some(common) => common.retain(|attribute| lost.suspects_attribute(*attribute)),
            None => {
                common =
                    Some(lost.suspected_attributes().map(|(attribute, _)| attribute).collect());
            }
        }
    }
    Suspect::Attributes(AttributeSet::new(customer, service, common.unwrap_or(vec![attribute])))
}

/// How far one candidate explains crashes.
#[derive(Clone, Copy, Debug)]
struct Explanation<'a> {
    candidate: Candidate<'a>,
    /// Number of crashes that it explains.
    crashes: usize,
    /// Number of crashes in the same period that nothing explains.
    by_chance: usize,
}

/// The explanation by the candidate that explains the most crashes, if one explains enough. Among those that explain equally many it is
/// one that was blamed before; then one with which the fewest requests were lost, so that the
/// fewest are refused; then the one with the shortest total run time: a culprit crashes its
/// endpoint soon, while other requests may have run for any time.
fn best_explanation<'a>(
    unexplained: &[SuspectedCrash<'a>],
    in_all: &LossesByCandidate<'a>,
    quarantined: &Quarantined<'a>,
) -> Option<Explanation<'a>> {
    let losses_by_candidate = losses_by_candidate(unexplained, quarantined);
    let is_repeated = |candidate: &Candidate<'a>| {
        losses_by_candidate.get(candidate).is_some_and(|losses| losses.crashes >= MIN_CRASHES)
    };
    let by_chance = unexplained.iter().filter(|crash| !crash.candidates.keys().any(is_repeated));
    let by_chance: Vec<_> = by_chance.map(|suspected| suspected.crash.at).collect();
    let candidates = losses_by_candidate.iter().filter_map(|(candidate, losses)| {
        let in_period = by_chance.iter().filter(|at| (losses.first..=losses.last).contains(*at));
        let by_chance = in_period.count();
        let among = losses.crashes + by_chance;
        let in_all = in_all.get(candidate).map_or(0, |losses| losses.crashes);
        let is_culprit = losses.since_trial > 0
            || quarantined.was_blamed(*candidate)
            || exceeds_chance(*candidate, losses, in_all, among);
        is_culprit.then_some((*candidate, losses, by_chance))
    });
    let best = candidates.max_by_key(|(candidate, losses, _)| {
        let was_blamed = quarantined.was_blamed(*candidate);
        (losses.crashes, was_blamed, Reverse((losses.requests, losses.ran_ms, *candidate)))
    });
    best.map(|(candidate, losses, by_chance)| Explanation {
        candidate,
        crashes: losses.crashes,
        by_chance,
    })
}

/// Whether losses of a candidate are more than chance: those in crashes that nothing else explains,
/// of `in_all` crashes in which it was lost, where `among` also counts the crashes by chance in its
/// period. A crash that another suspect explains counts half for a request: without this, the
/// second of two culprits that were always lost together would crash three more endpoints before
/// it is blamed. It does not count for an attribute, which sound requests share with the culprit.
fn exceeds_chance(candidate: Candidate<'_>, losses: &Losses, in_all: usize, among: usize) -> bool {
    let crashes = losses.crashes;
    let is_likely = crashes * MIN_FRACTION_DIVISOR >= among;
    match candidate {
        Candidate::Request(_) => {
            let half_crashes = crashes + in_all;
            half_crashes >= 2 * MIN_CRASHES_IN_OUTAGE
                || half_crashes >= 2 * MIN_CRASHES && is_likely
        }
        Candidate::Attribute { .. } | Candidate::Known(_) => {
            losses.spaced_crashes >= MIN_CRASHES && is_likely
        }
    }
}
