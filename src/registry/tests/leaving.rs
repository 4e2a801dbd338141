//! Endpoints that are heard to leave by other words than a registration.

use super::*;

fn started(started_at_ms: u64, sequence: u64) -> Registration {
    Registration { started_at_ms, ..said("e", sequence, EndpointState::Ready) }
}

fn start(started_at_ms: u64) -> EndpointStart {
    EndpointStart { id: "e".into(), started_at_ms }
}

#[test]
fn a_start_that_was_heard_to_leave_takes_no_work_whatever_is_said_of_it_later() {
    let mut registry = Registry::default();
    registry.merge(started(1_000, 5), Relayed);
    let now = registry.record_leaving(&start(1_000), Relayed).unwrap();
    assert_eq!((now.state, now.sequence), (EndpointState::Leaving, 5));
    assert_eq!(registry.record_leaving(&start(1_000), Relayed), None, "it is known");
    // Heartbeats from before, and those of who does not know it.
    registry.merge(started(1_000, 6), Relayed);
    registry.remember(vec![started(1_000, 7)]);
    assert!(registry.get_ready("e").is_none());
    assert_eq!(registry.leaving(9), [start(1_000)]);
}

#[test]
fn it_ends_with_the_start_that_said_it() {
    let mut registry = Registry::default();
    registry.merge(started(1_000, 5), Direct);
    registry.record_leaving(&start(1_000), Relayed);
    registry.merge(started(2_000, 1), Direct);
    assert!(registry.start_takes_work(&started(2_000, 1)));
    assert!(!registry.start_takes_work(&started(1_000, 5)));
    // Told late, it is of the earlier start.
    assert_eq!(registry.record_leaving(&start(1_000), Relayed), None);
    assert!(registry.get_ready("e").is_some());
    assert_eq!(registry.record_leaving(&start(3_000), Relayed), None, "nobody knows that start");
}

#[test]
fn who_is_only_remembered_may_leave_too() {
    let mut registry = Registry::default();
    registry.remember(vec![started(1_000, 5)]);
    assert!(registry.record_leaving(&start(1_000), Relayed).is_some());
    assert_eq!(registry.ready("llm").count(), 0);
}

#[test]
fn other_control_hosts_are_told_of_what_a_router_heard() {
    let mut registry = Registry::default();
    registry.merge(started(1_000, 5), Relayed);
    let before = registry.last_change();
    registry.record_leaving(&start(1_000), Direct);
    let told = registry.changes_after(before, 9, Scope::Direct).endpoints;
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].state, EndpointState::Leaving);
}
