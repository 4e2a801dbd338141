//! Who is asked for a routing table, and when.

use super::super::table_fetch::{ANSWER_MS, LEADER_GRACE_MS, Next, TableFetch};
use crate::wire::HostId;

const LEADER: HostId = HostId(1);
const FIRST: HostId = HostId(2);
const SECOND: HostId = HostId(3);

#[test]
fn one_host_is_asked_for_a_version_that_all_announce() {
    let mut fetch = TableFetch::default();
    assert_eq!(fetch.next(0, 0, Some(LEADER)), Next::Nothing);
    fetch.announced(LEADER, 5);
    assert_eq!(fetch.next(0, 0, Some(LEADER)), Next::Wait(LEADER_GRACE_MS));
    fetch.announced(FIRST, 5);
    assert_eq!(fetch.next(10, 0, Some(LEADER)), Next::Ask(FIRST));
    fetch.announced(SECOND, 5);
    assert_eq!(fetch.next(20, 0, Some(LEADER)), Next::Wait(ANSWER_MS - 10));
    fetch.delivered(FIRST);
    assert!(!fetch.is_behind(5));
    assert_eq!(fetch.next(30, 5, Some(LEADER)), Next::Nothing);
}

#[test]
fn the_leader_is_asked_where_no_other_host_announces() {
    let mut fetch = TableFetch::default();
    fetch.announced(LEADER, 5);
    fetch.announced(FIRST, 4);
    assert_eq!(fetch.next(0, 4, Some(LEADER)), Next::Wait(LEADER_GRACE_MS));
    assert_eq!(fetch.next(LEADER_GRACE_MS, 4, Some(LEADER)), Next::Ask(LEADER));
}

#[test]
fn a_host_that_leaves_or_is_silent_is_replaced_by_another() {
    let mut fetch = TableFetch::default();
    [FIRST, SECOND].iter().for_each(|host| fetch.announced(*host, 5));
    assert_eq!(fetch.next(0, 0, None), Next::Ask(FIRST));
    fetch.lost(FIRST);
    assert_eq!(fetch.next(5, 0, None), Next::Ask(SECOND));
    fetch.announced(FIRST, 5);
    assert_eq!(fetch.next(5 + ANSWER_MS, 0, None), Next::Ask(FIRST));
    // Both were silent: they are asked in turn until one answers.
    assert_eq!(fetch.next(5 + 2 * ANSWER_MS, 0, None), Next::Ask(FIRST));
    fetch.delivered(SECOND);
    assert_eq!(fetch.next(5 + 3 * ANSWER_MS, 0, None), Next::Ask(SECOND));
}

#[test]
fn a_version_that_comes_while_a_table_is_on_its_way_is_asked_for_next() {
    let mut fetch = TableFetch::default();
    fetch.announced(FIRST, 5);
    assert_eq!(fetch.next(0, 0, None), Next::Ask(FIRST));
    fetch.announced(SECOND, 6);
    assert_eq!(fetch.next(1, 0, None), Next::Wait(ANSWER_MS - 1));
    fetch.delivered(FIRST);
    assert!(fetch.is_behind(5));
    assert_eq!(fetch.next(2, 5, None), Next::Ask(SECOND));
}
