//! Answers that callers still read while their router stops as planned.

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::fleet::Fleet;
use super::handover::hand_over_all;
use super::http::{Answer, call, open, open_with_small_buffer, read_answer, read_slowly};
use super::replica::{Behaviour, Replica, large_body};
use super::{configuration, fleet_with, get, request};

/// More than the kernel holds for a connection whose other side reads nothing.
const ANSWER_BYTES: usize = 12 << 20;
/// A caller reads a large answer for 3 s.
const READ_BYTES_PER_S: usize = 4 << 20;
/// `stop_within_s` of the routers.
const STOP_TIME: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn fleet_with_large_answers(bytes: usize) -> (Fleet, Vec<Replica>) {
    let (fleet, replicas) = fleet_with(&[Behaviour::Large(bytes)]).await;
    // No answer reaches its deadline while it is read.
    fleet.configure(&configuration(100).replace("\"timeoutMs\":2000", "\"timeoutMs\":60000")).await;
    fleet.settle().await;
    (fleet, replicas)
}

/// A request for a large answer.
fn get_large(route: &str, id: &str) -> String {
    let text = get(&format!("/{route}/large"), id);
    text.replace("Deadline-Ms: 3000", "Deadline-Ms: 60000")
}

/// Sends a request whose answer has begun to arrive when this returns.
async fn begin(fleet: &Fleet, text: &str) -> TcpStream {
    let caller = open_with_small_buffer(fleet.front, text).await;
    caller.readable().await.unwrap();
    caller
}

/// Waits until the stopping router takes no new requests.
async fn wait_refusing(fleet: &mut Fleet) {
    while !fleet.router_has_ended() {
        let Ok(mut stream) = TcpStream::connect(fleet.front).await else { return };
        let _ = stream.write_all(get("/nowhere/x", "probe").as_bytes()).await;
        let answer = read_answer(&mut stream).await;
        if answer.is_none_or(|answer| answer.body == "stopping") {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn assert_whole(answer: Option<Answer>, id: &str) {
    let answer = answer.expect("an answer");
    let length = answer.body.len();
    assert!(answer.complete, "{id}: {length} of {ANSWER_BYTES} bytes");
    assert!(answer.body == large_body(id, ANSWER_BYTES), "{id}: another answer");
}

/// Stops the router while a caller reads the answer to a request, which must arrive whole.
async fn stop_during_answer(text: &str, id: &str) {
    let (mut fleet, _replicas) = fleet_with_large_answers(ANSWER_BYTES).await;
    let mut caller = begin(&fleet, text).await;
    fleet.terminate_router();
    wait_refusing(&mut fleet).await;
    assert_whole(read_slowly(&mut caller, READ_BYTES_PER_S).await, id);
    fleet.wait_router_end().await;
}

#[tokio::test]
async fn a_stop_cuts_no_answer_with_a_length() {
    stop_during_answer(&get_large("safe", "length"), "length").await;
}

#[tokio::test]
async fn a_stop_cuts_no_answer_on_a_connection_that_is_kept() {
    let text = get_large("safe", "kept").replace("Connection: close\r\n", "");
    stop_during_answer(&text, "kept").await;
}

#[tokio::test]
async fn a_stop_cuts_no_answer_in_chunks() {
    stop_during_answer(&get_large("stream", "chunks"), "chunks").await;
}

#[tokio::test]
async fn a_stop_cuts_no_answer_that_ends_with_its_connection() {
    let text = get_large("stream", "connection").replace("HTTP/1.1", "HTTP/1.0");
    stop_during_answer(&text, "connection").await;
}

/// Closing a connection with unread bytes resets it, which takes the answer before from the caller.
#[tokio::test]
async fn a_stop_cuts_no_answer_that_further_requests_follow() {
    let (mut fleet, _replicas) = fleet_with_large_answers(ANSWER_BYTES).await;
    let text = get_large("safe", "first").replace("Connection: close\r\n", "");
    let mut caller = begin(&fleet, &text).await;
    fleet.terminate_router();
    wait_refusing(&mut fleet).await;
    let (mut reader, mut writer) = caller.split();
    let sending = async {
        let body = "x".repeat(4_000);
        let next = request("POST", "/once/x", "next", "Api-Key: key-one\r\n", &body);
        // More than the router reads ahead; it fails once the connection is closed.
        while writer.write_all(next.as_bytes()).await.is_ok() {}
        std::future::pending::<()>().await;
    };
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    let body = large_body("first", ANSWER_BYTES);
    let reading = async {
        while !bytes.ends_with(body.as_bytes()) {
            match reader.read(&mut buffer).await {
                Ok(0) | Err(_) => break,
                Ok(size) => bytes.extend_from_slice(&buffer[..size]),
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::select! {
        () = reading => {}
        () = sending => {}
    }
    assert!(bytes.ends_with(body.as_bytes()), "{} of {ANSWER_BYTES} bytes", bytes.len());
    drop(caller);
    fleet.wait_router_end().await;
}

#[tokio::test]
async fn a_stop_beside_that_of_the_router_that_took_over_cuts_no_answer() {
    let (mut fleet, _replicas) = fleet_with_large_answers(ANSWER_BYTES).await;
    hand_over_all(&mut fleet).await;
    let mut caller = begin(&fleet, &get_large("safe", "handed")).await;
    fleet.terminate_neighbour();
    fleet.terminate_router();
    wait_refusing(&mut fleet).await;
    assert_whole(read_slowly(&mut caller, READ_BYTES_PER_S).await, "handed");
    fleet.wait_router_end().await;
}

/// `PLANNED_STOP_READERS` sets how many they are.
#[tokio::test]
async fn a_stop_cuts_no_answer_of_many_slow_readers() {
    let count = std::env::var("PLANNED_STOP_READERS").ok().and_then(|count| count.parse().ok());
    let bytes = 4 << 20;
    let (mut fleet, _replicas) = fleet_with_large_answers(bytes).await;
    let mut callers = Vec::new();
    for number in 0..count.unwrap_or(16) {
        let id = format!("reader-{number}");
        callers.push((begin(&fleet, &get_large("safe", &id)).await, id));
    }
    fleet.terminate_router();
    wait_refusing(&mut fleet).await;
    let mut reading = JoinSet::new();
    for (mut caller, id) in callers {
        reading.spawn(async move { (read_slowly(&mut caller, bytes / 3).await, id) });
    }
    let mut cut = Vec::new();
    while let Some(read) = reading.join_next().await {
        let (answer, id) = read.unwrap();
        let is_whole = |answer: Answer| answer.complete && answer.body == large_body(&id, bytes);
        if !answer.is_some_and(is_whole) {
            cut.push(id);
        }
    }
    assert_eq!(cut, [""; 0], "{} answers cut", cut.len());
    fleet.wait_router_end().await;
}

#[tokio::test]
async fn a_caller_that_reads_nothing_does_not_prolong_a_stop() {
    let (mut fleet, _replicas) = fleet_with_large_answers(ANSWER_BYTES).await;
    let _caller = begin(&fleet, &get_large("safe", "stalled")).await;
    let begun = Instant::now();
    fleet.terminate_router();
    fleet.wait_router_end().await;
    assert!(begun.elapsed() < STOP_TIME, "{:?}", begun.elapsed());
}

#[tokio::test]
async fn a_caller_that_has_left_does_not_prolong_a_stop() {
    let (mut fleet, _replicas) = fleet_with_large_answers(ANSWER_BYTES).await;
    let caller = begin(&fleet, &get_large("safe", "left")).await;
    let begun = Instant::now();
    fleet.terminate_router();
    wait_refusing(&mut fleet).await;
    drop(caller);
    fleet.wait_router_end().await;
    assert!(begun.elapsed() < STOP_TIME / 2, "{:?}", begun.elapsed());
}

#[tokio::test]
async fn answers_count_as_open_until_they_are_written_or_their_callers_gone() {
    let (fleet, _replicas) = fleet_with_large_answers(ANSWER_BYTES).await;
    let open_answers = async |wanted: u64| {
        while fleet.metric("bramblecrank_gateway_open_answers").await != wanted {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let kept = get_large("safe", "kept").replace("Connection: close\r\n", "");
    let mut first = begin(&fleet, &get_large("safe", "first")).await;
    let second = begin(&fleet, &get_large("stream", "second")).await;
    let mut third = begin(&fleet, &kept).await;
    open_answers(3).await;
    assert_whole(read_slowly(&mut first, usize::MAX).await, "first");
    open_answers(2).await;
    drop(second);
    open_answers(1).await;
    // It stays open, and counts no more once its answer is read.
    let mut rest = ANSWER_BYTES;
    let mut buffer = vec![0; 64 << 10];
    while rest > 0 {
        let size = third.read(&mut buffer).await.unwrap();
        assert!(size > 0, "{rest} bytes are missing");
        rest = rest.saturating_sub(size);
    }
    open_answers(0).await;
    assert_eq!(call(fleet.front, &get("/safe/x", "next")).await.status, 200);
    open_answers(0).await;
}

#[tokio::test]
async fn a_second_signal_ends_a_router_that_still_writes_answers() {
    let (mut fleet, _replicas) = fleet_with_large_answers(ANSWER_BYTES).await;
    let _caller = begin(&fleet, &get_large("safe", "stalled")).await;
    fleet.terminate_router();
    fleet.wait_not_ready().await;
    let begun = Instant::now();
    fleet.terminate_router();
    while !fleet.router_has_ended() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert!(begun.elapsed() < STOP_TIME / 4, "{:?}", begun.elapsed());
}

/// Its caller still sends the body when the router closes the connection.
#[tokio::test]
async fn the_answer_to_a_refused_upload_arrives_whole() {
    let (fleet, _replicas) = fleet_with(&[Behaviour::Answer]).await;
    let body = "x".repeat(8 << 20);
    for number in 0..5 {
        let id = format!("upload-{number}");
        let text = request("POST", "/once/x", &id, "Api-Key: key-one\r\n", &body);
        let mut caller = open(fleet.front, "").await;
        let (mut reader, mut writer) = caller.split();
        // Fails once the router takes no more of it.
        let _ = writer.write_all(text.as_bytes()).await;
        let mut answer = String::new();
        reader.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    }
    assert_eq!(call(fleet.front, &get("/safe/x", "after")).await.status, 200);
}
