//! Engines that fail, or break off their answers.

use super::*;

#[test]
fn a_failing_engine_is_excluded_for_a_while() {
    let mut placer = placer(&["a", "b"]);
    let keeper = endpoint(place(&mut placer, 0, request(1, "x", 7, 500)));
    placer.receive(1, ROUTER, ToPlacer::Done { seq: 1, completion: Completion::Failed });
    let again = request(2, "x", 7, 500);
    place(&mut placer, 1, PlacementRequest { avoid: other_than(&keeper), ..again });
    placer.receive(2, ROUTER, ToPlacer::Done { seq: 2, completion: Completion::Failed });
    assert_ne!(endpoint(place(&mut placer, 3, request(3, "x", 7, 500))), keeper);
}

#[test]
fn an_engine_that_begins_answers_and_breaks_them_off_is_excluded() {
    let mut placer = placer(&["a", "b"]);
    let keeper = endpoint(place(&mut placer, 0, request(1, "x", 7, 500)));
    for seq in 1..3 {
        placer.receive(2 * seq, ROUTER, ToPlacer::FirstEvent { seq });
        let done = ToPlacer::Done { seq, completion: Completion::Failed };
        placer.receive(2 * seq, ROUTER, done);
        let next = request(seq + 1, "x", 7, 500);
        let avoid = if seq == 1 { other_than(&keeper) } else { Vec::new() };
        let placed = endpoint(place(&mut placer, 2 * seq, PlacementRequest { avoid, ..next }));
        assert_eq!(placed == keeper, seq == 1);
    }
}
