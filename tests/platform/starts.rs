//! Notices in answers when the router does not know which start of an endpoint answered.
//!
//! Guards against attributing a notice to the wrong start. The registration of a later start is
//! delayed, so the router sends to the address of the start that it knows, and the later one
//! answers with a notice (leaving, or a requested rest). The router attributed the notice to the
//! earlier start and dropped it when the later one became known, so the endpoint got another
//! request from a router that had already forwarded its notice. Seen twice in the soak test.

use std::time::Duration;

use crate::fleet::{Fleet, configuration};
use crate::handover::hand_over_all;
use crate::http::call;
use crate::notices::{LONG_REST, REQUESTS, assert_avoided, send_until_reached};
use crate::replica::{Behaviour, Replica};
use crate::{get, post};

/// Answer time of a slow replica: long enough for a test's steps while the answer is pending.
const SLOW: Duration = Duration::from_millis(800);
/// Long enough for a start to be checked during it.
const SHORT_REST: Duration = Duration::from_secs(2);
/// Health checks that a router sent to learn whether a notice applies to a new start.
const START_CHECKS_METRIC: &str =
    r#"bramblecrank_gateway_start_checks_total{outcome="answered",service="app"}"#;

/// Notice of an endpoint that accepts no new requests.
#[derive(Clone, Copy, Debug)]
enum Notice {
    Leaving,
    Rest,
}

const NOTICES: [Notice; 2] = [Notice::Leaving, Notice::Rest];

impl Notice {
    fn set_at(self, replica: &Replica) {
        match self {
            Notice::Leaving => replica.set_leaving(true),
            Notice::Rest => replica.rest(LONG_REST),
        }
    }
}

/// Sends a heartbeat of the replica's start at `born`, with this sequence number.
async fn send_heartbeat(fleet: &Fleet, replica: &Replica, born: u64, number: u64) {
    let body = format!(
        r#"{{"service":"app","address":"{}","zone":"a","version":"v1","slots":6,"state":"ready","born":{born},"warmupLeftMs":0,"callSeq":{number}}}"#,
        replica.address
    );
    assert_eq!(fleet.heartbeat(&replica.id, &body).await, 200);
}

/// Registers a start of the replica.
async fn register_start(fleet: &Fleet, replica: &Replica, born: u64) {
    send_heartbeat(fleet, replica, born, 1).await;
}

/// Starts a fleet with these replicas, all of which started at 1,000 ms.
async fn fleet_of(behaviours: &[Behaviour]) -> (Fleet, Vec<Replica>) {
    let fleet = Fleet::start().await;
    let mut replicas = Vec::new();
    for (number, behaviour) in behaviours.iter().enumerate() {
        let replica = Replica::start(&format!("i-{number}"), behaviour.clone()).await;
        register_start(&fleet, &replica, 1_000).await;
        replicas.push(replica);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_ready().await;
    (fleet, replicas)
}

async fn fleet_of_two() -> (Fleet, Vec<Replica>) {
    fleet_of(&[Behaviour::Answer, Behaviour::Answer]).await
}

/// Sends requests until one reaches the replica, which must happen within five seconds.
async fn assert_used(fleet: &Fleet, replica: &Replica) {
    let used = send_until_reached(fleet, "/once/x", replica);
    tokio::time::timeout(Duration::from_secs(5), used)
        .await
        .expect("it accepts requests but gets none");
}

#[tokio::test]
async fn a_rest_requested_by_an_unknown_start_applies_once_the_start_is_known() {
    let (fleet, replicas) = fleet_of_two().await;
    replicas[0].rest(LONG_REST);
    send_until_reached(&fleet, "/once/x", &replicas[0]).await;
    register_start(&fleet, &replicas[0], 2_000).await;
    fleet.settle().await;
    assert_avoided(&fleet, "/once/x", &replicas[0]).await;
}

/// The start requests a long rest before it is known, and a shorter one from then on.
#[tokio::test]
async fn a_shorter_rest_does_not_end_the_one_that_a_start_requested_before_it_was_known() {
    let (fleet, replicas) = fleet_of_two().await;
    replicas[0].rest(LONG_REST);
    send_until_reached(&fleet, "/once/x", &replicas[0]).await;
    replicas[0].rest(SHORT_REST);
    register_start(&fleet, &replicas[0], 2_000).await;
    while fleet.metric(START_CHECKS_METRIC).await == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(SHORT_REST).await;
    assert_avoided(&fleet, "/once/x", &replicas[0]).await;
}

/// The previous start was leaving or resting; its notice must not apply to the next one.
#[tokio::test]
async fn an_available_start_is_used_after_one_with_a_notice() {
    for notice in NOTICES {
        let (fleet, replicas) = fleet_of_two().await;
        notice.set_at(&replicas[0]);
        send_until_reached(&fleet, "/once/x", &replicas[0]).await;
        replicas[0].restart();
        register_start(&fleet, &replicas[0], 2_000).await;
        assert_used(&fleet, &replicas[0]).await;
        assert_eq!(fleet.metric(START_CHECKS_METRIC).await, 1);
    }
}

#[tokio::test]
async fn notices_apply_to_the_right_one_of_several_starts() {
    for notice in NOTICES {
        let (fleet, replicas) = fleet_of_two().await;
        notice.set_at(&replicas[0]);
        send_until_reached(&fleet, "/once/x", &replicas[0]).await;
        // Registrations of the starts in between arrive late, one after the other.
        for born in [2_000, 3_000, 4_000] {
            register_start(&fleet, &replicas[0], born).await;
            fleet.settle().await;
            assert_avoided(&fleet, "/once/x", &replicas[0]).await;
        }
        replicas[0].restart();
        register_start(&fleet, &replicas[0], 5_000).await;
        assert_used(&fleet, &replicas[0]).await;
        notice.set_at(&replicas[0]);
        send_until_reached(&fleet, "/once/x", &replicas[0]).await;
        assert_avoided(&fleet, "/once/x", &replicas[0]).await;
    }
}

/// The later start becomes known while its answer is pending.
#[tokio::test]
async fn a_notice_of_a_start_that_became_known_meanwhile_applies() {
    for notice in NOTICES {
        let slow = || Behaviour::Slow(SLOW);
        let (fleet, replicas) = fleet_of(&[slow(), slow()]).await;
        let front = fleet.front;
        let send = |number: usize| {
            let request = get("/safe/x", &format!("b{number}"));
            tokio::spawn(async move { call(front, &request).await.status })
        };
        let pending: Vec<_> = (0..4).map(send).collect();
        replicas[0].wait_for(|replica| !replica.seen().is_empty()).await;
        register_start(&fleet, &replicas[0], 2_000).await;
        fleet.settle().await;
        notice.set_at(&replicas[0]);
        for answered in pending {
            answered.await.unwrap();
        }
        if matches!(notice, Notice::Rest) {
            // Only refused requests carry the notice of a rest.
            send_until_reached(&fleet, "/once/x", &replicas[0]).await;
        }
        assert_avoided(&fleet, "/once/x", &replicas[0]).await;
    }
}

/// An answer from another address than the start's own does not come from that start.
#[tokio::test]
async fn a_late_notice_of_a_previous_start_does_not_apply_to_one_at_another_address() {
    let (fleet, replicas) = fleet_of(&[Behaviour::Slow(SLOW), Behaviour::Answer]).await;
    let front = fleet.front;
    let mut pending = Vec::new();
    while replicas[0].seen().is_empty() {
        let request = get("/safe/x", &format!("b{}", pending.len()));
        pending.push(tokio::spawn(async move { call(front, &request).await.status }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let elsewhere = Replica::start("i-0", Behaviour::Answer).await;
    register_start(&fleet, &elsewhere, 2_000).await;
    fleet.settle().await;
    replicas[0].set_leaving(true);
    for answered in pending {
        assert_eq!(answered.await.unwrap(), 200);
    }
    assert_used(&fleet, &elsewhere).await;
    assert_eq!(elsewhere.checks(), 0, "no health check was needed");
}

/// Clocks of endpoints and routers may differ by half a minute, in either direction.
#[tokio::test]
async fn notices_apply_regardless_of_clock_skew() {
    for skew_ms in [-30_000, 0, 30_000] {
        let (fleet, replicas) = fleet_of_two().await;
        let epoch = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap().as_millis() as i64;
        let born = (epoch + skew_ms) as u64;
        replicas[0].set_leaving(true);
        send_until_reached(&fleet, "/once/x", &replicas[0]).await;
        register_start(&fleet, &replicas[0], born).await;
        fleet.settle().await;
        assert_avoided(&fleet, "/once/x", &replicas[0]).await;
        replicas[0].restart();
        register_start(&fleet, &replicas[0], born + 1).await;
        assert_used(&fleet, &replicas[0]).await;
    }
}

#[tokio::test]
async fn a_notice_of_an_unknown_start_survives_a_restart_of_the_control_host() {
    for notice in NOTICES {
        let (mut fleet, replicas) = fleet_of_two().await;
        notice.set_at(&replicas[0]);
        send_until_reached(&fleet, "/once/x", &replicas[0]).await;
        fleet.kill_control();
        fleet.start_control();
        register_start(&fleet, &replicas[0], 2_000).await;
        fleet.settle().await;
        assert_avoided(&fleet, "/once/x", &replicas[0]).await;
    }
}

/// The router that sent the health check reports its result to the control hosts, which forward
/// it to all routers.
#[tokio::test]
async fn a_router_that_received_no_notice_learns_of_it() {
    let (mut fleet, replicas) = fleet_of_two().await;
    fleet.start_neighbour().await;
    while call(fleet.neighbour, &get("/safe/x", "up")).await.status != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    replicas[0].set_leaving(true);
    send_until_reached(&fleet, "/once/x", &replicas[0]).await;
    register_start(&fleet, &replicas[0], 2_000).await;
    fleet.settle().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = replicas[0].arrivals().len();
    for number in 0..REQUESTS {
        let answer = call(fleet.neighbour, &post("/once/x", &format!("n{number}"), "")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(replicas[0].arrivals().len(), before);
}

/// An unanswered health check decides nothing; it is repeated until one is answered.
#[tokio::test]
async fn a_start_gets_no_requests_until_it_answers_a_health_check() {
    let (fleet, replicas) = fleet_of_two().await;
    replicas[0].set_leaving(true);
    send_until_reached(&fleet, "/once/x", &replicas[0]).await;
    replicas[0].hold_checks(true);
    replicas[0].restart();
    register_start(&fleet, &replicas[0], 2_000).await;
    fleet.settle().await;
    assert_avoided(&fleet, "/once/x", &replicas[0]).await;
    replicas[0].hold_checks(false);
    assert_used(&fleet, &replicas[0]).await;
}

/// A router that hands requests over forwards their answers, and must read the notices.
#[tokio::test]
async fn a_router_that_hands_over_learns_of_a_notice_of_an_unknown_start() {
    let (mut fleet, replicas) = fleet_of_two().await;
    hand_over_all(&mut fleet).await;
    replicas[0].set_leaving(true);
    send_until_reached(&fleet, "/once/x", &replicas[0]).await;
    // Meanwhile it requests the list of leaving endpoints from the other router.
    assert_avoided(&fleet, "/once/x", &replicas[0]).await;
    // From here on it serves by itself, and no other router can report the notice.
    fleet.kill_neighbour();
    register_start(&fleet, &replicas[0], 2_000).await;
    fleet.settle().await;
    assert_avoided(&fleet, "/once/x", &replicas[0]).await;
}

/// A deregistration does not name the start that ends. Guards against a late one of an earlier
/// start: it was applied to the current start, which then got no more requests.
#[tokio::test]
async fn a_start_that_keeps_sending_heartbeats_after_a_late_deregistration_is_used() {
    let (fleet, replicas) = fleet_of_two().await;
    register_start(&fleet, &replicas[0], 2_000).await;
    fleet.deregister(&replicas[0]).await;
    // These heartbeats may have been sent before the deregistration.
    for number in 2..6 {
        send_heartbeat(&fleet, &replicas[0], 2_000, number).await;
    }
    fleet.settle().await;
    assert_avoided(&fleet, "/once/x", &replicas[0]).await;
    send_heartbeat(&fleet, &replicas[0], 2_000, 6).await;
    assert_used(&fleet, &replicas[0]).await;
}

#[tokio::test]
async fn a_deregistered_endpoint_that_still_sends_heartbeats_gets_no_requests() {
    let (fleet, replicas) = fleet_of_two().await;
    replicas[0].set_leaving(true);
    fleet.deregister(&replicas[0]).await;
    for number in 2..20 {
        send_heartbeat(&fleet, &replicas[0], 1_000, number).await;
        fleet.settle().await;
        let before = replicas[0].arrivals().len();
        assert_eq!(call(fleet.front, &post("/once/x", "one", "")).await.status, 200);
        assert_eq!(replicas[0].arrivals().len(), before);
    }
}

/// A control host that has just started knows no start of the endpoint that deregisters. It used
/// its own clock to decide which starts had ended, so a fast clock barred the next start.
#[tokio::test]
async fn a_start_that_keeps_sending_heartbeats_after_an_unknown_endpoints_deregistration_is_used() {
    let (fleet, _replicas) = fleet_of_two().await;
    let again = Replica::start("i-again", Behaviour::Answer).await;
    fleet.deregister(&again).await;
    let epoch = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
    for born in [epoch - 30_000, epoch + 20_000] {
        for number in 1..=5 {
            send_heartbeat(&fleet, &again, born, number).await;
        }
        assert_used(&fleet, &again).await;
        fleet.deregister(&again).await;
    }
}
