//! Engines in two regions.

use super::*;
use crate::eligibility::Eligibility;
use crate::region::{AllowedRegions, Regions};

/// Data hall `a` is in region `r`, `b` in `s`. The router is in `a`.
fn regions() -> Regions {
    [("a", "r"), ("b", "s")]
        .map(|(hall, region)| (hall.into(), region.into()))
        .into_iter()
        .collect()
}

fn far_engine(id: &str) -> EngineInfo {
    EngineInfo { region: "s".into(), ..engine(id) }
}

/// A placer with some engines in the router's region and some in the other one.
fn placer_of(near: &[&str], far: &[&str]) -> Placer {
    let mut placer = Placer::new(PlacementRules::default());
    placer.set_hall_regions(HallRegions::new(regions()));
    let near = near.iter().map(|id| engine(id));
    placer.set_engines(0, near.chain(far.iter().map(|id| far_engine(id))).collect());
    placer
}

fn bound(regions: &[&str], request: PlacementRequest) -> PlacementRequest {
    let regions = regions.iter().map(|region| region.to_string()).collect();
    let eligibility =
        Eligibility { regions: AllowedRegions::Only(regions), ..request.eligibility.clone() };
    PlacementRequest { eligibility, ..request }
}

/// A separate customer for each request, so that no share is exceeded.
fn request_of_new_customer(seq: u64) -> PlacementRequest {
    request(seq, &seq.to_string(), seq, 500)
}

#[test]
fn idle_engines_of_the_routers_own_region_get_its_requests() {
    let mut placer = placer_of(&["n1", "n2"], &["f1", "f2", "f3", "f4"]);
    for seq in 1..50 {
        let now = seq * 1_000;
        let to = endpoint(place(&mut placer, now, request_of_new_customer(seq)));
        assert!(to.starts_with('n'), "request {seq} went to {to}");
        serve(&mut placer, now + 300, seq);
    }
}

#[test]
fn engines_of_another_region_get_what_its_own_cannot_serve_in_time() {
    let mut placer = placer_of(&["n"], &["f"]);
    let to: Vec<_> =
        (1..6).map(|seq| endpoint(place(&mut placer, 0, request_of_new_customer(seq)))).collect();
    assert_eq!(to[0], "n");
    assert!(to.contains(&"f".to_string()), "{to:?}");
}

#[test]
fn the_round_trip_to_another_region_counts_against_the_objective() {
    let own_ms = |mut placer: Placer| decide(&mut placer, 0, request_of_new_customer(1)).own_ms;
    let difference = own_ms(placer_of(&[], &["f"])) - own_ms(placer_of(&["n"], &[]));
    let round_trip_ms = PlacementRules::default().other_region_round_trip_ms;
    assert!((difference - round_trip_ms).abs() < 1e-9, "{difference} ms");
}

#[test]
fn a_bound_request_never_leaves_its_region_however_long_it_waits_there() {
    let mut placer = placer_of(&["n"], &["f"]);
    for seq in 1..100 {
        match place(&mut placer, 0, bound(&["r"], request_of_new_customer(seq))) {
            FromPlacer::Go { endpoint, .. } => assert_eq!(endpoint, "n"),
            FromPlacer::Refuse { refusal, .. } => assert!(refusal.retry_after_ms > 0),
            FromPlacer::Unknown { .. } => panic!("an engine of its region is known"),
        }
    }
    assert_eq!(endpoint(place(&mut placer, 0, bound(&["s"], request_of_new_customer(100)))), "f");
}

#[test]
fn a_bound_request_that_failed_is_not_sent_to_another_region() {
    let mut placer = placer_of(&["n"], &["f"]);
    let again =
        PlacementRequest { avoid: vec!["n".into()], ..bound(&["r"], request_of_new_customer(1)) };
    assert_eq!(place(&mut placer, 0, again), FromPlacer::Unknown { seq: 1 });
}

#[test]
fn if_no_allowed_region_has_engines_the_answer_is_unknown() {
    let mut placer = placer_of(&["n"], &["f"]);
    for regions in [&["planned"][..], &[]] {
        let answer = place(&mut placer, 0, bound(regions, request_of_new_customer(1)));
        assert_eq!(answer, FromPlacer::Unknown { seq: 1 });
    }
}

#[test]
fn what_an_engine_of_another_region_has_read_is_never_copied() {
    let mut placer = placer_of(&["n"], &["f"]);
    // The far engine reads the shared part, and then a long prompt fills its queue.
    let first = bound(&["s"], request(1, "x", 7, 500));
    assert_eq!(endpoint(place(&mut placer, 0, first)), "f");
    serve(&mut placer, 300, 1);
    let busy = PlacementRequest { objective_ms: 60_000, ..request(2, "y", 8, 200_000) };
    assert_eq!(endpoint(place(&mut placer, 400, bound(&["s"], busy))), "f");
    for next in [request(3, "z", 7, 500), bound(&["r"], request(4, "u", 7, 500))] {
        let seq = next.seq;
        let expected =
            FromPlacer::Go { seq, endpoint: "n".into(), started_at_ms: 0, copy_from: None };
        assert_eq!(place(&mut placer, 400, next), expected);
    }
}

#[test]
fn what_an_engine_of_the_same_region_has_read_is_copied() {
    let mut placer = placer_of(&[], &["f", "g"]);
    let reader = endpoint(place(&mut placer, 0, request(1, "x", 7, 500)));
    serve(&mut placer, 300, 1);
    let next = PlacementRequest { avoid: vec![reader.clone()], ..request(2, "x", 7, 500) };
    match place(&mut placer, 400, next) {
        FromPlacer::Go { copy_from, .. } => assert_eq!(copy_from, Some(reader)),
        other => panic!("not placed: {other:?}"),
    }
}

#[test]
fn a_router_whose_region_is_not_known_may_use_any_engine() {
    let mut placer = placer_of(&[], &["f"]);
    let unknown = PlacementRequest { hall: "elsewhere".into(), ..request_of_new_customer(1) };
    let decision = decide(&mut placer, 0, unknown);
    assert_eq!(endpoint(decision.answer), "f");
    assert!(decision.own_ms > 0.0);
}

#[test]
fn a_data_hall_whose_region_is_not_known_counts_as_near() {
    let regions = regions();
    assert!(regions.is_other_region("a", "b"));
    assert!(!regions.is_other_region("a", "a"));
    assert!(!regions.is_other_region("a", "unnamed"));
    assert!(!regions.is_other_region("unnamed", "b"));
}
