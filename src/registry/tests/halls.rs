//! Restored data halls: their endpoints may have turned cold without having reported it.

use super::*;

/// The drained halls after hall `a` was drained and restored.
fn restored_hall() -> DrainedHalls {
    let mut halls = drained(&["a"]);
    halls.restore("a");
    halls
}

fn is_cold(registry: &Registry) -> bool {
    registry.ready("llm").all(|endpoint| endpoint.warmup_ms > 0)
}

#[test]
fn endpoints_count_as_cold_when_both_orders_arrive_at_once() {
    let mut registry = Registry::default();
    registry.merge(registration("e", 7, EndpointState::Ready), Direct);
    assert!(registry.adopt_drained(restored_hall()));
    assert!(is_cold(&registry), "a host that just started has no record of the drained hall");
}

#[test]
fn remembered_endpoints_count_as_cold_when_their_hall_is_restored() {
    let mut registry = Registry::default();
    registry.remember(vec![registration("e", 7, EndpointState::Ready)]);
    registry.adopt_drained(drained(&["a"]));
    registry.adopt_drained(restored_hall());
    assert!(is_cold(&registry));
    registry.remember(vec![registration("f", 7, EndpointState::Ready)]);
    assert!(is_cold(&registry), "endpoints remembered by another host are no newer");
}

#[test]
fn endpoints_added_just_after_their_hall_was_restored_count_as_cold() {
    let mut registry = Registry::default();
    registry.adopt_drained(drained(&["a"]));
    registry.adopt_drained(restored_hall());
    registry.merge(registration("e", 7, EndpointState::Ready), Relayed);
    assert!(is_cold(&registry));
    registry.merge(registration("e", 8, EndpointState::Ready), Direct);
    assert!(is_cold(&registry), "this heartbeat may have been sent before");
    registry.merge(registration("e", 9, EndpointState::Ready), Direct);
    assert!(!is_cold(&registry), "it has reported twice that it is warm");
}

#[test]
fn endpoints_added_long_after_their_hall_was_restored_count_as_reported() {
    let mut registry = Registry::default();
    registry.adopt_drained(drained(&["a"]));
    registry.adopt_drained(restored_hall());
    registry.forget_restored(restored_hall().revision());
    registry.merge(registration("e", 7, EndpointState::Ready), Direct);
    assert!(!is_cold(&registry));
}

#[test]
fn a_hall_restored_again_stays_cold_when_the_earlier_order_expires() {
    let mut registry = Registry::default();
    registry.adopt_drained(restored_hall());
    let mut halls = restored_hall();
    halls.drain("a");
    halls.restore("a");
    registry.adopt_drained(halls);
    registry.forget_restored(restored_hall().revision());
    registry.merge(registration("e", 7, EndpointState::Ready), Direct);
    assert!(is_cold(&registry));
}

#[test]
fn the_highest_sequence_number_does_not_overflow_when_its_hall_is_restored() {
    let mut registry = Registry::default();
    registry.merge(registration("e", u64::MAX, EndpointState::Ready), Direct);
    registry.adopt_drained(restored_hall());
    assert!(is_cold(&registry));
}
