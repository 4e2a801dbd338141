//! What control hosts receive where operators and replicas reach them.

use super::clients::{Crowd, Script};
use super::connections::endless_head;
use super::fleet::Fleet;
use super::process::{Place, Watch};
use super::replica::Behaviour;
use super::{CONTROL_HOST, alone, exchange, fleet_with, patient_configuration};

/// Clients that each send most of the largest configuration.
const CLIENTS: usize = 40;
/// The largest configuration.
const CONFIGURATION_BYTES: usize = 16 << 20;
const FAR_OVER_BYTES: usize = 1 << 30;
/// Clients whose heads have no end, and the bytes of each.
const ENDLESS_HEADS: usize = 1_000;
const ENDLESS_HEAD_BYTES: usize = 400 << 10;
/// More connections than a process has descriptors.
const CONNECTIONS: usize = 4_500;
const LARGE_CHUNK_BYTES: usize = 64 << 10;
/// One-byte chunks of a client; each takes six bytes on the wire.
const ONE_BYTE_CHUNKS: usize = 512 << 10;

fn head(method: &str, path: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n")
}

/// Checks that the control host bears a crowd, and that operators and replicas are answered
/// meanwhile.
async fn assert_control_host_bears(scripts: impl IntoIterator<Item = Script>) {
    let _alone = alone().await;
    let (fleet, replica) = fleet_with(Behaviour::Answer).await;
    let to = fleet.control_address();
    let watch = Watch::start("control host", fleet.process_ids()[1], Place::host(to));
    let crowd = Crowd::start(to, scripts);
    crowd.settle().await;
    assert_serves(&fleet).await;
    let heartbeat = format!(
        r#"{{"service":"app","address":"{}","zone":"a","version":"v1","slots":6,"state":"ready","warmupLeftMs":0,"callSeq":2}}"#,
        replica.address
    );
    assert_accepted(&fleet, &format!("/replicas/{}", replica.id), &heartbeat).await;
    watch.assert_within(CONTROL_HOST);
}

async fn assert_serves(fleet: &Fleet) {
    assert_accepted(fleet, "/config", &patient_configuration(1_000)).await;
    let read = head("GET", "/config") + "Connection: close\r\n\r\n";
    assert_eq!(exchange(fleet.control_address(), &read).await, Some(200));
}

/// Sends what operators and replicas send until it is acknowledged.
async fn assert_accepted(fleet: &Fleet, path: &str, body: &str) {
    let head = head("PUT", path);
    let length = body.len();
    let text = format!("{head}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}");
    let mut last = None;
    for _ in 0..super::MAX_TRIES {
        last = exchange(fleet.control_address(), &text).await;
        if last == Some(200) {
            return;
        }
        tokio::time::sleep(super::RETRY_PAUSE).await;
    }
    panic!("{path} was not acknowledged, the last answer was {last:?}");
}

fn crowd_of(script: impl Fn(&str) -> Script) -> Vec<Script> {
    (0..CLIENTS).map(|_| script(&head("PUT", "/config"))).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn configurations_that_stop_short_of_their_end_do_not_fill_a_control_host() {
    assert_control_host_bears(crowd_of(|head| {
        Script::with_length(head, CONFIGURATION_BYTES, CONFIGURATION_BYTES - 1)
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunks_that_stop_short_of_their_end_do_not_fill_a_control_host() {
    assert_control_host_bears(crowd_of(|head| {
        Script::with_chunks(head, LARGE_CHUNK_BYTES, CONFIGURATION_BYTES / LARGE_CHUNK_BYTES)
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_byte_chunks_do_not_fill_a_control_host() {
    assert_control_host_bears(crowd_of(|head| Script::with_chunks(head, 1, ONE_BYTE_CHUNKS))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_far_over_the_limit_do_not_fill_a_control_host() {
    assert_control_host_bears(crowd_of(|head| {
        Script::with_length(head, FAR_OVER_BYTES, 2 * CONFIGURATION_BYTES)
    }))
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_do_not_fill_a_control_host() {
    assert_control_host_bears((0..ENDLESS_HEADS).map(|_| endless_head(ENDLESS_HEAD_BYTES))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_to_a_control_host_do_not_use_up_the_descriptors() {
    assert_control_host_bears((0..CONNECTIONS).map(|_| endless_head(0))).await;
}
