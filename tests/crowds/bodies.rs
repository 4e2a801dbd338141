//! Bodies of requests at routers.

use super::clients::{Crowd, Script};
use super::fleet::Fleet;
use super::process::{Place, Queues, Watch};
use super::replica::Behaviour;
use super::{MAX_BODY_BYTES, ROUTER, alone, assert_answered, exchange, fleet_with, head};

/// Clients of a crowd.
const CLIENTS: usize = 150;
/// Clients of a crowd whose bodies cost many times their bytes.
const FEW_CLIENTS: usize = 40;
/// A length far over the limit.
const FAR_OVER_BYTES: usize = 1 << 30;
/// What a client sends of a body far over the limit.
const SENT_FAR_OVER_BYTES: usize = 16 << 20;
const LARGE_CHUNK_BYTES: usize = 64 << 10;
/// One-byte chunks of a client; each takes six bytes on the wire.
const ONE_BYTE_CHUNKS: usize = 256 << 10;
/// What a connection receives at most that is not read, with what the kernel counts for it.
const UNREAD_BYTES: u64 = 128 << 10;
/// What a client sends behind a request that is being served.
const PIPELINED_BYTES: usize = 8 << 20;

fn watch_router(fleet: &Fleet) -> Watch {
    let [router, _] = fleet.process_ids();
    Watch::start("router", router, Place::host(fleet.front))
}

/// Requests of one customer, by the heads that they begin with.
fn crowd_of(clients: usize, path: &str, script: impl Fn(&str) -> Script) -> Vec<Script> {
    let scripts =
        (0..clients).map(|number| script(&head(path, &format!("crowd-{number}"), "key-one")));
    scripts.collect()
}

/// Checks that the router bears a crowd and serves others and the same customer meanwhile.
async fn assert_router_bears(scripts: Vec<Script>) {
    let _alone = alone().await;
    let (fleet, _replica) = fleet_with(Behaviour::Answer).await;
    let watch = watch_router(&fleet);
    let crowd = Crowd::start(fleet.front, scripts);
    crowd.settle().await;
    assert_answered(fleet.front, "/once/x", "key-two").await;
    assert_answered(fleet.front, "/once/x", "key-one").await;
    watch.assert_within(ROUTER);
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_of_their_end_do_not_fill_a_router() {
    assert_router_bears(crowd_of(CLIENTS, "/once/x", |head| {
        Script::with_length(head, MAX_BODY_BYTES, MAX_BODY_BYTES - 1)
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_come_piece_by_piece_and_stop_short_do_not_fill_a_router() {
    assert_router_bears(crowd_of(CLIENTS, "/once/x", |head| {
        Script::piece_by_piece(head, MAX_BODY_BYTES, MAX_BODY_BYTES - 1)
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_that_stop_short_of_their_end_do_not_fill_a_router() {
    assert_router_bears(crowd_of(CLIENTS, "/once/x", |head| {
        Script::with_chunks(head, LARGE_CHUNK_BYTES, MAX_BODY_BYTES / LARGE_CHUNK_BYTES)
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_byte_chunks_that_stop_short_of_their_end_do_not_fill_a_router() {
    assert_router_bears(crowd_of(FEW_CLIENTS, "/once/x", |head| {
        Script::with_chunks(head, 1, ONE_BYTE_CHUNKS)
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_announced_far_over_the_limit_do_not_fill_a_router() {
    assert_router_bears(crowd_of(CLIENTS, "/once/x", |head| {
        Script::with_length(head, FAR_OVER_BYTES, SENT_FAR_OVER_BYTES)
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunks_far_over_the_limit_do_not_fill_a_router() {
    assert_router_bears(crowd_of(CLIENTS, "/once/x", |head| {
        Script::with_chunks(head, LARGE_CHUNK_BYTES, SENT_FAR_OVER_BYTES / LARGE_CHUNK_BYTES)
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_announced_over_the_limit_is_refused_before_it_comes() {
    let _alone = alone().await;
    let (fleet, _replica) = fleet_with(Behaviour::Answer).await;
    let head = head("/once/x", "announced", "key-one");
    let text = format!("{head}Content-Length: {FAR_OVER_BYTES}\r\n\r\n");
    assert_eq!(exchange(fleet.front, &text).await, Some(413));
}

/// Whole bodies are held until their requests are answered, or may be sent again.
async fn assert_router_bears_whole_bodies(path: &str) {
    let _alone = alone().await;
    let (fleet, _replica) = fleet_with(Behaviour::Hang).await;
    let watch = watch_router(&fleet);
    let crowd = Crowd::start(
        fleet.front,
        crowd_of(CLIENTS, path, |head| Script::with_length(head, MAX_BODY_BYTES, MAX_BODY_BYTES)),
    );
    crowd.settle().await;
    // A second replica, which answers.
    let answering = super::Replica::start("i-two", Behaviour::Answer).await;
    fleet.register(&answering, "ready", 1).await;
    assert_answered(fleet.front, "/safe/x", "key-two").await;
    watch.assert_within(ROUTER);
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_of_requests_that_wait_for_their_answers_do_not_fill_a_router() {
    assert_router_bears_whole_bodies("/once/x").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_kept_for_another_try_do_not_fill_a_router() {
    assert_router_bears_whole_bodies("/safe/x").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_on_connections_that_are_handed_over_fill_neither_router() {
    let _alone = alone().await;
    let (mut fleet, _replica) = fleet_with(Behaviour::Answer).await;
    fleet.start_neighbour().await;
    fleet.restart_router_handing_over().await;
    fleet.settle_neighbour().await;
    assert_answered(fleet.front, "/once/x", "key-two").await;
    let router = watch_router(&fleet);
    let neighbour = Watch::start("neighbour", fleet.neighbour_id(), Place::host(fleet.neighbour));
    let crowd = Crowd::start(
        fleet.front,
        crowd_of(CLIENTS, "/once/x", |head| {
            Script::with_length(head, MAX_BODY_BYTES, MAX_BODY_BYTES - 1)
        }),
    );
    crowd.settle().await;
    assert_answered(fleet.front, "/once/x", "key-two").await;
    assert_answered(fleet.neighbour, "/once/x", "key-two").await;
    router.assert_within(ROUTER);
    neighbour.assert_within(ROUTER);
}

/// A whole body first, with which the kernel learns to receive much at a time, and then much more
/// behind a request that is being served.
fn pipelined(head: &str) -> Script {
    let first = self::head("/once/x", "first", "key-one");
    let body = "x".repeat(MAX_BODY_BYTES);
    let first = format!("{first}Content-Length: {MAX_BODY_BYTES}\r\n\r\n{body}");
    let script = Script::with_length(head, 0, PIPELINED_BYTES);
    Script { first: Some(first.into()), ..script }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_is_not_read_receives_little() {
    let _alone = alone().await;
    let events = Behaviour::Shaped { events: 1_000, pause: std::time::Duration::from_millis(50) };
    let (fleet, _replica) = fleet_with(events).await;
    let crowd = Crowd::start(fleet.front, crowd_of(1, "/stream/x", pipelined));
    crowd.settle().await;
    let unread = Queues::at(&Place::host(fleet.front)).unread_bytes;
    assert!(unread <= UNREAD_BYTES, "{unread} bytes");
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_behind_a_request_that_is_being_served_do_not_fill_a_router() {
    let _alone = alone().await;
    let events = Behaviour::Shaped { events: 1_000, pause: std::time::Duration::from_millis(50) };
    let (fleet, _replica) = fleet_with(events).await;
    let watch = watch_router(&fleet);
    let crowd = Crowd::start(fleet.front, crowd_of(FEW_CLIENTS, "/stream/x", pipelined));
    crowd.settle().await;
    assert_answered(fleet.front, "/once/x", "key-two").await;
    watch.assert_within(ROUTER);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_largest_body_of_a_single_request_is_served_however_it_is_sent() {
    let _alone = alone().await;
    let (fleet, replica) = fleet_with(Behaviour::Answer).await;
    let body = "x".repeat(MAX_BODY_BYTES);
    let plain = head("/once/x", "plain", "key-one");
    let plain = format!("{plain}Content-Length: {MAX_BODY_BYTES}\r\n\r\n{body}");
    assert_eq!(exchange(fleet.front, &plain).await, Some(200));
    let chunks = head("/once/x", "chunks", "key-one");
    let chunked = "1\r\nx\r\n".repeat(MAX_BODY_BYTES);
    let chunks = format!("{chunks}Transfer-Encoding: chunked\r\n\r\n{chunked}0\r\n\r\n");
    assert_eq!(exchange(fleet.front, &chunks).await, Some(200));
    let seen = replica.seen();
    assert!(seen.iter().all(|request| request.body == body), "a body was changed");
    assert_eq!(seen.len(), 2);
}
