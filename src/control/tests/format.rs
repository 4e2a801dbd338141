//! Decoding of stored data of earlier releases. The types of those releases are repeated here
//! with their fields in the order in which they were encoded.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use serde::Serialize;

use super::*;
use crate::claim::{Attempt, Claim, ClaimDecision, ClaimTable, Settlement};
use crate::config::{CustomerId, History};
use crate::control::format::{decode_command, decode_state, encode_command, encode_state};
use crate::error::Error;
use crate::quarantine::{Fingerprint, Quarantine, Quarantines, RequestQuarantines, Stage, Suspect};
use crate::region::AllowedRegions;
use crate::registry::DrainedHalls;
use crate::rollout::{Order, Rollouts, Step};
use crate::routing::{
    Callers, CustomerKeys, Engine, Limits, Route, RouteKind, RoutingTable, ServicePool, Target,
};
use crate::wire::HostId;

#[derive(Serialize)]
struct OldState {
    history: History,
    operations: HashMap<String, ChangeOutcome>,
    operations_by_age: VecDeque<String>,
    claims: ClaimTable,
    document: Option<Arc<OldDocument<OldRoute, OldServicePool, OldCustomer>>>,
    drained: OldDrained,
}

/// The state of the previous release, which follows its format number.
#[derive(Serialize)]
struct StateWithoutCallers {
    history: History,
    operations: HashMap<String, ChangeOutcome>,
    operations_by_age: VecDeque<String>,
    claims: ClaimTable,
    document: Option<Arc<DocumentWithoutCallers>>,
    drained: DrainedHalls,
    rollouts: Rollouts,
    quarantines: Quarantines,
}

/// The state of the release before that one.
#[derive(Serialize)]
struct StateWithoutSuspects {
    history: History,
    operations: HashMap<String, ChangeOutcome>,
    operations_by_age: VecDeque<String>,
    claims: ClaimTable,
    document: Option<Arc<DocumentWithoutCallers>>,
    drained: DrainedHalls,
    rollouts: Rollouts,
    quarantines: OldQuarantines,
}

/// The state of the release before that one.
#[derive(Serialize)]
struct StateWithoutHealthPath {
    history: History,
    operations: HashMap<String, ChangeOutcome>,
    operations_by_age: VecDeque<String>,
    claims: ClaimTable,
    document: Option<Arc<OldDocument<Route, OldServicePool, CustomerKeys>>>,
    drained: DrainedHalls,
    rollouts: Rollouts,
    quarantines: OldQuarantines,
}

/// The state of the release before that one.
#[derive(Serialize)]
struct StateWithoutQuarantine {
    history: History,
    operations: HashMap<String, ChangeOutcome>,
    operations_by_age: VecDeque<String>,
    claims: ClaimTable,
    document: Option<Arc<OldDocument<Route, OldServicePool, CustomerKeys>>>,
    drained: DrainedHalls,
    rollouts: Rollouts,
}

#[derive(Serialize)]
#[allow(dead_code)]
enum OldCommand<R, S, C> {
    Change { operation: String, base: Option<u64>, changes: Vec<Change> },
    Claim { at_ms: u64, claim: Claim },
    Settle { at_ms: u64, claim: Claim, settlement: Settlement },
    Replace(Box<OldDocument<R, S, C>>),
    DrainHall(String),
    RestoreHall(String),
    StartRollout(Order),
    StepRollout(Step),
    Quarantine(OldVerdict),
}

/// Quarantines of releases that could blame nothing but requests.
#[derive(Clone, Default, Serialize)]
struct OldQuarantines {
    revision: u64,
    requests: BTreeMap<Fingerprint, (Quarantine, u64)>,
    released: VecDeque<(u64, Fingerprint)>,
    releases_dropped_to: u64,
}

#[derive(Serialize)]
#[allow(dead_code)]
enum OldVerdict {
    Refuse { fingerprint: Fingerprint, crashes: u32, at_ms: u64 },
    Trial { fingerprint: Fingerprint, at_ms: u64 },
    Release(Fingerprint),
}

fn fingerprint(name: &str) -> Fingerprint {
    Fingerprint::of("customer", &["/"], name.as_bytes())
}

fn suspect(name: &str) -> Suspect {
    Suspect::Request(fingerprint(name))
}

fn quarantine() -> Quarantine {
    Quarantine { stage: Stage::Refused, crashes: 3, times: 1, since_ms: 4, until_ms: 5 }
}

/// Quarantines in which no part is empty.
fn old_quarantines() -> OldQuarantines {
    OldQuarantines {
        revision: 7,
        requests: BTreeMap::from([(fingerprint("refused"), (quarantine(), 6))]),
        released: VecDeque::from([(5, fingerprint("released"))]),
        releases_dropped_to: 2,
    }
}

/// The same in the current form.
fn quarantines() -> Quarantines {
    let encoded = postcard::to_stdvec(&old_quarantines()).unwrap();
    postcard::from_bytes::<RequestQuarantines>(&encoded).unwrap().into()
}

#[derive(Serialize)]
struct OldDrained {
    revision: u64,
    halls: BTreeSet<String>,
}

#[derive(Serialize)]
struct OldDocument<R, S, C> {
    table: OldTable<R, S, C>,
    source: Vec<u8>,
}

type DocumentWithoutCallers = OldDocument<Route, ServicePool, CustomerKeys>;

#[derive(Serialize)]
struct OldTable<R, S, C> {
    version: u64,
    routes: Vec<R>,
    services: Vec<S>,
    customers: Vec<C>,
    limits: Limits,
}

#[derive(Serialize)]
struct OldServicePool {
    name: String,
    max_connections: u32,
    engine: Option<Engine>,
    cold_per_second: Option<f64>,
}

fn old_services() -> Vec<OldServicePool> {
    let services = with_services().document().unwrap().table.services.clone();
    let old = |service: ServicePool| OldServicePool {
        name: service.name,
        max_connections: service.max_connections,
        engine: service.engine,
        cold_per_second: service.cold_per_second,
    };
    services.into_iter().map(old).collect()
}

#[derive(Serialize)]
struct OldRoute {
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

#[derive(Serialize)]
struct OldCustomer {
    name: String,
    keys: Vec<String>,
    priority: Option<u32>,
}

/// A document in the form of the first release.
fn old_document(version: u64) -> OldDocument<OldRoute, OldServicePool, OldCustomer> {
    let route = OldRoute {
        name: "r".into(),
        host: "h".into(),
        prefix: "/p/".into(),
        kind: RouteKind::Streaming,
        timeout_ms: 1_000,
        objective_ms: 100,
        pause_objective_ms: 10,
        priority: 2,
        targets: vec![Target { service: "llm".into(), weight: 3 }],
        attempts: 4,
        public: true,
        resumable: true,
    };
    let customer = |name: &str, priority| OldCustomer {
        name: name.into(),
        keys: vec![format!("key of {name}")],
        priority,
    };
    let table = OldTable {
        version,
        routes: vec![route],
        services: old_services(),
        customers: vec![customer("x", Some(7)), customer("y", None)],
        limits: Limits::default(),
    };
    OldDocument { table, source: b"the text".to_vec() }
}

/// The same document in the form of the two previous releases.
fn document_without_callers(version: u64) -> DocumentWithoutCallers {
    let Document { table, source } = document(version);
    let RoutingTable { version, routes, services, callers, limits } = table;
    let customers = callers.customers().to_vec();
    OldDocument { table: OldTable { version, routes, services, customers, limits }, source }
}

/// The same document in the form of the two releases before these.
fn document_without_health_path(version: u64) -> OldDocument<Route, OldServicePool, CustomerKeys> {
    let OldDocument { table, source } = document_without_callers(version);
    let OldTable { version, routes, customers, limits, .. } = table;
    let table = OldTable { version, routes, services: old_services(), customers, limits };
    OldDocument { table, source }
}

/// The same document in the current form.
pub(super) fn document(version: u64) -> Document {
    let regions = AllowedRegions::Anywhere;
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/p/".into(),
        kind: RouteKind::Streaming,
        timeout_ms: 1_000,
        objective_ms: 100,
        pause_objective_ms: 10,
        priority: 2,
        targets: vec![Target { service: "llm".into(), weight: 3 }],
        attempts: 4,
        public: true,
        resumable: true,
        regions: regions.clone(),
    };
    let customer = |name: &str, priority| CustomerKeys {
        name: name.into(),
        keys: vec![format!("key of {name}")],
        priority,
        regions: regions.clone(),
    };
    let table = RoutingTable {
        version,
        routes: vec![route],
        services: with_services().document().unwrap().table.services.clone(),
        callers: Callers::Customers(vec![customer("x", Some(7)), customer("y", None)]),
        limits: Limits::default(),
    };
    Document { table, source: b"the text".to_vec() }
}

fn claim() -> Claim {
    let attempt = Attempt { router: HostId(1), incarnation: 2, seq: 3 };
    Claim { customer: CustomerId(0), key: "once".into(), fingerprint: 4, attempt }
}

/// An encoded state of the first release in which no part is empty.
pub(super) fn old_state() -> Vec<u8> {
    let mut current_state = State::default();
    current_state.apply(change("a", Some(0), "x"));
    current_state.apply(change("b", Some(0), "y"));
    current_state.apply(Command::Claim { at_ms: 1, claim: claim() });
    let State { history, operations, operations_by_age, claims, .. } = current_state;
    let old = OldState {
        history,
        operations,
        operations_by_age,
        claims,
        document: Some(Arc::new(old_document(5))),
        drained: OldDrained { revision: 3, halls: BTreeSet::from(["a".into(), "b".into()]) },
    };
    postcard::to_stdvec(&old).unwrap()
}

pub(super) fn old_commands() -> Vec<Vec<u8>> {
    let commands: [OldCommand<OldRoute, OldServicePool, OldCustomer>; 5] = [
        OldCommand::Change {
            operation: "c".into(),
            base: Some(1),
            changes: vec![Change::PutCustomer(customer("z"))],
        },
        OldCommand::Settle { at_ms: 2, claim: claim(), settlement: Settlement::Answered(None) },
        OldCommand::Replace(Box::new(old_document(6))),
        OldCommand::RestoreHall("b".into()),
        OldCommand::DrainHall("c".into()),
    ];
    commands.iter().map(|command| postcard::to_stdvec(command).unwrap()).collect()
}

#[test]
fn a_snapshot_of_the_first_release_decodes_completely() {
    let mut state = decode_state(&old_state(), 9).unwrap();
    assert_eq!(state.versions(), [1, 5, 3, 0, 0]);
    assert!(state.history().config().customer_id("x").is_some());
    assert_eq!(state.history().deltas().count(), 1);
    assert_eq!(state.apply(change("a", None, "again")), accepted(1), "the recorded outcome");
    assert_eq!(state.operation("b"), Some(&ChangeOutcome::Conflict(1)));
    let other = Claim { attempt: Attempt { seq: 9, ..claim().attempt }, ..claim() };
    let held = state.apply(Command::Claim { at_ms: 2, claim: other });
    assert_eq!(held, Reply::Claimed(ClaimDecision::Running(claim().attempt)));
    assert_eq!(**state.document().unwrap(), document(5));
    assert_eq!(state.drained().names().collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!(state.drained().restored_after(0).count(), 0);
}

#[test]
fn commands_of_the_first_release_are_applied() {
    let mut state = decode_state(&old_state(), 9).unwrap();
    for command in old_commands() {
        state.apply(decode_command(&command, 10).unwrap());
    }
    assert_eq!(state.versions(), [2, 6, 5, 0, 0]);
    assert_eq!(**state.document().unwrap(), document(6));
    assert_eq!(state.drained().names().collect::<Vec<_>>(), ["a", "c"]);
    let claimed = state.apply(Command::Claim { at_ms: 3, claim: claim() });
    assert_eq!(claimed, Reply::Claimed(ClaimDecision::Answered(None)));
}

/// An encoded state in which no part is empty, in the form of each of the four previous releases,
/// the latest first. The oldest had no quarantines.
fn previous_states() -> [Vec<u8>; 4] {
    let mut current_state = with_services();
    current_state.apply(change("a", Some(0), "x"));
    current_state.apply(Command::Claim { at_ms: 1, claim: claim() });
    current_state.apply(Command::DrainHall("a".into()));
    current_state.apply(order("llm", "v2"));
    let State { history, operations, operations_by_age, claims, drained, rollouts, .. } =
        current_state;
    let document = || Some(Arc::new(document_without_callers(5)));
    let without_callers = StateWithoutCallers {
        history: history.clone(),
        operations: operations.clone(),
        operations_by_age: operations_by_age.clone(),
        claims: claims.clone(),
        document: document(),
        drained: drained.clone(),
        rollouts: rollouts.clone(),
        quarantines: quarantines(),
    };
    let without_suspects = StateWithoutSuspects {
        history: history.clone(),
        operations: operations.clone(),
        operations_by_age: operations_by_age.clone(),
        claims: claims.clone(),
        document: document(),
        drained: drained.clone(),
        rollouts: rollouts.clone(),
        quarantines: old_quarantines(),
    };
    let document = || Some(Arc::new(document_without_health_path(5)));
    let without_health_path = StateWithoutHealthPath {
        history: history.clone(),
        operations: operations.clone(),
        operations_by_age: operations_by_age.clone(),
        claims: claims.clone(),
        document: document(),
        drained: drained.clone(),
        rollouts: rollouts.clone(),
        quarantines: old_quarantines(),
    };
    let document = document();
    let without_quarantine = StateWithoutQuarantine {
        history,
        operations,
        operations_by_age,
        claims,
        document,
        drained,
        rollouts,
    };
    let state_prefix = [0xff_u8; 9];
    [
        postcard::to_stdvec(&(state_prefix, 0x84_u8, without_callers)),
        postcard::to_stdvec(&(state_prefix, 0x83_u8, without_suspects)),
        postcard::to_stdvec(&(state_prefix, 0x82_u8, without_health_path)),
        postcard::to_stdvec(&(state_prefix, 0x81_u8, without_quarantine)),
    ]
    .map(Result::unwrap)
}

#[test]
fn snapshots_of_the_four_previous_releases_decode_completely() {
    for (bytes, has_quarantines) in previous_states().into_iter().zip([true, true, true, false]) {
        let state = decode_state(&bytes, 9).unwrap();
        let refused = state.quarantines().get(&suspect("refused"));
        assert_eq!(refused, has_quarantines.then_some(&quarantine()));
        let update = state.quarantines().update_after(4).map(|update| update.released);
        assert_eq!(update, has_quarantines.then(|| vec![(5, suspect("released"))]));
        assert_eq!(**state.document().unwrap(), document(5));
        assert!(state.history().config().customer_id("x").is_some());
        assert_eq!(state.drained().names().collect::<Vec<_>>(), ["a"]);
        assert!(state.rollouts().get("llm").is_some());
    }
}

#[test]
fn verdicts_of_the_two_previous_releases_are_applied() {
    for format in [0x82_u8, 0x83] {
        let mut state = with_services();
        let mut apply = |verdict| {
            let command = OldCommand::<Route, OldServicePool, CustomerKeys>::Quarantine(verdict);
            let bytes = postcard::to_stdvec(&(format, command)).unwrap();
            state.apply(decode_command(&bytes, 10).unwrap());
        };
        for name in ["refused", "released"] {
            let fingerprint = fingerprint(name);
            apply(OldVerdict::Refuse { fingerprint, crashes: 3, at_ms: 4 });
        }
        apply(OldVerdict::Release(fingerprint("released")));
        apply(OldVerdict::Trial { fingerprint: fingerprint("refused"), at_ms: 5 });
        let quarantines = state.quarantines();
        assert_eq!(quarantines.get(&suspect("refused")).unwrap().stage, Stage::Trial);
        assert_eq!(quarantines.get(&suspect("released")), None);
    }
}

#[test]
fn documents_of_the_two_previous_releases_are_put_in_force() {
    #[derive(Serialize)]
    #[allow(dead_code)]
    enum Command {
        Change,
        Claim,
        Settle,
        Replace(Box<DocumentWithoutCallers>),
    }
    for format in [0x83_u8, 0x84] {
        let mut state = with_services();
        let replace = Command::Replace(Box::new(document_without_callers(9)));
        let bytes = postcard::to_stdvec(&(format, replace)).unwrap();
        state.apply(decode_command(&bytes, 10).unwrap());
        assert_eq!(**state.document().unwrap(), document(9));
    }
}

/// The release before let anyone call where it held no customers, and could not tell whether a
/// list of none had been submitted.
#[test]
fn a_document_of_the_previous_release_without_customers_stays_open_to_anyone() {
    #[derive(Serialize)]
    #[allow(dead_code)]
    enum Command {
        Change,
        Claim,
        Settle,
        Replace(Box<DocumentWithoutCallers>),
    }
    let mut old = document_without_callers(9);
    old.table.customers.clear();
    let bytes = postcard::to_stdvec(&(0x84_u8, Command::Replace(Box::new(old)))).unwrap();
    let mut state = with_services();
    state.apply(decode_command(&bytes, 10).unwrap());
    assert_eq!(state.document().unwrap().table.callers, Callers::Anyone);
}

/// Guards against an empty list of customers that became a missing one in the log, in a snapshot
/// or on the way to a router.
#[test]
fn an_empty_list_of_customers_survives_commands_snapshots_and_feeds() {
    for callers in [Callers::Anyone, Callers::Customers(vec![])] {
        let mut document = document(9);
        document.table.callers = callers.clone();
        let command = encode_command(&Command::Replace(Box::new(document))).unwrap();
        let mut state = with_services();
        state.apply(decode_command(&command, 10).unwrap());
        let state = decode_state(&encode_state(&state).unwrap(), 10).unwrap();
        let agreed = crate::routing::Routing::new(state.document().unwrap().table.clone());
        let router = crate::routing::CurrentRouting::default();
        router.adopt_encoded(9, &agreed.encoded()).unwrap();
        let in_force = router.current().unwrap();
        assert_eq!(in_force.table.callers, callers);
        assert_eq!(in_force.needs_keys(), callers != Callers::Anyone);
    }
}

#[test]
fn commands_of_earlier_releases_with_rollouts_are_applied() {
    let Command::StartRollout(started) = order("llm", "v2") else { panic!("another command") };
    for format in [0x81_u8, 0x82] {
        let mut state = with_services();
        let replace: OldCommand<Route, OldServicePool, CustomerKeys> =
            OldCommand::Replace(Box::new(document_without_health_path(9)));
        for command in [replace, OldCommand::StartRollout(started.clone())] {
            let bytes = postcard::to_stdvec(&(format, command)).unwrap();
            state.apply(decode_command(&bytes, 10).unwrap());
        }
        assert_eq!(**state.document().unwrap(), document(9));
        assert!(state.rollouts().get("llm").is_some());
    }
}

#[test]
fn encoded_commands_and_states_decode_to_the_same_values() {
    let mut state = with_services();
    for command in [order("llm", "v2"), change("a", None, "x"), Command::DrainHall("a".into())] {
        let read = decode_command(&encode_command(&command).unwrap(), 1).unwrap();
        assert_eq!(read, command);
        state.apply(read);
    }
    let read = decode_state(&encode_state(&state).unwrap(), 1).unwrap();
    assert_eq!(read.versions(), state.versions());
    assert_eq!(read.rollouts(), state.rollouts());
    assert_eq!(decode_state(&[], 0).unwrap().versions(), [0; 5], "an empty snapshot");
}

/// The text of the error that an operator sees for unreadable data.
fn unreadable_text<T>(read: Result<T, Error>) -> String {
    match read {
        Err(error @ Error::Unreadable { .. }) => error.to_string(),
        Err(error) => panic!("another error: {error}"),
        Ok(_) => panic!("decoded without an error"),
    }
}

#[test]
fn the_error_for_another_format_names_both_formats_and_the_remedy() {
    let mut state = encode_state(&State::default()).unwrap();
    state[9] += 1;
    let mut command = encode_command(&Command::DrainHall("a".into())).unwrap();
    command[0] += 1;
    let remedy = "has format 134, this release reads 133; install the release that wrote it again";
    assert_eq!(
        unreadable_text(decode_state(&state, 7)),
        format!("the snapshot at entry 7 {remedy}")
    );
    let read = unreadable_text(decode_command(&command, 8));
    assert_eq!(read, format!("the agreed command at entry 8 {remedy}"));
}

#[test]
fn truncated_data_and_trailing_bytes_are_errors() {
    let current = encode_state(&with_services()).unwrap();
    let command = encode_command(&Command::DrainHall("a".into())).unwrap();
    for bytes in [old_state(), current] {
        assert!(
            unreadable_text(decode_state(&bytes[..bytes.len() - 1], 1)).contains("does not decode")
        );
        assert!(
            unreadable_text(decode_state(&[&bytes[..], &[0]].concat(), 1))
                .contains("does not decode")
        );
    }
    for bytes in old_commands().into_iter().chain([command]) {
        assert!(
            unreadable_text(decode_command(&bytes[..bytes.len() - 1], 1))
                .contains("does not decode")
        );
        assert!(
            unreadable_text(decode_command(&[&bytes[..], &[0]].concat(), 1))
                .contains("does not decode")
        );
    }
    unreadable_text(decode_command(&[], 1));
    unreadable_text(decode_command(&[6, 0], 1));
}
