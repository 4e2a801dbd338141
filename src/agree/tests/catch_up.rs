//! Stores that are far behind, with large entries.

use super::*;
use crate::agree::replica::{MAX_IN_FLIGHT_BYTES, MAX_MESSAGE_BYTES};

const ENTRY_BYTES: usize = 100 << 10;
const ENTRIES: usize = 200;

fn message_bytes(envelope: &Envelope) -> usize {
    match &envelope.message {
        Message::AppendEntries { entries, .. } => entries.iter().map(Entry::size).sum(),
        Message::InstallSnapshot { snapshot, .. } => snapshot.data.len(),
        _ => 0,
    }
}

/// A group whose follower, the returned store, lacks all entries.
fn group_with_a_store_that_is_behind() -> (Group, StoreId, StoreId) {
    let mut group = Group::new(3, 7);
    group.run(150);
    let leader = group.leader().unwrap();
    let behind = [1, 2, 3].map(StoreId).into_iter().find(|s| *s != leader).unwrap();
    group.crash(behind);
    for _ in 0..ENTRIES {
        let data = vec![vec![0; ENTRY_BYTES]];
        group.update(leader, |replica, now| replica.propose(now, data).unwrap().1);
        group.run(5);
    }
    (group, leader, behind)
}

#[test]
fn a_store_that_is_far_behind_is_not_sent_its_whole_log_at_once() {
    let (mut group, _, behind) = group_with_a_store_that_is_behind();
    group.network.retain(|envelope| envelope.to != behind);
    group.restart(behind);
    let mut largest = 0;
    for _ in 0..2_000 {
        group.run(1);
        let to_it = group.network.iter().filter(|envelope| envelope.to == behind);
        largest = largest.max(to_it.map(message_bytes).max().unwrap_or(0));
        if group.stores[&behind].applied.len() == ENTRIES {
            assert!(largest <= MAX_MESSAGE_BYTES, "{largest} bytes in one message");
            return;
        }
    }
    panic!("the store has not caught up");
}

#[test]
fn messages_for_a_store_that_does_not_answer_stay_bounded() {
    let (mut group, leader, behind) = group_with_a_store_that_is_behind();
    // A store that was restarted refuses once, and is then cut off.
    group.restart(behind);
    group.run(20);
    group.crash(behind);
    group.network.clear();
    let mut bytes = 0;
    for _ in 0..200 {
        group.update(leader, |replica, now| replica.tick(now));
        bytes += group.network.drain(..).map(|envelope| message_bytes(&envelope)).sum::<usize>();
        group.now += 20;
    }
    assert!(bytes <= MAX_IN_FLIGHT_BYTES + MAX_MESSAGE_BYTES, "{bytes} bytes without an answer");
}
