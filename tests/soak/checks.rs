//! Each check of the soak reports a violation on a history in which its guarantee is broken.

use std::time::{Duration, Instant};

use crate::history::{
    Acknowledged, Call, CallTimes, History, Order, Read, RolloutRead, RouteAnswer, RouteCheck,
    StreamTry,
};
use crate::replica::Arrival;
use crate::shapes::Told;
use crate::streams::EVENTS;

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

fn answered(id: &str, once: bool, status: u16, body: &str) -> Call {
    Call { id: id.into(), router: 0, times: None, once, answer: Some((status, body.into(), true)) }
}

fn route_check(start: Instant, at: u64, version: u64, answer: RouteAnswer) -> RouteCheck {
    let (asked, answered) = (after(start, at), after(start, at + 1));
    RouteCheck { router: 0, start_number: 1, asked, answered, version, answer }
}

/// A history without violations.
fn sound() -> (History, Instant) {
    let start = Instant::now();
    let mut history = History::default();
    history.sent.insert(1, "one".into());
    history.sent.insert(2, "two".into());
    history.acknowledged.push(Acknowledged { version: 1, at: after(start, 10) });
    history.acknowledged.push(Acknowledged { version: 2, at: after(start, 20) });
    history.reads.push(Read { asked: after(start, 15), version: 1, text: "one".into() });
    history.reads.push(Read { asked: after(start, 15), version: 2, text: "two".into() });
    history.calls.push(answered("a", true, 200, "answer to a"));
    history.calls.push(answered("b", true, 503, ""));
    history.calls.push(Call { id: "c".into(), router: 0, times: None, once: true, answer: None });
    history.calls.push(answered("d", false, 200, "answer to d"));
    history.runs = ["a", "c", "d", "d"].map(String::from).to_vec();
    history.route_checks.push(route_check(start, 30, 2, RouteAnswer::NotFound));
    history.route_checks.push(route_check(start, 40, 2, RouteAnswer::Known));
    history
        .route_checks
        .push(RouteCheck { start_number: 2, ..route_check(start, 50, 2, RouteAnswer::NotFound) });
    history.leave_outcomes.push(true);
    history.orders.push(Order { number: 2, at: after(start, 10) });
    history.rollout_reads.push(rollout_read(after(start, 5), None));
    history.rollout_reads.push(rollout_read(after(start, 15), Some((2, "running"))));
    history.rollout_reads.push(rollout_read(after(start, 20), Some((2, "rolled_back"))));
    history.stream_tries.push(stream_try("s", "s-0", 200, &[(1, "v1"), (2, "v1")]));
    history.stream_tries.push(stream_try("s", "s-1", 503, &[]));
    history.stream_tries.push(stream_try("s", "s-2", 200, &[(3, "v1")]));
    history.stream_tries.push(stream_try("t", "t-0", 200, &[(1, "v2")]));
    history.stream_tries.push(whole_try("u", Told::Whole));
    history.stream_runs = ["s-0", "s-2", "t-0"].map(String::from).to_vec();
    (history, start)
}

fn stream_try(stream: &str, attempt: &str, status: u16, events: &[(u32, &str)]) -> StreamTry {
    StreamTry {
        stream: stream.into(),
        attempt: attempt.into(),
        status: Some(status),
        after: 0,
        events: events.iter().map(|(id, version)| (*id, version.to_string())).collect(),
        told: Some(Told::Broken),
        is_inside: false,
        is_short_by_replica: false,
    }
}

/// A try that brings all events of a stream, and what its caller is told.
fn whole_try(stream: &str, told: Told) -> StreamTry {
    let events: Vec<_> = (1..=EVENTS).map(|id| (id, "v1")).collect();
    StreamTry { told: Some(told), ..stream_try(stream, stream, 200, &events) }
}

fn rollout_read(asked: Instant, rollout: Option<(u64, &str)>) -> RolloutRead {
    RolloutRead { asked, rollout: rollout.map(|(number, state)| (number, state.into())) }
}

fn violations_after(change: impl FnOnce(&mut History, Instant)) -> usize {
    let (mut history, start) = sound();
    assert_eq!(history.violations(), Vec::<String>::new());
    change(&mut history, start);
    history.violations().len()
}

#[test]
fn a_read_older_than_the_acknowledged_version_is_caught() {
    let read = |start| Read { asked: after(start, 21), version: 1, text: "one".into() };
    assert_eq!(violations_after(|h, start| h.reads.push(read(start))), 1);
}

#[test]
fn a_version_with_an_altered_text_is_caught() {
    assert_eq!(violations_after(|h, _| h.reads[1].text = "too".into()), 1);
}

#[test]
fn a_valid_change_that_is_refused_is_caught() {
    assert_eq!(violations_after(|h, _| h.refused_changes.push("refused".into())), 1);
}

#[test]
fn a_broken_stream_that_is_framed_as_whole_is_caught() {
    let short = |h: &mut History| {
        h.stream_tries.last_mut().unwrap().events.pop();
    };
    assert_eq!(violations_after(|h, _| short(h)), 1);
    let by_replica = |h: &mut History, _| {
        short(h);
        h.stream_tries.last_mut().unwrap().is_short_by_replica = true;
    };
    assert_eq!(violations_after(by_replica), 0);
    let told_nothing = |h: &mut History, _| {
        short(h);
        h.stream_tries.last_mut().unwrap().told = Some(Told::Nothing);
    };
    assert_eq!(violations_after(told_nothing), 0);
}

#[test]
fn a_stream_that_ends_inside_an_event_and_is_not_broken_is_caught() {
    for told in [Told::Whole, Told::Nothing] {
        let inside = |h: &mut History, _| {
            h.stream_tries.push(StreamTry { is_inside: true, ..whole_try("w", told) });
        };
        assert_eq!(violations_after(inside), 1, "{told:?}");
    }
}

#[test]
fn an_answer_to_another_request_is_caught() {
    assert_eq!(violations_after(|h, _| h.calls[0] = answered("a", true, 200, "answer to d")), 1);
}

#[test]
fn an_incomplete_answer_is_caught() {
    let incomplete = Some((200, "answer to a".to_string(), false));
    assert_eq!(violations_after(|h, _| h.calls[0].answer = incomplete), 1);
}

#[test]
fn a_run_of_a_request_reported_as_not_run_is_caught() {
    assert_eq!(violations_after(|h, _| h.runs.push("b".into())), 1);
}

#[test]
fn a_second_run_of_a_non_idempotent_request_is_caught() {
    assert_eq!(violations_after(|h, _| h.runs.push("c".into())), 1);
}

#[test]
fn a_run_without_a_request_is_caught() {
    assert_eq!(violations_after(|h, _| h.runs.push("z".into())), 1);
}

#[test]
fn the_lag_of_a_router_counts_from_the_first_missed_version() {
    let (mut history, start) = sound();
    for (version, at) in [(3, 100), (4, 200), (5, 300)] {
        history.acknowledged.push(Acknowledged { version, at: after(start, at) });
    }
    history.route_checks.push(route_check(start, 350, 5, RouteAnswer::NotFound));
    history.route_checks.push(route_check(start, 400, 5, RouteAnswer::Uncertain));
    assert_eq!(history.max_lag_ms(), (300, 250));
}

#[test]
fn a_router_that_returns_to_an_older_version_is_caught() {
    assert_eq!(
        violations_after(|h, start| h.route_checks.push(route_check(
            start,
            60,
            1,
            RouteAnswer::NotFound
        ))),
        1
    );
}

#[test]
fn an_acknowledged_order_that_is_lost_is_caught() {
    assert_eq!(
        violations_after(|h, start| h.rollout_reads.push(rollout_read(after(start, 25), None))),
        1
    );
    let older = |start| rollout_read(after(start, 35), Some((2, "rolled_back")));
    let orders = |h: &mut History, start| {
        h.orders.push(Order { number: 3, at: after(start, 30) });
        h.rollout_reads.push(older(start));
    };
    assert_eq!(violations_after(orders), 1);
}

#[test]
fn a_completed_roll_out_of_a_failing_release_is_caught() {
    let done = |start| rollout_read(after(start, 25), Some((2, "done")));
    assert_eq!(violations_after(|h, start| h.rollout_reads.push(done(start))), 1);
}

#[test]
fn a_roll_out_that_runs_again_after_its_roll_back_is_caught() {
    let again = |start| rollout_read(after(start, 25), Some((2, "running")));
    assert_eq!(violations_after(|h, start| h.rollout_reads.push(again(start))), 1);
}

#[test]
fn a_leaving_replica_that_still_gets_requests_is_caught() {
    assert_eq!(violations_after(|h, _| h.leave_outcomes.push(false)), 1);
}

#[test]
fn a_harmless_request_refused_as_crashing_is_caught() {
    assert_eq!(violations_after(|history, _| history.wrongly_refused.push("innocent".into())), 1);
}

#[test]
fn the_router_with_the_fewest_served_calls_is_counted() {
    let (history, _) = sound();
    assert_eq!(history.min_served(0, 1), 2);
    assert_eq!(history.min_served(3, 1), 1);
    assert_eq!(history.min_served(0, 2), 0);
}

/// Records a call to a router `at` milliseconds after `start`, and returns its arrival at the
/// replica that sends notices.
fn arrival(history: &mut History, start: Instant, id: &str, at: u64, start_number: u32) -> Arrival {
    let times = CallTimes { start_number, asked: after(start, at), answered: after(start, at + 2) };
    let answer = Some((200, format!("answer to {id}"), true));
    history.calls.push(Call { id: id.into(), router: 0, times: Some(times), once: false, answer });
    history.runs.push(id.into());
    let at = after(start, at + 1);
    let (leaving, turned_away) = (false, false);
    Arrival { id: id.into(), at, start: 1, leaving, turned_away, rests_until: None }
}

#[test]
fn a_request_to_a_replica_that_announced_leaving_in_an_answer_is_caught() {
    let violations_of_second = |at, start_number, of_start| {
        violations_after(|h, start| {
            let first = Arrival { leaving: true, ..arrival(h, start, "n1", 10, 1) };
            let later = Arrival { start: of_start, ..arrival(h, start, "n2", at, start_number) };
            h.arrivals = vec![first, later];
        })
    };
    assert_eq!(violations_of_second(13, 1, 1), 1);
    assert_eq!(violations_of_second(11, 1, 1), 0, "it was sent before the answer arrived");
    assert_eq!(violations_of_second(13, 2, 1), 0, "the router was restarted");
    assert_eq!(violations_of_second(13, 1, 2), 0, "the replica was restarted");
}

#[test]
fn a_request_to_a_resting_replica_is_caught() {
    let violations_of_second = |at| {
        violations_after(|h, start| {
            let rests_until = Some(after(start, 100));
            let first = arrival(h, start, "n1", 10, 1);
            let later = arrival(h, start, "n2", at, 1);
            h.arrivals = vec![Arrival { turned_away: true, rests_until, ..first }, later];
        })
    };
    assert_eq!(violations_of_second(50), 1);
    assert_eq!(violations_of_second(11), 0, "it was sent before the answer arrived");
    assert_eq!(violations_of_second(100), 0, "the rest is over");
}

#[test]
fn a_stream_of_two_versions_is_a_violation() {
    let mixed = |h: &mut History, _| h.stream_tries[2].events[0].1 = "v2".into();
    assert_eq!(violations_after(mixed), 1);
    let in_one_answer = |h: &mut History, _| h.stream_tries[0].events[1].1 = "v2".into();
    assert_eq!(violations_after(in_one_answer), 1);
}

#[test]
fn a_stream_with_a_missing_or_repeated_event_is_a_violation() {
    let missing = |h: &mut History, _| h.stream_tries[2].events[0].0 = 4;
    assert_eq!(violations_after(missing), 1);
    let repeated = |h: &mut History, _| h.stream_tries[2].events[0].0 = 2;
    assert_eq!(violations_after(repeated), 1);
}

#[test]
fn a_stream_that_was_refused_and_ran_is_a_violation() {
    assert_eq!(violations_after(|h, _| h.stream_runs.push("s-1".into())), 1);
}
