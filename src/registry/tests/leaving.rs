//! Endpoints reported as leaving by other means than a registration.

use super::*;

fn started(started_at_ms: u64, sequence: u64) -> Registration {
    Registration { started_at_ms, ..registration("e", sequence, EndpointState::Ready) }
}

fn start(started_at_ms: u64) -> EndpointStart {
    EndpointStart { id: "e".into(), started_at_ms }
}

#[test]
fn a_start_reported_as_leaving_accepts_no_requests_whatever_is_reported_later() {
    let mut registry = Registry::default();
    registry.merge(started(1_000, 5), Relayed);
    let current = registry.record_leaving(&start(1_000), Relayed).unwrap();
    assert_eq!((current.state, current.sequence), (EndpointState::Leaving, 5));
    assert_eq!(registry.record_leaving(&start(1_000), Relayed), None, "it is recorded");
    // Earlier heartbeats, and those relayed by hosts that have not recorded the report.
    registry.merge(started(1_000, 6), Relayed);
    registry.remember(vec![started(1_000, 7)]);
    assert!(registry.get_ready("e").is_none());
    assert_eq!(registry.leaving(9), [start(1_000)]);
}

#[test]
fn a_leaving_report_ends_with_its_start() {
    let mut registry = Registry::default();
    registry.merge(started(1_000, 5), Direct);
    registry.record_leaving(&start(1_000), Relayed);
    registry.merge(started(2_000, 1), Direct);
    assert!(registry.start_accepts_requests(&started(2_000, 1)));
    assert!(!registry.start_accepts_requests(&started(1_000, 5)));
    // A late report is of the earlier start.
    assert_eq!(registry.record_leaving(&start(1_000), Relayed), None);
    assert!(registry.get_ready("e").is_some());
    assert_eq!(registry.record_leaving(&start(3_000), Relayed), None, "that start is not recorded");
}

#[test]
fn remembered_endpoints_may_leave() {
    let mut registry = Registry::default();
    registry.remember(vec![started(1_000, 5)]);
    assert!(registry.record_leaving(&start(1_000), Relayed).is_some());
    assert_eq!(registry.ready("llm").count(), 0);
}

#[test]
fn other_control_hosts_receive_what_a_router_reported() {
    let mut registry = Registry::default();
    registry.merge(started(1_000, 5), Relayed);
    let before = registry.last_change();
    registry.record_leaving(&start(1_000), Direct);
    let sent = registry.changes_after(before, 9, Scope::Direct).endpoints;
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].state, EndpointState::Leaving);
}
