//! Connections and heads of requests at routers.

use std::time::Duration;

use super::clients::{Crowd, Script};
use super::http::{open, read_answer};
use super::process::{Place, Watch};
use super::replica::Behaviour;
use super::{ROUTER, alone, assert_answered, exchange, fleet_with, head};

/// Clients that each send most of the longest head.
const HEADS: usize = 1_500;
/// More connections than a router may hold.
const CONNECTIONS: usize = 2_000;
/// More connections than a process has descriptors.
const READY_CONNECTIONS: usize = 4_500;
/// Clients whose heads have no end, and the bytes of each.
const ENDLESS_HEADS: usize = 1_000;
const ENDLESS_HEAD_BYTES: usize = 400 << 10;
/// Just less than `maxHeaderBytes`.
const LONG_HEADER_BYTES: usize = 15 << 10;

/// A head whose last header goes on without end.
pub fn endless_head(bytes: usize) -> Script {
    let head = "GET /ready HTTP/1.1\r\nHost: x\r\nX-Long: ".to_string();
    let piece = vec![b'y'; 64 << 10].into();
    Script { head, piece, bytes, ..Script::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_that_stop_short_of_their_end_do_not_fill_a_router() {
    let _alone = alone().await;
    let (fleet, _replica) = fleet_with(Behaviour::Answer).await;
    let watch = Watch::start("router", fleet.process_ids()[0], Place::host(fleet.front));
    let head = |number| {
        let head = head("/once/x", &format!("crowd-{number}"), "key-one");
        Script::head_only(format!("{head}X-Long: {}", "y".repeat(LONG_HEADER_BYTES)))
    };
    let crowd = Crowd::start(fleet.front, (0..HEADS).map(head));
    crowd.settle().await;
    assert_answered(fleet.front, "/once/x", "key-two").await;
    watch.assert_within(ROUTER);
}

#[tokio::test(flavor = "multi_thread")]
async fn more_connections_than_a_router_holds_do_not_keep_others_out() {
    let _alone = alone().await;
    let (fleet, _replica) = fleet_with(Behaviour::Answer).await;
    let watch = Watch::start("router", fleet.process_ids()[0], Place::host(fleet.front));
    let head = |number| Script::head_only(head("/once/x", &format!("crowd-{number}"), "key-one"));
    let crowd = Crowd::start(fleet.front, (0..CONNECTIONS).map(head));
    crowd.settle().await;
    assert_answered(fleet.front, "/once/x", "key-two").await;
    watch.assert_within(ROUTER);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_is_being_served_makes_way_for_none() {
    let _alone = alone().await;
    let events = Behaviour::Shaped { events: 100, pause: Duration::from_millis(50) };
    let (fleet, _replica) = fleet_with(events).await;
    let text = head("/stream/x", "served", "key-two") + "Content-Length: 0\r\n\r\n";
    let mut served = open(fleet.front, &text).await;
    served.readable().await.unwrap();
    let head = |number| Script::head_only(head("/once/x", &format!("crowd-{number}"), "key-one"));
    let crowd = Crowd::start(fleet.front, (0..CONNECTIONS).map(head));
    crowd.settle().await;
    let answer = read_answer(&mut served).await.expect("an answer");
    assert!(answer.complete, "the stream was broken off: {}", answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_at_the_ready_address_do_not_fill_a_router() {
    let _alone = alone().await;
    let (fleet, _replica) = fleet_with(Behaviour::Answer).await;
    let watch = Watch::start("router", fleet.process_ids()[0], Place::host(fleet.front));
    let crowd =
        Crowd::start(fleet.ready, (0..ENDLESS_HEADS).map(|_| endless_head(ENDLESS_HEAD_BYTES)));
    crowd.settle().await;
    assert_answered(fleet.front, "/once/x", "key-two").await;
    let ready = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    assert_eq!(exchange(fleet.ready, ready).await, Some(200));
    watch.assert_within(ROUTER);
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_ready_address_do_not_use_up_the_descriptors() {
    let _alone = alone().await;
    let (fleet, _replica) = fleet_with(Behaviour::Answer).await;
    let watch = Watch::start("router", fleet.process_ids()[0], Place::host(fleet.front));
    let crowd = Crowd::start(fleet.ready, (0..READY_CONNECTIONS).map(|_| endless_head(0)));
    crowd.settle().await;
    assert_answered(fleet.front, "/once/x", "key-two").await;
    let ready = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    assert_eq!(exchange(fleet.ready, ready).await, Some(200));
    watch.assert_within(ROUTER);
}
