//! Decides on the host that leads which requests crash endpoints, from what routers report.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::Control;
use super::documents::{CallError, unexpected};
use super::state::{Command, Reply};
use crate::clock::epoch_ms;
use crate::dispatch::Millis;
use crate::quarantine::{
    Blame, CrashAnalysis, Fingerprint, KnownStarts, QuarantineState, Quarantines, Review, Stage,
    Verdict,
};
use crate::registry::Scope;
use crate::telemetry::render_gauges;

/// Milliseconds after which a verdict that was not agreed is proposed again.
const PROPOSE_EVERY_MS: Millis = 500;
/// How often it is decided while nothing is reported: what one router lost counts after half
/// a second.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// How long reports are gathered before it is decided: what many routers lost with one
/// endpoint comes within some milliseconds, and each decision looks at all crashes, which
/// takes two milliseconds in an outage.
const GATHER: Duration = Duration::from_millis(50);

/// Decides while this host leads, until the process ends.
pub(super) async fn run(control: Arc<Control>) {
    let mut controller = QuarantineController::default();
    loop {
        // Elapsed or reported: either way it looks again.
        let _ = tokio::time::timeout(LOOK_EVERY, control.quarantine.reported()).await;
        tokio::time::sleep(GATHER).await;
        let now = control.peers.clock.now();
        let reported = control.quarantine.take_reported();
        if !control.handle.leadership.borrow().leads {
            controller = QuarantineController::default();
            continue;
        }
        controller.take_starts(&control, now);
        for (router, observation) in reported {
            controller.analysis.record(now, router, observation);
        }
        controller.decide(&control, now);
    }
}

#[derive(Debug, Default)]
struct QuarantineController {
    analysis: CrashAnalysis,
    starts: KnownStarts,
    /// Number of the registry's change that was read last.
    seen_change: u64,
    /// What was agreed when it was last decided.
    agreed: Arc<Quarantines>,
    /// Requests that are to be released.
    innocent: BTreeSet<Fingerprint>,
    /// Verdicts proposed last, and when.
    proposed: BTreeMap<Fingerprint, (Verdict, Millis)>,
}

impl QuarantineController {
    fn take_starts(&mut self, control: &Control, now: Millis) {
        let after = self.seen_change;
        let changes = control.registry.read(|r| r.changes_after(after, usize::MAX, Scope::All));
        self.seen_change = changes.upto;
        self.analysis.record_starts(now, self.starts.apply_changes(&changes.endpoints));
    }

    fn decide(&mut self, control: &Arc<Control>, now: Millis) {
        let agreed = control.quarantine.agreed();
        for fingerprint in self.agreed.no_longer_refused(&agreed) {
            self.analysis.discard_losses(now, fingerprint);
        }
        self.agreed = agreed.clone();
        let epoch = epoch_ms();
        let clock = control.peers.clock;
        let at_epoch = |at_ms| clock.at_epoch(at_ms);
        let quarantine_state = |fingerprint: &_| agreed.quarantine_state(fingerprint, at_epoch);
        // What was not agreed on has to be proposed again.
        let is_refused =
            |f: &Fingerprint| agreed.quarantine_state(f, at_epoch) == QuarantineState::Refused;
        let is_open = !self.analysis.blamed().iter().all(is_refused);
        let is_due = is_open || self.analysis.is_due(now);
        let Review { blamed, cleared } = match is_due {
            true => self.analysis.review(now, quarantine_state),
            false => Review::default(),
        };
        self.innocent.extend(cleared.into_iter().chain(self.analysis.take_served()));
        self.innocent.retain(|f| agreed.get(f).is_some());
        let mut verdicts: Vec<_> = self.innocent.iter().cloned().map(Verdict::Release).collect();
        for Blame { fingerprint, crashes, among } in blamed {
            log::info!(
                "quarantine: {fingerprint} is blamed for {crashes} of {among} crashes, {:?} before",
                quarantine_state(&fingerprint)
            );
            verdicts.push(Verdict::Refuse { fingerprint, crashes: crashes as u32, at_ms: epoch });
        }
        let over = |stage, until_ms| stage == Stage::Refused && until_ms <= epoch;
        let over = agreed.all().filter(|(_, q)| over(q.stage, q.until_ms));
        verdicts.extend(over.map(|(f, _)| Verdict::Trial { fingerprint: f.clone(), at_ms: epoch }));
        self.proposed.retain(|_, (_, at)| now < *at + PROPOSE_EVERY_MS);
        for verdict in verdicts {
            self.propose(control, now, verdict);
        }
    }

    /// Proposes a verdict, unless the same was proposed a moment ago. What is not agreed on
    /// is decided again.
    fn propose(&mut self, control: &Arc<Control>, now: Millis, verdict: Verdict) {
        let fingerprint = verdict.fingerprint().clone();
        let before = self.proposed.get(&fingerprint);
        if before.is_some_and(|(before, _)| before.is_same_kind(&verdict)) {
            return;
        }
        self.proposed.insert(fingerprint, (verdict.clone(), now));
        let control = control.clone();
        tokio::spawn(async move {
            match control.handle.propose(Command::Quarantine(verdict.clone())).await {
                Ok(_) => log::info!("quarantine: agreed: {verdict}"),
                Err(error) => log::warn!("quarantine: not agreed: {verdict}: {error:?}"),
            }
        });
    }
}

impl Control {
    /// An operator lets a request run again. That is on the disks of a majority then.
    pub async fn release(&self, fingerprint: Fingerprint) -> Result<(), CallError> {
        let verdict = Verdict::Release(fingerprint);
        match self.handle.propose(Command::Quarantine(verdict.clone())).await? {
            Reply::Quarantined => {
                log::info!("quarantine: an operator decided: {verdict}");
                Ok(())
            }
            other => Err(unexpected(&other)),
        }
    }

    /// Requests that are refused, or on trial, as metrics.
    pub(super) fn render_quarantine_metrics(&self) -> String {
        let agreed = self.quarantine.agreed();
        let count = |stage| agreed.all().filter(|(_, q)| q.stage == stage).count() as u64;
        let figures = [("refused", count(Stage::Refused)), ("on_trial", count(Stage::Trial))];
        render_gauges("bramblecrank_control_quarantine", &figures)
    }
}
