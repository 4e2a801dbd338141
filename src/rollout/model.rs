//! The replicated table of rollouts, without I/O.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Milliseconds within which an identical order counts as a retry of the first, also after
/// its rollout has ended: operators' tools retry for a few seconds only.
const RESEND_WINDOW_MS: u64 = 10_000;

/// An operator's order to roll out a release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The release that all its requests are to go to.
    pub version: String,
    /// When the leader received it, in milliseconds since the epoch by its clock.
    pub at_ms: u64,
    /// Milliseconds within which the rollout must reach a final stage.
    pub duration_ms: u64,
}

impl Order {
    fn is_same_request(&self, other: &Order) -> bool {
        let key = |order: &Order| (order.service.clone(), order.version.clone(), order.duration_ms);
        key(self) == key(other)
    }
}

/// Stage of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// A fraction of the requests goes to the new release.
    Canary,
    /// All requests go to the new release; requests on the old releases run to their end.
    Shifting,
    /// Endpoints of the old releases are retired and may stop.
    Done,
    /// The new release was rejected and receives no requests.
    RolledBack,
}

impl Stage {
    /// Whether no other stage can follow.
    pub fn is_final(self) -> bool {
        matches!(self, Stage::Done | Stage::RolledBack)
    }

    /// Whether `next` may follow this stage.
    fn can_advance_to(self, next: Stage) -> bool {
        match self {
            Stage::Canary => next != Stage::Canary,
            Stage::Shifting => next.is_final(),
            Stage::Done | Stage::RolledBack => false,
        }
    }
}

/// The latest rollout of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Number of the order, unique among all orders.
    pub number: u64,
    /// The order.
    pub order: Order,
    /// The current stage.
    pub stage: Stage,
    /// When that stage was entered, in milliseconds since the epoch at the leader.
    pub stage_at_ms: u64,
}

/// A change of a rollout to its next stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The service.
    pub service: String,
    /// The number of its rollout.
    pub number: u64,
    /// The next stage.
    pub stage: Stage,
    /// When the leader decided it, in milliseconds since the epoch at the leader.
    pub at_ms: u64,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is accepted, now or when it was first sent.
    Accepted,
    /// Another rollout of the service is in progress.
    InProgress,
    /// There is no such service.
    UnknownService,
}

/// The latest rollout of each service. Of two tables, the one with the higher revision
/// takes precedence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    /// Incremented with each change.
    revision: u64,
    by_service: BTreeMap<String, Rollout>,
}

impl Rollouts {
    /// Applies an order, unless another rollout of the service is in progress. A retry of the
    /// same order changes nothing.
    pub fn start(&mut self, order: Order) -> OrderOutcome {
        if let Some(previous) = self.by_service.get(&order.service) {
            let is_same = previous.order.is_same_request(&order);
            let is_past_window = order.at_ms >= previous.order.at_ms + RESEND_WINDOW_MS;
            if is_same && (!previous.stage.is_final() || !is_past_window) {
                return OrderOutcome::Accepted;
            }
            if !previous.stage.is_final() {
                return OrderOutcome::InProgress;
            }
        }
        self.revision += 1;
        let (number, stage_at_ms) = (self.revision, order.at_ms);
        let rollout = Rollout { number, order, stage: Stage::Canary, stage_at_ms };
        self.by_service.insert(rollout.order.service.clone(), rollout);
        OrderOutcome::Accepted
    }

    /// Moves a rollout to its next stage; an outdated step changes nothing.
    pub fn step(&mut self, step: &Step) {
        let Some(rollout) = self.by_service.get_mut(&step.service) else { return };
        if rollout.number == step.number && rollout.stage.can_advance_to(step.stage) {
            rollout.stage = step.stage;
            rollout.stage_at_ms = step.at_ms;
            self.revision += 1;
        }
    }

    /// The revision; 0 before the first order.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The latest rollout of a service.
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// The latest rollout of each service.
    pub fn all(&self) -> impl Iterator<Item = &Rollout> {
        self.by_service.values()
    }
}
