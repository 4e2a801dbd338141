//! A router that hands callers' connections over to another router in its data hall.

use std::time::Duration;

use super::fleet::Fleet;
use super::http::{Answer, Framing, call, open, read_answer};
use super::replica::{Behaviour, Replica};
use super::shapes::{Shape, told};
use super::{fleet_with, get, post};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const HANDED_OVER_METRIC: &str = r#"bramblecrank_gateway_handed_over_total{answer="taken"}"#;

/// Starts a fleet whose first router hands over every connection to a second one.
async fn fleet_of_two(behaviour: Behaviour) -> (Fleet, Vec<Replica>) {
    fleet_of_two_with(&[behaviour]).await
}

async fn fleet_of_two_with(behaviours: &[Behaviour]) -> (Fleet, Vec<Replica>) {
    let (mut fleet, replicas) = fleet_with(behaviours).await;
    hand_over_all(&mut fleet).await;
    (fleet, replicas)
}

/// Adds a second router, to which the first one hands over every connection.
pub async fn hand_over_all(fleet: &mut Fleet) {
    fleet.start_neighbour().await;
    fleet.restart_router_handing_over().await;
    // Connections accepted before prove nothing: the other router may have refused one since, as its
    // configuration was older, and then gets none for a while.
    while !is_handed_over(fleet).await {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends a request, and returns whether its connection is handed over.
async fn is_handed_over(fleet: &Fleet) -> bool {
    let before = fleet.metric(HANDED_OVER_METRIC).await;
    call(fleet.front, &get("/safe/x", "before")).await;
    fleet.metric(HANDED_OVER_METRIC).await > before
}

fn runs(replicas: &[Replica], id: &str) -> usize {
    let seen = replicas.iter().flat_map(|replica| replica.seen());
    seen.filter(|request| request.header("bramblecrank-attempt-id") == Some(id)).count()
}

#[tokio::test]
async fn a_request_that_is_handed_over_gets_its_complete_answer() {
    let (fleet, replicas) = fleet_of_two(Behaviour::Answer).await;
    let before = fleet.metric(HANDED_OVER_METRIC).await;
    for number in 0..5 {
        let id = format!("h{number}");
        let answer = call(fleet.front, &post("/once/x", &id, "the body")).await;
        assert_eq!((answer.status, answer.complete), (200, true));
        assert_eq!(answer.body, format!("answer to {id}"));
        assert_eq!(answer.header("bramblecrank-replica-seal"), Some("seal-i-0"));
        assert_eq!(runs(&replicas, &id), 1);
    }
    assert_eq!(fleet.metric(HANDED_OVER_METRIC).await, before + 5);
}

#[tokio::test]
async fn a_stream_that_is_handed_over_arrives_complete() {
    let behaviour = Behaviour::Stream { events: 5, pause: Duration::from_millis(5) };
    let (fleet, _replicas) = fleet_of_two(behaviour).await;
    let answer = call(fleet.front, &post("/stream/x", "s1", "")).await;
    assert_eq!((answer.status, answer.complete), (200, true));
    let events: String = (1..=5).map(|n| format!("id: {n}\ndata: x\n\n")).collect();
    assert_eq!(answer.body, events);
}

#[tokio::test]
async fn a_connection_that_no_other_router_accepts_is_served_locally() {
    let (mut fleet, replicas) = fleet_of_two(Behaviour::Answer).await;
    fleet.kill_neighbour();
    let answer = call(fleet.front, &post("/once/x", "alone", "")).await;
    assert_eq!(answer.status, 200);
    assert_eq!(runs(&replicas, "alone"), 1);
}

#[tokio::test]
async fn a_lost_router_truncates_the_answer_and_causes_no_second_run() {
    let behaviour = Behaviour::Stream { events: 200, pause: Duration::from_millis(20) };
    let (mut fleet, replicas) = fleet_of_two(behaviour).await;
    let mut caller = open(fleet.front, &post("/stream/x", "lost", "")).await;
    // The answer has begun.
    caller.readable().await.unwrap();
    fleet.kill_neighbour();
    let answer = read_answer(&mut caller).await;
    assert!(answer.is_none_or(|answer| !answer.complete));
    assert_eq!(runs(&replicas, "lost"), 1);
}

#[tokio::test]
async fn a_caller_is_told_what_its_replica_stated_also_through_another_router() {
    let shaped = Behaviour::Shaped { events: 6, pause: Duration::from_millis(1) };
    let (fleet, _replicas) = fleet_of_two(shaped).await;
    let before = fleet.metric(HANDED_OVER_METRIC).await;
    let mut shapes = 0;
    for shape in Shape::all() {
        let name = shape.name();
        let answer = call(fleet.front, &get(&format!("/stream/{name}"), &name)).await;
        assert_eq!(told(answer.framing, answer.complete), shape.told(), "{name}");
        shapes += 1;
    }
    assert_eq!(fleet.metric(HANDED_OVER_METRIC).await, before + shapes);
}

/// The end of a router's connections must not pass for the end of an answer that only a connection
/// ends.
#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_broken_by_a_lost_router() {
    let shaped = Behaviour::Shaped { events: 200, pause: Duration::from_millis(20) };
    for loses_first in [true, false] {
        let (mut fleet, _replicas) = fleet_of_two(shaped.clone()).await;
        let path = "/stream/connection.lf.whole";
        let mut caller = open(fleet.front, &get(path, "lost")).await;
        // The answer has begun.
        caller.readable().await.unwrap();
        match loses_first {
            true => fleet.kill_router(),
            false => fleet.kill_neighbour(),
        }
        let answer = read_answer(&mut caller).await;
        let is_broken = |answer: Answer| answer.framing == Framing::Connection && !answer.complete;
        assert!(answer.is_none_or(is_broken), "loses the first router: {loses_first}");
    }
}

#[tokio::test]
async fn a_request_whose_router_is_lost_before_its_answer_gets_a_502() {
    let (mut fleet, replicas) = fleet_of_two(Behaviour::Hang).await;
    let mut caller = open(fleet.front, &post("/once/x", "lost", "")).await;
    replicas[0].wait_for(|replica| runs(std::slice::from_ref(replica), "lost") == 1).await;
    fleet.kill_neighbour();
    let answer = read_answer(&mut caller).await.unwrap();
    assert_eq!((answer.status, answer.complete), (502, true));
    assert_eq!(runs(&replicas, "lost"), 1);
}

#[tokio::test]
async fn a_caller_disconnect_cancels_its_run_at_the_replica() {
    let (fleet, replicas) = fleet_of_two(Behaviour::Hang).await;
    let before = replicas[0].abandoned();
    let caller = open(fleet.front, &post("/once/x", "left", "")).await;
    replicas[0].wait_for(|replica| runs(std::slice::from_ref(replica), "left") == 1).await;
    drop(caller);
    replicas[0].wait_for(|replica| replica.abandoned() > before).await;
}

/// A router that hands a request over forwards the answer without parsing it. It must still read
/// the leaving notice, or it sends its own next request to that leaving endpoint.
#[tokio::test]
async fn a_router_that_hands_over_learns_which_endpoints_are_leaving() {
    let (mut fleet, replicas) = fleet_of_two_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    fleet.kill_control();
    replicas[0].set_leaving(true);
    let reached = || replicas[0].arrivals().iter().filter(|arrival| arrival.leaving).count();
    while reached() == 0 {
        call(fleet.front, &post("/once/x", "until", "")).await;
    }
    let before = fleet.metric(HANDED_OVER_METRIC).await;
    for number in 0..20 {
        assert_eq!(call(fleet.front, &get("/safe/x", &format!("a{number}"))).await.status, 200);
    }
    assert_eq!(fleet.metric(HANDED_OVER_METRIC).await, before + 20);
    // From here on the first router serves all requests itself.
    fleet.kill_neighbour();
    for number in 0..20 {
        assert_eq!(call(fleet.front, &get("/safe/x", &format!("b{number}"))).await.status, 200);
    }
    assert_eq!(reached(), 1);
}
