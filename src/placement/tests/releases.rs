//! Engines of several releases.

use super::*;
use crate::eligibility::{VersionRule, order_of};

fn engine_of(id: &str, version: &str) -> EngineInfo {
    EngineInfo { version: version.into(), ..engine(id) }
}

fn only(version: &str, highest_order: u32) -> VersionRule {
    VersionRule::Only { version: version.into(), highest_order }
}

fn to(version: VersionRule, request: PlacementRequest) -> PlacementRequest {
    let mut request = request;
    request.eligibility.version = version;
    request
}

#[test]
fn prompt_parts_are_copied_between_engines_of_one_release_only() {
    let copied_to = |version: &str| {
        let mut placer = Placer::new(PlacementRules::default());
        placer.set_engines(0, vec![engine_of("a", "v1"), engine_of("b", version)]);
        let first = to(only("v1", order_of("a")), request(1, "x", 7, 500));
        let first = PlacementRequest { avoid: vec!["b".into()], ..first };
        assert_eq!(endpoint(place(&mut placer, 0, first)), "a");
        serve(&mut placer, 300, 1);
        let second = PlacementRequest { avoid: vec!["a".into()], ..request(2, "x", 7, 500) };
        match place(&mut placer, 1_000, second) {
            FromPlacer::Go { copy_from, .. } => copy_from,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(copied_to("v1").as_deref(), Some("a"));
    assert_eq!(copied_to("v2"), None);
}

#[test]
fn a_request_for_one_release_goes_to_the_endpoints_that_were_granted() {
    let ids = ["a", "b", "c", "d"];
    let mut placer = Placer::new(PlacementRules::default());
    let new = ids.iter().map(|id| engine_of(id, "v2"));
    placer.set_engines(0, new.chain([engine_of("old", "v1")]).collect());
    let first = *ids.iter().min_by_key(|id| order_of(id)).unwrap();
    for seq in 1..20 {
        let canary = to(only("v2", order_of(first)), request(seq, "x", seq, 100));
        assert_eq!(endpoint(place(&mut placer, seq * 1_000, canary)), first);
        serve(&mut placer, seq * 1_000 + 300, seq);
        let other = to(VersionRule::Not("v2".into()), request(100 + seq, "x", seq, 100));
        assert_eq!(endpoint(place(&mut placer, seq * 1_000 + 400, other)), "old");
        serve(&mut placer, seq * 1_000 + 700, 100 + seq);
    }
}

#[test]
fn a_request_for_a_release_without_room_is_refused_and_not_sent_elsewhere() {
    let mut placer = Placer::new(PlacementRules::default());
    let cold =
        EngineInfo { cold_per_second: Some(0.5), warmup_ms: 60_000, ..engine_of("new", "v2") };
    placer.set_engines(0, vec![cold, engine_of("old", "v1")]);
    let canary = |seq| to(only("v2", u32::MAX), request(seq, "x", seq, 100));
    let refused = (1..9).any(|seq| {
        let answer = place(&mut placer, 1, canary(seq));
        matches!(answer, FromPlacer::Refuse { .. })
    });
    assert!(refused, "its cold limit is low");
}

#[test]
fn a_repeated_request_counts_once_in_its_customers_share() {
    let share = |demand_recorded| {
        let mut placer = placer(&["a"]);
        let again = PlacementRequest { demand_recorded, ..request(2, "x", 8, 500) };
        // Requested without being placed, and again with other endpoints.
        let nowhere = PlacementRequest { avoid: vec!["a".into()], ..request(1, "x", 7, 500) };
        place(&mut placer, 0, nowhere);
        place(&mut placer, 0, again);
        let mut shares = format!("{:?}", placer);
        shares.drain(..shares.find("shares").unwrap());
        shares
    };
    let once = {
        let mut placer = placer(&["a"]);
        place(&mut placer, 0, request(2, "x", 8, 500));
        let mut shares = format!("{:?}", placer);
        shares.drain(..shares.find("shares").unwrap());
        shares
    };
    assert_eq!(share(true), once);
    assert_ne!(share(false), once);
}

#[test]
fn a_request_with_an_alternative_is_not_queued_where_there_is_no_room() {
    let answer = |has_alternative| {
        let mut placer = Placer::new(PlacementRules::default());
        placer.set_engines(0, vec![EngineInfo { slots: 1, ..engine("new") }]);
        place(&mut placer, 0, request(1, "x", 1, 100));
        place(&mut placer, 0, PlacementRequest { has_alternative, ..request(2, "x", 1, 100) })
    };
    assert!(matches!(answer(true), FromPlacer::Refuse { .. }));
    assert!(matches!(answer(false), FromPlacer::Go { .. }));
}
