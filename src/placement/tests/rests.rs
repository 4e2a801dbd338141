//! Engines that ask routers for rest.
//!
//! A placer decides for all routers and hears no answer itself: one that is not told places
//! a router's requests at an engine that wants none from it, again and again, and the router
//! can only refuse them or choose alone.

use super::*;

const OTHER: HostId = HostId(2);
const THIRD: HostId = HostId(3);

fn rest(endpoint: &str, time_ms: u32) -> RestTold {
    RestTold { endpoint: endpoint.into(), started_at_ms: 0, time_ms }
}

fn asked(placer: &mut Placer, now: u64, router: HostId, told: RestTold) {
    assert!(placer.receive(now, router, ToPlacer::Rest(told)).is_none());
}

fn place_for(placer: &mut Placer, now: u64, router: HostId, seq: u64) -> FromPlacer {
    let light = PlacementRequest {
        parts: vec![(1_000_000 + seq, 400)],
        prompt_tokens: 400,
        ..request(seq, "x", seq, 0)
    };
    let message = ToPlacer::Place(light);
    placer.receive(now, router, message).unwrap().answer
}

#[test]
fn a_router_is_not_sent_to_an_engine_that_it_lets_rest() {
    let mut placer = placer(&["a", "b"]);
    asked(&mut placer, 0, ROUTER, rest("a", 1_000));
    for seq in 1..10 {
        assert_eq!(endpoint(place_for(&mut placer, 10 * seq, ROUTER, seq)), "b");
    }
    // The engine asked nothing of the other one.
    let of_other: Vec<_> =
        (1..10).map(|seq| endpoint(place_for(&mut placer, 100, OTHER, seq))).collect();
    assert!(of_other.contains(&"a".to_string()));
}

#[test]
fn where_all_rest_the_router_is_left_to_say_so() {
    let mut placer = placer(&["a"]);
    asked(&mut placer, 0, ROUTER, rest("a", 1_000));
    let answer = place_for(&mut placer, 500, ROUTER, 1);
    assert!(matches!(answer, FromPlacer::Unknown { .. }), "{answer:?}");
    assert_eq!(endpoint(place_for(&mut placer, 1_001, ROUTER, 2)), "a");
}

#[test]
fn one_request_is_tried_after_a_rest_and_the_share_is_back_when_it_is_served() {
    let mut placer = placer(&["a", "b"]);
    asked(&mut placer, 0, ROUTER, rest("a", 1_000));
    // The other engine has something to do, so that this one looks better.
    for seq in 100..104 {
        place_for(&mut placer, 990, ROUTER, seq);
    }
    assert_eq!(endpoint(place_for(&mut placer, 1_001, ROUTER, 1)), "a");
    for seq in 2..6 {
        assert_eq!(endpoint(place_for(&mut placer, 1_002, ROUTER, seq)), "b");
    }
    placer.receive(1_300, ROUTER, ToPlacer::Begun { seq: 1 });
    assert_eq!(endpoint(place_for(&mut placer, 1_301, ROUTER, 7)), "a");
    assert_eq!(endpoint(place_for(&mut placer, 1_302, ROUTER, 8)), "a");
}

#[test]
fn a_trial_that_came_to_nothing_is_followed_by_another() {
    let mut placer = placer(&["a"]);
    asked(&mut placer, 0, ROUTER, rest("a", 100));
    assert_eq!(endpoint(place_for(&mut placer, 101, ROUTER, 1)), "a");
    asked(&mut placer, 110, ROUTER, rest("a", 100));
    placer.receive(110, ROUTER, ToPlacer::Done { seq: 1, completion: Completion::Abandoned });
    assert!(matches!(place_for(&mut placer, 150, ROUTER, 2), FromPlacer::Unknown { .. }));
    assert_eq!(endpoint(place_for(&mut placer, 211, ROUTER, 3)), "a");
}

#[test]
fn who_turned_two_routers_away_is_passed_by_for_others_where_that_is_possible() {
    let mut placer = placer(&["a", "b"]);
    asked(&mut placer, 0, ROUTER, rest("a", 1_000));
    asked(&mut placer, 0, OTHER, rest("a", 1_000));
    for seq in 1..6 {
        assert_eq!(endpoint(place_for(&mut placer, 10, THIRD, seq)), "b");
    }
    placer.set_engines(20, vec![engine("a")]);
    assert_eq!(endpoint(place_for(&mut placer, 20, THIRD, 9)), "a");
}

#[test]
fn a_placer_that_takes_over_is_told_what_is_left_of_a_rest() {
    let mut memory = Memory::default();
    memory.rested(0, EndpointStartRef { endpoint: "a", started_at_ms: 0 }, 1_000);
    memory.rested(0, EndpointStartRef { endpoint: "b", started_at_ms: 0 }, 300);
    let knowledge = memory.tell(400, HostId(9));
    assert_eq!(knowledge.rests, [rest("a", 600)]);
    let mut placer = placer(&["a", "b"]);
    placer.receive(5_000, ROUTER, ToPlacer::Known(knowledge));
    for seq in 1..6 {
        assert_eq!(endpoint(place_for(&mut placer, 5_001, ROUTER, seq)), "b");
    }
}

#[test]
fn what_a_router_remembers_of_rests_is_bounded() {
    let mut memory = Memory::default();
    let ids: Vec<_> = (0..5_000).map(|number| format!("e-{number}")).collect();
    for id in &ids {
        memory.rested(0, EndpointStartRef { endpoint: id, started_at_ms: 0 }, 10_000);
    }
    assert!(memory.tell(0, HostId(9)).rests.len() <= 2_048);
    memory.rested(10_000, EndpointStartRef { endpoint: "last", started_at_ms: 0 }, 10);
    assert_eq!(memory.tell(10_000, HostId(9)).rests, [rest("last", 10)]);
}

#[test]
fn a_later_start_of_the_engine_wants_no_rest() {
    let mut placer = placer(&["a"]);
    asked(&mut placer, 0, ROUTER, rest("a", 10_000));
    placer.set_engines(100, vec![EngineInfo { started_at_ms: 7, ..engine("a") }]);
    assert_eq!(endpoint(place_for(&mut placer, 100, ROUTER, 1)), "a");
    // What was under way says nothing of it.
    asked(&mut placer, 101, ROUTER, rest("a", 10_000));
    assert_eq!(endpoint(place_for(&mut placer, 102, ROUTER, 2)), "a");
}

#[test]
fn a_router_that_is_gone_is_forgotten() {
    let mut placer = placer(&["a"]);
    asked(&mut placer, 0, ROUTER, rest("a", 10_000));
    placer.lost(10, ROUTER);
    assert_eq!(endpoint(place_for(&mut placer, 20, ROUTER, 1)), "a");
}
