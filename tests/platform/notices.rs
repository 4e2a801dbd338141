//! What endpoints say of themselves in their answers: that they leave, and that they want
//! rest.
//!
//! Callers saw nothing; endpoints did. One that had said in its answers that it leaves got
//! requests for ten seconds more, and one that turned requests away and asked for three
//! seconds of rest got three requests from the same router in that time.
//!
//! Order of events, leaving: the control hosts are cut in two; the endpoint tells one half
//! that it leaves; the routers that follow the other half never hear of it, place and send
//! as before, and read its answers, each of which says that it leaves. Rest: the endpoint
//! answers 503 with the time that it wants; the router counts a failure, sends again after
//! its own 0.6 to 2.4 s, and an answer that had begun before the 503 ends even that.
//!
//! Cause: nobody read either header. Evidence: the logs of the control hosts' one half and of
//! its routers name the endpoint as leaving within a millisecond, those of the other half
//! never; and routers log "avoided for 600 ms" where the endpoint had asked for 3 s.

use std::time::Duration;

use crate::fleet::{Fleet, configuration};
use crate::http::call;
use crate::replica::{Behaviour, Replica};
use crate::{fleet_with, get, post};

/// Requests that must all pass an endpoint by. Chosen by chance, one of two is left out so
/// often once in a million times.
pub const REQUESTS: usize = 20;
/// Longer than any test takes to look.
pub const LONG: Duration = Duration::from_secs(30);

/// Sends requests until the replica has had one more.
pub async fn until_reached(fleet: &Fleet, path: &str, replica: &Replica) {
    let before = replica.arrivals().len();
    for number in 0.. {
        call(fleet.front, &post(path, &format!("until-{number}"), "")).await;
        if replica.arrivals().len() > before {
            return;
        }
    }
}

/// Sends requests of which the replica must get none, while others serve them all.
pub async fn is_passed_by(fleet: &Fleet, path: &str, replica: &Replica) {
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
async fn an_endpoint_that_says_in_an_answer_that_it_leaves_gets_nothing_more() {
    let kinds = [
        (Behaviour::Answer, Behaviour::Answer, "/once/x"),
        (Behaviour::Fail, Behaviour::Answer, "/safe/x"),
        (Behaviour::Full, Behaviour::Answer, "/once/x"),
        (stream(), stream(), "/stream/x"),
    ];
    for (leaves, stays, path) in kinds {
        let (fleet, replicas) = fleet_with(&[leaves, stays]).await;
        replicas[0].set_leaving(true);
        until_reached(&fleet, path, &replicas[0]).await;
        is_passed_by(&fleet, path, &replicas[0]).await;
    }
}

#[tokio::test]
async fn an_endpoint_that_leaves_gets_nothing_more_while_no_control_host_is_there() {
    let (mut fleet, replicas) = fleet_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    fleet.kill_control();
    replicas[0].set_leaving(true);
    until_reached(&fleet, "/once/x", &replicas[0]).await;
    is_passed_by(&fleet, "/once/x", &replicas[0]).await;
    // A control host that comes back remembers it as one that takes work.
    fleet.start_control();
    fleet.settle().await;
    is_passed_by(&fleet, "/once/x", &replicas[0]).await;
}

#[tokio::test]
async fn a_router_whose_endpoints_all_leave_refuses_at_once() {
    let (fleet, replicas) = fleet_with(&[Behaviour::Answer]).await;
    replicas[0].set_leaving(true);
    until_reached(&fleet, "/once/x", &replicas[0]).await;
    let before = replicas[0].arrivals().len();
    let answer = call(fleet.front, &post("/once/x", "last", "")).await;
    assert_eq!((answer.status, answer.body.as_str()), (503, "no_endpoint"));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(replicas[0].arrivals().len(), before);
}

#[tokio::test]
async fn an_endpoint_that_asks_for_rest_is_let_rest() {
    let (fleet, replicas) = fleet_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    replicas[0].rest(LONG);
    until_reached(&fleet, "/once/x", &replicas[0]).await;
    is_passed_by(&fleet, "/once/x", &replicas[0]).await;
    // Longer than a failure counts.
    tokio::time::sleep(Duration::from_secs(1)).await;
    is_passed_by(&fleet, "/safe/x", &replicas[0]).await;
}

#[tokio::test]
async fn an_endpoint_gets_its_share_again_after_its_rest() {
    let (fleet, replicas) = fleet_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    replicas[0].rest(Duration::from_secs(1));
    until_reached(&fleet, "/once/x", &replicas[0]).await;
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

/// An answer that had begun before the 503 says nothing of the time after it.
#[tokio::test]
async fn an_answer_begun_before_does_not_end_a_rest() {
    let slow = || Behaviour::Slow(Duration::from_millis(600));
    let (fleet, replicas) = fleet_with(&[slow(), slow()]).await;
    let front = fleet.front;
    let ask = |number: usize| {
        let request = post("/once/x", &format!("b{number}"), "");
        tokio::spawn(async move { call(front, &request).await.status })
    };
    let before: Vec<_> = (0..4).map(ask).collect();
    replicas[0].wait_for(|replica| !replica.seen().is_empty()).await;
    replicas[0].rest(LONG);
    let after: Vec<_> = (4..8).map(ask).collect();
    for answered in before.into_iter().chain(after) {
        assert_eq!(answered.await.unwrap(), 200);
    }
    assert!(replicas[0].arrivals().iter().any(|arrival| arrival.turned_away));
    is_passed_by(&fleet, "/once/x", &replicas[0]).await;
}

#[tokio::test]
async fn a_router_whose_endpoints_all_rest_says_at_once_when_to_come_back() {
    let (fleet, replicas) = fleet_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    replicas[0].rest(LONG);
    replicas[1].rest(LONG / 3);
    // The first one meets both and is told as well as those that meet none.
    for number in 0..REQUESTS {
        let answer = call(fleet.front, &post("/once/x", &format!("r{number}"), "")).await;
        assert_eq!((answer.status, answer.body.as_str()), (503, "endpoints_rest"));
        let seconds: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        // Clocks show whole milliseconds.
        assert!((1.0..=10.001).contains(&seconds), "{seconds} s");
    }
    let reached: Vec<_> = replicas.iter().map(|replica| replica.arrivals().len()).collect();
    assert_eq!(reached, [1, 1]);
}

#[tokio::test]
async fn absurd_times_of_rest_are_survived() {
    for says in ["-1", "nan", "soon", "", "1, 2", "0x10", "Fri, 31 Dec 1999 23:59:59 GMT"] {
        let (fleet, replicas) = fleet_with(&[Behaviour::Answer]).await;
        replicas[0].rest_saying(Duration::from_millis(300), says);
        until_reached(&fleet, "/once/x", &replicas[0]).await;
        while call(fleet.front, &get("/safe/x", "after")).await.status != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    // What would never end in the caller's eyes ends with the endpoint's start.
    for says in ["1e300", "inf", "99999999999999999999999999"] {
        let (fleet, replicas) = fleet_with(&[Behaviour::Answer, Behaviour::Answer]).await;
        replicas[0].rest_saying(LONG, says);
        until_reached(&fleet, "/once/x", &replicas[0]).await;
        is_passed_by(&fleet, "/once/x", &replicas[0]).await;
    }
}

#[tokio::test]
async fn what_an_endpoint_said_ends_with_its_start() {
    for leaves in [true, false] {
        let fleet = Fleet::start().await;
        let replica = Replica::start("i-0", Behaviour::Answer).await;
        let beat = |born: u64| {
            format!(
                r#"{{"service":"app","address":"{}","zone":"a","version":"v1","slots":6,"state":"ready","born":{born},"warmupLeftMs":0,"callSeq":1}}"#,
                replica.address
            )
        };
        assert_eq!(fleet.heartbeat("i-0", &beat(1_000)).await, 200);
        fleet.configure(&configuration(1)).await;
        fleet.wait_ready().await;
        match leaves {
            true => replica.set_leaving(true),
            false => replica.rest(LONG),
        }
        until_reached(&fleet, "/once/x", &replica).await;
        assert_eq!(call(fleet.front, &post("/once/x", "barred", "")).await.status, 503);
        // It starts again, and takes work.
        replica.restart();
        assert_eq!(fleet.heartbeat("i-0", &beat(2_000)).await, 200);
        fleet.settle().await;
        assert_eq!(call(fleet.front, &post("/once/x", "again", "")).await.status, 200);
    }
}

/// A stream that breaks off does not go on at an endpoint that leaves or rests.
#[tokio::test]
async fn a_broken_stream_passes_by_who_leaves_or_rests() {
    for leaves in [true, false] {
        let breaks = [Behaviour::BreakStream, Behaviour::BreakStream, Behaviour::BreakStream];
        let (fleet, replicas) = fleet_with(&breaks).await;
        match leaves {
            true => replicas[0].set_leaving(true),
            false => replicas[0].rest(LONG),
        }
        until_reached(&fleet, "/once/x", &replicas[0]).await;
        let before = replicas[0].arrivals().len();
        for number in 0..REQUESTS {
            call(fleet.front, &get("/resumable/x", &format!("s{number}"))).await;
        }
        assert_eq!(replicas[0].arrivals().len(), before);
    }
}

/// What one router was told of an endpoint that leaves holds for all.
#[tokio::test]
async fn every_router_passes_by_an_endpoint_that_told_one_that_it_leaves() {
    let (mut fleet, replicas) = fleet_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    fleet.start_neighbour().await;
    while call(fleet.neighbour, &get("/safe/x", "up")).await.status != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    replicas[0].set_leaving(true);
    until_reached(&fleet, "/once/x", &replicas[0]).await;
    fleet.settle().await;
    // The other router follows the same control host.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = replicas[0].arrivals().len();
    for number in 0..REQUESTS {
        let answer = call(fleet.neighbour, &post("/once/x", &format!("n{number}"), "")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(replicas[0].arrivals().len(), before);
}

/// An endpoint that started again while nobody could hear it says in an answer that it leaves;
/// the router takes that for the word of the start that it knows, and forgets it with that
/// start.
///
/// Seen in the soak (seed 727): connections to control hosts silent and held up, the endpoint
/// leaves in its next start, and the router sends to it again once it learns of that start. Its
/// log has "says in an answer that it leaves" twice for one start of the endpoint, with the
/// news of the start in between.
#[tokio::test]
async fn what_an_unknown_start_says_holds_when_the_start_becomes_known() {
    let fleet = Fleet::start().await;
    let replicas = [
        Replica::start("i-0", Behaviour::Answer).await,
        Replica::start("i-1", Behaviour::Answer).await,
    ];
    let beat = |replica: &Replica, born: u64| {
        format!(
            r#"{{"service":"app","address":"{}","zone":"a","version":"v1","slots":6,"state":"ready","born":{born},"warmupLeftMs":0,"callSeq":1}}"#,
            replica.address
        )
    };
    for replica in &replicas {
        assert_eq!(fleet.heartbeat(&replica.id, &beat(replica, 1_000)).await, 200);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_ready().await;
    // It has started again, and leaves, before its registration is heard.
    replicas[0].set_leaving(true);
    until_reached(&fleet, "/once/x", &replicas[0]).await;
    assert_eq!(fleet.heartbeat("i-0", &beat(&replicas[0], 2_000)).await, 200);
    fleet.settle().await;
    is_passed_by(&fleet, "/once/x", &replicas[0]).await;
}
