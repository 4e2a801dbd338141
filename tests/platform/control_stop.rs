//! Calls of operators and replicas that a control host has read when it stops as planned.
//!
//! Guards against a stop that cuts them without an answer: the process ended at once.

use std::time::Duration;

use crate::fleet::{Fleet, configuration};
use crate::http::{open, read_answer};

/// Enough that a configuration is still read, checked or stored when the signal comes.
const ROUTES: usize = 20_000;
const ROUNDS: u64 = 5;

/// A large configuration.
fn large_configuration(version: u64) -> String {
    let text = configuration(version);
    let (before, after) = text.split_once("\"routes\":[").unwrap();
    let route = |number: usize| {
        format!(
            r#"{{"name":"r-{number}","host":"shop.example","pathPrefix":"/r-{number}/","kind":"idempotent","timeoutMs":2000,"service":"app"}},"#
        )
    };
    let routes: String = (0..ROUTES).map(route).collect();
    format!("{before}\"routes\":[{routes}{after}")
}

#[tokio::test]
async fn a_stop_of_a_control_host_cuts_no_call_that_it_has_read() {
    let mut fleet = Fleet::start().await;
    fleet.configure(&configuration(1)).await;
    for round in 0..ROUNDS {
        let body = large_configuration(100 + round);
        let text = format!(
            "PUT /config HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut caller = open(fleet.control_address(), &text).await;
        tokio::time::sleep(Duration::from_millis(2)).await;
        fleet.terminate_control();
        let answer = read_answer(&mut caller).await.filter(|answer| answer.complete);
        assert!(answer.is_some(), "round {round}: no answer");
        fleet.kill_control();
        fleet.start_control();
        fleet.configure(&configuration(10 + round)).await;
    }
}
