//! Notices that a later start may have given.

use std::net::SocketAddr;

use proptest::prelude::*;

use crate::notice::{Notice, RequestedRest, StartAddress, UnattributedNotices};

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn start(started_at_ms: u64) -> StartAddress<'static> {
    StartAddress { id: "e", started_at_ms, address: address(80) }
}

fn leaves() -> Notice {
    Notice { leaves: true, ..Notice::default() }
}

fn rests(time: u64) -> Notice {
    Notice { rest: RequestedRest::For(time), ..Notice::default() }
}

#[test]
fn a_notice_may_be_of_any_later_start_at_the_address_until_one_answers() {
    let mut notices = UnattributedNotices::default();
    notices.record(0, start(10), &leaves());
    assert!(!notices.may_apply_to(0, start(10)), "it counts for that one anyway");
    assert!(notices.may_apply_to(0, start(11)) && notices.may_apply_to(0, start(99)));
    assert!(!notices.may_apply_to(0, start(9)));
    let elsewhere = StartAddress { address: address(81), ..start(11) };
    assert!(!notices.may_apply_to(0, elsewhere));
    assert!(!notices.may_apply_to(0, StartAddress { id: "f", ..start(11) }));
    // A start in between answers, which says nothing of the next.
    notices.record(1, start(20), &Notice::default());
    assert!(!notices.may_apply_to(1, start(99)));
}

#[test]
fn a_start_that_says_the_same_itself_leaves_the_next_one_uncertain() {
    let mut notices = UnattributedNotices::default();
    notices.record(0, start(10), &leaves());
    notices.record(1, start(20), &leaves());
    assert!(!notices.may_apply_to(1, start(20)));
    assert!(notices.may_apply_to(1, start(30)));
}

#[test]
fn a_rest_ends_by_its_time() {
    let mut notices = UnattributedNotices::default();
    notices.record(100, start(10), &rests(50));
    notices.record(110, start(10), &rests(10));
    assert!(notices.may_apply_to(150, start(20)), "with the rest of the millisecond");
    assert!(!notices.may_apply_to(151, start(20)));
    notices.record(200, start(10), &leaves());
    assert!(notices.may_apply_to(9_999_999, start(20)));
}

/// A connection that was opened before may still be answered, by whichever start.
#[test]
fn a_late_answer_makes_the_later_start_uncertain_again() {
    let mut notices = UnattributedNotices::default();
    notices.record(0, start(20), &leaves());
    notices.record(1, start(10), &leaves());
    assert!(notices.may_apply_to(1, start(20)));
}

#[test]
fn what_is_kept_is_bounded() {
    let mut notices = UnattributedNotices::default();
    for number in 0..5_000 {
        let id = format!("e{number}");
        let at = StartAddress { id: &id, ..start(10) };
        notices.record(number, at, &leaves());
        for port in 1..9 {
            notices.record(number, StartAddress { address: address(port), ..at }, &leaves());
        }
    }
    assert_eq!(notices.leaving(usize::MAX).count(), 4_096 * 4);
    assert_eq!(notices.leaving(7).count(), 7);
    assert!(
        !notices.may_apply_to(5_000, StartAddress { id: "e0", ..start(20) }),
        "the oldest went"
    );
    let last = StartAddress { id: "e4999", started_at_ms: 20, address: address(8) };
    assert!(notices.may_apply_to(5_000, last));
}

/// What happens to one endpoint that starts again and again.
#[derive(Clone, Debug)]
enum Step {
    /// It starts again, with these words for whoever asks it.
    Starts { leaves: bool },
    /// The router hears of the start that is there.
    IsKnown,
    /// The router sends a request, if it may.
    IsSent,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(|leaves| Step::Starts { leaves }),
        Just(Step::IsKnown),
        Just(Step::IsSent),
        Just(Step::IsSent),
    ]
}

proptest! {
    #![proptest_config(crate::testing::property(256))]

    /// Whatever is heard when, a start whose word the router has passed on gets nothing more,
    /// and one that takes work gets some once it is known and was asked.
    #[test]
    fn a_start_is_held_to_its_own_word(steps in proptest::collection::vec(step(), 1..60)) {
        let mut notices = UnattributedNotices::default();
        let (mut now, mut there, mut known) = (0, 1, 1);
        let mut is_leaving = false;
        // Starts of which the router goes by their own word.
        let mut barred = std::collections::BTreeSet::new();
        let mut told = std::collections::BTreeSet::new();
        for step in steps {
            now += 1;
            match step {
                Step::Starts { leaves } => {
                    there += 1;
                    is_leaving = leaves;
                }
                Step::IsKnown => known = there,
                Step::IsSent if barred.contains(&known) => {}
                Step::IsSent if notices.may_apply_to(now, start(known)) => {
                    // It is asked on a new connection first.
                    let says = if is_leaving { leaves() } else { Notice::default() };
                    notices.record(now, start(known), &says);
                    if is_leaving {
                        barred.insert(known);
                        told.insert(there);
                    }
                    prop_assert!(!notices.may_apply_to(now, start(known)));
                }
                Step::IsSent => {
                    prop_assert!(!told.contains(&there), "{there} had said that it leaves");
                    let says = if is_leaving { leaves() } else { Notice::default() };
                    notices.record(now, start(known), &says);
                    if is_leaving {
                        barred.insert(known);
                        told.insert(there);
                    }
                }
            }
        }
    }
}
