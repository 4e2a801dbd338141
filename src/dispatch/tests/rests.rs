//! Endpoints that leave or ask for rest, as routers tell the dispatcher.

use super::*;

const OTHER: HostId = HostId(2);
const ENDPOINT: EndpointId = EndpointId(0);

fn one_endpoint() -> Bench {
    Bench::new(config(&[1], &[(0, 2)], 10))
}

fn rests(bench: &mut Bench, time_ms: u32) -> Vec<Decision> {
    bench.send(ToDispatcher::Rest { endpoint: ENDPOINT, time_ms })
}

fn leaves(bench: &mut Bench, is_leaving: bool) -> Vec<Decision> {
    bench.send(ToDispatcher::Leaving { endpoint: ENDPOINT, is_leaving })
}

#[test]
fn a_request_waits_for_the_end_of_a_rest_that_ends_in_time() {
    let mut bench = one_endpoint();
    rests(&mut bench, 1_000);
    assert!(bench.want_within(0, 5, 2_000).is_empty());
    assert!(bench.wait(1_000).is_empty());
    assert_eq!(grants(&bench.wait(50)), [(0, 1, 0)]);
}

#[test]
fn a_request_that_cannot_start_before_the_end_of_a_rest_is_refused_at_once() {
    let mut bench = one_endpoint();
    rests(&mut bench, 3_000);
    let refused = refusals(&bench.want_within(0, 5, 2_000));
    assert_eq!(refused, [(1, RefuseReason::EndpointsRest, 3_001)]);
}

#[test]
fn what_waits_and_cannot_start_before_the_end_of_a_rest_is_refused_when_it_begins() {
    let mut bench = one_endpoint();
    for _ in 0..2 {
        bench.want(0, 5);
    }
    let waits = (bench.want_within(0, 5, 1_000), bench.want_within(0, 5, 9_000));
    assert!(grants(&waits.0).is_empty() || grants(&waits.1).is_empty());
    let refused = refusals(&rests(&mut bench, 3_000));
    assert!(refused.iter().all(|(_, reason, _)| *reason == RefuseReason::EndpointsRest));
    assert!(refused.iter().all(|(seq, ..)| *seq == 3), "{refused:?}");
}

#[test]
fn one_request_is_tried_after_a_rest() {
    let mut bench = one_endpoint();
    rests(&mut bench, 100);
    for _ in 0..2 {
        bench.want(0, 5);
    }
    assert_eq!(grants(&bench.wait(150)), [(0, 1, 0)]);
    assert!(bench.wait(200).is_empty());
    assert_eq!(grants(&bench.done(1, 5)), [(0, 2, 0)]);
}

#[test]
fn a_rest_is_of_the_router_that_was_asked() {
    let mut bench = one_endpoint();
    bench.join(OTHER, 1, HallSet::ALL, false, vec![]);
    rests(&mut bench, 10_000);
    let want = GrantRequest {
        seq: 1,
        customer: CustomerId(0),
        input: 5,
        start_within_ms: 100,
        prefix: vec![],
    };
    let decisions = bench.dispatcher.receive(bench.now, OTHER, 1, ToDispatcher::GrantRequest(want));
    assert_eq!(grants(&decisions).len(), 1);
}

#[test]
fn what_leaves_gets_nothing_from_any_router_until_it_is_back() {
    let mut bench = one_endpoint();
    bench.join(OTHER, 1, HallSet::ALL, false, vec![]);
    leaves(&mut bench, true);
    let want = GrantRequest {
        seq: 1,
        customer: CustomerId(0),
        input: 5,
        start_within_ms: 100,
        prefix: vec![],
    };
    let decisions = bench.dispatcher.receive(bench.now, OTHER, 1, ToDispatcher::GrantRequest(want));
    assert_eq!(refusals(&decisions)[0].1, RefuseReason::NoEndpoint);
    assert_eq!(refusals(&bench.want(0, 5))[0].1, RefuseReason::NoEndpoint);
    leaves(&mut bench, false);
    assert_eq!(grants(&bench.want(0, 5)).len(), 1);
}

#[test]
fn what_a_lost_router_was_told_is_forgotten_with_its_grants() {
    let mut bench = one_endpoint();
    bench.join(OTHER, 1, HallSet::ALL, false, vec![]);
    leaves(&mut bench, true);
    rests(&mut bench, 60_000);
    bench.dispatcher.on_session_lost(bench.now, ROUTER, 1);
    bench.wait(ORPHAN_MS + 50);
    let want = GrantRequest {
        seq: 1,
        customer: CustomerId(0),
        input: 5,
        start_within_ms: 100,
        prefix: vec![],
    };
    let decisions = bench.dispatcher.receive(bench.now, OTHER, 1, ToDispatcher::GrantRequest(want));
    assert_eq!(grants(&decisions).len(), 1);
}

#[test]
fn a_new_dispatcher_is_told_what_endpoints_said() {
    let mut client = Client::new(HallSet::ALL);
    assert_eq!(client.record_rest(0, ENDPOINT, 1_000), None, "nobody is attached");
    client.record_rest(0, EndpointId(7), 100);
    client.set_leaving(EndpointId(1), true);
    client.set_leaving(EndpointId(2), true);
    client.set_leaving(EndpointId(2), false);
    let told: Vec<_> = client.attach(400, 1).into_iter().skip(1).collect();
    let rest = ToDispatcher::Rest { endpoint: ENDPOINT, time_ms: 600 };
    assert_eq!(told, [ToDispatcher::Leaving { endpoint: EndpointId(1), is_leaving: true }, rest]);
}
