//! Endpoints that are leaving or request a rest, as reported by routers.

use super::*;

const OTHER: HostId = HostId(2);
const ENDPOINT: EndpointId = EndpointId(0);

fn one_endpoint() -> Harness {
    Harness::new(config(&[1], &[(0, 2)], 10))
}

fn request_rest(harness: &mut Harness, time_ms: u32) -> Vec<Decision> {
    harness.send(ToDispatcher::Rest { endpoint: ENDPOINT, time_ms })
}

fn set_leaving(harness: &mut Harness, is_leaving: bool) -> Vec<Decision> {
    harness.send(ToDispatcher::Leaving { endpoint: ENDPOINT, is_leaving })
}

#[test]
fn a_request_waits_for_a_rest_that_ends_before_its_deadline() {
    let mut harness = one_endpoint();
    request_rest(&mut harness, 1_000);
    assert!(harness.request_within(0, 5, 2_000).is_empty());
    assert!(harness.wait(1_000).is_empty());
    assert_eq!(grants(&harness.wait(50)), [(0, 1, 0)]);
}

#[test]
fn a_request_that_cannot_start_before_the_end_of_a_rest_is_refused_at_once() {
    let mut harness = one_endpoint();
    request_rest(&mut harness, 3_000);
    let refused = refusals(&harness.request_within(0, 5, 2_000));
    assert_eq!(refused, [(1, RefuseReason::EndpointsRest, 3_001)]);
}

#[test]
fn queued_requests_that_cannot_start_before_the_end_of_a_rest_are_refused_when_it_begins() {
    let mut harness = one_endpoint();
    for _ in 0..2 {
        harness.request(0, 5);
    }
    let waits = (harness.request_within(0, 5, 1_000), harness.request_within(0, 5, 9_000));
    assert!(grants(&waits.0).is_empty() || grants(&waits.1).is_empty());
    let refused = refusals(&request_rest(&mut harness, 3_000));
    assert!(refused.iter().all(|(_, reason, _)| *reason == RefuseReason::EndpointsRest));
    assert!(refused.iter().all(|(seq, ..)| *seq == 3), "{refused:?}");
}

#[test]
fn one_request_is_sent_as_a_probe_after_a_rest() {
    let mut harness = one_endpoint();
    request_rest(&mut harness, 100);
    for _ in 0..2 {
        harness.request(0, 5);
    }
    assert_eq!(grants(&harness.wait(150)), [(0, 1, 0)]);
    assert!(harness.wait(200).is_empty());
    assert_eq!(grants(&harness.done(1, 5)), [(0, 2, 0)]);
}

#[test]
fn a_rest_holds_only_for_the_router_that_reported_it() {
    let mut harness = one_endpoint();
    harness.join(OTHER, 1, HallSet::ALL, false, vec![]);
    request_rest(&mut harness, 10_000);
    let request = GrantRequest {
        seq: 1,
        customer: CustomerId(0),
        input: 5,
        start_within_ms: 100,
        prefix: vec![],
    };
    let decisions =
        harness.dispatcher.receive(harness.now, OTHER, 1, ToDispatcher::GrantRequest(request));
    assert_eq!(grants(&decisions).len(), 1);
}

#[test]
fn a_leaving_endpoint_gets_no_requests_from_any_router_until_it_is_back() {
    let mut harness = one_endpoint();
    harness.join(OTHER, 1, HallSet::ALL, false, vec![]);
    set_leaving(&mut harness, true);
    let request = GrantRequest {
        seq: 1,
        customer: CustomerId(0),
        input: 5,
        start_within_ms: 100,
        prefix: vec![],
    };
    let decisions =
        harness.dispatcher.receive(harness.now, OTHER, 1, ToDispatcher::GrantRequest(request));
    assert_eq!(refusals(&decisions)[0].1, RefuseReason::NoEndpoint);
    assert_eq!(refusals(&harness.request(0, 5))[0].1, RefuseReason::NoEndpoint);
    set_leaving(&mut harness, false);
    assert_eq!(grants(&harness.request(0, 5)).len(), 1);
}

#[test]
fn reports_of_a_lost_router_are_removed_with_its_grants() {
    let mut harness = one_endpoint();
    harness.join(OTHER, 1, HallSet::ALL, false, vec![]);
    set_leaving(&mut harness, true);
    request_rest(&mut harness, 60_000);
    harness.dispatcher.on_session_lost(harness.now, ROUTER, 1);
    harness.wait(ORPHAN_MS + 50);
    let request = GrantRequest {
        seq: 1,
        customer: CustomerId(0),
        input: 5,
        start_within_ms: 100,
        prefix: vec![],
    };
    let decisions =
        harness.dispatcher.receive(harness.now, OTHER, 1, ToDispatcher::GrantRequest(request));
    assert_eq!(grants(&decisions).len(), 1);
}

#[test]
fn a_new_dispatcher_is_sent_rests_and_leaving_endpoints() {
    let mut client = Client::new(HallSet::ALL);
    assert_eq!(client.record_rest(0, ENDPOINT, 1_000), None, "no session is open");
    client.record_rest(0, EndpointId(7), 100);
    client.set_leaving(EndpointId(1), true);
    client.set_leaving(EndpointId(2), true);
    client.set_leaving(EndpointId(2), false);
    let sent: Vec<_> = client.attach(400, 1).into_iter().skip(1).collect();
    let rest = ToDispatcher::Rest { endpoint: ENDPOINT, time_ms: 600 };
    assert_eq!(sent, [ToDispatcher::Leaving { endpoint: EndpointId(1), is_leaving: true }, rest]);
}
