//! On the leader, decides from the reports of routers what crashes endpoints.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Control;
use super::documents::{CallError, unexpected_reply};
use super::state::{Command, Reply};
use crate::clock::epoch_ms;
use crate::dispatch::Millis;
use crate::quarantine::{CrashSummary, KnownStarts, QuarantinePolicy, Stage, Suspect, Verdict};
use crate::registry::Scope;
use crate::telemetry::render_gauges;

/// Milliseconds after which a verdict that is still not agreed is proposed again.
const REPROPOSE_AFTER_MS: Millis = 500;
/// Interval of reviews while nothing is reported. It is shorter than the half second after
/// which a loss that only one router reported counts.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// How long reports are collected before a review. Reports of many routers about one crashed
/// endpoint arrive within a few milliseconds, and each review goes through all crashes, which
/// takes two milliseconds during an outage.
const REPORT_WINDOW: Duration = Duration::from_millis(50);

/// Runs the controller while this host leads, until the process ends.
pub(super) async fn run(control: Arc<Control>) {
    let mut controller = QuarantineController::default();
    loop {
        // A review is due after the interval as well as after a report.
        let _ = tokio::time::timeout(REVIEW_INTERVAL, control.quarantine.reported()).await;
        tokio::time::sleep(REPORT_WINDOW).await;
        let now = control.peers.clock.now();
        let reported = control.quarantine.take_reported();
        if !control.handle.leadership.borrow().leads {
            controller = QuarantineController::default();
            control.quarantine.set_crash_counts(0, 0);
            continue;
        }
        controller.record_starts(&control, now);
        for (router, observation) in reported {
            controller.policy.record(now, router, observation);
        }
        controller.decide(&control, now);
    }
}

#[derive(Debug, Default)]
struct QuarantineController {
    policy: QuarantinePolicy,
    starts: KnownStarts,
    /// Number of the last change that was read from the registry.
    last_seen_change: u64,
    /// The summary that was logged last.
    summary: CrashSummary,
    /// The verdict proposed last for each suspect, and when.
    proposed: BTreeMap<Suspect, (Verdict, Millis)>,
}

impl QuarantineController {
    fn record_starts(&mut self, control: &Control, now: Millis) {
        let after = self.last_seen_change;
        let changes = control.registry.read(|r| r.changes_after(after, usize::MAX, Scope::All));
        self.last_seen_change = changes.upto;
        self.policy.record_starts(now, self.starts.apply_changes(&changes.endpoints));
    }

    fn decide(&mut self, control: &Arc<Control>, now: Millis) {
        let agreed = control.quarantine.agreed();
        let clock = control.peers.clock;
        let verdicts = self.policy.decide(now, &agreed, epoch_ms(), |at_ms| clock.at_epoch(at_ms));
        self.log_summary(control, now);
        self.proposed.retain(|_, (_, at)| now < *at + REPROPOSE_AFTER_MS);
        for verdict in verdicts {
            self.propose(control, now, verdict);
        }
    }

    /// Logs and counts what is known of recent crashes, if that has changed.
    fn log_summary(&mut self, control: &Control, now: Millis) {
        let summary = self.policy.summary(now);
        if summary != self.summary {
            log::info!("quarantine: {summary}");
            control.quarantine.set_crash_counts(summary.crashes as u64, summary.refuted);
            self.summary = summary;
        }
    }

    /// Proposes a verdict, unless one of the same kind was proposed for this suspect within
    /// `REPROPOSE_AFTER_MS`.
    fn propose(&mut self, control: &Arc<Control>, now: Millis, verdict: Verdict) {
        let last = self.proposed.get(verdict.suspect());
        if last.is_some_and(|(last, _)| last.is_same_kind(&verdict)) {
            return;
        }
        self.proposed.insert(verdict.suspect().clone(), (verdict.clone(), now));
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
    /// Releases a suspect from quarantine by order of an operator, once that is on the disks of
    /// a majority.
    pub async fn release(&self, suspect: Suspect) -> Result<(), CallError> {
        let verdict = Verdict::Release(suspect);
        match self.handle.propose(Command::Quarantine(verdict.clone())).await? {
            Reply::Quarantined => {
                log::info!("quarantine: decided by an operator: {verdict}");
                Ok(())
            }
            other => Err(unexpected_reply(&other)),
        }
    }

    /// Metrics: the number of suspects that are refused and that are on trial, of recent crashes,
    /// and of crashes that were refuted since this host began to lead.
    pub(super) fn render_quarantine_metrics(&self) -> String {
        let agreed = self.quarantine.agreed();
        let count = |stage| agreed.all().filter(|(_, q)| q.stage == stage).count() as u64;
        let (crashes, refuted) = self.quarantine.crash_counts();
        let figures = [
            ("refused", count(Stage::Refused)),
            ("on_trial", count(Stage::Trial)),
            ("crashes", crashes),
            ("refuted_crashes", refuted),
        ];
        render_gauges("bramblecrank_control_quarantine", &figures)
    }
}
