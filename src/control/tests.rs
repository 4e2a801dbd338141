mod registrations;

use proptest::prelude::*;

use super::state::*;
use crate::config::{Change, Customer};

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
    Reply::Changed(Changed::Accepted(version))
}

#[test]
fn of_two_racing_operators_one_wins_and_the_other_is_told() {
    let mut state = State::default();
    assert_eq!(state.apply(change("a", Some(0), "x")), accepted(1));
    assert_eq!(state.apply(change("b", Some(0), "y")), Reply::Changed(Changed::Conflict(1)));
    assert!(state.history().config().customer_id("y").is_none());
}

#[test]
fn a_resent_change_gets_its_first_answer_and_is_not_applied_again() {
    let mut state = State::default();
    state.apply(change("a", Some(0), "x"));
    state.apply(change("b", Some(1), "y"));
    assert_eq!(state.apply(change("a", Some(0), "x")), accepted(1));
    assert_eq!(state.history().config().version, 2);
}

#[test]
fn a_wrong_change_is_refused_with_field_and_remedy() {
    let mut state = State::default();
    let wrong = Command::Change {
        operation: "a".into(),
        base: None,
        changes: vec![Change::PutCustomer(Customer { share: 0, ..customer("x") })],
    };
    let Reply::Changed(Changed::Refused(refusal)) = state.apply(wrong) else {
        panic!("not refused");
    };
    assert_eq!(refusal.field, "customers.x.share");
    assert_eq!(state.history().config().version, 0);
}

proptest! {
    #![proptest_config(crate::testing::property(128))]

    /// However operations are doubled and resent, each has one outcome, and the
    /// version counts the accepted ones.
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
        let wins = outcomes.values().filter(|r| matches!(r, Reply::Changed(Changed::Accepted(_))));
        prop_assert_eq!(state.history().config().version, wins.count() as u64);
    }

    /// A state restored from a snapshot decides as the original would.
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
fn drained_halls_are_part_of_a_snapshot_and_orders_given_twice_change_nothing() {
    let mut state = State::default();
    let drain = || Command::DrainHall("a".into());
    let Reply::Halls(first) = state.apply(drain()) else { panic!("an order about a hall") };
    assert!(first.contains("a"));
    let versions = state.versions();
    assert_eq!(state.apply(drain()), Reply::Halls(first.clone()));
    assert_eq!(state.apply(Command::RestoreHall("b".into())), Reply::Halls(first.clone()));
    assert_eq!(state.versions(), versions, "nothing is told again");
    let snapshot = postcard::to_stdvec(&state).unwrap();
    let mut restored: State = postcard::from_bytes(&snapshot).unwrap();
    assert_eq!(restored.drained(), &first);
    let Reply::Halls(back) = restored.apply(Command::RestoreHall("a".into())) else {
        panic!("an order about a hall")
    };
    assert!(!back.contains("a"));
    assert!(back.revision() > first.revision(), "the newer order prevails everywhere");
}
