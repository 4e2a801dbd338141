//! The active of one roll-out at the host that leads it: what routers reported, what is
//! granted, what follows.

use std::collections::BTreeMap;

use super::analysis::{CanaryAnalysis, Finding, Window};
use super::model::{Rollout, Stage};
use super::plan::{Decision, SUSPICIOUS, Situation, canary_permille, decide};
use super::report::{Grant, Release, ServiceReport};
use super::rules::RolloutRules;
use crate::dispatch::Millis;
use crate::wire::HostId;

/// Milliseconds after which what a router said of its old requests no longer counts: a
/// few of its reports.
const HEARD_MS: Millis = 1_000;
/// Part in thousandths from which on the other releases no longer tell what is usual
/// under load.
const ALONE_PERMILLE: u32 = 500;
/// Part of the time after which endpoints that are still cold are used where no others
/// are.
const COLD_PART_OF_TIME: f64 = 0.4;

/// An endpoint of the service that is not gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutEndpoint {
    /// Its endpoint in the order of all: [`crate::eligibility::order_of`].
    pub order: u32,
    /// Whether it is of the release that is rolled out.
    pub is_new: bool,
    /// Whether it takes work.
    pub is_ready: bool,
    /// Whether it has just started.
    pub is_cold: bool,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// What else a decision looks at.
#[derive(Clone, Debug, Default)]
pub struct ServiceState {
    /// The service's endpoints.
    pub endpoints: Vec<RolloutEndpoint>,
    /// Routers that are heard.
    pub routers: Vec<HostId>,
}

impl ServiceState {
    fn ready(&self, is_new: bool) -> impl Iterator<Item = &RolloutEndpoint> {
        self.endpoints.iter().filter(move |endpoint| endpoint.is_new == is_new && endpoint.is_ready)
    }

    fn slots(&self, is_new: bool) -> u32 {
        self.ready(is_new).map(|endpoint| endpoint.slots.max(1)).sum()
    }

    /// Up to which of the release's endpoints a part of the requests is sent: to as many
    /// as bear it at the load of an old one.
    fn highest_order(&self, permille: u32, with_cold: bool) -> Option<u32> {
        let old = self.ready(false).count();
        let wanted = (old as f64 * f64::from(permille) / 1_000.0).ceil().max(1.0) as usize;
        let mut warm: Vec<u32> = self
            .ready(true)
            .filter(|endpoint| !endpoint.is_cold || with_cold)
            .map(|p| p.order)
            .collect();
        warm.sort_unstable();
        warm.get(wanted - 1).or(warm.last()).copied()
    }

    fn cold_part(&self, highest_order: u32) -> f64 {
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

/// What the leader knows of a roll-out under way.
#[derive(Debug)]
pub struct ActiveRollout {
    rollout: Rollout,
    /// Milliseconds since the order when this host began to count.
    elapsed_before: Millis,
    since: Millis,
    stage_since: Millis,
    part_since: Millis,
    permille: u32,
    highest_order: u32,
    watch: CanaryAnalysis,
    /// Set once the release was found bad, until all control hosts know.
    is_rejected: bool,
    /// Since when it has been suspicious without a break.
    suspicious_since: Option<Millis>,
    /// Since when no endpoint of an old release has been known here.
    without_old_since: Option<Millis>,
    sent_new: u64,
    sent_old: u64,
    open_on_old: BTreeMap<HostId, OpenOnOld>,
}

/// What follows, and what it was decided by.
#[derive(Clone, Debug)]
pub struct Evaluation {
    /// What follows.
    pub decision: Decision,
    /// What is granted meanwhile; none grants nothing.
    pub grant: Option<Grant>,
    /// Whether the part granted is another than before.
    pub has_permille_changed: bool,
    /// What is most suspicious of the release.
    pub finding: Finding,
    /// What the decision looked at.
    pub situation: Situation,
}

/// What is shown of a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The part granted, in thousandths.
    pub permille: u32,
    /// Requests sent to the new release since this host counts.
    pub sent_new: u64,
    /// Those to the others.
    pub sent_old: u64,
    /// Failed answers of the new release.
    pub failed_new: u64,
    /// Those of the others.
    pub failed_old: u64,
}

impl ActiveRollout {
    /// Begins to count. `elapsed_ms` have gone by since the order.
    pub fn new(rollout: Rollout, now: Millis, elapsed_ms: Millis) -> ActiveRollout {
        ActiveRollout {
            watch: CanaryAnalysis::new(rollout.order.duration_ms),
            rollout,
            elapsed_before: elapsed_ms,
            since: now,
            stage_since: now,
            part_since: now,
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

    /// The roll-out.
    pub fn rollout(&self) -> &Rollout {
        &self.rollout
    }

    /// Its stage as agreed now.
    pub fn adopt(&mut self, now: Millis, stage: Stage) {
        if std::mem::replace(&mut self.rollout.stage, stage) != stage {
            self.stage_since = now;
        }
    }

    /// Takes a router's report in; one about an earlier order counts nothing.
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
            self.watch.record(tally);
        }
    }

    /// Weighs what came since this was asked last, and says what follows.
    pub fn decide(
        &mut self,
        now: Millis,
        around: &ServiceState,
        rules: &RolloutRules,
    ) -> Evaluation {
        let window = Window {
            cold_part: around.cold_part(self.highest_order),
            is_alone: self.permille >= ALONE_PERMILLE,
        };
        let mut finding = self.watch.close_window(&window);
        if self.is_rejected {
            finding.level = finding.level.max(1.0);
        }
        self.suspicious_since = match finding.level >= SUSPICIOUS {
            true => self.suspicious_since.or(Some(now)),
            false => None,
        };
        self.without_old_since = match around.endpoints.iter().any(|endpoint| !endpoint.is_new) {
            true => None,
            false => self.without_old_since.or(Some(now)),
        };
        let situation = self.situation(now, around, rules, finding.level);
        let decision = decide(&situation, rules);
        self.is_rejected |= matches!(decision, Decision::Step(Stage::RolledBack, _));
        let granted = match decision {
            Decision::Grant(permille) => permille,
            Decision::Step(Stage::Shifting | Stage::Done, _) => self.permille,
            Decision::Step(..) => 0,
        };
        let grant = self.grant(granted, around, situation.elapsed_ms);
        let permille = grant.as_ref().map_or(0, |grant| grant.permille);
        let has_permille_changed = permille != self.permille;
        if has_permille_changed {
            self.part_since = now;
            self.permille = permille;
        }
        Evaluation { decision, grant, has_permille_changed, finding, situation }
    }

    fn grant(&mut self, permille: u32, around: &ServiceState, elapsed: Millis) -> Option<Grant> {
        if permille == 0 {
            return None;
        }
        let late = self.rollout.order.duration_ms as f64 * COLD_PART_OF_TIME;
        self.highest_order = match permille {
            1_000 => u32::MAX,
            part => around
                .highest_order(part, false)
                .or_else(|| around.highest_order(part, true).filter(|_| elapsed as f64 >= late))?,
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
        around: &ServiceState,
        rules: &RolloutRules,
        level: f64,
    ) -> Situation {
        let counted_ms = now.saturating_sub(self.since);
        let all_sent = self.sent_new + self.sent_old;
        let sent_per_ms = all_sent as f64 / counted_ms.max(1) as f64;
        // A leader before this one granted no less than the canary's part.
        let before = self.elapsed_before as f64 * sent_per_ms;
        let before = before * f64::from(canary_permille(rules)) / 1_000.0;
        Situation {
            stage: self.rollout.stage,
            elapsed_ms: self.elapsed_before + counted_ms,
            duration_ms: self.rollout.order.duration_ms,
            in_stage_ms: now.saturating_sub(self.stage_since),
            at_part_ms: now.saturating_sub(self.part_since),
            permille: self.permille,
            level,
            suspicious_ms: self.suspicious_since.map_or(0, |since| now.saturating_sub(since)),
            new_answers: self.watch.new_answers,
            counted_ms,
            new_sent: self.sent_new as f64 + before,
            sent_per_ms,
            new_slots: around.slots(true),
            old_slots: around.slots(false),
            without_old_ms: self.without_old_since.map_or(0, |since| now.saturating_sub(since)),
            has_heard: self.has_heard(now, &around.routers),
            is_old_empty: self.is_old_empty(now, &around.routers),
        }
    }

    /// What a router said lately of its requests on old releases.
    fn said_lately(&self, now: Millis, router: &HostId) -> Option<u32> {
        let open = self.open_on_old.get(router);
        open.filter(|open| now < open.at + HEARD_MS).map(|open| open.requests)
    }

    /// Whether most routers reported lately.
    fn has_heard(&self, now: Millis, routers: &[HostId]) -> bool {
        let heard = routers.iter().filter(|router| self.said_lately(now, router).is_some());
        heard.count() * 2 > routers.len()
    }

    /// Whether every router said lately that it runs nothing on old releases.
    fn is_old_empty(&self, now: Millis, routers: &[HostId]) -> bool {
        let is_empty = |router: &HostId| self.said_lately(now, router) == Some(0);
        !routers.is_empty() && routers.iter().all(is_empty)
    }

    /// What is shown of it.
    pub fn progress(&self) -> Progress {
        Progress {
            permille: self.permille,
            sent_new: self.sent_new,
            sent_old: self.sent_old,
            failed_new: self.watch.new_failed,
            failed_old: self.watch.old_failed,
        }
    }
}
