//! Customers that have received their share, and customers that have not.

use super::*;

#[test]
fn nominal_capacity_limits_the_shares() {
    let mut shares = Shares::default();
    for customer in ["a", "b"] {
        shares.record_demand(0, customer, 10_000);
        shares.record_service(0, customer, 4_000);
    }
    assert_eq!(shares.usage("a").ratio, 1.0);
    // 1,000 units a second are 4,000 in a window, 2,000 for each.
    shares.set_nominal(1_000);
    assert_eq!(shares.usage("a").ratio, 2.0);
    assert_eq!(shares.usage("a").relative, 1.0);
    // If engines do less than that, what they do is divided.
    shares.set_nominal(100_000);
    assert_eq!(shares.usage("a").ratio, 1.0);
}

/// Both customers request more than their share; the one that received less of the surplus may wait
/// longer for it.
#[test]
fn surplus_goes_to_the_customer_that_received_less_of_it() {
    let mut placer = placer(&["a"]);
    placer.set_nominal(1_000);
    let ask = |seq, customer| PlacementRequest {
        parts: vec![(seq, 500)],
        prompt_tokens: 500,
        ..request(seq, customer, seq, 1)
    };
    for seq in 0..15 {
        let now = seq * 100;
        let customer = if seq < 12 { "much" } else { "little" };
        endpoint(place(&mut placer, now, ask(seq, customer)));
        serve(&mut placer, now + 70, seq);
    }
    // A long prompt fills the engine's queue.
    let big =
        PlacementRequest { parts: vec![(100, 9_000)], prompt_tokens: 9_000, ..ask(100, "other") };
    place(&mut placer, 1_500, big);
    assert!(matches!(place(&mut placer, 1_501, ask(20, "much")), FromPlacer::Refuse { .. }));
    assert!(matches!(place(&mut placer, 1_501, ask(21, "little")), FromPlacer::Go { .. }));
}
