//! Notices that may have come from a later start.

use std::net::SocketAddr;

use proptest::prelude::*;

use crate::notice::{Notice, RequestedRest, StartAddress, UnattributedNotices};

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn start(started_at_ms: u64) -> StartAddress<'static> {
    StartAddress { id: "e", started_at_ms, address: address(80) }
}

fn leaving_notice() -> Notice {
    Notice { is_leaving: true, ..Notice::default() }
}

fn rest_notice(time: u64) -> Notice {
    Notice { rest: RequestedRest::For(time), ..Notice::default() }
}

#[test]
fn a_notice_may_apply_to_any_later_start_at_the_address_until_one_answers() {
    let mut notices = UnattributedNotices::default();
    notices.record(0, start(10), &leaving_notice());
    assert!(!notices.may_apply_to(0, start(10)), "the notice counts for the known start itself");
    assert!(notices.may_apply_to(0, start(11)) && notices.may_apply_to(0, start(99)));
    assert!(!notices.may_apply_to(0, start(9)));
    let elsewhere = StartAddress { address: address(81), ..start(11) };
    assert!(!notices.may_apply_to(0, elsewhere));
    assert!(!notices.may_apply_to(0, StartAddress { id: "f", ..start(11) }));
    // A start in between answers without a notice, which discards the notice for later starts.
    notices.record(1, start(20), &Notice::default());
    assert!(!notices.may_apply_to(1, start(99)));
}

#[test]
fn a_start_that_repeats_the_notice_leaves_the_next_start_uncertain() {
    let mut notices = UnattributedNotices::default();
    notices.record(0, start(10), &leaving_notice());
    notices.record(1, start(20), &leaving_notice());
    assert!(!notices.may_apply_to(1, start(20)));
    assert!(notices.may_apply_to(1, start(30)));
}

#[test]
fn a_notice_of_a_rest_expires_with_the_rest() {
    let mut notices = UnattributedNotices::default();
    notices.record(100, start(10), &rest_notice(50));
    notices.record(110, start(10), &rest_notice(10));
    assert!(notices.may_apply_to(150, start(20)), "with the remainder of the millisecond");
    assert!(!notices.may_apply_to(151, start(20)));
    notices.record(200, start(10), &leaving_notice());
    assert!(notices.may_apply_to(9_999_999, start(20)));
}

#[test]
fn an_earlier_longer_rest_applies_to_a_start_that_requests_one_itself() {
    let recorded = |notice: Notice| {
        let mut notices = UnattributedNotices::default();
        assert_eq!(notices.record(0, start(10), &rest_notice(500)), 0);
        let earlier = notices.record(100, start(20), &notice);
        (earlier, notices.may_apply_to(400, start(30)), notices.may_apply_to(501, start(30)))
    };
    assert_eq!(recorded(rest_notice(50)), (401, true, false));
    assert_eq!(recorded(rest_notice(900)), (401, true, true));
    // A start that accepts requests, or leaves, says nothing of the earlier rest.
    assert_eq!(recorded(rest_notice(0)), (0, false, false));
    assert_eq!(recorded(Notice::default()), (0, false, false));
    assert_eq!(recorded(leaving_notice()), (0, true, true));
}

/// A request on a connection that was opened earlier may still be answered, by any start since.
#[test]
fn a_late_answer_makes_the_later_start_uncertain_again() {
    let mut notices = UnattributedNotices::default();
    notices.record(0, start(20), &leaving_notice());
    notices.record(1, start(10), &leaving_notice());
    assert!(notices.may_apply_to(1, start(20)));
}

#[test]
fn the_number_of_notices_is_bounded() {
    let mut notices = UnattributedNotices::default();
    for number in 0..5_000 {
        let id = format!("e{number}");
        let at = StartAddress { id: &id, ..start(10) };
        notices.record(number, at, &leaving_notice());
        for port in 1..9 {
            notices.record(
                number,
                StartAddress { address: address(port), ..at },
                &leaving_notice(),
            );
        }
    }
    assert_eq!(notices.leaving(usize::MAX).count(), 4_096 * 4);
    assert_eq!(notices.leaving(7).count(), 7);
    assert!(
        !notices.may_apply_to(5_000, StartAddress { id: "e0", ..start(20) }),
        "the oldest was evicted"
    );
    let last = StartAddress { id: "e4999", started_at_ms: 20, address: address(8) };
    assert!(notices.may_apply_to(5_000, last));
}

/// An event of one endpoint that restarts repeatedly.
#[derive(Clone, Debug)]
enum Step {
    /// The endpoint restarts, and from then on answers with or without a leaving notice.
    Restart { reports_leaving: bool },
    /// The router learns of the current start.
    BecomeKnown,
    /// The router sends a request, if allowed.
    Send,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(|reports_leaving| Step::Restart { reports_leaving }),
        Just(Step::BecomeKnown),
        Just(Step::Send),
        Just(Step::Send),
    ]
}

proptest! {
    #![proptest_config(crate::testing::property(256))]

    /// In any order of events, a start that has reported that it is leaving gets no more requests,
    /// and a start that accepts requests gets them once it is known and has been checked.
    #[test]
    fn a_start_is_bound_by_its_own_notices_only(steps in proptest::collection::vec(step(), 1..60)) {
        let mut notices = UnattributedNotices::default();
        let (mut now, mut current, mut known) = (0, 1, 1);
        let mut is_leaving = false;
        // Known starts that the router leaves out because of a leaving notice.
        let mut excluded = std::collections::BTreeSet::new();
        let mut reported_leaving = std::collections::BTreeSet::new();
        for step in steps {
            now += 1;
            match step {
                Step::Restart { reports_leaving } => {
                    current += 1;
                    is_leaving = reports_leaving;
                }
                Step::BecomeKnown => known = current,
                Step::Send if excluded.contains(&known) => {}
                Step::Send if notices.may_apply_to(now, start(known)) => {
                    // The start is checked on a new connection first.
                    let notice = if is_leaving { leaving_notice() } else { Notice::default() };
                    notices.record(now, start(known), &notice);
                    if is_leaving {
                        excluded.insert(known);
                        reported_leaving.insert(current);
                    }
                    prop_assert!(!notices.may_apply_to(now, start(known)));
                }
                Step::Send => {
                    prop_assert!(!reported_leaving.contains(&current), "{current} had reported leaving");
                    let notice = if is_leaving { leaving_notice() } else { Notice::default() };
                    notices.record(now, start(known), &notice);
                    if is_leaving {
                        excluded.insert(known);
                        reported_leaving.insert(current);
                    }
                }
            }
        }
    }
}
