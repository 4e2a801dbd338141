//! Each check of the soak fails on a history in which its promise is broken.

use std::time::{Duration, Instant};

use crate::history::{Acknowledged, Call, History, Order, Read, RolloutRead, Says, Sighting, Told};
use crate::replica::Arrival;

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

fn answered(id: &str, once: bool, status: u16, body: &str) -> Call {
    Call { id: id.into(), router: 0, told: None, once, answer: Some((status, body.into(), true)) }
}

fn sighting(start: Instant, at: u64, version: u64, says: Says) -> Sighting {
    let (asked, answered) = (after(start, at), after(start, at + 1));
    Sighting { router: 0, life: 1, asked, answered, version, says }
}

/// A history in which every promise is kept.
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
    history.calls.push(Call { id: "c".into(), router: 0, told: None, once: true, answer: None });
    history.calls.push(answered("d", false, 200, "answer to d"));
    history.runs = ["a", "c", "d", "d"].map(String::from).to_vec();
    history.sightings.push(sighting(start, 30, 2, Says::Denies));
    history.sightings.push(sighting(start, 40, 2, Says::Knows));
    history.sightings.push(Sighting { life: 2, ..sighting(start, 50, 2, Says::Denies) });
    history.leaves.push(true);
    history.orders.push(Order { number: 2, at: after(start, 10) });
    history.rollout_reads.push(rollout(after(start, 5), None));
    history.rollout_reads.push(rollout(after(start, 15), Some((2, "running"))));
    history.rollout_reads.push(rollout(after(start, 20), Some((2, "rolled_back"))));
    (history, start)
}

fn rollout(asked: Instant, said: Option<(u64, &str)>) -> RolloutRead {
    RolloutRead { asked, said: said.map(|(number, state)| (number, state.into())) }
}

fn breaks(change: impl FnOnce(&mut History, Instant)) -> usize {
    let (mut history, start) = sound();
    assert_eq!(history.broken(), Vec::<String>::new());
    change(&mut history, start);
    history.broken().len()
}

#[test]
fn a_read_that_is_older_than_what_was_acknowledged_is_caught() {
    let read = |start| Read { asked: after(start, 21), version: 1, text: "one".into() };
    assert_eq!(breaks(|h, start| h.reads.push(read(start))), 1);
}

#[test]
fn a_version_that_reads_otherwise_than_it_was_sent_is_caught() {
    assert_eq!(breaks(|h, _| h.reads[1].text = "too".into()), 1);
}

#[test]
fn a_sound_change_that_is_refused_is_caught() {
    assert_eq!(breaks(|h, _| h.refused_changes.push("refused".into())), 1);
}

#[test]
fn an_answer_to_another_request_is_caught() {
    assert_eq!(breaks(|h, _| h.calls[0] = answered("a", true, 200, "answer to d")), 1);
}

#[test]
fn an_answer_that_is_not_whole_is_caught() {
    let part = Some((200, "answer to a".to_string(), false));
    assert_eq!(breaks(|h, _| h.calls[0].answer = part), 1);
}

#[test]
fn a_promise_of_no_run_that_is_false_is_caught() {
    assert_eq!(breaks(|h, _| h.runs.push("b".into())), 1);
}

#[test]
fn a_second_run_of_what_may_run_once_is_caught() {
    assert_eq!(breaks(|h, _| h.runs.push("c".into())), 1);
}

#[test]
fn a_run_that_nobody_asked_for_is_caught() {
    assert_eq!(breaks(|h, _| h.runs.push("z".into())), 1);
}

#[test]
fn a_router_is_behind_from_the_first_version_that_it_missed() {
    let (mut history, start) = sound();
    for (version, at) in [(3, 100), (4, 200), (5, 300)] {
        history.acknowledged.push(Acknowledged { version, at: after(start, at) });
    }
    history.sightings.push(sighting(start, 350, 5, Says::Denies));
    history.sightings.push(sighting(start, 400, 5, Says::Unsure));
    assert_eq!(history.behind_ms(), (300, 250));
}

#[test]
fn a_router_that_goes_back_is_caught() {
    assert_eq!(breaks(|h, start| h.sightings.push(sighting(start, 60, 1, Says::Denies))), 1);
}

#[test]
fn an_acknowledged_order_that_is_lost_is_caught() {
    assert_eq!(breaks(|h, start| h.rollout_reads.push(rollout(after(start, 25), None))), 1);
    let older = |start| rollout(after(start, 35), Some((2, "rolled_back")));
    let orders = |h: &mut History, start| {
        h.orders.push(Order { number: 3, at: after(start, 30) });
        h.rollout_reads.push(older(start));
    };
    assert_eq!(breaks(orders), 1);
}

#[test]
fn a_bad_release_that_is_rolled_out_is_caught() {
    let done = |start| rollout(after(start, 25), Some((2, "done")));
    assert_eq!(breaks(|h, start| h.rollout_reads.push(done(start))), 1);
}

#[test]
fn a_release_that_is_rolled_out_again_after_its_roll_back_is_caught() {
    let again = |start| rollout(after(start, 25), Some((2, "running")));
    assert_eq!(breaks(|h, start| h.rollout_reads.push(again(start))), 1);
}

#[test]
fn a_replica_that_leaves_and_still_gets_requests_is_caught() {
    assert_eq!(breaks(|h, _| h.leaves.push(false)), 1);
}

#[test]
fn a_request_that_is_taken_for_one_that_crashes_replicas_is_caught() {
    assert_eq!(breaks(|history, _| history.mistaken.push("innocent".into())), 1);
}

#[test]
fn a_router_that_serves_nothing_does_not_count_as_passing_a_replica_by() {
    let (history, _) = sound();
    assert_eq!(history.served_by_each(0, 1), 2);
    assert_eq!(history.served_by_each(3, 1), 1);
    assert_eq!(history.served_by_each(0, 2), 0);
}

/// A call to a router, and its arrival at the replica that speaks, `at` milliseconds after the
/// start.
fn reaches(history: &mut History, start: Instant, id: &str, at: u64, life: u32) -> Arrival {
    let told = Told { life, asked: after(start, at), answered: after(start, at + 2) };
    let answer = Some((200, format!("answer to {id}"), true));
    history.calls.push(Call { id: id.into(), router: 0, told: Some(told), once: false, answer });
    history.runs.push(id.into());
    let at = after(start, at + 1);
    let (leaving, turned_away) = (false, false);
    Arrival { id: id.into(), at, start: 1, leaving, turned_away, rests_until: None }
}

#[test]
fn a_request_to_a_replica_that_leaves_by_its_answers_is_caught() {
    let second = |at, life, of_start| {
        breaks(|h, start| {
            let first = Arrival { leaving: true, ..reaches(h, start, "n1", 10, 1) };
            let later = Arrival { start: of_start, ..reaches(h, start, "n2", at, life) };
            h.arrivals = vec![first, later];
        })
    };
    assert_eq!(second(13, 1, 1), 1);
    assert_eq!(second(11, 1, 1), 0, "it was asked before the answer had come");
    assert_eq!(second(13, 2, 1), 0, "the router has started again");
    assert_eq!(second(13, 1, 2), 0, "the replica has started again");
}

#[test]
fn a_request_to_a_replica_that_rests_is_caught() {
    let second = |at| {
        breaks(|h, start| {
            let rests_until = Some(after(start, 100));
            let first = reaches(h, start, "n1", 10, 1);
            let later = reaches(h, start, "n2", at, 1);
            h.arrivals = vec![Arrival { turned_away: true, rests_until, ..first }, later];
        })
    };
    assert_eq!(second(50), 1);
    assert_eq!(second(11), 0, "it was asked before the answer had come");
    assert_eq!(second(100), 0, "the rest is over");
}
