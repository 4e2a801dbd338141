mod folder;
mod format;
mod registrations;

use proptest::prelude::*;

use super::state::*;
use crate::config::{Change, Customer};
use crate::rollout::{Order, OrderOutcome, Stage, Step};
use crate::routing::{Document, RoutingTable, ServicePool};

fn customer(name: &str) -> Customer {
    serde_saphyr::from_str(&format!("{{name: {name}}}")).unwrap()
}

fn change(operation: &str, base: Option<u64>, name: &str) -> Command {
    Command::Change {
        operation: operation.into(),
        base,
        changes: vec![Change::PutCustomer(customer(name))],
    }
}

fn accepted(version: u64) -> Reply {
    Reply::Changed(ChangeOutcome::Accepted(version))
}

#[test]
fn of_two_concurrent_changes_one_is_accepted_and_the_other_conflicts() {
    let mut state = State::default();
    assert_eq!(state.apply(change("a", Some(0), "x")), accepted(1));
    assert_eq!(state.apply(change("b", Some(0), "y")), Reply::Changed(ChangeOutcome::Conflict(1)));
    assert!(state.history().config().customer_id("y").is_none());
}

#[test]
fn a_resent_change_gets_its_recorded_outcome_and_is_not_applied_again() {
    let mut state = State::default();
    state.apply(change("a", Some(0), "x"));
    state.apply(change("b", Some(1), "y"));
    assert_eq!(state.apply(change("a", Some(0), "x")), accepted(1));
    assert_eq!(state.history().config().version, 2);
}

#[test]
fn an_invalid_change_is_refused_with_its_field() {
    let mut state = State::default();
    let invalid = Command::Change {
        operation: "a".into(),
        base: None,
        changes: vec![Change::PutCustomer(Customer { share: 0, ..customer("x") })],
    };
    let Reply::Changed(ChangeOutcome::Refused(refusal)) = state.apply(invalid) else {
        panic!("not refused");
    };
    assert_eq!(refusal.field, "customers.x.share");
    assert_eq!(state.history().config().version, 0);
}

proptest! {
    #![proptest_config(crate::testing::property(128))]

    /// Resent operations keep the outcome of their first attempt, and the version is the number
    /// of accepted ones.
    #[test]
    fn each_operation_has_one_outcome(
        sends in proptest::collection::vec((0u8..12, proptest::option::of(0u64..6)), 0..60),
    ) {
        let mut state = State::default();
        let mut outcomes = std::collections::HashMap::new();
        for (operation, base) in sends {
            let reply = state.apply(change(&operation.to_string(), base, "x"));
            let first = outcomes.entry(operation).or_insert_with(|| reply.clone());
            prop_assert_eq!(first, &reply);
        }
        let accepted_outcomes = outcomes
            .values()
            .filter(|r| matches!(r, Reply::Changed(ChangeOutcome::Accepted(_))));
        prop_assert_eq!(state.history().config().version, accepted_outcomes.count() as u64);
    }

    /// A state restored from a snapshot applies commands with the same results as the original.
    #[test]
    fn a_snapshot_restores_the_state(count in 0u64..30) {
        let mut state = State::default();
        for n in 0..count {
            state.apply(change(&n.to_string(), Some(n), &format!("c{n}")));
        }
        let bytes = postcard::to_stdvec(&state).unwrap();
        let mut restored: State = postcard::from_bytes(&bytes).unwrap();
        let next = change("next", Some(count), "last");
        prop_assert_eq!(restored.apply(next.clone()), state.apply(next));
        prop_assert_eq!(restored.history().config(), state.history().config());
    }
}

#[test]
fn drained_halls_are_part_of_a_snapshot_and_repeated_orders_change_nothing() {
    let mut state = State::default();
    let drain = || Command::DrainHall("a".into());
    let Reply::Halls(first) = state.apply(drain()) else { panic!("not the reply to a hall order") };
    assert!(first.contains("a"));
    let versions = state.versions();
    assert_eq!(state.apply(drain()), Reply::Halls(first.clone()));
    assert_eq!(state.apply(Command::RestoreHall("b".into())), Reply::Halls(first.clone()));
    assert_eq!(state.versions(), versions, "nothing is published again");
    let snapshot = postcard::to_stdvec(&state).unwrap();
    let mut restored: State = postcard::from_bytes(&snapshot).unwrap();
    assert_eq!(restored.drained(), &first);
    let Reply::Halls(back) = restored.apply(Command::RestoreHall("a".into())) else {
        panic!("not the reply to a hall order")
    };
    assert!(!back.contains("a"));
    assert!(back.revision() > first.revision(), "the newer order prevails on every host");
}

fn order(service: &str, version: &str) -> Command {
    let (service, version) = (service.into(), version.into());
    Command::StartRollout(Order { service, version, at_ms: 1, duration_ms: 12_000 })
}

fn step(number: u64, stage: Stage) -> Command {
    Command::StepRollout(Step { service: "llm".into(), number, stage, at_ms: 0 })
}

/// A state with the services `llm` and `app`.
fn with_services() -> State {
    let service = |name: &str| ServicePool {
        name: name.into(),
        health_path: "/".into(),
        max_connections: 10,
        engine: None,
        cold_per_second: None,
    };
    let services = vec![service("llm"), service("app")];
    let table = RoutingTable { version: 1, services, ..RoutingTable::default() };
    let mut state = State::default();
    state.apply(Command::Replace(Box::new(Document { table, source: b"{}".to_vec() })));
    state
}

#[test]
fn a_release_of_an_unknown_service_changes_nothing() {
    let mut state = with_services();
    let versions = state.versions();
    assert_eq!(state.apply(order("no", "v2")), Reply::Rollout(OrderOutcome::UnknownService));
    assert_eq!(state.versions(), versions);
}

#[test]
fn two_services_can_have_rollouts_at_the_same_time() {
    let mut state = with_services();
    assert_eq!(state.apply(order("llm", "v2")), Reply::Rollout(OrderOutcome::Accepted));
    assert_eq!(state.apply(order("app", "v5")), Reply::Rollout(OrderOutcome::Accepted));
    assert_eq!(state.apply(order("app", "v6")), Reply::Rollout(OrderOutcome::InProgress));
    let number = state.rollouts().get("llm").unwrap().number;
    state.apply(step(number, Stage::Shifting));
    let stage = |service| state.rollouts().get(service).unwrap().stage;
    assert_eq!((stage("llm"), stage("app")), (Stage::Shifting, Stage::Canary));
}

#[test]
fn a_step_of_an_earlier_rollout_changes_nothing() {
    let mut state = with_services();
    state.apply(order("llm", "v2"));
    let first = state.rollouts().get("llm").unwrap().number;
    state.apply(step(first, Stage::RolledBack));
    state.apply(order("llm", "v3"));
    state.apply(step(first, Stage::Shifting));
    assert_eq!(state.rollouts().get("llm").unwrap().stage, Stage::Canary);
}

proptest! {
    #![proptest_config(crate::testing::property(128))]

    /// Hosts that apply the same log have the same rollouts, also when one of them starts from a
    /// snapshot.
    #[test]
    fn rollouts_follow_from_the_log_alone(
        log in proptest::collection::vec((0u8..3, 0u8..3, 0u64..6, 0u64..40_000), 0..40),
        snapshot_at in 0usize..40,
    ) {
        let command = |(kind, which, number, at_ms): &(u8, u8, u64, u64)| {
            let service = if which % 2 == 0 { "llm" } else { "app" }.to_string();
            let stages = [Stage::Shifting, Stage::Done, Stage::RolledBack];
            match kind {
                0 => Command::StartRollout(Order {
                    service,
                    version: format!("v{which}"),
                    at_ms: *at_ms,
                    duration_ms: 12_000,
                }),
                _ => Command::StepRollout(Step {
                    service,
                    number: *number,
                    stage: stages[usize::from(*which)],
                    at_ms: 0,
                }),
            }
        };
        let (mut original, mut restored) = (with_services(), with_services());
        for (index, entry) in log.iter().enumerate() {
            if index == snapshot_at {
                restored = postcard::from_bytes(&postcard::to_stdvec(&restored).unwrap()).unwrap();
            }
            prop_assert_eq!(original.apply(command(entry)), restored.apply(command(entry)));
        }
        prop_assert_eq!(original.rollouts(), restored.rollouts());
    }
}
