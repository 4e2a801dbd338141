//! Finds the requests that are to blame for crashes from the requests lost in each crash.
//!
//! The search is greedy: it repeatedly blames the request that explains the most crashes. A
//! crash that one request explains is no evidence against the others that were lost in it.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::Fingerprint;
use super::crash::Crash;
use crate::dispatch::Millis;

/// Crashes after which a request is blamed. Each crash costs a dozen or so callers their answers
/// and an endpoint for seconds, but two crashes are often chance: with n endpoints, one in n
/// requests that are sent again meets the culprit a second time. On generated days with 9
/// endpoints, of which one a second crashes for another reason, a plain limit of two crashes
/// refuses 1,098 of 88,060 innocent arrivals, a limit of three refuses 152, and this module
/// refuses none; in exchange a culprit crashes 4.8 endpoints here, and 2.4 and 3.6 under the plain
/// limits (`tests/generated_crashes.rs`).
const MIN_CRASHES: usize = 3;
/// Crashes after which a request is blamed however many endpoints crash for other reasons: in
/// a large outage a request that is sent again and again is lost three times by chance, but
/// hardly five times.
const MIN_CRASHES_IN_OUTAGE: usize = 5;
/// A request is blamed only if it explains at least one in this many of the crashes of its
/// period: its own, and those that nothing explains and that count as chance.
const MIN_FRACTION_DIVISOR: usize = 3;
/// Crashes after which a request is blamed although other requests explain all of them: a
/// request that crashes nothing is hardly sent so often and lost each time.
const MIN_CRASHES_BESIDE_CULPRITS: usize = 2 * MIN_CRASHES;

/// A request that is blamed for crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blame {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Number of crashes that it explains.
    pub crashes: usize,
    /// The same, plus the crashes in the same period that nothing explains.
    pub among: usize,
}

/// Quarantine state of a request, as far as the search for culprits depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineState {
    /// Not in quarantine.
    None,
    /// Refused already: crashes in which it was lost need no other explanation.
    Refused,
    /// On trial since this time: one later crash is enough to blame it.
    Trial(Millis),
}

/// Losses of one request over several crashes.
#[derive(Clone, Copy, Debug)]
struct Losses {
    crashes: usize,
    /// Milliseconds that it had been running when it was lost, summed over all crashes.
    ran_ms: u64,
    first: Millis,
    last: Millis,
    since_trial: usize,
}

type LossesByRequest<'a> = HashMap<&'a Fingerprint, Losses>;

/// A crash and the requests lost in it that may be to blame.
#[derive(Clone, Debug)]
struct SuspectedCrash<'a> {
    at: Millis,
    suspects: Vec<(&'a Fingerprint, u32)>,
}

impl SuspectedCrash<'_> {
    fn has_suspect(&self, fingerprint: &Fingerprint) -> bool {
        self.suspects.iter().any(|(suspect, _)| *suspect == fingerprint)
    }
}

/// Pairs each crash with its suspects: requests that were lost more than once, or are in
/// quarantine. Most requests are lost only once. With 256 crashes and 64 lost requests each, the
/// search takes 2 ms over the suspects and 23 ms over all lost requests (`cargo run --release
/// --example slopes`).
fn suspected_crashes<'a>(
    crashes: &[&'a Crash],
    quarantine_state: &impl Fn(&Fingerprint) -> QuarantineState,
) -> Vec<SuspectedCrash<'a>> {
    let mut times: HashMap<u64, usize> = HashMap::new();
    for fingerprint in crashes.iter().flat_map(|crash| crash.lost.keys()) {
        *times.entry(fingerprint.hash()).or_default() += 1;
    }
    let is_suspect =
        |f: &Fingerprint| times[&f.hash()] > 1 || quarantine_state(f) != QuarantineState::None;
    let with_suspects = |crash: &&'a Crash| {
        let suspects = crash.lost.iter().filter(|(f, _)| is_suspect(f));
        SuspectedCrash {
            at: crash.at,
            suspects: suspects.map(|(f, ran_ms)| (f, *ran_ms)).collect(),
        }
    };
    crashes.iter().map(with_suspects).collect()
}

/// The requests that explain the crashes, including requests that are refused already. The
/// settled ones are left out: they explain their crashes without further evidence.
pub(super) fn culprits(
    crashes: &[&Crash],
    is_settled: impl Fn(&Fingerprint) -> bool,
    quarantine_state: &impl Fn(&Fingerprint) -> QuarantineState,
) -> Vec<Blame> {
    let mut unexplained = suspected_crashes(crashes, quarantine_state);
    let in_all = losses_by_request(&unexplained, quarantine_state);
    unexplained.retain(|crash| !crash.suspects.iter().any(|(f, _)| is_settled(f)));
    let mut culprits = Vec::new();
    while let Some(blame) = most_suspect(&unexplained, &in_all, quarantine_state) {
        unexplained.retain(|crash| !crash.has_suspect(&blame.fingerprint));
        culprits.push(blame);
    }
    let is_new = |f: &Fingerprint| culprits.iter().all(|blame| blame.fingerprint != *f);
    let beside_culprits = in_all
        .iter()
        .filter(|(f, losses)| losses.crashes >= MIN_CRASHES_BESIDE_CULPRITS && is_new(f));
    let beside_culprits: Vec<_> =
        beside_culprits.map(|(f, losses)| Blame::of(f, losses.crashes, 0)).collect();
    culprits.extend(beside_culprits);
    culprits
}

impl Blame {
    fn of(fingerprint: &Fingerprint, crashes: usize, by_chance: usize) -> Blame {
        let among = crashes + by_chance;
        Blame { fingerprint: fingerprint.clone(), crashes, among }
    }
}

/// The request that explains the most crashes, if one explains enough. Among requests that
/// explain equally many, it is the one with the shortest total run time: a culprit crashes its
/// endpoint soon, while other requests may have run for any time.
fn most_suspect(
    unexplained: &[SuspectedCrash<'_>],
    in_all: &LossesByRequest<'_>,
    quarantine_state: &impl Fn(&Fingerprint) -> QuarantineState,
) -> Option<Blame> {
    let losses_by_request = losses_by_request(unexplained, quarantine_state);
    let is_repeated =
        |f: &Fingerprint| losses_by_request.get(f).is_some_and(|r| r.crashes >= MIN_CRASHES);
    let by_chance =
        unexplained.iter().filter(|crash| !crash.suspects.iter().any(|(f, _)| is_repeated(f)));
    let by_chance: Vec<_> = by_chance.map(|crash| crash.at).collect();
    let candidates = losses_by_request.iter().filter_map(|(fingerprint, losses)| {
        let in_period = by_chance.iter().filter(|at| (losses.first..=losses.last).contains(*at));
        let by_chance = in_period.count();
        let among = losses.crashes + by_chance;
        let in_all = in_all.get(fingerprint).map_or(0, |losses| losses.crashes);
        let is_culprit = losses.since_trial > 0 || exceeds_chance(losses.crashes, in_all, among);
        is_culprit.then_some((*fingerprint, losses, by_chance))
    });
    let best =
        candidates.max_by_key(|(f, losses, _)| (losses.crashes, Reverse((losses.ran_ms, *f))));
    best.map(|(fingerprint, losses, by_chance)| Blame::of(fingerprint, losses.crashes, by_chance))
}

fn losses_by_request<'a>(
    crashes: &[SuspectedCrash<'a>],
    quarantine_state: &impl Fn(&Fingerprint) -> QuarantineState,
) -> LossesByRequest<'a> {
    let mut losses_by_request = LossesByRequest::new();
    for SuspectedCrash { at, suspects } in crashes {
        for (fingerprint, ran_ms) in suspects {
            let none = Losses { crashes: 0, ran_ms: 0, first: *at, last: *at, since_trial: 0 };
            let losses = losses_by_request.entry(*fingerprint).or_insert(none);
            losses.crashes += 1;
            losses.ran_ms += u64::from(*ran_ms);
            losses.first = losses.first.min(*at);
            losses.last = losses.last.max(*at);
            if let QuarantineState::Trial(since) = quarantine_state(fingerprint) {
                losses.since_trial += usize::from(*at >= since);
            }
        }
    }
    losses_by_request
}

/// Whether losses of a request are more than chance: `crashes` that nothing else explains, of
/// `in_all` crashes in which it was lost, where `among` also counts the crashes by chance in its
/// period. A crash that another request explains counts half. Without this, the second of two
/// culprits that were always lost together would crash three more endpoints before it is blamed.
fn exceeds_chance(crashes: usize, in_all: usize, among: usize) -> bool {
    let half_crashes = crashes + in_all;
    half_crashes >= 2 * MIN_CRASHES_IN_OUTAGE
        || half_crashes >= 2 * MIN_CRASHES && crashes * MIN_FRACTION_DIVISOR >= among
}
