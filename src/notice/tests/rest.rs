//! Rests, and the return from them.

use proptest::prelude::*;

use crate::notice::{MAX_REST_MS, Rest};

fn asked(now: u64, time: u64) -> Rest {
    let mut rest = Rest::default();
    rest.extend(now, time);
    rest
}

#[test]
fn it_lasts_as_long_as_was_asked() {
    let rest = asked(1_000, 3_000);
    assert_eq!(rest.remaining(1_000), Some(3_001), "with the rest of the millisecond");
    assert_eq!(rest.remaining(4_000), Some(1));
    assert_eq!(rest.remaining(4_001), None);
}

#[test]
fn a_shorter_time_asked_later_does_not_end_it() {
    let mut rest = asked(0, 3_000);
    rest.extend(100, 500);
    assert_eq!(rest.remaining(100), Some(2_901));
    rest.extend(2_000, 2_000);
    assert_eq!(rest.remaining(3_000), Some(1_001));
}

#[test]
fn what_is_served_meanwhile_does_not_end_it() {
    let mut rest = asked(0, 3_000);
    rest.record_served(3_000);
    assert_eq!(rest.remaining(3_000), Some(1));
    rest.record_served(3_001);
    assert!(rest.is_cleared());
}

#[test]
fn one_request_is_tried_after_it() {
    let mut rest = asked(0, 100);
    rest.record_sent(50);
    assert!(!rest.is_probing(101), "it was sent during the rest");
    rest.record_sent(101);
    assert!(rest.is_probing(101));
    // It came to nothing: the next one is tried.
    rest.record_ended();
    assert!(!rest.is_probing(101) && !rest.is_cleared());
    rest.record_sent(200);
    rest.record_served(250);
    assert!(!rest.is_probing(250) && rest.is_cleared());
}

#[test]
fn a_trial_that_is_turned_away_begins_another_rest() {
    let mut rest = asked(0, 100);
    rest.record_sent(101);
    rest.extend(110, 100);
    rest.record_ended();
    assert_eq!(rest.remaining(110), Some(101));
    rest.record_sent(211);
    assert!(rest.is_probing(211));
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
                    rest.extend(now, time);
                    until = until.max(now + time + 1);
                }
                1 => rest.record_sent(now),
                2 => rest.record_served(now),
                3 => rest.record_ended(),
                _ => {}
            }
            prop_assert_eq!(rest.remaining(now).unwrap_or(0), until.saturating_sub(now));
        }
    }
}
