//! Engines of a data hall that routers do not reach.

use std::collections::VecDeque;

use super::*;

const HALL_ENGINES: usize = 100;
/// Milliseconds to a first event at the rate that the placer assumes, so that it learns no other.
const ANSWER_MS: u64 = 300;

/// Engines in the halls `a` and `b`, in equal number.
fn placer_of_two_halls() -> Placer {
    let mut placer = Placer::new(PlacementRules::default());
    let engine_in =
        |hall: &str, n| EngineInfo { hall: hall.into(), ..engine(&format!("{hall}-{n}")) };
    let engines = (0..HALL_ENGINES).flat_map(|n| ["a", "b"].map(|hall| engine_in(hall, n)));
    placer.set_engines(0, engines.collect());
    placer
}

/// Sends a request every 10 ms, each of which fails after `ANSWER_MS` at engines of `b`, and is served
/// at those of `a`. Returns how many were sent to `b`.
fn sent_to_b(placer: &mut Placer, from: u64, until: u64, b_fails: bool) -> usize {
    let mut sent = 0;
    let mut open: VecDeque<(u64, u64, bool)> = VecDeque::new();
    for now in (from..until).step_by(10) {
        while let Some((_, seq, failed)) = open.pop_front_if(|(at, ..)| *at <= now) {
            let completion = if failed { Completion::Failed } else { Completion::Served };
            if !failed {
                placer.receive(now, ROUTER, ToPlacer::FirstEvent { seq });
            }
            placer.receive(now, ROUTER, ToPlacer::Done { seq, completion });
        }
        let request = request(now, &now.to_string(), now, 500);
        if let FromPlacer::Go { endpoint, seq, .. } = place(placer, now, request) {
            let is_b = endpoint.starts_with('b');
            sent += usize::from(is_b);
            open.push_back((now + ANSWER_MS, seq, is_b && b_fails));
        }
    }
    sent
}

/// With one exclusion for each engine, half of the requests of two seconds would fail once: each
/// engine would have to fail twice.
#[test]
fn a_hall_out_of_reach_costs_few_requests_however_many_engines_it_has() {
    let mut placer = placer_of_two_halls();
    let sent = sent_to_b(&mut placer, 10, 2_010, true);
    assert!(sent <= 50, "{sent} of 200 requests went to the hall out of reach");
}

#[test]
fn a_hall_in_reach_again_is_used_after_one_probe() {
    let mut placer = placer_of_two_halls();
    sent_to_b(&mut placer, 10, 2_010, true);
    sent_to_b(&mut placer, 2_010, 3_010, false);
    let sent = sent_to_b(&mut placer, 3_010, 4_010, false);
    // Probes alone are two a second.
    assert!(sent >= 10, "{sent} of 100 requests went to the hall in reach again");
}

#[test]
fn a_hall_is_used_when_no_other_is_left() {
    let mut placer = placer_of_two_halls();
    sent_to_b(&mut placer, 10, 2_010, true);
    let left =
        (0..HALL_ENGINES).map(|n| EngineInfo { hall: "b".into(), ..engine(&format!("b-{n}")) });
    placer.set_engines(2_010, left.collect());
    let answer = place(&mut placer, 2_010, request(9_000, "x", 9_000, 500));
    assert!(endpoint(answer).starts_with('b'));
}
