//! Encoded sizes of rollout messages: the figures of `docs/CAPACITY.md`.

use crate::rollout::{AnswerCounts, Grant, Grants, Release, Report, RouteTally, ServiceReport};

/// A router's answers on one route in one window: six sent, in four buckets of times.
fn tally(route: &str, release: Release) -> RouteTally {
    let mut answers = AnswerCounts { sent: 6, failed: 1, ..AnswerCounts::default() };
    [40.0, 55.0, 70.0, 100.0].into_iter().for_each(|ms| answers.add_answer(ms));
    RouteTally { route: route.into(), release, answers }
}

#[test]
fn messages_are_small() {
    let grant =
        Grant { service: "llm".into(), number: 300, permille: 55, highest_order: u32::MAX / 20 };
    let grants = Grants { term: 300, valid_ms: 600, services: vec![grant] };
    let routes = ["chat", "search", "summary"];
    let sides = [Release::Old, Release::New];
    let tallies = routes.iter().flat_map(|route| sides.map(|side| tally(route, side)));
    let service = ServiceReport {
        service: "llm".into(),
        number: 300,
        open_on_old: 12,
        tallies: tallies.collect(),
    };
    let report = Report { services: vec![service] };
    let sizes =
        (postcard::to_stdvec(&grants).unwrap().len(), postcard::to_stdvec(&report).unwrap().len());
    assert_eq!(sizes, (16, 127));
}
