//! Notices in endpoints' answers: that the endpoint is leaving, or requests a rest.
//!
//! Guards against routers that ignore the headers of these notices. Endpoints that had announced
//! their leaving got requests for ten more seconds, and one that had requested three seconds of
//! rest got three requests from the same router in that time.
//!
//! Leaving: after a network partition between the control hosts, the endpoint reports to one
//! side that it is leaving. Routers connected to the other side are never notified and keep
//! sending, although each answer of the endpoint carries the notice. Rest: the endpoint answers
//! 503 with the duration of its rest; the router only counted a failure, retried after its own
//! 0.6 to 2.4 s ("avoided for 600 ms" in its log where the endpoint had requested 3 s), and an
//! answer that had begun before the 503 ended even that pause.

use std::time::Duration;

use crate::fleet::{Fleet, configuration};
use crate::http::call;
use crate::replica::{Behaviour, Replica};
use crate::{fleet_with, get, post};

/// Requests of which none may reach an endpoint. With a random choice between two endpoints,
/// one of them gets none of 20 requests once in a million times.
pub const REQUESTS: usize = 20;
/// Longer than any test runs.
pub const LONG_REST: Duration = Duration::from_secs(30);

/// Sends requests until one more has reached the replica.
pub async fn send_until_reached(fleet: &Fleet, path: &str, replica: &Replica) {
    let before = replica.arrivals().len();
    for number in 0.. {
        call(fleet.front, &post(path, &format!("until-{number}"), "")).await;
        if replica.arrivals().len() > before {
            return;
        }
    }
}

/// Sends requests, all of which other replicas must serve.
pub async fn assert_avoided(fleet: &Fleet, path: &str, replica: &Replica) {
    let before = replica.arrivals().len();
    for number in 0..REQUESTS {
        let answer = call(fleet.front, &post(path, &format!("by-{number}"), "")).await;
        assert_eq!(answer.status, 200);
    }
    let after: Vec<_> = replica.arrivals().into_iter().skip(before).map(|a| a.id).collect();
    assert!(after.is_empty(), "{path}: {after:?}");
}

fn stream() -> Behaviour {
    Behaviour::Stream { events: 2, pause: Duration::from_millis(1) }
}

#[tokio::test]
async fn an_endpoint_that_announces_its_leaving_in_an_answer_gets_no_more_requests() {
    let kinds = [
        (Behaviour::Answer, Behaviour::Answer, "/once/x"),
        (Behaviour::Fail, Behaviour::Answer, "/safe/x"),
        (Behaviour::Full, Behaviour::Answer, "/once/x"),
        (stream(), stream(), "/stream/x"),
    ];
    for (leaving, staying, path) in kinds {
        let (fleet, replicas) = fleet_with(&[leaving, staying]).await;
        replicas[0].set_leaving(true);
        send_until_reached(&fleet, path, &replicas[0]).await;
        assert_avoided(&fleet, path, &replicas[0]).await;
    }
}

#[tokio::test]
async fn a_leaving_endpoint_gets_no_more_requests_without_a_control_host() {
    let (mut fleet, replicas) = fleet_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    fleet.kill_control();
    replicas[0].set_leaving(true);
    send_until_reached(&fleet, "/once/x", &replicas[0]).await;
    assert_avoided(&fleet, "/once/x", &replicas[0]).await;
    // The restarted control host still has it registered as ready.
    fleet.start_control();
    fleet.settle().await;
    assert_avoided(&fleet, "/once/x", &replicas[0]).await;
}

#[tokio::test]
async fn a_router_whose_endpoints_are_all_leaving_refuses_at_once() {
    let (fleet, replicas) = fleet_with(&[Behaviour::Answer]).await;
    replicas[0].set_leaving(true);
    send_until_reached(&fleet, "/once/x", &replicas[0]).await;
    let before = replicas[0].arrivals().len();
    let answer = call(fleet.front, &post("/once/x", "last", "")).await;
    assert_eq!((answer.status, answer.body.as_str()), (503, "no_endpoint"));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(replicas[0].arrivals().len(), before);
}

#[tokio::test]
async fn an_endpoint_that_requests_a_rest_gets_no_requests_during_it() {
    let (fleet, replicas) = fleet_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    replicas[0].rest(LONG_REST);
    send_until_reached(&fleet, "/once/x", &replicas[0]).await;
    assert_avoided(&fleet, "/once/x", &replicas[0]).await;
    // Longer than a router avoids an endpoint after a failure.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_avoided(&fleet, "/safe/x", &replicas[0]).await;
}

#[tokio::test]
async fn an_endpoint_gets_its_share_of_requests_after_its_rest() {
    let (fleet, replicas) = fleet_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    replicas[0].rest(Duration::from_secs(1));
    send_until_reached(&fleet, "/once/x", &replicas[0]).await;
    while replicas[0].seen().is_empty() {
        assert_eq!(call(fleet.front, &post("/once/x", "again", "")).await.status, 200);
    }
    let (first, second) = (replicas[0].seen().len(), replicas[1].seen().len());
    for number in 0..60 {
        call(fleet.front, &post("/once/x", &format!("share-{number}"), "")).await;
    }
    let shares = (replicas[0].seen().len() - first, replicas[1].seen().len() - second);
    assert!(shares.0 >= 15 && shares.1 >= 15, "{shares:?} of 60");
    let turned_away = replicas[0].arrivals().iter().filter(|a| a.turned_away).count();
    assert_eq!(turned_away, 1);
}

/// An answer that had begun before the 503 does not show that the endpoint is available again.
#[tokio::test]
async fn an_answer_begun_before_does_not_end_a_rest() {
    let slow = || Behaviour::Slow(Duration::from_millis(600));
    let (fleet, replicas) = fleet_with(&[slow(), slow()]).await;
    let front = fleet.front;
    let send = |number: usize| {
        let request = post("/once/x", &format!("b{number}"), "");
        tokio::spawn(async move { call(front, &request).await.status })
    };
    let before: Vec<_> = (0..4).map(send).collect();
    replicas[0].wait_for(|replica| !replica.seen().is_empty()).await;
    replicas[0].rest(LONG_REST);
    let after: Vec<_> = (4..8).map(send).collect();
    for answered in before.into_iter().chain(after) {
        assert_eq!(answered.await.unwrap(), 200);
    }
    assert!(replicas[0].arrivals().iter().any(|arrival| arrival.turned_away));
    assert_avoided(&fleet, "/once/x", &replicas[0]).await;
}

#[tokio::test]
async fn a_router_whose_endpoints_all_rest_refuses_at_once_with_retry_after() {
    let (fleet, replicas) = fleet_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    replicas[0].rest(LONG_REST);
    replicas[1].rest(LONG_REST / 3);
    // The first request reaches both endpoints, the others none; all get the same answer.
    for number in 0..REQUESTS {
        let answer = call(fleet.front, &post("/once/x", &format!("r{number}"), "")).await;
        assert_eq!((answer.status, answer.body.as_str()), (503, "endpoints_rest"));
        let seconds: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        // Clocks have millisecond resolution.
        assert!((1.0..=10.001).contains(&seconds), "{seconds} s");
    }
    let reached: Vec<_> = replicas.iter().map(|replica| replica.arrivals().len()).collect();
    assert_eq!(reached, [1, 1]);
}

#[tokio::test]
async fn invalid_and_huge_rest_durations_are_handled() {
    for retry_after in ["-1", "nan", "soon", "", "1, 2", "0x10", "Fri, 31 Dec 1999 23:59:59 GMT"] {
        let (fleet, replicas) = fleet_with(&[Behaviour::Answer]).await;
        replicas[0].rest_with_header(Duration::from_millis(300), retry_after);
        send_until_reached(&fleet, "/once/x", &replicas[0]).await;
        while call(fleet.front, &get("/safe/x", "after")).await.status != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    // A huge duration counts as a rest that lasts until the endpoint restarts.
    for retry_after in ["1e300", "inf", "99999999999999999999999999"] {
        let (fleet, replicas) = fleet_with(&[Behaviour::Answer, Behaviour::Answer]).await;
        replicas[0].rest_with_header(LONG_REST, retry_after);
        send_until_reached(&fleet, "/once/x", &replicas[0]).await;
        assert_avoided(&fleet, "/once/x", &replicas[0]).await;
    }
}

#[tokio::test]
async fn a_notice_ends_when_the_endpoint_restarts() {
    for is_leaving in [true, false] {
        let fleet = Fleet::start().await;
        let replica = Replica::start("i-0", Behaviour::Answer).await;
        let heartbeat = |born: u64| {
            format!(
                r#"{{"service":"app","address":"{}","zone":"a","version":"v1","slots":6,"state":"ready","born":{born},"warmupLeftMs":0,"callSeq":1}}"#,
                replica.address
            )
        };
        assert_eq!(fleet.heartbeat("i-0", &heartbeat(1_000)).await, 200);
        fleet.configure(&configuration(1)).await;
        fleet.wait_ready().await;
        match is_leaving {
            true => replica.set_leaving(true),
            false => replica.rest(LONG_REST),
        }
        send_until_reached(&fleet, "/once/x", &replica).await;
        assert_eq!(call(fleet.front, &post("/once/x", "barred", "")).await.status, 503);
        // It restarts and accepts requests again.
        replica.restart();
        assert_eq!(fleet.heartbeat("i-0", &heartbeat(2_000)).await, 200);
        fleet.settle().await;
        assert_eq!(call(fleet.front, &post("/once/x", "again", "")).await.status, 200);
    }
}

/// A truncated stream is not resumed on an endpoint that is leaving or resting.
#[tokio::test]
async fn a_truncated_stream_is_not_resumed_on_a_leaving_or_resting_endpoint() {
    for is_leaving in [true, false] {
        let breaks = [Behaviour::BreakStream, Behaviour::BreakStream, Behaviour::BreakStream];
        let (fleet, replicas) = fleet_with(&breaks).await;
        match is_leaving {
            true => replicas[0].set_leaving(true),
            false => replicas[0].rest(LONG_REST),
        }
        send_until_reached(&fleet, "/once/x", &replicas[0]).await;
        let before = replicas[0].arrivals().len();
        for number in 0..REQUESTS {
            call(fleet.front, &get("/resumable/x", &format!("s{number}"))).await;
        }
        assert_eq!(replicas[0].arrivals().len(), before);
    }
}

/// A leaving notice that one router received applies to all routers.
#[tokio::test]
async fn all_routers_avoid_an_endpoint_that_announced_its_leaving_to_one() {
    let (mut fleet, replicas) = fleet_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    fleet.start_neighbour().await;
    while call(fleet.neighbour, &get("/safe/x", "up")).await.status != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    replicas[0].set_leaving(true);
    send_until_reached(&fleet, "/once/x", &replicas[0]).await;
    fleet.settle().await;
    // Time for the control host to forward the notice to the other router.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = replicas[0].arrivals().len();
    for number in 0..REQUESTS {
        let answer = call(fleet.neighbour, &post("/once/x", &format!("n{number}"), "")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(replicas[0].arrivals().len(), before);
}

/// Guards against attributing a notice to the wrong start of an endpoint. The endpoint restarts
/// while its registration is delayed, and announces in an answer that it is leaving. The router
/// attributed the notice to the start that it knew and dropped it when it learnt of the new one,
/// so it sent another request (soak test, seed 727, with stalled connections to control hosts).
#[tokio::test]
async fn a_leaving_notice_of_an_unknown_start_applies_once_the_start_is_known() {
    let fleet = Fleet::start().await;
    let replicas = [
        Replica::start("i-0", Behaviour::Answer).await,
        Replica::start("i-1", Behaviour::Answer).await,
    ];
    let heartbeat = |replica: &Replica, born: u64| {
        format!(
            r#"{{"service":"app","address":"{}","zone":"a","version":"v1","slots":6,"state":"ready","born":{born},"warmupLeftMs":0,"callSeq":1}}"#,
            replica.address
        )
    };
    for replica in &replicas {
        assert_eq!(fleet.heartbeat(&replica.id, &heartbeat(replica, 1_000)).await, 200);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_ready().await;
    // It restarts and is leaving before its registration arrives.
    replicas[0].set_leaving(true);
    send_until_reached(&fleet, "/once/x", &replicas[0]).await;
    assert_eq!(fleet.heartbeat("i-0", &heartbeat(&replicas[0], 2_000)).await, 200);
    fleet.settle().await;
    assert_avoided(&fleet, "/once/x", &replicas[0]).await;
}
