//! Engines that restart under the same id.

use super::*;

fn started(id: &str, started_at_ms: u64) -> EngineInfo {
    EngineInfo { started_at_ms, ..engine(id) }
}

fn placer_of(engines: Vec<EngineInfo>) -> Placer {
    let mut placer = Placer::new(PlacementRules::default());
    placer.set_engines(0, engines);
    placer
}

/// Milliseconds to read the prompt of a request that shares part 7.
fn own_ms(placer: &mut Placer, now: u64, seq: u64) -> f64 {
    let decision = decide(placer, now, request(seq, "x", 7, 500));
    endpoint(decision.answer);
    decision.own_ms
}

#[test]
fn a_new_start_keeps_no_parts_of_the_earlier_one() {
    let mut placer = placer_of(vec![started("a", 1)]);
    let first = own_ms(&mut placer, 0, 1);
    serve(&mut placer, 300, 1);
    assert!(own_ms(&mut placer, 1_000, 2) < first / 2.0, "the shared part is kept");
    serve(&mut placer, 1_100, 2);
    placer.set_engines(2_000, vec![started("a", 2)]);
    assert!(own_ms(&mut placer, 2_000, 3) > first / 2.0, "it is to be read again");
}

#[test]
fn requests_sent_to_an_earlier_start_have_ended() {
    let mut placer = placer_of(vec![started("a", 1)]);
    for seq in 1..5 {
        place(&mut placer, 0, request(seq, "x", seq, 500));
    }
    placer.set_engines(10, vec![started("a", 2)]);
    let after = decide(&mut placer, 10, request(9, "x", 9, 500));
    assert_eq!(after.backlog_ms, 0.0);
    // The routers report this later; it does not apply to the new start.
    for seq in 1..5 {
        placer.receive(20, ROUTER, ToPlacer::Done { seq, completion: Completion::Failed });
    }
    serve(&mut placer, 400, 9);
    endpoint(place(&mut placer, 400, request(10, "x", 10, 500)));
}

#[test]
fn a_new_start_is_used_after_the_earlier_one_was_replaced_at_its_address() {
    let mut placer = placer_of(vec![started("a", 1)]);
    place(&mut placer, 0, request(1, "x", 1, 500));
    placer.receive(1, ROUTER, ToPlacer::Done { seq: 1, completion: Completion::Replaced });
    let gone = place(&mut placer, 2, request(2, "x", 2, 500));
    assert!(matches!(gone, FromPlacer::Unknown { .. }), "{gone:?}");
    placer.set_engines(10, vec![started("a", 2)]);
    endpoint(place(&mut placer, 10, request(3, "x", 3, 500)));
}

#[test]
fn a_snapshot_of_an_earlier_start_does_not_apply_to_a_later_one() {
    let mut records = PlacementRecords::default();
    let kept = request(1, "x", 7, 500);
    records.record_placement(
        &kept,
        EndpointStartRef { endpoint: "a", started_at_ms: 1 },
        PlacerId::Local,
    );
    records.record_first_event(1);
    records.record_end(1);
    records.record_placement(
        &request(2, "x", 9, 30_000),
        EndpointStartRef { endpoint: "a", started_at_ms: 1 },
        PlacerId::Local,
    );
    let snapshot = records.snapshot_for(0, HostId(9));
    let after_snapshot = |started_at_ms| {
        let mut placer = placer_of(vec![started("a", started_at_ms)]);
        placer.receive(0, ROUTER, ToPlacer::Snapshot(snapshot.clone()));
        let asked = PlacementRequest { objective_ms: 60_000, ..request(3, "x", 7, 500) };
        let decision = decide(&mut placer, 0, asked);
        (decision.own_ms, decision.backlog_ms)
    };
    let (own_ms, backlog_ms) = after_snapshot(1);
    let (own_ms_later, backlog_ms_later) = after_snapshot(2);
    assert!(own_ms < own_ms_later / 2.0, "{own_ms} and {own_ms_later}");
    assert!(backlog_ms > 0.0);
    assert_eq!(backlog_ms_later, 0.0);
}
