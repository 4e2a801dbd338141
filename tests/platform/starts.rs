//! Which start of an endpoint an answer came from, where the router cannot know.
//!
//! Callers saw nothing; endpoints did. One that had started again, and had said in an answer
//! that it leaves or wants rest, got a request more from the router that had passed that
//! answer on.
//!
//! Order of events: news of the later start is held up; the router sends to the address of the
//! start that it knows, and the later one answers. What it says is booked to the earlier start
//! and forgotten with it when the later one becomes known.
//!
//! Evidence: the routers' logs of two plays of the soak show the notice twice, with the news of
//! the later start in between.

use std::time::Duration;

use crate::fleet::{Fleet, configuration};
use crate::http::call;
use crate::notices::{LONG, REQUESTS, is_passed_by, until_reached};
use crate::replica::{Behaviour, Replica};
use crate::{get, post};

/// Longer than a test takes to go on while an answer is under way.
const SLOW: Duration = Duration::from_millis(800);
const CHECKS: &str = r#"bramblecrank_gateway_start_checks_total{outcome="answered",service="app"}"#;

/// What an endpoint that wants no work says.
#[derive(Clone, Copy, Debug)]
enum Wants {
    ToLeave,
    ToRest,
}

const BOTH: [Wants; 2] = [Wants::ToLeave, Wants::ToRest];

impl Wants {
    fn say_at(self, replica: &Replica) {
        match self {
            Wants::ToLeave => replica.set_leaving(true),
            Wants::ToRest => replica.rest(LONG),
        }
    }
}

/// The start of a replica at `born` calls, with this number.
async fn calls(fleet: &Fleet, replica: &Replica, born: u64, number: u64) {
    let said = format!(
        r#"{{"service":"app","address":"{}","zone":"a","version":"v1","slots":6,"state":"ready","born":{born},"warmupLeftMs":0,"callSeq":{number}}}"#,
        replica.address
    );
    assert_eq!(fleet.heartbeat(&replica.id, &said).await, 200);
}

async fn started(fleet: &Fleet, replica: &Replica, born: u64) {
    calls(fleet, replica, born, 1).await;
}

/// A fleet with these replicas, all of which started at 1,000 ms.
async fn fleet_of(behaviours: &[Behaviour]) -> (Fleet, Vec<Replica>) {
    let fleet = Fleet::start().await;
    let mut replicas = Vec::new();
    for (number, behaviour) in behaviours.iter().enumerate() {
        let replica = Replica::start(&format!("i-{number}"), behaviour.clone()).await;
        started(&fleet, &replica, 1_000).await;
        replicas.push(replica);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_ready().await;
    (fleet, replicas)
}

async fn fleet_of_two() -> (Fleet, Vec<Replica>) {
    fleet_of(&[Behaviour::Answer, Behaviour::Answer]).await
}

/// Waits until requests reach the replica, which must come about within seconds.
async fn is_used(fleet: &Fleet, replica: &Replica) {
    let used = until_reached(fleet, "/once/x", replica);
    tokio::time::timeout(Duration::from_secs(5), used).await.expect("it takes work, and gets none");
}

#[tokio::test]
async fn a_rest_that_an_unknown_start_asked_for_holds_when_the_start_becomes_known() {
    let (fleet, replicas) = fleet_of_two().await;
    replicas[0].rest(LONG);
    until_reached(&fleet, "/once/x", &replicas[0]).await;
    started(&fleet, &replicas[0], 2_000).await;
    fleet.settle().await;
    is_passed_by(&fleet, "/once/x", &replicas[0]).await;
}

/// The start before left or rested; its word must not bar the next one.
#[tokio::test]
async fn a_start_that_takes_work_is_used_though_the_one_before_wanted_none() {
    for wants in BOTH {
        let (fleet, replicas) = fleet_of_two().await;
        wants.say_at(&replicas[0]);
        until_reached(&fleet, "/once/x", &replicas[0]).await;
        replicas[0].restart();
        started(&fleet, &replicas[0], 2_000).await;
        is_used(&fleet, &replicas[0]).await;
        assert_eq!(fleet.metric(CHECKS).await, 1);
    }
}

#[tokio::test]
async fn each_of_several_starts_in_a_row_speaks_for_itself() {
    for wants in BOTH {
        let (fleet, replicas) = fleet_of_two().await;
        wants.say_at(&replicas[0]);
        until_reached(&fleet, "/once/x", &replicas[0]).await;
        // News of the starts in between come late, and one after the other.
        for born in [2_000, 3_000, 4_000] {
            started(&fleet, &replicas[0], born).await;
            fleet.settle().await;
            is_passed_by(&fleet, "/once/x", &replicas[0]).await;
        }
        replicas[0].restart();
        started(&fleet, &replicas[0], 5_000).await;
        is_used(&fleet, &replicas[0]).await;
        wants.say_at(&replicas[0]);
        until_reached(&fleet, "/once/x", &replicas[0]).await;
        is_passed_by(&fleet, "/once/x", &replicas[0]).await;
    }
}

/// The later start becomes known while its answer is under way.
#[tokio::test]
async fn what_a_start_says_that_became_known_meanwhile_holds() {
    for wants in BOTH {
        let slow = || Behaviour::Slow(SLOW);
        let (fleet, replicas) = fleet_of(&[slow(), slow()]).await;
        let front = fleet.front;
        let ask = |number: usize| {
            let request = get("/safe/x", &format!("b{number}"));
            tokio::spawn(async move { call(front, &request).await.status })
        };
        let under_way: Vec<_> = (0..4).map(ask).collect();
        replicas[0].wait_for(|replica| !replica.seen().is_empty()).await;
        started(&fleet, &replicas[0], 2_000).await;
        fleet.settle().await;
        wants.say_at(&replicas[0]);
        for answered in under_way {
            answered.await.unwrap();
        }
        if matches!(wants, Wants::ToRest) {
            // Whom it turns away it asks for rest.
            until_reached(&fleet, "/once/x", &replicas[0]).await;
        }
        is_passed_by(&fleet, "/once/x", &replicas[0]).await;
    }
}

/// An answer from another address than that of the start is not the start's.
#[tokio::test]
async fn a_late_answer_of_the_start_before_says_nothing_of_one_that_listens_elsewhere() {
    let (fleet, replicas) = fleet_of(&[Behaviour::Slow(SLOW), Behaviour::Answer]).await;
    let front = fleet.front;
    let mut under_way = Vec::new();
    while replicas[0].seen().is_empty() {
        let request = get("/safe/x", &format!("b{}", under_way.len()));
        under_way.push(tokio::spawn(async move { call(front, &request).await.status }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let elsewhere = Replica::start("i-0", Behaviour::Answer).await;
    started(&fleet, &elsewhere, 2_000).await;
    fleet.settle().await;
    replicas[0].set_leaving(true);
    for answered in under_way {
        assert_eq!(answered.await.unwrap(), 200);
    }
    is_used(&fleet, &elsewhere).await;
    assert_eq!(elsewhere.checks(), 0, "there was nothing to ask");
}

/// Clocks of endpoints and routers differ by half a minute, either way.
#[tokio::test]
async fn no_start_is_judged_by_the_time_of_day() {
    for skew_ms in [-30_000, 0, 30_000] {
        let (fleet, replicas) = fleet_of_two().await;
        let epoch = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap().as_millis() as i64;
        let born = (epoch + skew_ms) as u64;
        replicas[0].set_leaving(true);
        until_reached(&fleet, "/once/x", &replicas[0]).await;
        started(&fleet, &replicas[0], born).await;
        fleet.settle().await;
        is_passed_by(&fleet, "/once/x", &replicas[0]).await;
        replicas[0].restart();
        started(&fleet, &replicas[0], born + 1).await;
        is_used(&fleet, &replicas[0]).await;
    }
}

#[tokio::test]
async fn what_an_unknown_start_says_outlives_a_restart_of_the_control_host() {
    for wants in BOTH {
        let (mut fleet, replicas) = fleet_of_two().await;
        wants.say_at(&replicas[0]);
        until_reached(&fleet, "/once/x", &replicas[0]).await;
        fleet.kill_control();
        fleet.start_control();
        started(&fleet, &replicas[0], 2_000).await;
        fleet.settle().await;
        is_passed_by(&fleet, "/once/x", &replicas[0]).await;
    }
}

/// The router that asked tells the control hosts, and they tell all routers.
#[tokio::test]
async fn a_router_that_heard_nothing_learns_what_the_start_says() {
    let (mut fleet, replicas) = fleet_of_two().await;
    fleet.start_neighbour().await;
    while call(fleet.neighbour, &get("/safe/x", "up")).await.status != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    replicas[0].set_leaving(true);
    until_reached(&fleet, "/once/x", &replicas[0]).await;
    started(&fleet, &replicas[0], 2_000).await;
    fleet.settle().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = replicas[0].arrivals().len();
    for number in 0..REQUESTS {
        let answer = call(fleet.neighbour, &post("/once/x", &format!("n{number}"), "")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(replicas[0].arrivals().len(), before);
}

/// A check that gets no answer says nothing, and the next one settles it.
#[tokio::test]
async fn a_start_that_answers_no_check_gets_no_work_until_it_does() {
    let (fleet, replicas) = fleet_of_two().await;
    replicas[0].set_leaving(true);
    until_reached(&fleet, "/once/x", &replicas[0]).await;
    replicas[0].hold_checks(true);
    replicas[0].restart();
    started(&fleet, &replicas[0], 2_000).await;
    fleet.settle().await;
    is_passed_by(&fleet, "/once/x", &replicas[0]).await;
    replicas[0].hold_checks(false);
    is_used(&fleet, &replicas[0]).await;
}

/// A router that hands requests over passes the answers on as well.
#[tokio::test]
async fn a_router_that_hands_over_learns_what_an_unknown_start_said() {
    let (mut fleet, replicas) = fleet_of_two().await;
    fleet.start_neighbour().await;
    fleet.restart_router_handing_over().await;
    let taken = r#"bramblecrank_gateway_handed_over_total{answer="taken"}"#;
    while fleet.metric(taken).await == 0 {
        call(fleet.front, &get("/safe/x", "before")).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    replicas[0].set_leaving(true);
    until_reached(&fleet, "/once/x", &replicas[0]).await;
    // It asks the other router beside its requests.
    is_passed_by(&fleet, "/once/x", &replicas[0]).await;
    // It serves by itself from here on, and nobody else can tell it.
    fleet.kill_neighbour();
    started(&fleet, &replicas[0], 2_000).await;
    fleet.settle().await;
    is_passed_by(&fleet, "/once/x", &replicas[0]).await;
}

/// An end names no start. That of the start before came late and was taken for the end of the
/// one that was known, which got no work any more for as long as it lived.
#[tokio::test]
async fn a_start_that_calls_on_after_the_end_of_the_one_before_is_used() {
    let (fleet, replicas) = fleet_of_two().await;
    started(&fleet, &replicas[0], 2_000).await;
    fleet.deregister(&replicas[0]).await;
    // These may have been under way since before the end.
    for number in 2..6 {
        calls(&fleet, &replicas[0], 2_000, number).await;
    }
    fleet.settle().await;
    is_passed_by(&fleet, "/once/x", &replicas[0]).await;
    calls(&fleet, &replicas[0], 2_000, 6).await;
    is_used(&fleet, &replicas[0]).await;
}

#[tokio::test]
async fn an_endpoint_that_ends_and_calls_on_while_it_finishes_gets_nothing() {
    let (fleet, replicas) = fleet_of_two().await;
    replicas[0].set_leaving(true);
    fleet.deregister(&replicas[0]).await;
    for number in 2..20 {
        calls(&fleet, &replicas[0], 1_000, number).await;
        fleet.settle().await;
        let before = replicas[0].arrivals().len();
        assert_eq!(call(fleet.front, &post("/once/x", "one", "")).await.status, 200);
        assert_eq!(replicas[0].arrivals().len(), before);
    }
}

/// A control host that has just started knows no start of the endpoint that ends. Its time of
/// day said which starts were meant, so that one that ran ahead barred the next start.
#[tokio::test]
async fn a_start_that_calls_on_after_an_unknown_endpoints_end_is_used() {
    let (fleet, _replicas) = fleet_of_two().await;
    let again = Replica::start("i-again", Behaviour::Answer).await;
    fleet.deregister(&again).await;
    let epoch = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
    for born in [epoch - 30_000, epoch + 20_000] {
        for number in 1..=5 {
            calls(&fleet, &again, born, number).await;
        }
        is_used(&fleet, &again).await;
        fleet.deregister(&again).await;
    }
}
