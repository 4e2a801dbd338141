//! A rollout in progress at the leader: the routers' reports, the current grant, and the
//! decision on the next step.

use std::collections::BTreeMap;

use super::analysis::{CanaryAnalysis, Finding, Window};
use super::model::{Rollout, Stage};
use super::plan::{Decision, SUSPICIOUS_LEVEL, Situation, canary_permille, decide};
use super::report::{Grant, Release, ServiceReport};
use super::rules::RolloutRules;
use crate::dispatch::Millis;
use crate::wire::HostId;

/// Milliseconds for which a router's report of its open requests is valid: a few report
/// intervals.
const REPORT_VALID_MS: Millis = 1_000;
/// Granted fraction, in thousandths, from which on the times of the old releases are no longer
/// a baseline under load.
const MOSTLY_NEW_PERMILLE: u32 = 500;
/// Fraction of the rollout's duration after which cold endpoints are used if there are no
/// warm ones.
const USE_COLD_AFTER_FRACTION: f64 = 0.4;

/// An endpoint of the service whose state is not `Gone`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutEndpoint {
    /// Its position in the order of [`crate::eligibility::order_of`].
    pub order: u32,
    /// Whether it belongs to the release that is rolled out.
    pub is_new: bool,
    /// Whether it accepts requests.
    pub is_ready: bool,
    /// Whether it is cold.
    pub is_cold: bool,
    /// Requests that it runs concurrently.
    pub slots: u32,
}

/// Endpoints and routers that a decision depends on.
#[derive(Clone, Debug, Default)]
pub struct ServiceState {
    /// The service's endpoints.
    pub endpoints: Vec<RolloutEndpoint>,
    /// Live routers.
    pub routers: Vec<HostId>,
}

impl ServiceState {
    fn ready(&self, is_new: bool) -> impl Iterator<Item = &RolloutEndpoint> {
        self.endpoints.iter().filter(move |endpoint| endpoint.is_new == is_new && endpoint.is_ready)
    }

    fn slots(&self, is_new: bool) -> u32 {
        self.ready(is_new).map(|endpoint| endpoint.slots.max(1)).sum()
    }

    /// Highest position of the new release's endpoints that a fraction of the requests goes
    /// to: as many endpoints as can serve it at the load of an old endpoint each.
    fn highest_order(&self, permille: u32, with_cold: bool) -> Option<u32> {
        let old = self.ready(false).count();
        let count = (old as f64 * f64::from(permille) / 1_000.0).ceil().max(1.0) as usize;
        let mut orders: Vec<u32> = self
            .ready(true)
            .filter(|endpoint| !endpoint.is_cold || with_cold)
            .map(|endpoint| endpoint.order)
            .collect();
        orders.sort_unstable();
        orders.get(count - 1).or(orders.last()).copied()
    }

    fn cold_fraction(&self, highest_order: u32) -> f64 {
        let used = || self.ready(true).filter(|endpoint| endpoint.order <= highest_order);
        match used().count() {
            0 => 0.0,
            all => used().filter(|endpoint| endpoint.is_cold).count() as f64 / all as f64,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct OpenOnOld {
    requests: u32,
    at: Millis,
}

/// The leader's state of a rollout in progress.
#[derive(Debug)]
pub struct ActiveRollout {
    rollout: Rollout,
    /// Milliseconds from the order until this host began to count.
    elapsed_before_ms: Millis,
    counting_since: Millis,
    stage_since: Millis,
    permille_since: Millis,
    permille: u32,
    highest_order: u32,
    analysis: CanaryAnalysis,
    /// Set once the release was found bad, until the control hosts have agreed to roll it back.
    is_rejected: bool,
    /// Since when it has been suspicious without interruption.
    suspicious_since: Option<Millis>,
    /// Since when no endpoint of an old release has been recorded at this host.
    without_old_since: Option<Millis>,
    sent_new: u64,
    sent_old: u64,
    open_on_old: BTreeMap<HostId, OpenOnOld>,
}

/// Result of an evaluation: the decision and its basis.
#[derive(Clone, Debug)]
pub struct Evaluation {
    /// The next step.
    pub decision: Decision,
    /// The grant until then; none grants nothing.
    pub grant: Option<Grant>,
    /// Whether the granted fraction has changed.
    pub has_permille_changed: bool,
    /// The strongest evidence against the release.
    pub finding: Finding,
    /// Inputs of the decision.
    pub situation: Situation,
}

/// Progress of a rollout, as shown in metrics and logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The granted fraction, in thousandths.
    pub permille: u32,
    /// Requests sent to the new release since this host began to count.
    pub sent_new: u64,
    /// Requests sent to the old releases since this host began to count.
    pub sent_old: u64,
    /// Failed answers of the new release.
    pub failed_new: u64,
    /// Failed answers of the old releases.
    pub failed_old: u64,
}

impl ActiveRollout {
    /// Begins to count `elapsed_ms` milliseconds after the order.
    pub fn new(rollout: Rollout, now: Millis, elapsed_ms: Millis) -> ActiveRollout {
        ActiveRollout {
            analysis: CanaryAnalysis::new(rollout.order.duration_ms),
            rollout,
            elapsed_before_ms: elapsed_ms,
            counting_since: now,
            stage_since: now,
            permille_since: now,
            permille: 0,
            highest_order: 0,
            is_rejected: false,
            suspicious_since: None,
            without_old_since: None,
            sent_new: 0,
            sent_old: 0,
            open_on_old: BTreeMap::new(),
        }
    }

    /// The rollout.
    pub fn rollout(&self) -> &Rollout {
        &self.rollout
    }

    /// Adopts the agreed stage.
    pub fn adopt(&mut self, now: Millis, stage: Stage) {
        if std::mem::replace(&mut self.rollout.stage, stage) != stage {
            self.stage_since = now;
        }
    }

    /// Records a router's report, unless it is about an earlier order.
    pub fn record_report(&mut self, now: Millis, router: HostId, report: &ServiceReport) {
        if report.number != self.rollout.number {
            return;
        }
        self.open_on_old.insert(router, OpenOnOld { requests: report.open_on_old, at: now });
        for tally in &report.tallies {
            let sent = u64::from(tally.answers.sent);
            match tally.release {
                Release::New => self.sent_new += sent,
                Release::Old => self.sent_old += sent,
            }
            self.analysis.record(tally);
        }
    }

    /// Evaluates the reports since the last call and decides the next step.
    pub fn decide(
        &mut self,
        now: Millis,
        state: &ServiceState,
        rules: &RolloutRules,
    ) -> Evaluation {
        let window = Window {
            cold_fraction: state.cold_fraction(self.highest_order),
            is_mostly_new: self.permille >= MOSTLY_NEW_PERMILLE,
        };
        let mut finding = self.analysis.close_window(&window);
        if self.is_rejected {
            finding.level = finding.level.max(1.0);
        }
        self.suspicious_since = match finding.level >= SUSPICIOUS_LEVEL {
            true => self.suspicious_since.or(Some(now)),
            false => None,
        };
        self.without_old_since = match state.endpoints.iter().any(|endpoint| !endpoint.is_new) {
            true => None,
            false => self.without_old_since.or(Some(now)),
        };
        let situation = self.situation(now, state, rules, finding.level);
        let decision = decide(&situation, rules);
        self.is_rejected |= matches!(decision, Decision::Step(Stage::RolledBack, _));
        let granted = match decision {
            Decision::Grant(permille) => permille,
            Decision::Step(Stage::Shifting | Stage::Done, _) => self.permille,
            Decision::Step(..) => 0,
        };
        let grant = self.grant(granted, state, situation.elapsed_ms);
        let permille = grant.as_ref().map_or(0, |grant| grant.permille);
        let has_permille_changed = permille != self.permille;
        if has_permille_changed {
            self.permille_since = now;
            self.permille = permille;
        }
        Evaluation { decision, grant, has_permille_changed, finding, situation }
    }

    fn grant(&mut self, permille: u32, state: &ServiceState, elapsed: Millis) -> Option<Grant> {
        if permille == 0 {
            return None;
        }
        let use_cold_after = self.rollout.order.duration_ms as f64 * USE_COLD_AFTER_FRACTION;
        self.highest_order = match permille {
            1_000 => u32::MAX,
            partial => state.highest_order(partial, false).or_else(|| {
                state.highest_order(partial, true).filter(|_| elapsed as f64 >= use_cold_after)
            })?,
        };
        Some(Grant {
            service: self.rollout.order.service.clone(),
            number: self.rollout.number,
            permille,
            highest_order: self.highest_order,
        })
    }

    fn situation(
        &self,
        now: Millis,
        state: &ServiceState,
        rules: &RolloutRules,
        level: f64,
    ) -> Situation {
        let counted_ms = now.saturating_sub(self.counting_since);
        let all_sent = self.sent_new + self.sent_old;
        let sent_per_ms = all_sent as f64 / counted_ms.max(1) as f64;
        // Earlier leaders granted at least the canary's fraction.
        let sent_before = self.elapsed_before_ms as f64 * sent_per_ms;
        let sent_before = sent_before * f64::from(canary_permille(rules)) / 1_000.0;
        Situation {
            stage: self.rollout.stage,
            elapsed_ms: self.elapsed_before_ms + counted_ms,
            duration_ms: self.rollout.order.duration_ms,
            in_stage_ms: now.saturating_sub(self.stage_since),
            at_permille_ms: now.saturating_sub(self.permille_since),
            permille: self.permille,
            level,
            suspicious_ms: self.suspicious_since.map_or(0, |since| now.saturating_sub(since)),
            new_answers: self.analysis.new_answers,
            counted_ms,
            new_sent: self.sent_new as f64 + sent_before,
            sent_per_ms,
            new_slots: state.slots(true),
            old_slots: state.slots(false),
            without_old_ms: self.without_old_since.map_or(0, |since| now.saturating_sub(since)),
            has_recent_reports: self.has_recent_reports(now, &state.routers),
            is_old_empty: self.is_old_empty(now, &state.routers),
        }
    }

    /// Open requests on old releases that a router reported recently.
    fn recent_open_on_old(&self, now: Millis, router: &HostId) -> Option<u32> {
        let open = self.open_on_old.get(router);
        open.filter(|open| now < open.at + REPORT_VALID_MS).map(|open| open.requests)
    }

    /// Whether most routers have reported recently.
    fn has_recent_reports(&self, now: Millis, routers: &[HostId]) -> bool {
        let reporting =
            routers.iter().filter(|router| self.recent_open_on_old(now, router).is_some());
        reporting.count() * 2 > routers.len()
    }

    /// Whether every router has recently reported no open requests on old releases.
    fn is_old_empty(&self, now: Millis, routers: &[HostId]) -> bool {
        let is_empty = |router: &HostId| self.recent_open_on_old(now, router) == Some(0);
        !routers.is_empty() && routers.iter().all(is_empty)
    }

    /// The progress so far.
    pub fn progress(&self) -> Progress {
        Progress {
            permille: self.permille,
            sent_new: self.sent_new,
            sent_old: self.sent_old,
            failed_new: self.analysis.new_failed,
            failed_old: self.analysis.old_failed,
        }
    }
}
