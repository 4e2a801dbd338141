//! Rests, and the return from them.

use proptest::prelude::*;

use crate::notice::{MAX_REST_MS, Rest};

fn asked(now: u64, time: u64) -> Rest {
    let mut rest = Rest::default();
    rest.ask(now, time);
    rest
}

#[test]
fn it_lasts_as_long_as_was_asked() {
    let rest = asked(1_000, 3_000);
    assert_eq!(rest.left(1_000), Some(3_001), "with the rest of the millisecond");
    assert_eq!(rest.left(4_000), Some(1));
    assert_eq!(rest.left(4_001), None);
}

#[test]
fn a_shorter_time_asked_later_does_not_end_it() {
    let mut rest = asked(0, 3_000);
    rest.ask(100, 500);
    assert_eq!(rest.left(100), Some(2_901));
    rest.ask(2_000, 2_000);
    assert_eq!(rest.left(3_000), Some(1_001));
}

#[test]
fn what_is_served_meanwhile_does_not_end_it() {
    let mut rest = asked(0, 3_000);
    rest.served(3_000);
    assert_eq!(rest.left(3_000), Some(1));
    rest.served(3_001);
    assert!(rest.is_forgotten());
}

#[test]
fn one_request_is_tried_after_it() {
    let mut rest = asked(0, 100);
    rest.sent(50);
    assert!(!rest.is_tried(101), "it was sent during the rest");
    rest.sent(101);
    assert!(rest.is_tried(101));
    // It came to nothing: the next one is tried.
    rest.ended();
    assert!(!rest.is_tried(101) && !rest.is_forgotten());
    rest.sent(200);
    rest.served(250);
    assert!(!rest.is_tried(250) && rest.is_forgotten());
}

#[test]
fn a_trial_that_is_turned_away_begins_another_rest() {
    let mut rest = asked(0, 100);
    rest.sent(101);
    rest.ask(110, 100);
    rest.ended();
    assert_eq!(rest.left(110), Some(101));
    rest.sent(211);
    assert!(rest.is_tried(211));
}

proptest! {
    /// Whatever comes between, nothing ends a rest before its time.
    #[test]
    fn nothing_ends_it_early(
        steps in prop::collection::vec((0..5u8, 0..500u64, 0..2 * MAX_REST_MS), 0..60),
    ) {
        let (mut rest, mut now, mut until) = (Rest::default(), 0, 0);
        for (step, later, time) in steps {
            now += later;
            match step {
                0 => {
                    rest.ask(now, time);
                    until = until.max(now + time + 1);
                }
                1 => rest.sent(now),
                2 => rest.served(now),
                3 => rest.ended(),
                _ => {}
            }
            prop_assert_eq!(rest.left(now).unwrap_or(0), until.saturating_sub(now));
        }
    }
}
