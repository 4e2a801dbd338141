//! From which host a routing table is requested, and when.

use super::super::table_fetch::{ANSWER_TIMEOUT_MS, LEADER_GRACE_MS, Next, TableFetch};
use crate::wire::HostId;

const LEADER: HostId = HostId(1);
const FIRST: HostId = HostId(2);
const SECOND: HostId = HostId(3);

#[test]
fn a_version_announced_by_all_is_requested_from_one_host() {
    let mut fetch = TableFetch::default();
    assert_eq!(fetch.next(0, 0, Some(LEADER)), Next::Nothing);
    fetch.record_announcement(LEADER, 5);
    assert_eq!(fetch.next(0, 0, Some(LEADER)), Next::Wait(LEADER_GRACE_MS));
    fetch.record_announcement(FIRST, 5);
    assert_eq!(fetch.next(10, 0, Some(LEADER)), Next::Request(FIRST));
    fetch.record_announcement(SECOND, 5);
    assert_eq!(fetch.next(20, 0, Some(LEADER)), Next::Wait(ANSWER_TIMEOUT_MS - 10));
    fetch.record_delivery(FIRST);
    assert!(!fetch.is_behind(5));
    assert_eq!(fetch.next(30, 5, Some(LEADER)), Next::Nothing);
}

#[test]
fn the_leader_is_asked_after_a_grace_if_no_other_host_announces() {
    let mut fetch = TableFetch::default();
    fetch.record_announcement(LEADER, 5);
    fetch.record_announcement(FIRST, 4);
    assert_eq!(fetch.next(0, 4, Some(LEADER)), Next::Wait(LEADER_GRACE_MS));
    assert_eq!(fetch.next(LEADER_GRACE_MS, 4, Some(LEADER)), Next::Request(LEADER));
}

#[test]
fn a_lost_or_silent_host_is_replaced_by_another() {
    let mut fetch = TableFetch::default();
    [FIRST, SECOND].iter().for_each(|host| fetch.record_announcement(*host, 5));
    assert_eq!(fetch.next(0, 0, None), Next::Request(FIRST));
    fetch.on_feed_lost(FIRST);
    assert_eq!(fetch.next(5, 0, None), Next::Request(SECOND));
    fetch.record_announcement(FIRST, 5);
    assert_eq!(fetch.next(5 + ANSWER_TIMEOUT_MS, 0, None), Next::Request(FIRST));
    // Both were silent: requests continue until one of them answers.
    assert_eq!(fetch.next(5 + 2 * ANSWER_TIMEOUT_MS, 0, None), Next::Request(FIRST));
    fetch.record_delivery(SECOND);
    assert_eq!(fetch.next(5 + 3 * ANSWER_TIMEOUT_MS, 0, None), Next::Request(SECOND));
}

#[test]
fn a_version_announced_during_a_request_is_requested_next() {
    let mut fetch = TableFetch::default();
    fetch.record_announcement(FIRST, 5);
    assert_eq!(fetch.next(0, 0, None), Next::Request(FIRST));
    fetch.record_announcement(SECOND, 6);
    assert_eq!(fetch.next(1, 0, None), Next::Wait(ANSWER_TIMEOUT_MS - 1));
    fetch.record_delivery(FIRST);
    assert!(fetch.is_behind(5));
    assert_eq!(fetch.next(2, 5, None), Next::Request(SECOND));
}
