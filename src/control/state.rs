//! The replicated state of the control group: configuration, operations, claims, routing
//! document, drained halls, rollouts and quarantines.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::claim::{Claim, ClaimDecision, ClaimTable, Settlement};
use crate::config::{Change, History, Refusal};
use crate::quarantine::{Quarantines, Verdict};
use crate::registry::DrainedHalls;
use crate::rollout::{Order, OrderOutcome, Rollouts, Step};
use crate::routing::Document;

/// How many operations keep their outcome, so that a resent operation gets the same answer.
pub const MAX_KEPT_OPERATIONS: usize = 10_000;

/// A command in the agreed log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Change the configuration.
    Change {
        /// Unique id of the operation; a resent operation has the same id.
        operation: String,
        /// The configuration version that the change is based on, if it names one.
        base: Option<u64>,
        /// The changes, applied in this order.
        changes: Vec<Change>,
    },
    /// Claim the idempotency key of a run-once call.
    Claim {
        /// The leader's time, in milliseconds since the epoch.
        at_ms: u64,
        /// The claim.
        claim: Claim,
    },
    /// Settle a claim.
    Settle {
        /// The leader's time, in milliseconds since the epoch.
        at_ms: u64,
        /// The claim.
        claim: Claim,
        /// How the call ended.
        settlement: Settlement,
    },
    /// Put a routing document in force, if its version is the highest so far.
    Replace(Box<Document>),
    /// Stop sending new requests to the endpoints of the named data hall.
    DrainHall(String),
    /// Send requests to the endpoints of the named data hall again.
    RestoreHall(String),
    /// Roll out a release of a service.
    StartRollout(Order),
    /// Move a rollout to another stage.
    StepRollout(Step),
    /// Refuse what crashes endpoints, try it again, or release it.
    Quarantine(Verdict),
}

/// The outcome of a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change is in force as this version.
    Accepted(u64),
    /// The change was based on another version than this one, which is in force.
    Conflict(u64),
    /// The change is invalid.
    Refused(Refusal),
}

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The outcome of a configuration change.
    Changed(ChangeOutcome),
    /// The outcome of a claim.
    Claimed(ClaimDecision),
    /// The settlement is recorded.
    Settled,
    /// The version of the routing document now in force: the submitted one, or one at
    /// least as high that was in force before.
    Replaced(u64),
    /// The data halls that are now drained.
    Halls(DrainedHalls),
    /// The outcome of an order to roll out a release.
    Rollout(OrderOutcome),
    /// The step of a rollout was applied, or ignored because it was out of date.
    Stepped,
    /// The verdict on a suspect was applied, or ignored because it was out of date.
    Quarantined,
}

/// The replicated state. Applying a command is deterministic, so that all control hosts that
/// apply the same log hold the same state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    pub(super) history: History,
    pub(super) operations: HashMap<String, ChangeOutcome>,
    pub(super) operations_by_age: VecDeque<String>,
    pub(super) claims: ClaimTable,
    pub(super) document: Option<Arc<Document>>,
    pub(super) drained: DrainedHalls,
    pub(super) rollouts: Rollouts,
    pub(super) quarantines: Quarantines,
}

impl State {
    /// The configuration and its recent changes.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// The claims of run-once calls.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// The routing document in force.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// The data halls that operators have drained.
    pub fn drained(&self) -> &DrainedHalls {
        &self.drained
    }

    /// The newest rollout of each service.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// What is in quarantine because it crashes endpoints.
    pub fn quarantines(&self) -> &Quarantines {
        &self.quarantines
    }

    /// Versions of the published parts, each of which rises when its part changes: the
    /// configuration, the routing document, the drained halls, the rollouts and the
    /// quarantines.
    pub fn versions(&self) -> [u64; 5] {
        let configuration = self.history.config().version;
        let (drained, rollouts) = (self.drained.revision(), self.rollouts.revision());
        let quarantines = self.quarantines.revision();
        [configuration, self.document_version(), drained, rollouts, quarantines]
    }

    /// The version of the routing document; 0 before the first document.
    pub fn document_version(&self) -> u64 {
        self.document.as_ref().map_or(0, |d| d.table.version)
    }

    /// Applies one command of the log and returns its result.
    pub fn apply(&mut self, command: Command) -> Reply {
        match command {
            Command::Change { operation, base, changes } => {
                Reply::Changed(self.apply_change(operation, base, changes))
            }
            Command::Claim { at_ms, claim } => Reply::Claimed(self.claims.claim(at_ms, &claim)),
            Command::Settle { at_ms, claim, settlement } => {
                self.claims.settle(at_ms, &claim, settlement);
                Reply::Settled
            }
            Command::Replace(document) => Reply::Replaced(self.replace_document(*document)),
            Command::DrainHall(hall) => {
                self.drained.drain(&hall);
                Reply::Halls(self.drained.clone())
            }
            Command::RestoreHall(hall) => {
                self.drained.restore(&hall);
                Reply::Halls(self.drained.clone())
            }
            Command::StartRollout(order) => Reply::Rollout(self.start_rollout(order)),
            Command::StepRollout(step) => {
                self.rollouts.step(&step);
                Reply::Stepped
            }
            Command::Quarantine(verdict) => {
                self.quarantines.apply(verdict);
                Reply::Quarantined
            }
        }
    }

    /// Puts a document in force if its version is higher than the current one, so that a
    /// resent document changes nothing. Returns the version in force.
    fn replace_document(&mut self, document: Document) -> u64 {
        if self.document.is_none() || document.table.version > self.document_version() {
            self.document = Some(Arc::new(document));
        }
        self.document_version()
    }

    fn start_rollout(&mut self, order: Order) -> OrderOutcome {
        let services = self.document.iter().flat_map(|document| &document.table.services);
        let is_known = services.into_iter().any(|service| service.name == order.service);
        match is_known {
            true => self.rollouts.start(order),
            false => OrderOutcome::UnknownService,
        }
    }

    /// Applies a change, or returns the recorded outcome where its operation was already
    /// applied.
    fn apply_change(
        &mut self,
        operation: String,
        base: Option<u64>,
        changes: Vec<Change>,
    ) -> ChangeOutcome {
        if let Some(first) = self.operations.get(&operation) {
            return first.clone();
        }
        let version = self.history.config().version;
        let outcome = match base {
            Some(base) if base != version => ChangeOutcome::Conflict(version),
            _ => match self.history.advance(changes) {
                Ok(()) => ChangeOutcome::Accepted(version + 1),
                Err(refusal) => ChangeOutcome::Refused(refusal),
            },
        };
        self.operations.insert(operation.clone(), outcome.clone());
        self.operations_by_age.push_back(operation);
        if self.operations_by_age.len() > MAX_KEPT_OPERATIONS
            && let Some(oldest) = self.operations_by_age.pop_front()
        {
            self.operations.remove(&oldest);
        }
        outcome
    }

    /// The outcome of an operation; none for an unknown one, or one too old to be kept.
    pub fn operation(&self, operation: &str) -> Option<&ChangeOutcome> {
        self.operations.get(operation)
    }
}
