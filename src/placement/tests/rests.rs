//! Engines that request rests from routers.
//!
//! A placer decides for all routers but receives no answers itself. Without reports of rests it
//! would place a router's requests again and again at an engine that accepts none from it, and the
//! router could only refuse them or choose by itself.

use super::*;

const OTHER: HostId = HostId(2);
const THIRD: HostId = HostId(3);

fn rest(endpoint: &str, time_ms: u32) -> RestReport {
    RestReport { endpoint: endpoint.into(), started_at_ms: 0, time_ms }
}

fn report_rest(placer: &mut Placer, now: u64, router: HostId, report: RestReport) {
    assert!(placer.receive(now, router, ToPlacer::Rest(report)).is_none());
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
fn requests_are_not_placed_at_an_engine_resting_for_their_router() {
    let mut placer = placer(&["a", "b"]);
    report_rest(&mut placer, 0, ROUTER, rest("a", 1_000));
    for seq in 1..10 {
        assert_eq!(endpoint(place_for(&mut placer, 10 * seq, ROUTER, seq)), "b");
    }
    // The engine requested no rest from the other router.
    let of_other: Vec<_> =
        (1..10).map(|seq| endpoint(place_for(&mut placer, 100, OTHER, seq))).collect();
    assert!(of_other.contains(&"a".to_string()));
}

#[test]
fn if_all_engines_are_resting_the_answer_is_unknown() {
    let mut placer = placer(&["a"]);
    report_rest(&mut placer, 0, ROUTER, rest("a", 1_000));
    let answer = place_for(&mut placer, 500, ROUTER, 1);
    assert!(matches!(answer, FromPlacer::Unknown { .. }), "{answer:?}");
    assert_eq!(endpoint(place_for(&mut placer, 1_001, ROUTER, 2)), "a");
}

#[test]
fn one_request_is_sent_as_a_probe_after_a_rest_and_more_once_it_is_served() {
    let mut placer = placer(&["a", "b"]);
    report_rest(&mut placer, 0, ROUTER, rest("a", 1_000));
    // The other engine has something to read, so that this one looks better.
    for seq in 100..104 {
        place_for(&mut placer, 990, ROUTER, seq);
    }
    assert_eq!(endpoint(place_for(&mut placer, 1_001, ROUTER, 1)), "a");
    for seq in 2..6 {
        assert_eq!(endpoint(place_for(&mut placer, 1_002, ROUTER, seq)), "b");
    }
    placer.receive(1_300, ROUTER, ToPlacer::FirstEvent { seq: 1 });
    assert_eq!(endpoint(place_for(&mut placer, 1_301, ROUTER, 7)), "a");
    assert_eq!(endpoint(place_for(&mut placer, 1_302, ROUTER, 8)), "a");
}

#[test]
fn an_abandoned_probe_is_followed_by_another() {
    let mut placer = placer(&["a"]);
    report_rest(&mut placer, 0, ROUTER, rest("a", 100));
    assert_eq!(endpoint(place_for(&mut placer, 101, ROUTER, 1)), "a");
    report_rest(&mut placer, 110, ROUTER, rest("a", 100));
    placer.receive(110, ROUTER, ToPlacer::Done { seq: 1, completion: Completion::Abandoned });
    assert!(matches!(place_for(&mut placer, 150, ROUTER, 2), FromPlacer::Unknown { .. }));
    assert_eq!(endpoint(place_for(&mut placer, 211, ROUTER, 3)), "a");
}

#[test]
fn an_engine_resting_for_two_routers_is_avoided_for_others_where_possible() {
    let mut placer = placer(&["a", "b"]);
    report_rest(&mut placer, 0, ROUTER, rest("a", 1_000));
    report_rest(&mut placer, 0, OTHER, rest("a", 1_000));
    for seq in 1..6 {
        assert_eq!(endpoint(place_for(&mut placer, 10, THIRD, seq)), "b");
    }
    placer.set_engines(20, vec![engine("a")]);
    assert_eq!(endpoint(place_for(&mut placer, 20, THIRD, 9)), "a");
}

#[test]
fn a_placer_that_takes_over_gets_the_time_left_of_a_rest() {
    let mut records = PlacementRecords::default();
    records.record_rest(0, EndpointStartRef { endpoint: "a", started_at_ms: 0 }, 1_000);
    records.record_rest(0, EndpointStartRef { endpoint: "b", started_at_ms: 0 }, 300);
    let snapshot = records.snapshot_for(400, HostId(9));
    assert_eq!(snapshot.rests, [rest("a", 600)]);
    let mut placer = placer(&["a", "b"]);
    placer.receive(5_000, ROUTER, ToPlacer::Snapshot(snapshot));
    for seq in 1..6 {
        assert_eq!(endpoint(place_for(&mut placer, 5_001, ROUTER, seq)), "b");
    }
}

#[test]
fn the_number_of_recorded_rests_is_bounded() {
    let mut records = PlacementRecords::default();
    let ids: Vec<_> = (0..5_000).map(|number| format!("e-{number}")).collect();
    for id in &ids {
        records.record_rest(0, EndpointStartRef { endpoint: id, started_at_ms: 0 }, 10_000);
    }
    assert!(records.snapshot_for(0, HostId(9)).rests.len() <= 2_048);
    records.record_rest(10_000, EndpointStartRef { endpoint: "last", started_at_ms: 0 }, 10);
    assert_eq!(records.snapshot_for(10_000, HostId(9)).rests, [rest("last", 10)]);
}

#[test]
fn a_rest_does_not_apply_to_a_later_start() {
    let mut placer = placer(&["a"]);
    report_rest(&mut placer, 0, ROUTER, rest("a", 10_000));
    placer.set_engines(100, vec![EngineInfo { started_at_ms: 7, ..engine("a") }]);
    assert_eq!(endpoint(place_for(&mut placer, 100, ROUTER, 1)), "a");
    // A report of the earlier start that was in flight does not apply to it.
    report_rest(&mut placer, 101, ROUTER, rest("a", 10_000));
    assert_eq!(endpoint(place_for(&mut placer, 102, ROUTER, 2)), "a");
}

#[test]
fn rests_of_a_lost_router_are_removed() {
    let mut placer = placer(&["a"]);
    report_rest(&mut placer, 0, ROUTER, rest("a", 10_000));
    placer.remove_router(10, ROUTER);
    assert_eq!(endpoint(place_for(&mut placer, 20, ROUTER, 1)), "a");
}
