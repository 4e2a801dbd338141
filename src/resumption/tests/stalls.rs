//! What is known of versions after this process was stalled.

use crate::resumption::{CONFIRM_MS, RecentLosses, STALL_MS};

const INTERVAL_MS: u64 = 50;
const MAX_SILENCE_MS: u64 = 1_250;

/// Checks the feeds from `from` until `until`; all are heard.
fn follow(losses: &mut RecentLosses, from: u64, until: u64) {
    for now in (from..=until).step_by(INTERVAL_MS as usize) {
        assert_eq!(losses.record_check(now, true, MAX_SILENCE_MS), None);
    }
}

#[test]
fn time_that_passes_during_a_stall_confirms_nothing() {
    for stall_ms in [STALL_MS, 1_000, CONFIRM_MS, 2_000, 5_000, 8_000, 60_000] {
        let mut losses = RecentLosses::default();
        follow(&mut losses, 0, 10_000);
        let resumed_at = 10_000 + stall_ms;
        assert_eq!(losses.record_check(resumed_at, false, MAX_SILENCE_MS), Some(stall_ms));
        for opened_at in [10_000, 9_900, 10_001 - CONFIRM_MS] {
            let known_from = losses.known_from(opened_at);
            assert_eq!(known_from, resumed_at + CONFIRM_MS, "{opened_at}, {stall_ms}");
        }
        assert!(!losses.has_followed_since(resumed_at));
        // Known long before the stall.
        let opened_at = 10_000 - MAX_SILENCE_MS - CONFIRM_MS;
        assert_eq!(losses.known_from(opened_at), 10_000 - MAX_SILENCE_MS);
    }
}

#[test]
fn a_stall_counts_even_if_all_feeds_are_heard_right_after_it() {
    let mut losses = RecentLosses::default();
    follow(&mut losses, 0, 10_000);
    assert!(!losses.is_catching_up(10_000));
    assert_eq!(losses.record_check(14_000, true, MAX_SILENCE_MS), Some(4_000));
    assert!(losses.is_catching_up(14_000));
    assert!(!losses.has_followed_since(14_000));
    assert_eq!(losses.known_from(10_000), 14_000 + CONFIRM_MS);
    follow(&mut losses, 14_050, 14_000 + CONFIRM_MS);
    assert!(losses.has_followed_since(14_000 + CONFIRM_MS));
    assert_eq!(losses.known_from(10_000), 14_000 + CONFIRM_MS);
}

#[test]
fn news_are_waited_for_only_for_a_moment_after_a_stall() {
    let mut losses = RecentLosses::default();
    follow(&mut losses, 0, 1_000);
    assert!(losses.record_check(5_000, false, MAX_SILENCE_MS).is_some());
    let checks = (5_050..12_000).step_by(INTERVAL_MS as usize);
    let mut waits_until = 5_000;
    for now in checks {
        assert_eq!(losses.record_check(now, false, MAX_SILENCE_MS), None);
        if losses.is_catching_up(now) {
            waits_until = now;
        }
    }
    assert!((6_500..8_000).contains(&waits_until), "{waits_until}");
}

#[test]
fn a_router_whose_feeds_end_without_a_stall_does_not_wait_for_news() {
    let mut losses = RecentLosses::default();
    follow(&mut losses, 0, 1_000);
    assert_eq!(losses.record_check(1_050, false, MAX_SILENCE_MS), None);
    assert!(!losses.is_catching_up(1_050) && !losses.has_followed_since(1_050));
}

#[test]
fn a_stall_while_no_control_host_is_followed_confirms_nothing() {
    let mut losses = RecentLosses::default();
    for now in (1_000..=3_000).step_by(INTERVAL_MS as usize) {
        losses.record_check(now, false, MAX_SILENCE_MS);
    }
    assert_eq!(losses.record_check(9_000, false, MAX_SILENCE_MS), Some(6_000));
    assert_eq!(losses.known_from(2_000), 9_000 + CONFIRM_MS);
    assert_eq!(losses.known_from(3_000), 9_000 + CONFIRM_MS);
}
