//! The agreed state and commands as earlier releases wrote them: the one before, which knew
//! no health paths of services, the one before that, which had no requests in quarantine
//! either, and the one without a format.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use serde::Deserialize;

use super::state::{self, Changed};
use crate::claim::{Claim, ClaimTable, Settlement};
use crate::config::{Change, History};
use crate::quarantine::{Quarantines, Verdict};
use crate::region::AllowedRegions;
use crate::registry::DrainedHalls;
use crate::rollout::{Order, Rollouts, Step};
use crate::routing::{self, Engine, Limits, RouteKind, Target};

/// The path that is asked where a document says nothing of it.
const NO_HEALTH_PATH: &str = "/";

/// A document whose routes and customers may be served in any region.
pub(super) type DocumentAnywhere = Document<Route, CustomerKeys>;
/// A document of the release before.
pub(super) type DocumentBefore = Document<routing::Route, routing::CustomerKeys>;

/// What all releases write first of a state.
#[derive(Deserialize)]
struct Changes {
    history: History,
    operations: HashMap<String, Changed>,
    operations_by_age: VecDeque<String>,
    claims: ClaimTable,
}

impl Changes {
    fn into_today(self) -> state::State {
        state::State {
            history: self.history,
            operations: self.operations,
            operations_by_age: self.operations_by_age,
            claims: self.claims,
            document: None,
            drained: DrainedHalls::default(),
            rollouts: Rollouts::default(),
            quarantines: Quarantines::default(),
        }
    }
}

#[derive(Deserialize)]
pub(super) struct StateBefore {
    before: StateWithoutQuarantine,
    quarantines: Quarantines,
}

impl StateBefore {
    pub(super) fn into_today(self) -> state::State {
        state::State { quarantines: self.quarantines, ..self.before.into_today() }
    }
}

#[derive(Deserialize)]
pub(super) struct StateWithoutQuarantine {
    changes: Changes,
    document: Option<DocumentBefore>,
    drained: DrainedHalls,
    rollouts: Rollouts,
}

impl StateWithoutQuarantine {
    pub(super) fn into_today(self) -> state::State {
        state::State {
            document: self.document.map(|document| Arc::new(document.into_today())),
            drained: self.drained,
            rollouts: self.rollouts,
            ..self.changes.into_today()
        }
    }
}

#[derive(Deserialize)]
pub(super) struct State {
    changes: Changes,
    document: Option<DocumentAnywhere>,
    drained: Drained,
}

impl State {
    pub(super) fn into_today(self) -> state::State {
        let Drained { revision, halls } = self.drained;
        state::State {
            document: self.document.map(|document| Arc::new(document.into_today())),
            drained: DrainedHalls::without_restored(revision, halls),
            ..self.changes.into_today()
        }
    }
}

/// Commands of all earlier releases; the first had none of the last three.
#[derive(Deserialize)]
pub(super) enum Command<D> {
    Change { operation: String, base: Option<u64>, changes: Vec<Change> },
    Claim { at_ms: u64, claim: Claim },
    Settle { at_ms: u64, claim: Claim, settlement: Settlement },
    Replace(Box<D>),
    DrainHall(String),
    RestoreHall(String),
    StartRollout(Order),
    StepRollout(Step),
    Quarantine(Verdict),
}

impl<R, C> Command<Document<R, C>>
where
    R: Into<routing::Route>,
    C: Into<routing::CustomerKeys>,
{
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
            Command::StartRollout(order) => Today::StartRollout(order),
            Command::StepRollout(step) => Today::StepRollout(step),
            Command::Quarantine(verdict) => Today::Quarantine(verdict),
        }
    }
}

#[derive(Deserialize)]
struct Drained {
    revision: u64,
    halls: BTreeSet<String>,
}

#[derive(Deserialize)]
pub(super) struct Document<R, C> {
    table: RoutingTable<R, C>,
    source: Vec<u8>,
}

impl<R, C> Document<R, C>
where
    R: Into<routing::Route>,
    C: Into<routing::CustomerKeys>,
{
    fn into_today(self) -> routing::Document {
        let Document { table, source } = self;
        let table = routing::RoutingTable {
            version: table.version,
            routes: table.routes.into_iter().map(Into::into).collect(),
            services: table.services.into_iter().map(ServicePool::into_today).collect(),
            customers: table.customers.into_iter().map(Into::into).collect(),
            limits: table.limits,
        };
        routing::Document { table, source }
    }
}

#[derive(Deserialize)]
struct RoutingTable<R, C> {
    version: u64,
    routes: Vec<R>,
    services: Vec<ServicePool>,
    customers: Vec<C>,
    limits: Limits,
}

#[derive(Deserialize)]
struct ServicePool {
    name: String,
    max_connections: u32,
    engine: Option<Engine>,
    cold_per_second: Option<f64>,
}

impl ServicePool {
    fn into_today(self) -> routing::ServicePool {
        routing::ServicePool {
            name: self.name,
            health_path: NO_HEALTH_PATH.into(),
            max_connections: self.max_connections,
            engine: self.engine,
            cold_per_second: self.cold_per_second,
        }
    }
}

#[derive(Deserialize)]
pub(super) struct Route {
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

impl From<Route> for routing::Route {
    fn from(route: Route) -> routing::Route {
        routing::Route {
            name: route.name,
            host: route.host,
            prefix: route.prefix,
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            objective_ms: route.objective_ms,
            pause_objective_ms: route.pause_objective_ms,
            priority: route.priority,
            targets: route.targets,
            attempts: route.attempts,
            public: route.public,
            resumable: route.resumable,
            regions: AllowedRegions::Anywhere,
        }
    }
}

#[derive(Deserialize)]
pub(super) struct CustomerKeys {
    name: String,
    keys: Vec<String>,
    priority: Option<u32>,
}

impl From<CustomerKeys> for routing::CustomerKeys {
    fn from(customer: CustomerKeys) -> routing::CustomerKeys {
        let CustomerKeys { name, keys, priority } = customer;
        routing::CustomerKeys { name, keys, priority, regions: AllowedRegions::Anywhere }
    }
}
