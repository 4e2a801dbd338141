//! Rests, and the probe after them.

use proptest::prelude::*;

use crate::notice::{MAX_REST_MS, Rest};

fn resting(now: u64, time: u64) -> Rest {
    let mut rest = Rest::default();
    rest.extend(now, time);
    rest
}

#[test]
fn a_rest_lasts_as_long_as_requested() {
    let rest = resting(1_000, 3_000);
    assert_eq!(rest.remaining(1_000), Some(3_001), "with the remainder of the millisecond");
    assert_eq!(rest.remaining(4_000), Some(1));
    assert_eq!(rest.remaining(4_001), None);
}

#[test]
fn a_later_shorter_request_does_not_end_a_rest() {
    let mut rest = resting(0, 3_000);
    rest.extend(100, 500);
    assert_eq!(rest.remaining(100), Some(2_901));
    rest.extend(2_000, 2_000);
    assert_eq!(rest.remaining(3_000), Some(1_001));
}

#[test]
fn a_request_served_during_a_rest_does_not_end_it() {
    let mut rest = resting(0, 3_000);
    rest.record_served(3_000);
    assert_eq!(rest.remaining(3_000), Some(1));
    rest.record_served(3_001);
    assert!(rest.is_cleared());
}

#[test]
fn one_request_is_sent_as_a_probe_after_a_rest() {
    let mut rest = resting(0, 100);
    rest.record_sent(50);
    assert!(!rest.is_probing(101), "it was sent during the rest");
    rest.record_sent(101);
    assert!(rest.is_probing(101));
    // The probe ended without being served, so the next request is the probe.
    rest.record_ended();
    assert!(!rest.is_probing(101) && !rest.is_cleared());
    rest.record_sent(200);
    rest.record_served(250);
    assert!(!rest.is_probing(250) && rest.is_cleared());
}

#[test]
fn a_probe_that_is_turned_away_begins_another_rest() {
    let mut rest = resting(0, 100);
    rest.record_sent(101);
    rest.extend(110, 100);
    rest.record_ended();
    assert_eq!(rest.remaining(110), Some(101));
    rest.record_sent(211);
    assert!(rest.is_probing(211));
}

proptest! {
    /// No sequence of events ends a rest before its time.
    #[test]
    fn nothing_ends_a_rest_early(
        steps in prop::collection::vec((0..5u8, 0..500u64, 0..2 * MAX_REST_MS), 0..60),
    ) {
        let (mut rest, mut now, mut until) = (Rest::default(), 0, 0);
        for (step, pause, time) in steps {
            now += pause;
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
