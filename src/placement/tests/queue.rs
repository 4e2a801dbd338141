//! What waits for an engine, and in which order it is sent.

use super::super::choice::memory_tokens;
use super::super::engine::EngineModel;
use super::super::queue::{Pace, Planned, Queue, Unsent};
use super::*;

const PACE: Pace =
    Pace { ms_per_unit: 1.0, paced_ms_per_unit: 1.0, backlog_ms: 0.0, lateness_ms: 0.0 };

fn planned(seq: u64, units: f64, latest_start: f64, limit: f64) -> Planned {
    let unsent = Unsent { request: request(seq, "x", seq, 1), copy_from: None, limit };
    Planned { key: (ROUTER, seq), units, latest_start, unsent: Some(unsent) }
}

/// Holds back all but a little.
fn holding_placer(engines: &[&str]) -> Placer {
    let rules = PlacementRules { send_ahead_ms: 20.0, ..PlacementRules::default() };
    placer_with(rules, engines)
}

/// A request with a prompt of its own.
fn own(seq: u64, customer: &str, tokens: u32, objective_ms: u32) -> PlacementRequest {
    PlacementRequest {
        parts: vec![(seq, tokens)],
        prompt_tokens: tokens,
        objective_ms,
        ..request(seq, customer, seq, 1)
    }
}

fn sent(decisions: Vec<Decision>) -> Vec<u64> {
    let go = |d: &Decision| matches!(d.answer, FromPlacer::Go { .. }).then(|| d.answer.seq());
    decisions.iter().filter_map(go).collect()
}

#[test]
fn who_must_start_early_goes_ahead_of_those_that_may_wait() {
    let mut queue = Queue::default();
    queue.insert(0, planned(1, 100.0, 400.0, 400.0));
    queue.insert(1, planned(2, 100.0, 400.0, 400.0));
    let early = queue.position(0, PACE, 150.0, 10.0, 0.0);
    assert_eq!((early.index, early.wait_ms), (0, 0.0));
    let late = queue.position(0, PACE, 500.0, 10.0, 0.0);
    assert_eq!((late.index, late.wait_ms), (2, 200.0));
}

#[test]
fn nobody_is_made_late_by_who_goes_ahead() {
    let mut queue = Queue::default();
    queue.insert(0, planned(1, 100.0, 400.0, 400.0));
    // Starts after 100 ms and must start by then.
    queue.insert(1, planned(2, 100.0, 400.0, 100.0));
    let behind = queue.position(0, PACE, 150.0, 10.0, 0.0);
    assert_eq!((behind.index, behind.wait_ms), (2, 200.0));
    let tolerated = queue.position(0, PACE, 150.0, 10.0, 10.0);
    assert_eq!(tolerated.index, 0);
}

#[test]
fn what_was_sent_counts_at_the_pace_of_reading() {
    let pace = Pace { paced_ms_per_unit: 2.0, ..PACE };
    let mut queue = Queue::default();
    queue.insert(0, planned(1, 100.0, 0.0, 0.0));
    queue.insert(1, planned(2, 100.0, 0.0, 0.0));
    queue.advance(1_000, pace);
    assert_eq!(queue.wait_ms(pace), 400.0, "what is not sent cannot have been read");
    assert_eq!(queue.send_next().map(|(key, ..)| key.1), Some(1));
    queue.advance(1_100, pace);
    assert_eq!(queue.wait_ms(pace), 300.0);
    assert_eq!(queue.send_next().map(|(key, ..)| key.1), Some(2));
    assert!(queue.all_sent());
    queue.advance(2_000, pace);
    assert_eq!(queue.wait_ms(pace), 0.0);
}

#[test]
fn a_held_request_is_told_to_wait_and_sent_when_the_engine_has_come_to_it() {
    let mut placer = holding_placer(&["a"]);
    assert_eq!(sent(placer.receive(0, ROUTER, ToPlacer::Place(own(1, "x", 5_000, 900)))), [1]);
    let second = decide(&mut placer, 0, own(2, "y", 5_000, 900)).answer;
    let FromPlacer::Queued { within_ms, .. } = second else { panic!("{second:?}") };
    assert!(within_ms > 0);
    let wait = placer.next_poll_ms(0).expect("one waits");
    assert!(sent(placer.poll(1)).is_empty());
    let at = (wait.ceil() as u64).max(100);
    assert_eq!(sent(placer.poll(at)), [2]);
    assert_eq!(placer.next_poll_ms(at), None);
}

#[test]
fn a_short_objective_is_served_first_though_it_came_last() {
    let mut placer = holding_placer(&["a"]);
    for seq in 1..=3 {
        place(&mut placer, 0, own(seq, &seq.to_string(), 5_000, 1_200));
    }
    place(&mut placer, 1, own(4, "short", 500, 400));
    let mut order = vec![1];
    for now in 2..1_000 {
        order.extend(sent(placer.poll(now)));
        // Each is read 100 ms after the one before.
        if let Some(read) = now.checked_sub(100).filter(|ms| ms % 100 == 0) {
            order.get(read as usize / 100).copied().into_iter().for_each(|seq| {
                serve(&mut placer, now, seq);
            });
        }
    }
    assert_eq!(order, [1, 4, 2, 3]);
}

#[test]
fn a_request_that_its_caller_leaves_gives_up_its_turn() {
    let mut placer = holding_placer(&["a"]);
    for seq in 1..=3 {
        place(&mut placer, 0, own(seq, "x", 5_000, 1_200));
    }
    placer.receive(1, ROUTER, ToPlacer::Done { seq: 2, ending: Ending::Abandoned });
    let order: Vec<_> = (2..1_000).flat_map(|now| sent(placer.poll(now))).collect();
    assert_eq!(order, [3]);
}

#[test]
fn what_waits_at_an_engine_that_leaves_goes_elsewhere() {
    let mut placer = holding_placer(&["a", "b"]);
    let busy = endpoint(place(&mut placer, 0, own(1, "x", 5_000, 1_200)));
    let other = other_than(&busy);
    let bound = PlacementRequest { avoid: other.clone(), ..own(2, "x", 5_000, 1_200) };
    assert!(matches!(place(&mut placer, 0, bound.clone()), FromPlacer::Queued { .. }));
    let free = PlacementRequest { avoid: vec![], ..own(3, "x", 5_000, 1_200) };
    place(&mut placer, 0, free);
    placer.set_engines(other.iter().map(|id| engine(id)).collect());
    let moved = placer.poll(1);
    // It may go to no other engine, and is told so.
    assert!(moved.iter().any(|d| d.answer == FromPlacer::Unknown { seq: 2 }));
}

/// A router that is cut off cannot say that its prompts were read.
#[test]
fn prompts_that_were_overtaken_count_as_read() {
    let mut model = EngineModel::new(64, 500_000, 50.0, 1.0);
    let silent = (HostId(2), 1);
    model.send(0, silent, &[], 5_000.0, 5_000);
    model.send(200, (ROUTER, 2), &[], 500.0, 500);
    assert!(model.is_stalled(2_000));
    model.begun(2_000, (ROUTER, 2));
    assert!(!model.is_stalled(4_000));
    assert_eq!(model.backlog_ms(4_000), 0.0);
}

#[test]
fn lateness_is_observed_and_fades() {
    let mut model = EngineModel::new(64, 500_000, 50.0, 1.0);
    model.send(0, (ROUTER, 1), &[], 500.0, 500);
    model.begun(1_000, (ROUTER, 1));
    let late = model.pace(1_000).lateness_ms;
    assert!(late > 0.0);
    assert!(model.pace(1_200).lateness_ms < late * 0.6);
}

#[test]
fn an_engine_whose_address_another_has_gets_nothing_more() {
    let mut placer = placer(&["a", "b"]);
    let gone = endpoint(place(&mut placer, 0, request(1, "x", 7, 500)));
    placer.receive(1, ROUTER, ToPlacer::Done { seq: 1, ending: Ending::Replaced });
    for seq in 2..6 {
        let now = seq * 20_000;
        assert_ne!(endpoint(place(&mut placer, now, request(seq, "x", 7, 500))), gone);
        serve(&mut placer, now + 100, seq);
    }
}

#[test]
fn memory_that_prompts_share_is_not_counted_for_each() {
    assert_eq!(memory_tokens(&[(1, 5_000), (2, 300)], 5_300, 100), 400);
    assert_eq!(memory_tokens(&[], 700, 100), 800);
}
