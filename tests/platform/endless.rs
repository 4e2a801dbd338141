//! Replicas that send bytes without end, in heads and bodies, until the router closes.

use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::timeout;

use super::endless_replica::{EndlessReplica, Pace, Place, Sent, Shape};
use super::fleet::{Fleet, configuration};
use super::http::call;
use super::replica::{Behaviour, Replica};
use super::{get, post};
use crate::drain::{Drained, End, drain};
use crate::handover::hand_over_all;

/// The timeout of each route in the configuration of the tests.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the router may take beyond one of its limits, as the rules give it.
const SLACK: Duration = Duration::from_millis(500);
/// How long an answer's head may take from its first byte, by the defaults of the settings.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that one event, one head and one answer may have, by the defaults of the settings.
const EVENT_BYTES: u64 = 1 << 20;
const HEAD_BYTES: u64 = 64 << 10;
const ANSWER_BYTES: u64 = 16 << 20;
/// What the buffers of both ends of a loopback connection take in without the router.
const SOCKET_BYTES: u64 = 12 << 20;
/// The memory that a process has, in KiB.
const PROCESS_KIB: u64 = 260_000;
const ROUTES: [&str; 4] = ["safe", "once", "stream", "resumable"];

fn heartbeat(replica: &EndlessReplica, sequence: u64) -> String {
    format!(
        r#"{{"service":"app","address":"{}","zone":"a","version":"v1","slots":6,"state":"ready","warmupLeftMs":0,"callSeq":{sequence}}}"#,
        replica.address
    )
}

async fn fleet_of(endless: &[EndlessReplica], sound: &[Replica]) -> Fleet {
    let fleet = Fleet::start().await;
    for replica in endless {
        assert_eq!(fleet.heartbeat(&replica.id, &heartbeat(replica, 1)).await, 200);
    }
    for replica in sound {
        fleet.register(replica, "ready", 1).await;
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_ready().await;
    fleet
}

/// Sends requests for a shape of answer, on one route each, `copies` at once.
async fn call_all(
    fleet: &Fleet,
    shapes: &[Shape],
    routes: &[&'static str],
    copies: usize,
) -> Vec<(Shape, &'static str, Drained)> {
    let mut calls = JoinSet::new();
    for shape in shapes {
        for route in routes {
            for copy in 0..copies {
                let (shape, route, front) = (*shape, *route, fleet.front);
                let name = shape.name();
                let text = get(&format!("/{route}/{name}"), &format!("{name}.{route}.{copy}"));
                calls.spawn(async move { (shape, route, drain(front, &text).await) });
            }
        }
    }
    calls.join_all().await
}

/// Waits until the router has closed every connection on which a replica sends without end.
async fn all_closed(replica: &EndlessReplica) -> Vec<Sent> {
    loop {
        let sent = replica.sent();
        if sent.iter().all(|sent| sent.closed_after.is_some()) {
            return sent;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// What is wrong with an answer, if anything is: a caller is never told that an answer without an
/// end is whole, nor that a request has not run that may have.
fn untrue(shape: Shape, route: &str, drained: &Drained) -> Option<String> {
    let text = format!("{} on {route}: {drained:?}", shape.name());
    let is_true = match drained.status {
        200..300 => shape.place() == Place::Body && drained.end == End::Broken,
        500 | 502 | 504 => drained.end == End::Whole,
        _ => false,
    };
    (!is_true || drained.took > ROUTE_TIMEOUT + SLACK).then_some(text)
}

async fn assert_true_and_bounded(place: Place, pace: Pace) {
    let replica = EndlessReplica::start("i-endless", pace).await;
    let fleet = fleet_of(std::slice::from_ref(&replica), &[]).await;
    assert_true_and_bounded_at(&fleet, &replica, place, pace).await;
}

async fn assert_true_and_bounded_at(
    fleet: &Fleet,
    replica: &EndlessReplica,
    place: Place,
    pace: Pace,
) {
    let shapes = Shape::all_in(place);
    let answers = call_all(fleet, &shapes, &ROUTES, 2).await;
    let mut wrong: Vec<_> =
        answers.iter().filter_map(|(shape, route, d)| untrue(*shape, route, d)).collect();
    let closed = timeout(ROUTE_TIMEOUT + SLACK, all_closed(replica)).await;
    let closed = closed.unwrap_or_else(|_| replica.sent());
    for sent in &closed {
        // A stream that goes on in whole events may last until its deadline.
        let time = match (place, pace) {
            (Place::Head, _) => HEAD_TIMEOUT + SLACK,
            (Place::Body, _) => ROUTE_TIMEOUT + SLACK,
        };
        let bytes = match (place, pace) {
            (_, Pace::Trickle) => u64::MAX,
            (Place::Head, _) => HEAD_BYTES + SOCKET_BYTES,
            (Place::Body, _) if sent.shape.is_without_content() => HEAD_BYTES + SOCKET_BYTES,
            (Place::Body, _) if sent.is_stream() && sent.shape.has_whole_events() => u64::MAX,
            (Place::Body, _) if sent.is_stream() && sent.shape.is_event() => {
                EVENT_BYTES + SOCKET_BYTES
            }
            (Place::Body, _) if sent.is_stream() => u64::MAX,
            (Place::Body, _) => ANSWER_BYTES + SOCKET_BYTES,
        };
        if sent.closed_after.is_none_or(|after| after > time) || sent.bytes > bytes {
            wrong.push(format!("not closed in time: {sent:?}"));
        }
    }
    assert_eq!(fleet.memory_kib("VmHWM") / PROCESS_KIB, 0, "more than a process has");
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[tokio::test]
async fn a_head_that_never_ends_is_not_waited_for() {
    assert_true_and_bounded(Place::Head, Pace::Fast).await;
}

#[tokio::test]
async fn a_head_that_trickles_without_end_is_not_waited_for() {
    assert_true_and_bounded(Place::Head, Pace::Trickle).await;
}

#[tokio::test]
async fn a_body_that_never_ends_is_neither_held_nor_called_whole() {
    assert_true_and_bounded(Place::Body, Pace::Fast).await;
}

#[tokio::test]
async fn a_body_that_trickles_without_end_lasts_until_the_deadline_at_most() {
    assert_true_and_bounded(Place::Body, Pace::Trickle).await;
}

/// Guards against limits that hold only where a router serves its callers itself.
#[tokio::test]
async fn answers_without_end_are_bounded_on_connections_that_were_handed_over() {
    for place in [Place::Head, Place::Body] {
        let replica = EndlessReplica::start("i-endless", Pace::Fast).await;
        let mut fleet = fleet_of(std::slice::from_ref(&replica), &[]).await;
        hand_over_all(&mut fleet).await;
        assert_true_and_bounded_at(&fleet, &replica, place, Pace::Fast).await;
    }
}

/// Guards against limits that hold only for answers to requests of callers.
#[tokio::test]
async fn answers_without_end_to_health_checks_are_neither_held_nor_waited_for() {
    for pace in [Pace::Fast, Pace::Trickle] {
        let replica = EndlessReplica::start("i-endless", pace).await;
        let fleet = fleet_of(std::slice::from_ref(&replica), &[]).await;
        let mut sequence = 1;
        let mut version = 100;
        for shape in [Shape::all_in(Place::Head), Shape::all_in(Place::Body)].concat() {
            let path = format!("\"/healthz/{}\"", shape.name());
            fleet.configure(&configuration(version).replace("\"/healthz\"", &path)).await;
            fleet.settle().await;
            // A router checks a replica that goes on after its end.
            fleet.deregister_id(&replica.id).await;
            for _ in 0..6 {
                sequence += 1;
                fleet.heartbeat(&replica.id, &heartbeat(&replica, sequence)).await;
            }
            while replica.sent().iter().all(|sent| sent.shape != shape) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            version += 100;
        }
        let closed = timeout(HEAD_TIMEOUT + SLACK, all_closed(&replica)).await.unwrap();
        for sent in closed {
            assert!(sent.bytes <= HEAD_BYTES + SOCKET_BYTES, "{sent:?}");
            assert!(sent.closed_after.unwrap() < HEAD_TIMEOUT + SLACK, "{sent:?}");
        }
        assert!(fleet.memory_kib("VmHWM") < PROCESS_KIB, "more than a process has");
    }
}

#[tokio::test]
async fn an_idempotent_request_leaves_a_head_without_end_for_another_replica() {
    for pace in [Pace::Fast, Pace::Trickle] {
        let endless = EndlessReplica::start("i-endless", pace).await;
        let sound = Replica::start("i-sound", Behaviour::Answer).await;
        let mut fleet = fleet_of(std::slice::from_ref(&endless), &[sound]).await;
        fleet.restart_router_retrying().await;
        for shape in Shape::all_in(Place::Head) {
            let name = shape.name();
            let answers = call_all(&fleet, &[shape], &["safe"], 3).await;
            for (_, _, drained) in answers {
                assert_eq!((drained.status, &drained.end), (200, &End::Whole), "{pace:?} {name}");
                let bound = HEAD_TIMEOUT + SLACK;
                assert!(drained.took < bound, "{pace:?} {name} took {:?}", drained.took);
            }
        }
    }
}

#[tokio::test]
async fn a_replica_that_sends_without_end_is_not_chosen_again_and_again() {
    for (place, route) in [(Place::Head, "safe"), (Place::Body, "safe"), (Place::Body, "stream")] {
        let endless = EndlessReplica::start("i-endless", Pace::Fast).await;
        let sound = Replica::start("i-sound", Behaviour::Answer).await;
        let fleet = fleet_of(std::slice::from_ref(&endless), &[sound]).await;
        let name = match place {
            Place::Head => "header-lines",
            Place::Body => "event-lines",
        };
        let begin = Instant::now();
        for number in 0..40 {
            let text = get(&format!("/{route}/{name}"), &format!("r{number}"));
            drain(fleet.front, &text).await;
        }
        // Two failures, then one after each avoidance of 300 ms and more.
        let allowed = 2 + begin.elapsed().as_millis() / 300 + 1;
        let reached = endless.sent().len() as u128;
        assert!(reached <= allowed, "{reached} of 40 on {route}, {allowed} allowed");
    }
}

#[tokio::test]
async fn many_answers_without_end_do_not_fill_the_routers_memory() {
    let cases =
        [("unframed", "once", 40), ("event", "resumable", 300), ("header-value", "once", 300)];
    for (shape, route, callers) in cases {
        let replicas = [
            EndlessReplica::start("i-one", Pace::Fast).await,
            EndlessReplica::start("i-two", Pace::Fast).await,
        ];
        let fleet = fleet_of(&replicas, &[]).await;
        let shape = Shape::named(shape).unwrap();
        let answers = call_all(&fleet, &[shape], &[route], callers).await;
        let wrong = answers.iter().filter_map(|(shape, route, d)| untrue(*shape, route, d));
        let wrong: Vec<_> = wrong.collect();
        let peak = fleet.memory_kib("VmHWM");
        assert!(peak < PROCESS_KIB, "{} on {route}: {peak} KiB", shape.name());
        assert!(wrong.is_empty(), "{} of {callers}: {}", wrong.len(), wrong[0]);
    }
}

#[tokio::test]
async fn answers_without_end_hold_up_neither_other_callers_nor_changes_nor_a_stop() {
    for place in [Place::Head, Place::Body] {
        let replica = EndlessReplica::start("i-endless", Pace::Fast).await;
        let sound = Replica::start("i-sound", Behaviour::Answer).await;
        let mut fleet = fleet_of(std::slice::from_ref(&replica), &[sound]).await;
        let stop = tokio_util::sync::CancellationToken::new();
        let mut calling = JoinSet::new();
        for (number, shape) in Shape::all_in(place).into_iter().enumerate() {
            for route in ROUTES {
                let (front, stop, name) = (fleet.front, stop.clone(), shape.name());
                calling.spawn(stop.run_until_cancelled_owned(async move {
                    for copy in 0.. {
                        let id = format!("{name}.{route}.{number}.{copy}");
                        drain(front, &get(&format!("/{route}/{name}"), &id)).await;
                    }
                }));
            }
        }
        let begin = Instant::now();
        for number in 0..40 {
            let sent = Instant::now();
            let answer = call(fleet.front, &post("/once/plain", &format!("s{number}"), "")).await;
            assert_eq!(answer.status, 200, "{place:?}");
            assert!(sent.elapsed() < ROUTE_TIMEOUT, "{place:?} took {:?}", sent.elapsed());
        }
        let settled = timeout(Duration::from_secs(2), fleet.settle()).await;
        assert!(settled.is_ok(), "{place:?}: a change was not in force within 2 s");
        assert!(begin.elapsed() < Duration::from_secs(40));
        fleet.terminate_router();
        // The settings of the tests force a stop after 8 s.
        let ended = timeout(Duration::from_secs(8) + SLACK, fleet.wait_router_end()).await;
        assert!(ended.is_ok(), "{place:?}: the stop took longer than its settings give it");
        stop.cancel();
        while calling.join_next().await.is_some() {}
    }
}

#[tokio::test]
async fn bytes_without_end_around_an_answer_close_its_connection() {
    for after in ["before-request", "after-answer"] {
        let replica = EndlessReplica::start("i-endless", Pace::Fast).await;
        let fleet = fleet_of(std::slice::from_ref(&replica), &[]).await;
        for number in 0..10 {
            let text = get(&format!("/safe/{after}"), &format!("{after}.{number}"));
            let drained = drain(fleet.front, &text).await;
            let is_true = matches!(drained.status, 200 | 502) && drained.end == End::Whole;
            assert!(is_true, "{after}: {drained:?}");
        }
        for sent in timeout(ROUTE_TIMEOUT, all_closed(&replica)).await.unwrap() {
            assert!(sent.bytes <= HEAD_BYTES + SOCKET_BYTES, "{sent:?}");
            assert!(sent.closed_after.unwrap() < HEAD_TIMEOUT + SLACK, "{sent:?}");
        }
    }
}

#[tokio::test]
async fn a_caller_that_leaves_an_answer_without_end_ends_it_at_the_replica() {
    let replica = EndlessReplica::start("i-endless", Pace::Trickle).await;
    let fleet = fleet_of(std::slice::from_ref(&replica), &[]).await;
    for shape in [Shape::all_in(Place::Head), Shape::all_in(Place::Body)].concat() {
        let name = shape.name();
        let caller = super::open(fleet.front, &get(&format!("/stream/{name}"), name)).await;
        while replica.sent().iter().all(|sent| sent.shape != shape) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        drop(caller);
        let left = Instant::now();
        timeout(ROUTE_TIMEOUT, all_closed(&replica)).await.unwrap();
        assert!(left.elapsed() < SLACK, "{name}: {:?}", left.elapsed());
    }
}

#[tokio::test]
async fn a_long_answer_and_a_long_stream_are_passed_on_whole() {
    let replica = EndlessReplica::start("i-endless", Pace::Fast).await;
    let fleet = fleet_of(std::slice::from_ref(&replica), &[]).await;
    for (shape, route, bytes) in
        [("long-answer", "once", 12 << 20), ("long-stream", "stream", 48 << 20)]
    {
        let drained = drain(fleet.front, &get(&format!("/{route}/{shape}"), shape)).await;
        assert_eq!((drained.status, &drained.end), (200, &End::Whole), "{shape}");
        assert!(drained.bytes >= bytes, "{shape}: {}", drained.bytes);
    }
}
