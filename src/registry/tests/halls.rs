//! Data halls that are taken back: their endpoints may have turned cold and not said so.

use super::*;

/// The halls after hall `a` was drained and taken back.
fn taken_back() -> DrainedHalls {
    let mut halls = drained(&["a"]);
    halls.restore("a");
    halls
}

fn is_cold(registry: &Registry) -> bool {
    registry.ready("llm").all(|endpoint| endpoint.warmup_ms > 0)
}

#[test]
fn endpoints_count_as_cold_where_both_orders_are_learnt_at_once() {
    let mut registry = Registry::default();
    registry.merge(said("e", 7, EndpointState::Ready), Direct);
    assert!(registry.adopt_drained(taken_back()));
    assert!(is_cold(&registry), "a host just started never saw the hall drained");
}

#[test]
fn remembered_endpoints_count_as_cold_when_their_hall_is_taken_back() {
    let mut registry = Registry::default();
    registry.remember(vec![said("e", 7, EndpointState::Ready)]);
    registry.adopt_drained(drained(&["a"]));
    registry.adopt_drained(taken_back());
    assert!(is_cold(&registry));
    registry.remember(vec![said("f", 7, EndpointState::Ready)]);
    assert!(is_cold(&registry), "what another host remembers is no newer");
}

#[test]
fn endpoints_learnt_just_after_their_hall_was_taken_back_count_as_cold() {
    let mut registry = Registry::default();
    registry.adopt_drained(drained(&["a"]));
    registry.adopt_drained(taken_back());
    registry.merge(said("e", 7, EndpointState::Ready), Relayed);
    assert!(is_cold(&registry));
    registry.merge(said("e", 8, EndpointState::Ready), Direct);
    assert!(is_cold(&registry), "it may have been sent before");
    registry.merge(said("e", 9, EndpointState::Ready), Direct);
    assert!(!is_cold(&registry), "it has said so twice");
}

#[test]
fn endpoints_learnt_long_after_their_hall_was_taken_back_are_believed() {
    let mut registry = Registry::default();
    registry.adopt_drained(drained(&["a"]));
    registry.adopt_drained(taken_back());
    registry.forget_restored(taken_back().revision());
    registry.merge(said("e", 7, EndpointState::Ready), Direct);
    assert!(!is_cold(&registry));
}

#[test]
fn a_hall_taken_back_later_is_not_forgotten_with_one_before() {
    let mut registry = Registry::default();
    registry.adopt_drained(taken_back());
    let mut halls = taken_back();
    halls.drain("a");
    halls.restore("a");
    registry.adopt_drained(halls);
    registry.forget_restored(taken_back().revision());
    registry.merge(said("e", 7, EndpointState::Ready), Direct);
    assert!(is_cold(&registry));
}

#[test]
fn the_highest_number_of_a_call_does_not_overflow_when_its_hall_is_taken_back() {
    let mut registry = Registry::default();
    registry.merge(said("e", u64::MAX, EndpointState::Ready), Direct);
    registry.adopt_drained(taken_back());
    assert!(is_cold(&registry));
}
