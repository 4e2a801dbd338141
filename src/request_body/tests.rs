use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use futures_util::stream;
use proptest::prelude::*;

use super::ledger::STALL_MS;
use super::limits::total_bytes;
use super::*;

const MIB: usize = 1 << 20;

/// A ledger, and the requests of customer `a` with a body of one MiB each that found room at once.
fn ledger_filled_by_one_customer(max_bytes: usize) -> (Ledger, Vec<RequestId>) {
    let mut ledger = Ledger::new(max_bytes);
    let mut found = Vec::new();
    loop {
        let (id, room) = ledger.begin(0, "a");
        if !room.is_found || !ledger.grow(0, id, MIB).is_found {
            ledger.remove(id);
            return (ledger, found);
        }
        found.push(id);
    }
}

#[test]
fn one_customer_leaves_as_much_free_as_it_holds() {
    let (mut ledger, found) = ledger_filled_by_one_customer(32 * MIB);
    assert!((12..=16).contains(&found.len()), "{} bodies", found.len());
    let (other, room) = ledger.begin(0, "b");
    assert!(room.is_found);
    let room = ledger.grow(0, other, 4 * MIB);
    assert_eq!(room, Room { is_found: true, given_up: Vec::new() });
}

#[test]
fn a_single_request_finds_room_whatever_its_size_is() {
    let mut ledger = Ledger::new(MIB);
    let (id, room) = ledger.begin(0, "a");
    assert!(room.is_found && ledger.grow(0, id, 4 * MIB).is_found);
    let (second, room) = ledger.begin(0, "b");
    assert!(!room.is_found);
    ledger.remove(second);
    ledger.remove(id);
    assert_eq!(ledger.held(), 0);
}

#[test]
fn a_stalled_sender_is_given_up_before_one_that_goes_on_is_refused() {
    let (mut ledger, found) = ledger_filled_by_one_customer(32 * MIB);
    let goes_on = found[0];
    let (id, _) = ledger.begin(STALL_MS, "a");
    // Nobody has stalled yet.
    let just_before = STALL_MS - 1;
    assert!(!ledger.grow(just_before, id, MIB).is_found);
    ledger.record_progress(STALL_MS, goes_on);
    let room = ledger.grow(STALL_MS, id, MIB);
    assert!(room.is_found && !room.given_up.is_empty(), "{room:?}");
    assert!(!room.given_up.contains(&goes_on));
}

#[test]
fn a_whole_body_is_never_given_up() {
    let (mut ledger, found) = ledger_filled_by_one_customer(32 * MIB);
    found.iter().for_each(|id| ledger.complete(*id, MIB));
    let (id, _) = ledger.begin(10 * STALL_MS, "a");
    let room = ledger.grow(10 * STALL_MS, id, MIB);
    assert_eq!(room, Room { is_found: false, given_up: Vec::new() });
}

#[test]
fn the_stalled_sender_of_the_customer_with_most_bytes_is_given_up_first() {
    let (mut ledger, found) = ledger_filled_by_one_customer(32 * MIB);
    let (small, _) = ledger.begin(0, "b");
    assert!(ledger.grow(0, small, MIB).is_found);
    let (id, _) = ledger.begin(STALL_MS, "c");
    let room = ledger.grow(STALL_MS, id, 24 * MIB);
    assert!(room.given_up.first().is_some_and(|first| found.contains(first)), "{room:?}");
}

proptest! {
    #![proptest_config(crate::testing::property(64))]

    /// Whatever requests do, what they hold stays within the limit and is released in full.
    #[test]
    fn requests_hold_no_more_than_the_limit(
        steps in proptest::collection::vec((0u8..5, 0usize..12, 0usize..3, 0usize..MIB), 1..200),
    ) {
        let max_bytes = 4 * MIB;
        let mut ledger = Ledger::new(max_bytes);
        let mut ids = Vec::new();
        for (now, (step, which, customer, bytes)) in steps.into_iter().enumerate() {
            let now = now as u64 * 40;
            let chosen = ids.get(which).copied();
            match (step, chosen) {
                (0, _) | (_, None) => {
                    let (id, room) = ledger.begin(now, ["a", "b", "c"][customer]);
                    if room.is_found {
                        ids.push(id);
                    }
                    ids.retain(|id| !room.given_up.contains(id));
                }
                (1 | 2, Some(id)) => {
                    let room = ledger.grow(now, id, bytes);
                    prop_assert!(!room.given_up.contains(&id));
                    ids.retain(|id| !room.given_up.contains(id));
                }
                (3, Some(id)) => {
                    ledger.remove(id);
                    ids.retain(|other| *other != id);
                }
                (_, Some(id)) => ledger.record_progress(now, id),
            }
            prop_assert!(ledger.held() <= max_bytes);
        }
        ids.into_iter().for_each(|id| ledger.remove(id));
        prop_assert_eq!(ledger.held(), 0);
    }
}

fn body_of(pieces: Vec<&'static str>) -> Body {
    Body::from_stream(stream::iter(pieces.into_iter().map(Ok::<_, std::io::Error>)))
}

const TIME: Duration = Duration::from_secs(60);

#[tokio::test]
async fn a_body_is_read_in_one_piece_and_counts_until_it_is_dropped() {
    let memory = RequestMemory::new(64 * MIB);
    let held = memory.hold("a").unwrap();
    let read = read_body(body_of(vec!["one ", "two ", "three"]), 100, TIME, held).await;
    let read = read.unwrap();
    assert_eq!(read.to_bytes(), "one two three");
    let kept = read.clone();
    drop(read);
    assert_eq!(memory.held(), OVERHEAD_BYTES + 13);
    drop(kept);
    assert_eq!(memory.held(), 0);
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_by_its_length_or_by_its_bytes() {
    let memory = RequestMemory::new(64 * MIB);
    let read = async |body| {
        let read = read_body(body, 100, TIME, memory.hold("a").unwrap()).await;
        read.map(|body| body.len())
    };
    assert_eq!(read(Body::from(vec![0; 101])).await, Err(ReadError::TooLarge));
    assert_eq!(read(body_of(vec!["0123456789"; 11])).await, Err(ReadError::TooLarge));
    assert_eq!(read(body_of(vec!["0123456789"; 10])).await, Ok(100));
}

#[tokio::test(start_paused = true)]
async fn a_body_that_stalls_ends_by_its_time_or_when_it_is_given_up() {
    let memory = RequestMemory::new(MIB);
    let stalling = || Body::from_stream(stream::pending::<Result<Bytes, std::io::Error>>());
    let held = memory.hold("a").unwrap();
    let late = read_body(stalling(), 100, TIME, held).await;
    assert_eq!(late.unwrap_err(), ReadError::TooSlow);
    let held = memory.hold("a").unwrap();
    held.given_up.cancel();
    let given_up = read_body(stalling(), 100, TIME, held).await;
    assert_eq!(given_up.unwrap_err(), ReadError::NoMemory);
    assert_eq!(memory.held(), 0);
}

#[test]
fn limits_that_hold_no_request_are_refused() {
    let limits = |held_bytes| RequestLimits { held_bytes };
    assert!(limits(Some(OVERHEAD_BYTES - 1)).check().is_err());
    assert!(limits(Some(OVERHEAD_BYTES)).check().is_ok());
    assert!(limits(None).check().is_ok());
}

#[test]
fn the_memory_of_a_host_is_read_from_its_own_report() {
    let report = "MemFree:  1 kB\nMemTotal:        266240 kB\nBuffers: 2 kB\n";
    assert_eq!(total_bytes(report), Some(260 << 20));
    for other in ["", "MemTotal:\n", "MemTotal: x kB\n", "MemTotal: 5 MB\n"] {
        assert_eq!(total_bytes(other), None, "{other:?}");
    }
}
