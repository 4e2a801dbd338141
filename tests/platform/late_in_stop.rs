//! Requests that have no answer yet when their router stops as planned.
//!
//! Guards against requests that are taken late in a stop and cut at its end without an answer:
//! bodies that began before requests were refused and ended afterwards were passed on, also those
//! that may not be repeated.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fleet::{Fleet, configuration};
use crate::handover::hand_over_all;
use crate::http::{Answer, open, read_answer};
use crate::replica::{Behaviour, Replica};
use crate::{fleet_with, post, request};

/// How long a body takes to be sent.
const BODY_TIME: Duration = Duration::from_millis(2_500);
/// When the body begins, after the signal: shortly before requests are refused.
const BODY_BEGINS_AFTER: Duration = Duration::from_millis(2_400);
const BODY: &str = "0123456789";
/// An idempotent request ends before the stop does, as its endpoint is given up.
const ROUTES: [&str; 2] = ["once", "stream"];

/// A fleet whose routers stop by the default settings, with timeouts beyond the end of a stop.
async fn fleet_that_stops_by_default(behaviour: Behaviour) -> (Fleet, Vec<Replica>) {
    let (mut fleet, replicas) = fleet_with(&[behaviour]).await;
    fleet.restart_router_with_default_stop().await;
    let text = configuration(100).replace("\"timeoutMs\":2000", "\"timeoutMs\":60000");
    fleet.configure(&text).await;
    fleet.settle().await;
    (fleet, replicas)
}

fn upload(route: &str, deadline_ms: u32) -> String {
    let text = request("POST", &format!("/{route}/x"), route, "Api-Key: key-one\r\n", BODY);
    text.replace("Deadline-Ms: 3000", &format!("Deadline-Ms: {deadline_ms}"))
}

/// Sends requests whose bodies begin before the router refuses requests, and end afterwards.
async fn upload_across_refusals(
    fleet: &Fleet,
    routes: &[&'static str],
    deadline_ms: u32,
) -> Vec<(&'static str, Answer)> {
    fleet.terminate_router();
    tokio::time::sleep(BODY_BEGINS_AFTER).await;
    let mut callers = Vec::new();
    for route in routes {
        let text = upload(route, deadline_ms);
        let (begin, end) = text.split_at(text.len() - BODY.len() / 2);
        callers.push((*route, open(fleet.front, begin).await, end.to_string()));
    }
    tokio::time::sleep(BODY_TIME).await;
    let mut answers = Vec::new();
    for (route, mut caller, end) in callers {
        caller.write_all(end.as_bytes()).await.unwrap();
        answers.push((route, answer_of(&mut caller).await));
    }
    answers
}

async fn answer_of(caller: &mut TcpStream) -> Answer {
    read_answer(caller).await.filter(|answer| answer.complete).expect("a whole answer")
}

#[tokio::test]
async fn a_request_whose_body_ends_after_the_refusals_began_is_not_passed_on_to_be_cut() {
    let (mut fleet, replicas) = fleet_that_stops_by_default(Behaviour::Hang).await;
    for (route, answer) in upload_across_refusals(&fleet, &ROUTES, 60_000).await {
        assert_eq!((answer.status, answer.body.as_str()), (503, "stopping"), "{route}");
        assert!(answer.header("retry-after").is_some());
    }
    assert!(replicas[0].seen().is_empty(), "a request was passed on");
    fleet.wait_router_end().await;
}

/// Its deadline comes before the end of the stop, so it cannot be cut.
#[tokio::test]
async fn a_request_that_ends_within_the_stop_is_still_served() {
    let (mut fleet, _replicas) = fleet_that_stops_by_default(Behaviour::Answer).await;
    for (route, answer) in upload_across_refusals(&fleet, &["safe", "once"], 4_000).await {
        assert_eq!(answer.status, 200, "{route}");
    }
    fleet.wait_router_end().await;
}

#[tokio::test]
async fn requests_without_an_answer_at_the_end_of_a_stop_get_one() {
    for is_handed_over in [false, true] {
        let (mut fleet, replicas) = fleet_that_stops_by_default(Behaviour::Hang).await;
        if is_handed_over {
            hand_over_all(&mut fleet).await;
        }
        let mut callers = Vec::new();
        for route in ROUTES {
            let text = post(&format!("/{route}/x"), route, "");
            let text = text.replace("Deadline-Ms: 3000", "Deadline-Ms: 60000");
            callers.push((route, open(fleet.front, &text).await));
        }
        let has_run = |replica: &Replica, id: &str| replica.seen().iter().any(|r| r.id() == id);
        replicas[0].wait_for(|replica| ROUTES.iter().all(|id| has_run(replica, id))).await;
        fleet.terminate_router();
        for (route, mut caller) in callers {
            let answer = answer_of(&mut caller).await;
            assert_eq!(answer.status, 502, "{route} may have run");
        }
        fleet.wait_router_end().await;
    }
}
