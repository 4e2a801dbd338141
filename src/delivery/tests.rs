use std::net::Ipv4Addr;
use std::time::Duration;

use axum::http::{HeaderMap, Method};
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::sse::{DONE, Splitter};
use super::*;
use crate::answer::AnswerLimits;
use crate::request_body::{HeldBody, RequestMemory};
use crate::wire::RefuseReason;

fn events(chunks: &[&str]) -> Vec<String> {
    let mut splitter = Splitter::default();
    let mut data = Vec::new();
    for chunk in chunks {
        splitter.push(chunk.as_bytes());
        while let Ok(Some(event)) = splitter.next() {
            data.push(event.data);
        }
    }
    data
}

#[test]
fn events_are_split_at_any_packet_boundary() {
    let stream = "data: {\"a\":1}\n\ndata: x\ndata: y\n\ndata: [DONE]\n\n";
    let expected = ["{\"a\":1}", "x\ny", DONE];
    assert_eq!(events(&[stream]), expected);
    for at in 1..stream.len() {
        assert_eq!(events(&[&stream[..at], &stream[at..]]), expected);
    }
}

#[test]
fn events_may_end_with_lf_or_crlf() {
    assert_eq!(events(&["data: a\r\n\r\ndata: b\n\n"]), ["a", "b"]);
}

#[test]
fn an_event_that_is_not_utf8_is_an_error() {
    let mut splitter = Splitter::default();
    splitter.push(b"data: \xff\n\n");
    assert!(splitter.next().is_err());
}

#[test]
fn each_request_earns_a_tenth_of_a_retry() {
    let mut budget = RetryBudget::default();
    let saved = (0..100).filter(|_| budget.spend()).count();
    assert_eq!(saved, 10);
    (0..100).for_each(|_| budget.earn());
    let earned = (0..100).filter(|_| budget.spend()).count();
    assert!((9..=10).contains(&earned));
}

#[test]
fn not_run_response_has_retry_after() {
    let reason = NotRunReason::Refused(RefuseReason::QueueFull);
    let response = Outcome::NotRun(reason, 1_200).into_response("1-a-1");
    assert_eq!(response.status(), 429);
    assert_eq!(header::text(response.headers(), "retry-after"), Some("2"));
    assert_eq!(header::text(response.headers(), header::RETRY_AFTER_MS), Some("1200"));
    assert_eq!(header::text(response.headers(), header::OUTCOME), Some("not-run"));
}

#[test]
fn unknown_is_never_reported_as_not_run() {
    for reason in [
        UnknownReason::Broken,
        UnknownReason::TimedOut,
        UnknownReason::Crossed,
        UnknownReason::Invalid,
    ] {
        let response = Outcome::Unknown(reason).into_response("1-a-1");
        assert_eq!(header::text(response.headers(), header::OUTCOME), Some("unknown"));
        assert!(response.headers().get("retry-after").is_none());
    }
}

/// The result of a call to an endpoint that answers with this status line.
async fn attempt_with_status(status: &str) -> Attempt {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4_096];
        let _ = stream.read(&mut buffer).await;
        let _ = stream.write_all(answer.as_bytes()).await;
    });
    let held = RequestMemory::new(1 << 20).hold("one").unwrap();
    let call = Call {
        id: "1-a-1".into(),
        method: Method::GET,
        path: "/app/x".into(),
        headers: HeaderMap::new(),
        body: HeldBody::new(Bytes::new(), held),
        run_once: false,
        resume_after: None,
    };
    let client = EndpointClient::new(AnswerLimits::default());
    client.attempt(address, &call, Duration::from_secs(10)).await.attempt
}

#[tokio::test]
async fn an_answer_whose_status_is_that_of_no_final_answer_is_not_passed_on() {
    for status in ["000", "099", "101", "199", "600", "700", "999", "1000", "20", "2xx"] {
        let attempt = attempt_with_status(status).await;
        assert!(matches!(attempt, Attempt::Unknown(_)), "{status}: {attempt:?}");
    }
    for status in ["200", "299", "300", "404", "500", "599"] {
        let attempt = attempt_with_status(status).await;
        assert!(matches!(attempt, Attempt::Answered(_)), "{status}: {attempt:?}");
    }
}
