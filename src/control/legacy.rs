//! The agreed state and commands as earlier releases wrote them: the one before, which had
//! no requests in quarantine, and the one before that, without a format.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use serde::Deserialize;

use super::state::{self, Changed};
use crate::claim::{Claim, Settlement, Table};
use crate::config::{Change, History};
use crate::quarantine::Quarantines;
use crate::region::AllowedRegions;
use crate::registry::DrainedHalls;
use crate::rollout::Rollouts;
use crate::routing::{self, Limits, RouteKind, ServicePool, Target};

#[derive(Deserialize)]
pub(super) struct StateBefore {
    history: History,
    operations: HashMap<String, Changed>,
    operations_by_age: VecDeque<String>,
    claims: Table,
    document: Option<Arc<routing::Document>>,
    drained: DrainedHalls,
    rollouts: Rollouts,
}

impl StateBefore {
    pub(super) fn into_today(self) -> state::State {
        let StateBefore { history, operations, operations_by_age, .. } = self;
        state::State {
            history,
            operations,
            operations_by_age,
            claims: self.claims,
            document: self.document,
            drained: self.drained,
            rollouts: self.rollouts,
            quarantines: Quarantines::default(),
        }
    }
}

#[derive(Deserialize)]
pub(super) struct State {
    history: History,
    operations: HashMap<String, Changed>,
    operations_by_age: VecDeque<String>,
    claims: Table,
    document: Option<Document>,
    drained: Drained,
}

impl State {
    pub(super) fn into_today(self) -> state::State {
        state::State {
            history: self.history,
            operations: self.operations,
            operations_by_age: self.operations_by_age,
            claims: self.claims,
            document: self.document.map(|document| Arc::new(document.into_today())),
            drained: DrainedHalls::known_without_restored(
                self.drained.revision,
                self.drained.halls,
            ),
            rollouts: Rollouts::default(),
            quarantines: Quarantines::default(),
        }
    }
}

#[derive(Deserialize)]
pub(super) enum Command {
    Change { operation: String, base: Option<u64>, changes: Vec<Change> },
    Claim { at_ms: u64, claim: Claim },
    Settle { at_ms: u64, claim: Claim, settlement: Settlement },
    Replace(Box<Document>),
    DrainHall(String),
    RestoreHall(String),
}

impl Command {
    pub(super) fn into_today(self) -> state::Command {
        use state::Command as Today;
        match self {
            Command::Change { operation, base, changes } => {
                Today::Change { operation, base, changes }
            }
            Command::Claim { at_ms, claim } => Today::Claim { at_ms, claim },
            Command::Settle { at_ms, claim, settlement } => {
                Today::Settle { at_ms, claim, settlement }
            }
            Command::Replace(document) => Today::Replace(Box::new(document.into_today())),
            Command::DrainHall(hall) => Today::DrainHall(hall),
            Command::RestoreHall(hall) => Today::RestoreHall(hall),
        }
    }
}

#[derive(Deserialize)]
struct Drained {
    revision: u64,
    halls: BTreeSet<String>,
}

#[derive(Deserialize)]
pub(super) struct Document {
    table: RoutingTable,
    source: Vec<u8>,
}

impl Document {
    fn into_today(self) -> routing::Document {
        let Document { table, source } = self;
        let table = routing::RoutingTable {
            version: table.version,
            routes: table.routes.into_iter().map(Route::into_today).collect(),
            services: table.services,
            customers: table.customers.into_iter().map(CustomerKeys::into_today).collect(),
            limits: table.limits,
        };
        routing::Document { table, source }
    }
}

#[derive(Deserialize)]
struct RoutingTable {
    version: u64,
    routes: Vec<Route>,
    services: Vec<ServicePool>,
    customers: Vec<CustomerKeys>,
    limits: Limits,
}

#[derive(Deserialize)]
struct Route {
    name: String,
    host: String,
    prefix: String,
    kind: RouteKind,
    timeout_ms: u64,
    objective_ms: u64,
    pause_objective_ms: u64,
    priority: u32,
    targets: Vec<Target>,
    attempts: u32,
    public: bool,
    resumable: bool,
}

impl Route {
    fn into_today(self) -> routing::Route {
        routing::Route {
            name: self.name,
            host: self.host,
            prefix: self.prefix,
            kind: self.kind,
            timeout_ms: self.timeout_ms,
            objective_ms: self.objective_ms,
            pause_objective_ms: self.pause_objective_ms,
            priority: self.priority,
            targets: self.targets,
            attempts: self.attempts,
            public: self.public,
            resumable: self.resumable,
            regions: AllowedRegions::Anywhere,
        }
    }
}

#[derive(Deserialize)]
struct CustomerKeys {
    name: String,
    keys: Vec<String>,
    priority: Option<u32>,
}

impl CustomerKeys {
    fn into_today(self) -> routing::CustomerKeys {
        let CustomerKeys { name, keys, priority } = self;
        routing::CustomerKeys { name, keys, priority, regions: AllowedRegions::Anywhere }
    }
}
