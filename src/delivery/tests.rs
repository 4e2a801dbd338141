use super::sse::{DONE, Splitter};
use super::*;
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
    for reason in [UnknownReason::Broken, UnknownReason::TimedOut, UnknownReason::Crossed] {
        let response = Outcome::Unknown(reason).into_response("1-a-1");
        assert_eq!(header::text(response.headers(), header::OUTCOME), Some("unknown"));
        assert!(response.headers().get("retry-after").is_none());
    }
}
