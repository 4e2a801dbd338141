//! What is read in the heads of answers that are relayed for another router.

use axum::http::HeaderName;

use super::super::relayed_head::{HeadScanner, RelayedHead};

/// Scans an answer in two pieces, cut at each place; returns its head.
fn scan(answer: &str) -> Option<RelayedHead> {
    let heads = (0..answer.len()).map(|at| {
        let mut scanner = HeadScanner::new(HeaderName::from_static("x-leaving"));
        let (first, second) = answer.as_bytes().split_at(at);
        let head = scanner.scan(first);
        let later = scanner.scan(second);
        assert!(head.is_none() || later.is_none(), "a head is returned once");
        head.or(later)
    });
    let heads: Vec<_> = heads.collect();
    assert!(heads.iter().all(|head| *head == heads[0]), "{heads:?}");
    heads[0]
}

#[test]
fn a_head_shows_whether_only_the_connection_ends_the_answer() {
    let ends_with_connection = |head: &str| scan(head).unwrap().ends_with_connection;
    assert!(ends_with_connection("HTTP/1.1 200 OK\r\nDate: x\r\n\r\nbody"));
    assert!(ends_with_connection("HTTP/1.0 500 X\r\n\r\n"));
    assert!(!ends_with_connection("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"));
    assert!(!ends_with_connection("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0"));
    assert!(!ends_with_connection("HTTP/1.1 204 X\r\n\r\n"));
}

#[test]
fn a_head_shows_whether_its_endpoint_leaves() {
    let is_leaving = |head: &str| scan(head).unwrap().is_leaving;
    assert!(is_leaving("HTTP/1.1 200 OK\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n"));
    assert!(!is_leaving("HTTP/1.1 200 OK\r\nX-Leaving: 0\r\nContent-Length: 0\r\n\r\n"));
    assert_eq!(scan("HTTP/1.1 200 OK\r\nX-Leaving: 1\r\n"), None, "it is incomplete");
}
