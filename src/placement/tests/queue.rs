//! Tests of an engine's queue and of the observations of its reading.

use super::super::choice::memory_tokens;
use super::super::engine::EngineModel;
use super::super::queue::{Pace, Planned, Queue};
use super::*;

const PACE: Pace = Pace { ms_per_unit: 2.0, backlog_ms: 0.0, lateness_ms: 0.0 };

fn queue(latest_starts: &[f64]) -> Queue {
    let mut queue = Queue::default();
    for (index, latest_start) in latest_starts.iter().enumerate() {
        queue.insert(index, Planned { units: 100.0, latest_start: *latest_start });
    }
    queue
}

#[test]
fn prompts_are_queued_by_latest_start() {
    let queue = queue(&[400.0, 400.0]);
    let early = queue.position(PACE, 150.0);
    assert_eq!((early.index, early.wait_ms), (0, 0.0));
    let late = queue.position(PACE, 500.0);
    assert_eq!((late.index, late.wait_ms), (2, 400.0));
    assert_eq!(queue.wait_ms(0, PACE), 400.0);
}

#[test]
fn no_prompt_overtakes_the_backlog_already_sent() {
    let pace = Pace { backlog_ms: 120.0, lateness_ms: 5.0, ..PACE };
    let queue = queue(&[400.0, 400.0]);
    assert_eq!(queue.position(pace, 150.0).wait_ms, 125.0);
    assert_eq!(queue.position(pace, 500.0).wait_ms, 405.0);
}

#[test]
fn prompts_count_until_they_are_read_at_the_pace_of_the_engine() {
    let mut queue = queue(&[0.0, 0.0]);
    queue.advance(100, PACE);
    assert_eq!(queue.wait_ms(100, PACE), 300.0);
    assert_eq!(queue.wait_ms(300, PACE), 100.0, "seen from a later time, without advancing");
    queue.advance(300, PACE);
    assert_eq!(queue.wait_ms(300, PACE), 100.0);
    // Idle time does not speed up the reading of later prompts.
    queue.advance(2_000, PACE);
    queue.insert(0, Planned { units: 100.0, latest_start: 0.0 });
    assert_eq!(queue.wait_ms(2_000, PACE), 200.0);
}

/// An engine whose queue is filled by long prompts with long objectives has room for a short prompt
/// with a short objective.
#[test]
fn a_short_prompt_is_placed_where_long_ones_wait() {
    let mut placer = placer(&["a"]);
    let own = |seq: u64, tokens, objective_ms| PlacementRequest {
        parts: vec![(seq, tokens)],
        prompt_tokens: tokens,
        objective_ms,
        ..request(seq, &seq.to_string(), seq, 1)
    };
    let mut seq = 0;
    loop {
        seq += 1;
        let answer = place(&mut placer, 0, own(seq, 1_000, 800));
        if matches!(answer, FromPlacer::Refuse { .. }) {
            break;
        }
    }
    // The engine has read the prompts at full speed, and the paced queue still holds some.
    for read in 1..seq {
        placer.receive(20 * read + 60, ROUTER, ToPlacer::FirstEvent { seq: read });
    }
    let now = 20 * seq + 60;
    assert!(matches!(place(&mut placer, now, own(100, 500, 400)), FromPlacer::Go { .. }));
}

/// A router that is cut off cannot report that its prompts were read.
#[test]
fn prompts_that_were_overtaken_count_as_read() {
    let mut model = EngineModel::new(64, 500_000, 50.0, 1.0);
    let silent = (HostId(2), 1);
    model.record_sent(0, silent, &[], 5_000.0, 5_000);
    model.record_sent(200, (ROUTER, 2), &[], 500.0, 500);
    assert!(model.is_stalled(2_000));
    model.record_first_event(2_000, (ROUTER, 2));
    assert!(!model.is_stalled(4_000));
    assert_eq!(model.backlog_ms(4_000), 0.0);
}

#[test]
fn lateness_is_observed_and_decays() {
    let mut model = EngineModel::new(64, 500_000, 50.0, 1.0);
    model.record_sent(0, (ROUTER, 1), &[], 500.0, 500);
    model.record_first_event(1_000, (ROUTER, 1));
    let late = model.pace(1_000).lateness_ms;
    assert!(late > 0.0);
    assert!(model.pace(1_200).lateness_ms < late * 0.6);
}

#[test]
fn a_replaced_engine_gets_no_more_requests() {
    let mut placer = placer(&["a", "b"]);
    let gone = endpoint(place(&mut placer, 0, request(1, "x", 7, 500)));
    placer.receive(1, ROUTER, ToPlacer::Done { seq: 1, completion: Completion::Replaced });
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
