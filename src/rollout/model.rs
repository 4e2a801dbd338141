//! The roll-outs that control hosts agree on, without I/O.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Milliseconds within which the same order counts as sent again, also after its
/// roll-out has ended: operators send an order again for some seconds only.
const SENT_AGAIN_MS: u64 = 10_000;

/// An operator's order to roll a release out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The release that all its requests are to go to.
    pub version: String,
    /// When it was taken, in milliseconds since the epoch at the leader.
    pub at_ms: u64,
    /// Milliseconds in which it must be decided.
    pub duration_ms: u64,
}

impl Order {
    fn asks_the_same_as(&self, other: &Order) -> bool {
        let asked =
            |order: &Order| (order.service.clone(), order.version.clone(), order.duration_ms);
        asked(self) == asked(other)
    }
}

/// How far a roll-out has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// A small part of the requests goes to the new release.
    Canary,
    /// All requests go to the new release; what runs on the others ends there.
    Shifting,
    /// The others run nothing any more and may stop.
    Done,
    /// The new release is bad and gets nothing.
    RolledBack,
}

impl Stage {
    /// Whether nothing follows.
    pub fn is_final(self) -> bool {
        matches!(self, Stage::Done | Stage::RolledBack)
    }

    /// Whether `next` may follow.
    fn may_become(self, next: Stage) -> bool {
        match self {
            Stage::Canary => next != Stage::Canary,
            Stage::Shifting => next.is_final(),
            Stage::Done | Stage::RolledBack => false,
        }
    }
}

/// The newest roll-out of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Number of the order among all; none is given twice.
    pub number: u64,
    /// The order.
    pub order: Order,
    /// How far it has come.
    pub stage: Stage,
    /// When that stage was decided, in milliseconds since the epoch at the leader.
    pub stage_at_ms: u64,
}

/// The next stage of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The service.
    pub service: String,
    /// The number of its roll-out.
    pub number: u64,
    /// The stage.
    pub stage: Stage,
    /// When it was decided, in milliseconds since the epoch at the leader.
    pub at_ms: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is taken now, or was before.
    Taken,
    /// Another order for the service is under way.
    UnderWay,
    /// There is no such service.
    UnknownService,
}

/// The newest roll-out of each service. Of two tables the one with the higher revision
/// prevails.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    /// Rises with each change.
    revision: u64,
    by_service: BTreeMap<String, Rollout>,
}

impl Rollouts {
    /// Takes an order, unless another is under way. One sent again changes nothing.
    pub fn start(&mut self, order: Order) -> OrderOutcome {
        if let Some(before) = self.by_service.get(&order.service) {
            let is_same = before.order.asks_the_same_as(&order);
            let is_late = order.at_ms >= before.order.at_ms + SENT_AGAIN_MS;
            if is_same && (!before.stage.is_final() || !is_late) {
                return OrderOutcome::Taken;
            }
            if !before.stage.is_final() {
                return OrderOutcome::UnderWay;
            }
        }
        self.revision += 1;
        let (number, stage_at_ms) = (self.revision, order.at_ms);
        let rollout = Rollout { number, order, stage: Stage::Canary, stage_at_ms };
        self.by_service.insert(rollout.order.service.clone(), rollout);
        OrderOutcome::Taken
    }

    /// Takes a roll-out to its next stage; one that is out of date changes nothing.
    pub fn step(&mut self, step: &Step) {
        let Some(rollout) = self.by_service.get_mut(&step.service) else { return };
        if rollout.number == step.number && rollout.stage.may_become(step.stage) {
            rollout.stage = step.stage;
            rollout.stage_at_ms = step.at_ms;
            self.revision += 1;
        }
    }

    /// The revision; 0 before the first order.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The newest roll-out of a service.
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// The newest roll-out of each service.
    pub fn all(&self) -> impl Iterator<Item = &Rollout> {
        self.by_service.values()
    }
}
