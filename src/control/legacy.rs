//! The agreed state and commands as earlier releases encoded them: the previous release, which did
//! not tell an empty list of customers from a missing one; the one before, which could blame
//! nothing but requests for crashes; the one before that, whose services had no health path
//! either; the one before that, which had no quarantine at all; and the first one, which wrote no
//! format number and had neither rollouts nor allowed regions.
//!
//! These types are decoded by position: the order, number and types of their fields and variants
//! are those of the stored data.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use serde::Deserialize;

use super::state::{self, ChangeOutcome};
use crate::claim::{Claim, ClaimTable, Settlement};
use crate::config::{Change, History};
use crate::quarantine::{Quarantines, RequestQuarantines, RequestVerdict, Verdict};
use crate::region::AllowedRegions;
use crate::registry::DrainedHalls;
use crate::rollout::{Order, Rollouts, Step};
use crate::routing::{self, Callers, Engine, Limits, RouteKind, Target};

/// The health path of services in documents that have none.
const DEFAULT_HEALTH_PATH: &str = "/";

/// A document of the first release, whose routes and customers have no allowed regions.
pub(super) type DocumentWithoutRegions = Document<Route, ServicePool, CustomerKeys>;
/// A document of releases whose services have no health path.
pub(super) type DocumentWithoutHealthPath =
    Document<routing::Route, ServicePool, routing::CustomerKeys>;
/// A document of releases that do not tell an empty list of customers from a missing one.
pub(super) type DocumentWithoutCallers =
    Document<routing::Route, routing::ServicePool, routing::CustomerKeys>;

/// The fields with which the state of every release begins.
#[derive(Deserialize)]
struct CommonState {
    history: History,
    operations: HashMap<String, ChangeOutcome>,
    operations_by_age: VecDeque<String>,
    claims: ClaimTable,
}

impl CommonState {
    fn into_current(self) -> state::State {
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
pub(super) struct StateWithoutCallers {
    common: CommonState,
    document: Option<DocumentWithoutCallers>,
    drained: DrainedHalls,
    rollouts: Rollouts,
    quarantines: Quarantines,
}

impl StateWithoutCallers {
    pub(super) fn into_current(self) -> state::State {
        state::State {
            document: self.document.map(|document| Arc::new(document.into())),
            drained: self.drained,
            rollouts: self.rollouts,
            quarantines: self.quarantines,
            ..self.common.into_current()
        }
    }
}

#[derive(Deserialize)]
pub(super) struct StateWithoutSuspects {
    common: CommonState,
    document: Option<DocumentWithoutCallers>,
    drained: DrainedHalls,
    rollouts: Rollouts,
    quarantines: RequestQuarantines,
}

impl StateWithoutSuspects {
    pub(super) fn into_current(self) -> state::State {
        state::State {
            document: self.document.map(|document| Arc::new(document.into())),
            drained: self.drained,
            rollouts: self.rollouts,
            quarantines: self.quarantines.into(),
            ..self.common.into_current()
        }
    }
}

#[derive(Deserialize)]
pub(super) struct StateWithoutHealthPath {
    base: StateWithoutQuarantine,
    quarantines: RequestQuarantines,
}

impl StateWithoutHealthPath {
    pub(super) fn into_current(self) -> state::State {
        state::State { quarantines: self.quarantines.into(), ..self.base.into_current() }
    }
}

#[derive(Deserialize)]
pub(super) struct StateWithoutQuarantine {
    common: CommonState,
    document: Option<DocumentWithoutHealthPath>,
    drained: DrainedHalls,
    rollouts: Rollouts,
}

impl StateWithoutQuarantine {
    pub(super) fn into_current(self) -> state::State {
        state::State {
            document: self.document.map(|document| Arc::new(document.into())),
            drained: self.drained,
            rollouts: self.rollouts,
            ..self.common.into_current()
        }
    }
}

#[derive(Deserialize)]
pub(super) struct UnformattedState {
    common: CommonState,
    document: Option<DocumentWithoutRegions>,
    drained: Drained,
}

impl UnformattedState {
    pub(super) fn into_current(self) -> state::State {
        let Drained { revision, halls } = self.drained;
        state::State {
            document: self.document.map(|document| Arc::new(document.into())),
            drained: DrainedHalls::without_restored(revision, halls),
            ..self.common.into_current()
        }
    }
}

/// The commands of all earlier releases. The first release lacks the last three, the release
/// without quarantine the last one.
#[derive(Deserialize)]
pub(super) enum Command<D, V = RequestVerdict> {
    Change { operation: String, base: Option<u64>, changes: Vec<Change> },
    Claim { at_ms: u64, claim: Claim },
    Settle { at_ms: u64, claim: Claim, settlement: Settlement },
    Replace(Box<D>),
    DrainHall(String),
    RestoreHall(String),
    StartRollout(Order),
    StepRollout(Step),
    Quarantine(V),
}

impl<D: Into<routing::Document>, V: Into<Verdict>> Command<D, V> {
    pub(super) fn into_current(self) -> state::Command {
        use state::Command as Current;
        match self {
            Command::Change { operation, base, changes } => {
                Current::Change { operation, base, changes }
            }
            Command::Claim { at_ms, claim } => Current::Claim { at_ms, claim },
            Command::Settle { at_ms, claim, settlement } => {
                Current::Settle { at_ms, claim, settlement }
            }
            Command::Replace(document) => Current::Replace(Box::new((*document).into())),
            Command::DrainHall(hall) => Current::DrainHall(hall),
            Command::RestoreHall(hall) => Current::RestoreHall(hall),
            Command::StartRollout(order) => Current::StartRollout(order),
            Command::StepRollout(step) => Current::StepRollout(step),
            Command::Quarantine(verdict) => Current::Quarantine(verdict.into()),
        }
    }
}

#[derive(Deserialize)]
struct Drained {
    revision: u64,
    halls: BTreeSet<String>,
}

#[derive(Deserialize)]
pub(super) struct Document<R, S, C> {
    table: RoutingTable<R, S, C>,
    source: Vec<u8>,
}

impl<R, S, C> From<Document<R, S, C>> for routing::Document
where
    R: Into<routing::Route>,
    S: Into<routing::ServicePool>,
    C: Into<routing::CustomerKeys>,
{
    fn from(before: Document<R, S, C>) -> routing::Document {
        let Document { table, source } = before;
        let customers: Vec<_> = table.customers.into_iter().map(Into::into).collect();
        // What was in force stays in force: releases without callers let anyone call then.
        let callers = match customers.is_empty() {
            true => Callers::Anyone,
            false => Callers::Customers(customers),
        };
        let table = routing::RoutingTable {
            version: table.version,
            routes: table.routes.into_iter().map(Into::into).collect(),
            services: table.services.into_iter().map(Into::into).collect(),
            callers,
            limits: table.limits,
        };
        routing::Document { table, source }
    }
}

#[derive(Deserialize)]
struct RoutingTable<R, S, C> {
    version: u64,
    routes: Vec<R>,
    services: Vec<S>,
    customers: Vec<C>,
    limits: Limits,
}

#[derive(Deserialize)]
pub(super) struct ServicePool {
    name: String,
    max_connections: u32,
    engine: Option<Engine>,
    cold_per_second: Option<f64>,
}

impl From<ServicePool> for routing::ServicePool {
    fn from(service: ServicePool) -> routing::ServicePool {
        routing::ServicePool {
            name: service.name,
            health_path: DEFAULT_HEALTH_PATH.into(),
            max_connections: service.max_connections,
            engine: service.engine,
            cold_per_second: service.cold_per_second,
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
