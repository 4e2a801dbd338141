//! What a router keeps and tells of what it saw.

use super::*;

#[test]
fn a_router_tells_the_leader_what_it_lost_three_times_and_a_new_leader_anew() {
    let mut witness = Witness::default();
    witness.lost(0, start(1), request("a"), 100).unwrap();
    let told = |witness: &mut Witness, now| witness.report(now).observations.len();
    assert_eq!(
        [0, 10, 1_000, 1_010, 4_000, 9_000].map(|now| told(&mut witness, now)),
        [1, 0, 1, 0, 1, 0]
    );
    witness.tell_anew(10_000);
    let report = witness.report(10_000);
    assert_eq!(report.observations[0].ago_ms, 10_000);
    // What it saw long ago bears on nothing any more.
    witness.tell_anew(11 * MINUTE_MS);
    assert_eq!(told(&mut witness, 11 * MINUTE_MS), 0);
}

#[test]
fn a_router_takes_back_what_turns_out_otherwise() {
    let mut witness = Witness::default();
    witness.lost(0, start(1), request("a"), 100);
    witness.lost(0, start(1), request("b"), 100);
    witness.lost(0, start(2), request("a"), 100);
    assert_eq!(witness.answered(50, &start(1), 0), None, "it was sent before");
    let alive = witness.answered(60, &start(1), 40).unwrap();
    assert_eq!(alive.what, Observed::Alive(start(1)));
    assert_eq!(witness.answered(70, &start(1), 60), None, "that is known");
    let served = witness.served(80, &request("a"), false).unwrap();
    assert_eq!(served.what, Observed::Served(request("a")));
    let left = witness.report(100).observations;
    let left: Vec<_> = left.into_iter().map(|observation| observation.what).collect();
    assert_eq!(left, [Observed::Alive(start(1)), Observed::Served(request("a"))]);
    assert_eq!(witness.lost(5_000, start(3), request("a"), 1), None, "served a moment ago");
    assert!(witness.lost(20_000, start(3), request("a"), 1).is_some());
}

#[test]
fn a_router_speaks_for_a_request_that_it_served_right_before_it_was_refused() {
    let mut witness = Witness::default();
    assert_eq!(witness.served(1_000, &request("a"), false), None);
    witness.refused(2_000, &request("b"));
    witness.refused(2_000, &request("a"));
    let told = witness.report(2_000).observations;
    assert_eq!(told.len(), 1);
    assert_eq!(told[0], Observation { ago_ms: 1_000, what: Observed::Served(request("a")) });
}

#[test]
fn what_a_router_keeps_is_bounded() {
    let mut witness = Witness::default();
    for number in 0..100_000u64 {
        witness.lost(number, start(number), request(&number.to_string()), 1);
        witness.served(number, &request(&format!("served {number}")), false);
    }
    assert_eq!(witness.report(100_000).observations.len(), 512);
}
