//! What a router keeps and tells of what it saw.

use super::*;

#[test]
fn a_router_tells_the_leader_what_it_lost_three_times_and_a_new_leader_anew() {
    let mut observation_log = ObservationLog::default();
    observation_log.record_loss(0, start(1), request("a"), 100).unwrap();
    let told =
        |observation_log: &mut ObservationLog, now| observation_log.report(now).observations.len();
    assert_eq!(
        [0, 10, 1_000, 1_010, 4_000, 9_000].map(|now| told(&mut observation_log, now)),
        [1, 0, 1, 0, 1, 0]
    );
    observation_log.tell_anew(10_000);
    let report = observation_log.report(10_000);
    assert_eq!(report.observations[0].ago_ms, 10_000);
    // What it saw long ago bears on nothing any more.
    observation_log.tell_anew(11 * MINUTE_MS);
    assert_eq!(told(&mut observation_log, 11 * MINUTE_MS), 0);
}

#[test]
fn a_router_takes_back_what_turns_out_otherwise() {
    let mut observation_log = ObservationLog::default();
    observation_log.record_loss(0, start(1), request("a"), 100);
    observation_log.record_loss(0, start(1), request("b"), 100);
    observation_log.record_loss(0, start(2), request("a"), 100);
    assert_eq!(observation_log.record_answer(50, &start(1), 0), None, "it was sent before");
    let alive = observation_log.record_answer(60, &start(1), 40).unwrap();
    assert_eq!(alive.event, ObservedEvent::Alive(start(1)));
    assert_eq!(observation_log.record_answer(70, &start(1), 60), None, "that is known");
    let served = observation_log.record_served(80, &request("a"), false).unwrap();
    assert_eq!(served.event, ObservedEvent::Served(request("a")));
    let left = observation_log.report(100).observations;
    let left: Vec<_> = left.into_iter().map(|observation| observation.event).collect();
    assert_eq!(left, [ObservedEvent::Alive(start(1)), ObservedEvent::Served(request("a"))]);
    assert_eq!(
        observation_log.record_loss(5_000, start(3), request("a"), 1),
        None,
        "served a moment ago"
    );
    assert!(observation_log.record_loss(20_000, start(3), request("a"), 1).is_some());
}

#[test]
fn a_router_speaks_for_a_request_that_it_served_right_before_it_was_refused() {
    let mut observation_log = ObservationLog::default();
    assert_eq!(observation_log.record_served(1_000, &request("a"), false), None);
    observation_log.record_refusal(2_000, &request("b"));
    observation_log.record_refusal(2_000, &request("a"));
    let told = observation_log.report(2_000).observations;
    assert_eq!(told.len(), 1);
    assert_eq!(told[0], Observation { ago_ms: 1_000, event: ObservedEvent::Served(request("a")) });
}

#[test]
fn what_a_router_keeps_is_bounded() {
    let mut observation_log = ObservationLog::default();
    for number in 0..100_000u64 {
        observation_log.record_loss(number, start(number), request(&number.to_string()), 1);
        observation_log.record_served(number, &request(&format!("served {number}")), false);
    }
    assert_eq!(observation_log.report(100_000).observations.len(), 512);
}
