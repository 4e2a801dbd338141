//! Conducts roll-outs on the host that leads: takes reports, decides, grants.

mod confirmed;
mod proposals;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::MissedTickBehavior;

use self::confirmed::Confirmed;
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

/// How often it is decided: routers report some times a second.
const TICK: Duration = Duration::from_millis(100);
/// Decisions for which a grant that has not changed is not sent again.
const OFFER_EVERY: u32 = 2;
/// Milliseconds for which grants hold: two may be lost on the way.
const VALID_MS: Millis = 600;
/// Decisions between two log lines about a roll-out of which nothing changes.
const LOG_EVERY: u32 = 10;
/// Milliseconds by which clocks of hosts may differ. What the time of day says of an
/// order's age counts only beyond that, and after a restart.
const CLOCKS_DIFFER_MS: u64 = 10_000;

/// What is shown of the roll-outs that this host leads.
pub(super) fn progress(control: &Control) -> MutexGuard<'_, BTreeMap<String, Progress>> {
    control.rollout_progress.lock().unwrap_or_else(PoisonError::into_inner)
}

/// When this host learnt of an order, by its own clock, and the order's age then.
#[derive(Clone, Copy, Debug)]
struct Learnt {
    at: Millis,
    age: Millis,
}

/// How old each order is, by the clock of this host.
#[derive(Debug)]
struct Ages {
    /// The time of day when this host started.
    started: u64,
    learnt: BTreeMap<u64, Learnt>,
}

impl Ages {
    fn new(started: u64) -> Ages {
        Ages { started, learnt: BTreeMap::new() }
    }

    /// Takes in which roll-outs are under way. What was ordered before this host started
    /// is as old as the time of day says; any other was ordered just now, but for one
    /// that this host was much too late to hear of.
    fn adopt(&mut self, now: Millis, epoch: u64, table: &Rollouts) {
        let under_way = || table.all().filter(|rollout| !rollout.stage.is_final());
        for rollout in under_way() {
            let said = epoch.saturating_sub(rollout.order.at_ms);
            let is_believed = rollout.order.at_ms <= self.started || said > CLOCKS_DIFFER_MS;
            let age = if is_believed { said.min(rollout.order.duration_ms) } else { 0 };
            self.learnt.entry(rollout.number).or_insert(Learnt { at: now, age });
        }
        self.learnt.retain(|number, _| under_way().any(|rollout| rollout.number == *number));
    }

    fn of(&self, now: Millis, rollout: &Rollout) -> Millis {
        let learnt = self.learnt.get(&rollout.number);
        learnt.map_or(0, |learnt| learnt.age + now.saturating_sub(learnt.at))
    }
}

/// Conducts roll-outs while this host leads, until the process ends.
pub(super) async fn run(control: Arc<Control>) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut controller = RolloutController::new(epoch_ms());
    loop {
        ticks.tick().await;
        let now = control.peers.clock.now();
        let table = control.rollouts.table();
        controller.ages.adopt(now, epoch_ms(), &table);
        let reports = control.rollouts.take_reports();
        let leadership = control.handle.leadership.borrow().clone();
        if !leadership.leads {
            controller.lose();
            progress(&control).clear();
            continue;
        }
        controller.follow(now, &table);
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
    ages: Ages,
    active: BTreeMap<String, ActiveRollout>,
    ticks: u32,
    has_offered: bool,
    confirmed: Arc<Mutex<Confirmed>>,
    proposals: Proposals,
}

impl RolloutController {
    fn new(started: u64) -> RolloutController {
        RolloutController {
            ages: Ages::new(started),
            active: BTreeMap::new(),
            ticks: 0,
            has_offered: false,
            confirmed: Arc::default(),
            proposals: Proposals::default(),
        }
    }

    /// Another host leads: what was counted here is its no more.
    fn lose(&mut self) {
        self.active.clear();
        self.proposals.clear();
        self.has_offered = false;
        self.confirmed = Arc::default();
    }

    /// Takes in the agreed stages.
    fn follow(&mut self, now: Millis, table: &Rollouts) {
        let under_way = |service: &String, active: &ActiveRollout| {
            let rollout = table.get(service).filter(|rollout| !rollout.stage.is_final());
            rollout.is_some_and(|rollout| rollout.number == active.rollout().number)
        };
        self.active.retain(|service, active| under_way(service, active));
        self.proposals.retain(|number| {
            table.all().any(|rollout| rollout.number == number && !rollout.stage.is_final())
        });
        for rollout in table.all().filter(|rollout| !rollout.stage.is_final()) {
            let age = self.ages.of(now, rollout);
            let begin = || ActiveRollout::new(rollout.clone(), now, age);
            let active = self.active.entry(rollout.order.service.clone()).or_insert_with(begin);
            active.adopt(now, rollout.stage);
        }
    }

    fn tick(&mut self, control: &Arc<Control>, now: Millis, term: u64) {
        self.ticks = self.ticks.wrapping_add(1);
        let mut grants = Grants { term, valid_ms: VALID_MS, services: Vec::new() };
        let mut steps = Vec::new();
        let mut has_changed = false;
        for active in self.active.values_mut() {
            let around = service_state(control, active.rollout());
            let decided = active.decide(now, &around, &control.settings.rollout);
            let is_grant = matches!(decided.decision, Decision::Grant(_));
            if is_grant && (decided.has_permille_changed || self.ticks.is_multiple_of(LOG_EVERY)) {
                log_decided(active, &decided);
            }
            has_changed |= decided.has_permille_changed;
            if let Decision::Step(stage, _) = decided.decision {
                let step = step(active.rollout(), stage);
                if self.proposals.is_due(now, &step) {
                    log_decided(active, &decided);
                    steps.push(step);
                }
            }
            grants.services.extend(decided.grant);
        }
        *progress(control) =
            self.active.iter().map(|(name, active)| (name.clone(), active.progress())).collect();
        self.confirm(control, now);
        self.offer(control, now, grants, has_changed);
        for step in steps {
            self.proposals.propose(control, now, step);
        }
    }

    /// Asks a majority now and then, while a roll-out is under way, whether this host
    /// leads still.
    fn confirm(&self, control: &Arc<Control>, now: Millis) {
        if self.active.is_empty() || !lock(&self.confirmed).ask(now) {
            return;
        }
        let (control, confirmed) = (control.clone(), self.confirmed.clone());
        tokio::spawn(async move {
            let leads = control.handle.read().await.is_ok();
            lock(&confirmed).answered(now, leads);
        });
    }

    /// Grants a few times a second while a roll-out is under way, and once nothing more
    /// after the last.
    fn offer(&mut self, control: &Control, now: Millis, grants: Grants, has_changed: bool) {
        let is_sure = lock(&self.confirmed).is_sure(now);
        let is_due = has_changed || self.ticks.is_multiple_of(OFFER_EVERY);
        let is_under_way = !self.active.is_empty();
        if (is_under_way && is_sure && is_due) || (!is_under_way && self.has_offered) {
            control.rollouts.publish_grants(grants);
            self.has_offered = is_under_way;
        }
    }
}

fn lock(confirmed: &Mutex<Confirmed>) -> MutexGuard<'_, Confirmed> {
    confirmed.lock().unwrap_or_else(PoisonError::into_inner)
}

fn step(rollout: &Rollout, stage: Stage) -> Step {
    let service = rollout.order.service.clone();
    Step { service, number: rollout.number, stage, at_ms: epoch_ms() }
}

/// The service's endpoints and the routers that are heard.
fn service_state(control: &Control, rollout: &Rollout) -> ServiceState {
    let service = &rollout.order.service;
    let endpoints = control.registry.read(|registry| {
        let left = registry.all().chain(registry.remembered());
        let left = left.filter(|e| e.service == *service && e.state != EndpointState::Gone);
        let endpoint = |e: &crate::registry::Registration| RolloutEndpoint {
            order: order_of(&e.id),
            is_new: e.version == rollout.order.version,
            is_ready: registry.get_ready(&e.id).is_some(),
            is_cold: e.warmup_ms > 0,
            slots: e.slots,
        };
        left.map(endpoint).collect()
    });
    let view = control.peers.view();
    let routers = view.with_role(Role::Router).map(|router| router.host).collect();
    ServiceState { endpoints, routers }
}

fn log_decided(active: &ActiveRollout, decided: &Evaluation) {
    let rollout = active.rollout();
    let (service, version) = (&rollout.order.service, &rollout.order.version);
    let (now, progress) = (&decided.situation, active.progress());
    log::info!(
        "rollout: {version} of {service}, {:?}: {:?} after {} of {} ms; sent {} new, {} old; \
         failed {} of {} new answers; part {}; evidence {:.2}: {}; endpoints {} new, {} old; \
         old ones empty: {}",
        now.stage,
        decided.decision,
        now.elapsed_ms,
        now.duration_ms,
        progress.sent_new,
        progress.sent_old,
        progress.failed_new,
        now.new_answers,
        progress.permille,
        decided.finding.level,
        decided.finding.description,
        now.new_slots,
        now.old_slots,
        now.is_old_empty,
    );
}
