//! The state that control hosts agree on: configuration, operations, claims.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::claim::{Claim, ClaimDecision, ClaimTable, Settlement};
use crate::config::{Change, History, Refusal};
use crate::quarantine::{Quarantines, Verdict};
use crate::registry::DrainedHalls;
use crate::rollout::{Order, OrderOutcome, Rollouts, Step};
use crate::routing::Document;

/// Operations whose answers are kept for resends.
pub const KEPT_OPERATIONS: usize = 10_000;

/// A command in the agreed log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Change the configuration.
    Change {
        /// Names the change.
        operation: String,
        /// The version it builds on, if it names one.
        base: Option<u64>,
        /// Its steps.
        changes: Vec<Change>,
    },
    /// Claim a key at the leader's time.
    Claim {
        /// Milliseconds since the epoch.
        at_ms: u64,
        /// The claim.
        claim: Claim,
    },
    /// Settle a claim.
    Settle {
        /// Milliseconds since the epoch.
        at_ms: u64,
        /// The claim.
        claim: Claim,
        /// How it ended.
        settlement: Settlement,
    },
    /// Put a whole routing document in force, if its version is the highest.
    Replace(Box<Document>),
    /// Send nothing more to the endpoints of a data hall.
    DrainHall(String),
    /// Send to the endpoints of a data hall again.
    RestoreHall(String),
    /// Roll a release of a service out.
    StartRollout(Order),
    /// Take a roll-out one step further.
    StepRollout(Step),
    /// Refuse a request that crashes endpoints, or let it run again.
    Quarantine(Verdict),
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Changed {
    /// It is this version.
    Accepted(u64),
    /// Another came first; this version stands.
    Conflict(u64),
    /// It is wrong.
    Refused(Refusal),
}

/// What a command gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A change was decided.
    Changed(Changed),
    /// A claim was decided.
    Claimed(ClaimDecision),
    /// A settlement was taken.
    Settled,
    /// This version of the routing document is in force now; either the one
    /// sent or one at least as high.
    Replaced(u64),
    /// The data halls that are drained now.
    Halls(DrainedHalls),
    /// What became of an order to roll a release out.
    Rollout(OrderOutcome),
    /// The step of a roll-out was taken, or was out of date.
    Stepped,
    /// The verdict on a request was taken, or was out of date.
    Quarantined,
}

/// The agreed state. Applying a command is deterministic.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    pub(super) history: History,
    pub(super) operations: HashMap<String, Changed>,
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

    /// The claims.
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

    /// The roll-outs that operators have ordered.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// The requests that crash endpoints.
    pub fn quarantines(&self) -> &Quarantines {
        &self.quarantines
    }

    /// Numbers that rise with what is published: the configuration, the routing document,
    /// the drained halls, the roll-outs and the requests that crash endpoints.
    pub fn versions(&self) -> [u64; 5] {
        let configuration = self.history.config().version;
        let (drained, rollouts) = (self.drained.revision(), self.rollouts.revision());
        let quarantines = self.quarantines.revision();
        [configuration, self.document_version(), drained, rollouts, quarantines]
    }

    /// The routing document's version; 0 while there is none.
    pub fn document_version(&self) -> u64 {
        self.document.as_ref().map_or(0, |d| d.table.version)
    }

    /// Applies a command.
    pub fn apply(&mut self, command: Command) -> Reply {
        match command {
            Command::Change { operation, base, changes } => {
                Reply::Changed(self.change(operation, base, changes))
            }
            Command::Claim { at_ms, claim } => Reply::Claimed(self.claims.claim(at_ms, &claim)),
            Command::Settle { at_ms, claim, settlement } => {
                self.claims.settle(at_ms, &claim, settlement);
                Reply::Settled
            }
            Command::Replace(document) => Reply::Replaced(self.replace(*document)),
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

    /// The document with the highest version prevails; a resent one changes
    /// nothing.
    fn replace(&mut self, document: Document) -> u64 {
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

    /// An operation's first answer again; otherwise the change is decided now.
    fn change(&mut self, operation: String, base: Option<u64>, changes: Vec<Change>) -> Changed {
        if let Some(first) = self.operations.get(&operation) {
            return first.clone();
        }
        let version = self.history.config().version;
        let changed = match base {
            Some(base) if base != version => Changed::Conflict(version),
            _ => match self.history.advance(changes) {
                Ok(()) => Changed::Accepted(version + 1),
                Err(refusal) => Changed::Refused(refusal),
            },
        };
        self.operations.insert(operation.clone(), changed.clone());
        self.operations_by_age.push_back(operation);
        if self.operations_by_age.len() > KEPT_OPERATIONS
            && let Some(oldest) = self.operations_by_age.pop_front()
        {
            self.operations.remove(&oldest);
        }
        changed
    }

    /// The answer that an operation got, if it is known.
    pub fn operation(&self, operation: &str) -> Option<&Changed> {
        self.operations.get(operation)
    }
}
