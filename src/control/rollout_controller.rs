//! Conducts rollouts on the leader: evaluates the reports of routers, publishes grants and
//! proposes the next stages.

mod confirmation;
mod proposals;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::MissedTickBehavior;

use self::confirmation::LeadershipConfirmation;
use self::proposals::Proposals;
use super::Control;
use crate::clock::epoch_ms;
use crate::dispatch::Millis;
use crate::eligibility::order_of;
use crate::registry::EndpointState;
use crate::rollout::{
    ActiveRollout, Decision, Evaluation, Grants, Progress, Rollout, RolloutEndpoint, Rollouts,
    ServiceState, Stage, Step,
};
use crate::wire::Role;

/// Interval of decisions: routers report a few times a second.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Ticks between two publications of grants that have not changed.
const PUBLISH_EVERY_TICKS: u32 = 2;
/// Milliseconds for which grants are valid: two publications in a row may be lost.
const GRANT_VALID_MS: Millis = 600;
/// Ticks between two log lines about a rollout whose fraction of requests does not
/// change.
const LOG_EVERY_TICKS: u32 = 10;
/// Milliseconds by which the clocks of hosts may differ. The age of an order by the time of day
/// is used only where it exceeds this, or for orders from before a restart.
const MAX_CLOCK_SKEW_MS: u64 = 10_000;

/// Progress of the rollouts that this host conducts, by service, for status and metrics.
pub(super) fn progress(control: &Control) -> MutexGuard<'_, BTreeMap<String, Progress>> {
    control.rollout_progress.lock().unwrap_or_else(PoisonError::into_inner)
}

/// When this host first saw an order, by its own clock, and the order's age at that time.
#[derive(Clone, Copy, Debug)]
struct FirstSeen {
    at: Millis,
    age: Millis,
}

/// The age of each order, by the clock of this host.
#[derive(Debug)]
struct OrderAges {
    /// When this host started, in milliseconds since the epoch.
    started_at_ms: u64,
    /// By number of the rollout.
    first_seen: BTreeMap<u64, FirstSeen>,
}

impl OrderAges {
    fn new(started_at_ms: u64) -> OrderAges {
        OrderAges { started_at_ms, first_seen: BTreeMap::new() }
    }

    /// Updates the set of rollouts in progress. A new order counts from now on. Its age by the
    /// time of day is used only where it was ordered before this host started, or where that age
    /// exceeds `MAX_CLOCK_SKEW_MS`, which means that this host learned of it late.
    fn update(&mut self, now: Millis, epoch: u64, table: &Rollouts) {
        let in_progress = || table.all().filter(|rollout| !rollout.stage.is_final());
        for rollout in in_progress() {
            let age_by_date = epoch.saturating_sub(rollout.order.at_ms);
            let is_date_used =
                rollout.order.at_ms <= self.started_at_ms || age_by_date > MAX_CLOCK_SKEW_MS;
            let age = if is_date_used { age_by_date.min(rollout.order.duration_ms) } else { 0 };
            self.first_seen.entry(rollout.number).or_insert(FirstSeen { at: now, age });
        }
        self.first_seen.retain(|number, _| in_progress().any(|rollout| rollout.number == *number));
    }

    fn of(&self, now: Millis, rollout: &Rollout) -> Millis {
        let first_seen = self.first_seen.get(&rollout.number);
        first_seen.map_or(0, |seen| seen.age + now.saturating_sub(seen.at))
    }
}

/// Conducts rollouts while this host leads, until the process ends.
pub(super) async fn run(control: Arc<Control>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut controller = RolloutController::new(epoch_ms());
    loop {
        ticks.tick().await;
        let now = control.peers.clock.now();
        let table = control.rollouts.table();
        controller.ages.update(now, epoch_ms(), &table);
        let reports = control.rollouts.take_reports();
        let leadership = control.handle.leadership.borrow().clone();
        if !leadership.leads {
            controller.on_leadership_lost();
            progress(&control).clear();
            continue;
        }
        controller.update_active(now, &table);
        for (router, report) in &reports {
            for service in &report.services {
                if let Some(active) = controller.active.get_mut(&service.service) {
                    active.record_report(now, *router, service);
                }
            }
        }
        controller.tick(&control, now, leadership.term);
    }
}

#[derive(Debug)]
struct RolloutController {
    ages: OrderAges,
    active: BTreeMap<String, ActiveRollout>,
    ticks: u32,
    /// Whether the grants published last were for a rollout in progress.
    has_published: bool,
    confirmation: Arc<Mutex<LeadershipConfirmation>>,
    proposals: Proposals,
}

impl RolloutController {
    fn new(started_at_ms: u64) -> RolloutController {
        RolloutController {
            ages: OrderAges::new(started_at_ms),
            active: BTreeMap::new(),
            ticks: 0,
            has_published: false,
            confirmation: Arc::default(),
            proposals: Proposals::default(),
        }
    }

    /// Discards all counts, because another host conducts the rollouts now.
    fn on_leadership_lost(&mut self) {
        self.active.clear();
        self.proposals.clear();
        self.has_published = false;
        self.confirmation = Arc::default();
    }

    /// Updates the conducted rollouts to the agreed table and its stages.
    fn update_active(&mut self, now: Millis, table: &Rollouts) {
        let is_in_progress = |service: &String, active: &ActiveRollout| {
            let rollout = table.get(service).filter(|rollout| !rollout.stage.is_final());
            rollout.is_some_and(|rollout| rollout.number == active.rollout().number)
        };
        self.active.retain(|service, active| is_in_progress(service, active));
        self.proposals.retain(|number| {
            table.all().any(|rollout| rollout.number == number && !rollout.stage.is_final())
        });
        for rollout in table.all().filter(|rollout| !rollout.stage.is_final()) {
            let age = self.ages.of(now, rollout);
            let new_active = || ActiveRollout::new(rollout.clone(), now, age);
            let active =
                self.active.entry(rollout.order.service.clone()).or_insert_with(new_active);
            active.adopt(now, rollout.stage);
        }
    }

    fn tick(&mut self, control: &Arc<Control>, now: Millis, term: u64) {
        self.ticks = self.ticks.wrapping_add(1);
        let mut grants = Grants { term, valid_ms: GRANT_VALID_MS, services: Vec::new() };
        let mut steps = Vec::new();
        let mut has_changed = false;
        for active in self.active.values_mut() {
            let state = service_state(control, active.rollout());
            let evaluation = active.decide(now, &state, &control.settings.rollout);
            let is_grant = matches!(evaluation.decision, Decision::Grant(_));
            if is_grant
                && (evaluation.has_permille_changed || self.ticks.is_multiple_of(LOG_EVERY_TICKS))
            {
                log_evaluation(active, &evaluation);
            }
            has_changed |= evaluation.has_permille_changed;
            if let Decision::Step(stage, _) = evaluation.decision {
                let step = step(active.rollout(), stage);
                if self.proposals.is_due(now, &step) {
                    log_evaluation(active, &evaluation);
                    steps.push(step);
                }
            }
            grants.services.extend(evaluation.grant);
        }
        *progress(control) =
            self.active.iter().map(|(name, active)| (name.clone(), active.progress())).collect();
        self.confirm_leadership(control, now);
        self.publish_grants(control, now, grants, has_changed);
        for step in steps {
            self.proposals.propose(control, now, step);
        }
    }

    /// While a rollout is in progress, regularly asks a majority whether this host still leads.
    fn confirm_leadership(&self, control: &Arc<Control>, now: Millis) {
        if self.active.is_empty() || !lock(&self.confirmation).start_if_due(now) {
            return;
        }
        let (control, confirmation) = (control.clone(), self.confirmation.clone());
        tokio::spawn(async move {
            let leads = control.handle.read().await.is_ok();
            lock(&confirmation).record_answer(now, leads);
        });
    }

    /// Publishes grants a few times a second while a rollout is in progress and this host is
    /// confirmed as leader, and once an empty list after the last rollout.
    fn publish_grants(
        &mut self,
        control: &Control,
        now: Millis,
        grants: Grants,
        has_changed: bool,
    ) {
        let is_confirmed = lock(&self.confirmation).is_confirmed(now);
        let is_due = has_changed || self.ticks.is_multiple_of(PUBLISH_EVERY_TICKS);
        let is_in_progress = !self.active.is_empty();
        if (is_in_progress && is_confirmed && is_due) || (!is_in_progress && self.has_published) {
            control.rollouts.publish_grants(grants);
            self.has_published = is_in_progress;
        }
    }
}

fn lock(confirmation: &Mutex<LeadershipConfirmation>) -> MutexGuard<'_, LeadershipConfirmation> {
    confirmation.lock().unwrap_or_else(PoisonError::into_inner)
}

fn step(rollout: &Rollout, stage: Stage) -> Step {
    let service = rollout.order.service.clone();
    Step { service, number: rollout.number, stage, at_ms: epoch_ms() }
}

/// The endpoints of the rolled-out service and the routers that send heartbeats.
fn service_state(control: &Control, rollout: &Rollout) -> ServiceState {
    let service = &rollout.order.service;
    let endpoints = control.registry.read(|registry| {
        let known = registry.all().chain(registry.remembered());
        let live = known.filter(|e| e.service == *service && e.state != EndpointState::Gone);
        let endpoint = |e: &crate::registry::Registration| RolloutEndpoint {
            order: order_of(&e.id),
            is_new: e.version == rollout.order.version,
            is_ready: registry.get_ready(&e.id).is_some(),
            is_cold: e.warmup_ms > 0,
            slots: e.slots,
        };
        live.map(endpoint).collect()
    });
    let view = control.peers.view();
    let routers = view.with_role(Role::Router).map(|router| router.host).collect();
    ServiceState { endpoints, routers }
}

fn log_evaluation(active: &ActiveRollout, evaluation: &Evaluation) {
    let rollout = active.rollout();
    let (service, version) = (&rollout.order.service, &rollout.order.version);
    let (situation, progress) = (&evaluation.situation, active.progress());
    log::info!(
        "rollout: {version} of {service}, {:?}: {:?} after {} of {} ms; sent {} new, {} old; \
         failed {} of {} new answers; share {} permille; evidence {:.2}: {}; \
         endpoints {} new, {} old; old endpoints idle: {}",
        situation.stage,
        evaluation.decision,
        situation.elapsed_ms,
        situation.duration_ms,
        progress.sent_new,
        progress.sent_old,
        progress.failed_new,
        situation.new_answers,
        progress.permille,
        evaluation.finding.level,
        evaluation.finding.description,
        situation.new_slots,
        situation.old_slots,
        situation.is_old_empty,
    );
}
