//! Which requests are to blame for crashes, from what was lost in each.
//!
//! Of all requests that were lost, those are blamed that explain most crashes, one after the
//! other: a crash that one explains says nothing of the others that were lost in it.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::Fingerprint;
use super::crash::Crash;
use crate::dispatch::Millis;

/// Crashes after which a request is blamed. Each costs some dozen callers their answers and
/// an endpoint for seconds; but two are often chance: of requests that are sent again, one in
/// as many as there are endpoints meets the culprit a second time. On generated days with 9
/// endpoints of which one a second dies of something else, two refuse 1,098 of 88,060 innocent
/// arrivals, three 152, and what this module does none, for 4.8 endpoints ended by a culprit
/// instead of 2.4 and 3.6 (`tests/generated_crashes.rs`).
const ENOUGH: usize = 3;
/// The same where endpoints go down all over: a request that is sent again and again is
/// then lost three times by chance, and hardly five times.
const ENOUGH_AMONG_MANY: usize = 5;
/// Crashes that nothing explains count for chance: a request has to be in one of so many of
/// them and its own.
const ITS_PART: usize = 3;
/// Crashes after which a request is blamed that was beside others in each of them: nobody
/// sends a request so often that is lost each time, but for what crashes endpoints.
const ALWAYS: usize = 2 * ENOUGH;

/// A request that is to blame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blame {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Crashes that it explains.
    pub crashes: usize,
    /// The same, and crashes in the same time that nothing explains.
    pub among: usize,
}

/// How closely a request is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineState {
    /// As any other.
    None,
    /// It is refused already: crashes with it need no other explanation.
    Refused,
    /// On trial since then: one crash is enough.
    Trial(Millis),
}

/// How often a request was lost in crashes that are not explained.
#[derive(Clone, Copy, Debug)]
struct Record {
    crashes: usize,
    /// Milliseconds that it had been there, in all crashes together.
    ran_ms: u64,
    first: Millis,
    last: Millis,
    since_trial: usize,
}

type Records<'a> = HashMap<&'a Fingerprint, Record>;

/// A crash, and those lost in it that may be to blame: most are lost only once.
#[derive(Clone, Debug)]
struct Case<'a> {
    at: Millis,
    suspects: Vec<(&'a Fingerprint, u32)>,
}

impl Case<'_> {
    fn is_with(&self, fingerprint: &Fingerprint) -> bool {
        self.suspects.iter().any(|(suspect, _)| *suspect == fingerprint)
    }
}

/// Of 256 crashes with 64 requests lost in each, looking at all of these takes 23 ms, and
/// at those that are lost twice or suspect otherwise 2 ms (`cargo run --release --example
/// slopes`).
fn cases<'a>(
    crashes: &[&'a Crash],
    quarantine_state: &impl Fn(&Fingerprint) -> QuarantineState,
) -> Vec<Case<'a>> {
    let mut times: HashMap<u64, usize> = HashMap::new();
    for fingerprint in crashes.iter().flat_map(|crash| crash.lost.keys()) {
        *times.entry(fingerprint.hash()).or_default() += 1;
    }
    let is_suspect =
        |f: &Fingerprint| times[&f.hash()] > 1 || quarantine_state(f) != QuarantineState::None;
    let case = |crash: &&'a Crash| {
        let suspects = crash.lost.iter().filter(|(f, _)| is_suspect(f));
        Case { at: crash.at, suspects: suspects.map(|(f, ran_ms)| (f, *ran_ms)).collect() }
    };
    crashes.iter().map(case).collect()
}

/// The requests that explain crashes, those that are refused already included but for the
/// settled ones, which explain theirs without being looked at.
pub(super) fn culprits(
    crashes: &[&Crash],
    is_settled: impl Fn(&Fingerprint) -> bool,
    quarantine_state: &impl Fn(&Fingerprint) -> QuarantineState,
) -> Vec<Blame> {
    let mut open = cases(crashes, quarantine_state);
    let in_all = records(&open, quarantine_state);
    open.retain(|case| !case.suspects.iter().any(|(f, _)| is_settled(f)));
    let mut culprits = Vec::new();
    while let Some(blame) = most_suspect(&open, &in_all, quarantine_state) {
        open.retain(|case| !case.is_with(&blame.fingerprint));
        culprits.push(blame);
    }
    let is_new = |f: &Fingerprint| culprits.iter().all(|blame| blame.fingerprint != *f);
    let always = in_all.iter().filter(|(f, record)| record.crashes >= ALWAYS && is_new(f));
    let always: Vec<_> = always.map(|(f, record)| Blame::of(f, record.crashes, 0)).collect();
    culprits.extend(always);
    culprits
}

impl Blame {
    fn of(fingerprint: &Fingerprint, crashes: usize, by_chance: usize) -> Blame {
        let among = crashes + by_chance;
        Blame { fingerprint: fingerprint.clone(), crashes, among }
    }
}

/// The request that explains most crashes, if it explains enough. Of those that explain the
/// same, the one that had been there for the shortest time: others are there for any time.
fn most_suspect(
    open: &[Case<'_>],
    in_all: &Records<'_>,
    quarantine_state: &impl Fn(&Fingerprint) -> QuarantineState,
) -> Option<Blame> {
    let records = records(open, quarantine_state);
    let is_repeated = |f: &Fingerprint| records.get(f).is_some_and(|r| r.crashes >= ENOUGH);
    let by_chance = open.iter().filter(|case| !case.suspects.iter().any(|(f, _)| is_repeated(f)));
    let by_chance: Vec<_> = by_chance.map(|case| case.at).collect();
    let enough = records.iter().filter_map(|(fingerprint, record)| {
        let beside = by_chance.iter().filter(|at| (record.first..=record.last).contains(*at));
        let by_chance = beside.count();
        let among = record.crashes + by_chance;
        let in_all = in_all.get(fingerprint).map_or(0, |record| record.crashes);
        let is_enough = record.since_trial > 0 || is_enough(record.crashes, in_all, among);
        is_enough.then_some((*fingerprint, record, by_chance))
    });
    let most = enough.max_by_key(|(f, record, _)| (record.crashes, Reverse((record.ran_ms, *f))));
    most.map(|(fingerprint, record, by_chance)| Blame::of(fingerprint, record.crashes, by_chance))
}

fn records<'a>(
    cases: &[Case<'a>],
    quarantine_state: &impl Fn(&Fingerprint) -> QuarantineState,
) -> Records<'a> {
    let mut records = Records::new();
    for Case { at, suspects } in cases {
        for (fingerprint, ran_ms) in suspects {
            let none = Record { crashes: 0, ran_ms: 0, first: *at, last: *at, since_trial: 0 };
            let record = records.entry(*fingerprint).or_insert(none);
            record.crashes += 1;
            record.ran_ms += u64::from(*ran_ms);
            record.first = record.first.min(*at);
            record.last = record.last.max(*at);
            if let QuarantineState::Trial(since) = quarantine_state(fingerprint) {
                record.since_trial += usize::from(*at >= since);
            }
        }
    }
    records
}

/// Whether so many crashes that nothing else explains, of so many in all, are more than
/// chance where there were so many among them. One that another request explains counts
/// half: where two culprits always met, the second would end three more endpoints otherwise.
fn is_enough(crashes: usize, in_all: usize, among: usize) -> bool {
    let halves = crashes + in_all;
    halves >= 2 * ENOUGH_AMONG_MANY || halves >= 2 * ENOUGH && crashes * ITS_PART >= among
}
