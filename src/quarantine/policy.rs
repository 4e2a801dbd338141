//! The leader's decisions on what is refused, tried again and released.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::crash_analysis::{CrashAnalysis, CrashSummary, Review};
use super::culprits::{Blame, QuarantineStates};
use super::model::{Quarantines, Stage, Verdict};
use super::report::Observation;
use super::suspect::Suspect;
use super::{QuarantineState, StartEvent};
use crate::dispatch::Millis;
use crate::wire::HostId;

/// Turns the observations of all routers into verdicts. A verdict that is not agreed is decided
/// anew at a later time.
#[derive(Clone, Debug, Default)]
pub struct QuarantinePolicy {
    analysis: CrashAnalysis,
    /// The agreed quarantines at the last decision.
    agreed: Arc<Quarantines>,
    /// What to release from quarantine.
    to_release: BTreeSet<Suspect>,
    /// What remains to blame of refused sets of attributes of which one was served, and for how
    /// many crashes.
    narrowed: BTreeMap<Suspect, u32>,
}

impl QuarantinePolicy {
    /// Records an observation that a router reported.
    pub fn record(&mut self, now: Millis, router: HostId, observation: Observation) {
        self.analysis.record(now, router, observation);
    }

    /// Records which starts of endpoints became known.
    pub fn record_starts(&mut self, now: Millis, events: Vec<StartEvent>) {
        self.analysis.record_starts(now, events);
    }

    /// A summary of recent crashes.
    pub fn summary(&self, now: Millis) -> CrashSummary {
        self.analysis.summary(now)
    }

    /// Decides on what is `agreed` now, at `epoch_ms` milliseconds since the epoch. `at_epoch`
    /// converts such milliseconds to the clock of `now`.
    pub fn decide(
        &mut self,
        now: Millis,
        agreed: &Arc<Quarantines>,
        epoch_ms: u64,
        at_epoch: impl Fn(u64) -> Millis,
    ) -> Vec<Verdict> {
        for suspect in self.agreed.no_longer_refused(agreed) {
            match self.to_release.contains(suspect) {
                true => self.analysis.discard_losses(now, suspect),
                false => self.analysis.discard_crashes(now, suspect),
            }
        }
        self.agreed = agreed.clone();
        let mut states = agreed.states(at_epoch);
        // What is about to be released explains no crashes.
        states.retain(|suspect, _| !self.to_release.contains(suspect));
        let Review { blamed, cleared } = self.review(now, &states);
        self.to_release.extend(cleared);
        for served in self.analysis.take_served() {
            self.record_served(&served);
        }
        self.to_release.retain(|suspect| agreed.get(suspect).is_some());
        self.narrowed.retain(|suspect, _| !agreed.refuses(suspect));
        let refuse = |suspect, crashes| Verdict::Refuse { suspect, crashes, at_ms: epoch_ms };
        let narrowed = self.narrowed.iter().map(|(suspect, crashes)| (suspect.clone(), *crashes));
        let mut verdicts: Vec<_> =
            narrowed.map(|(suspect, crashes)| refuse(suspect, crashes)).collect();
        for Blame { suspect, crashes, among } in blamed {
            let before = states.get(&suspect);
            log::info!(
                "quarantine: {suspect} is blamed for {crashes} of {among} crashes, before: {before:?}"
            );
            verdicts.push(refuse(suspect, crashes as u32));
        }
        // A set is released only once what is refused in its place has been agreed.
        let is_replaced = |released: &Suspect| {
            verdicts.iter().any(|verdict| verdict.suspect().replaces(released))
        };
        let released = self.to_release.iter().filter(|released| !is_replaced(released));
        let released: Vec<_> = released.cloned().map(Verdict::Release).collect();
        verdicts.extend(released);
        let is_expired = |stage, until_ms| stage == Stage::Refused && until_ms <= epoch_ms;
        let expired = agreed.all().filter(|(_, q)| is_expired(q.stage, q.until_ms));
        verdicts
            .extend(expired.map(|(s, _)| Verdict::Trial { suspect: s.clone(), at_ms: epoch_ms }));
        verdicts
    }

    /// Reviews all crashes, if that may have a new result.
    fn review(&mut self, now: Millis, states: &QuarantineStates) -> Review {
        let is_refused = |suspect: &Suspect| states.get(suspect) == Some(&QuarantineState::Refused);
        // The verdict on a blamed suspect that is not refused yet was not agreed, so it has to be
        // decided again.
        let has_unagreed = !self.analysis.blamed().iter().all(is_refused);
        match has_unagreed || self.analysis.is_due(now) {
            true => self.analysis.review(now, states),
            false => Review::default(),
        }
    }

    /// Records that a request, or each attribute of a set, was served: a quarantine of it ends, and
    /// of refused sets with such an attribute the rest remains to blame.
    fn record_served(&mut self, served: &Suspect) {
        let Suspect::Attributes(served_set) = served else {
            self.to_release.insert(served.clone());
            return;
        };
        let concerned = self.agreed.sets().filter(|(set, _)| set.overlaps(served_set));
        for (set, quarantine) in concerned {
            self.to_release.insert(Suspect::Attributes(set.clone()));
            let rest = set.without(|attribute| served_set.attributes().contains(&attribute));
            let is_refused = quarantine.stage == Stage::Refused;
            if let Some(rest) = rest.filter(|rest| is_refused && rest.may_be_blamed()) {
                self.narrowed.insert(Suspect::Attributes(rest), quarantine.crashes);
            }
        }
    }
}
