//! End-to-end tests of the real binaries on the users' platform. Emulated replicas, operators
//! and clients talk to them in the platform's published protocol.

#[path = "platform/control_stop.rs"]
mod control_stop;
#[path = "platform/crashes.rs"]
mod crashes;
#[path = "platform/crashing_parts.rs"]
mod crashing_parts;
#[path = "platform/crashing_replicas.rs"]
mod crashing_replicas;
#[path = "platform/cut_heads.rs"]
mod cut_heads;
#[path = "platform/drain.rs"]
mod drain;
#[path = "platform/endings.rs"]
mod endings;
#[path = "platform/endless.rs"]
mod endless;
#[path = "platform/endless_replica.rs"]
mod endless_replica;
// Shared with the tests of crowds, which use more of it.
#[allow(dead_code)]
#[path = "platform/fleet.rs"]
mod fleet;
#[path = "platform/halls.rs"]
mod halls;
#[path = "platform/handover.rs"]
mod handover;
// Shared with the soak test, which uses more of it.
#[allow(dead_code)]
#[path = "platform/http.rs"]
mod http;
#[path = "platform/large_configurations.rs"]
mod large_configurations;
#[path = "platform/late_heartbeats.rs"]
mod late_heartbeats;
#[path = "platform/late_in_stop.rs"]
mod late_in_stop;
#[path = "platform/notices.rs"]
mod notices;
#[path = "platform/planned_stop.rs"]
mod planned_stop;
#[path = "platform/regions.rs"]
mod regions;
#[path = "platform/registrations.rs"]
mod registrations;
#[path = "platform/releases.rs"]
mod releases;
#[path = "platform/replaced_software.rs"]
mod replaced_software;
// Shared with the soak test, which uses more of it.
#[allow(dead_code)]
#[path = "platform/replica.rs"]
mod replica;
#[path = "platform/resumption.rs"]
mod resumption;
#[path = "platform/resumption_after_loss.rs"]
mod resumption_after_loss;
#[path = "platform/resumption_out_of_step.rs"]
mod resumption_out_of_step;
#[path = "platform/rollouts.rs"]
mod rollouts;
// Shared with the soak test.
#[allow(dead_code)]
#[path = "platform/shapes.rs"]
mod shapes;
#[path = "platform/silence.rs"]
mod silence;
#[path = "platform/starts.rs"]
mod starts;
#[path = "platform/statuses.rs"]
mod statuses;
#[path = "platform/surplus.rs"]
mod surplus;
#[path = "platform/tenants.rs"]
mod tenants;

use std::time::Duration;

use fleet::{Fleet, configuration};
use http::{call, open};
use replica::{Behaviour, Replica};

fn get(path: &str, id: &str) -> String {
    request("GET", path, id, "Api-Key: key-one\r\n", "")
}

fn post(path: &str, id: &str, body: &str) -> String {
    request("POST", path, id, "Api-Key: key-one\r\n", body)
}

fn request(method: &str, path: &str, id: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nBramblecrank-Attempt-Id: {id}\r\n\
         Bramblecrank-Deadline-Ms: 3000\r\nBramblecrank-Tenant: forged\r\n{headers}\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

async fn fleet_with(behaviours: &[Behaviour]) -> (Fleet, Vec<Replica>) {
    let fleet = Fleet::start().await;
    let mut replicas = Vec::new();
    for (number, behaviour) in behaviours.iter().enumerate() {
        let replica = Replica::start(&format!("i-{number}"), behaviour.clone()).await;
        fleet.register(&replica, "ready", 1).await;
        replicas.push(replica);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_ready().await;
    (fleet, replicas)
}

#[tokio::test]
async fn a_request_reaches_a_replica_unchanged() {
    let (fleet, replicas) = fleet_with(&[Behaviour::Answer]).await;
    let answer = call(fleet.front, &post("/once/a%20b?q=1", "r1", "the body")).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "answer to r1");
    assert_eq!(answer.header("bramblecrank-replica-seal"), Some("seal-i-0"));
    let seen = replicas[0].seen().remove(0);
    assert_eq!((seen.method.as_str(), seen.path.as_str()), ("POST", "/once/a%20b?q=1"));
    assert_eq!(seen.body, "the body");
    assert_eq!(seen.header("bramblecrank-tenant"), Some("one"));
    assert_eq!(seen.header("bramblecrank-expect-replica"), Some("i-0"));
    assert_eq!(seen.header("api-key"), None);
    let left: u64 = seen.header("bramblecrank-deadline-ms").unwrap().parse().unwrap();
    assert!(left <= 2_000, "the route's timeout bounds the deadline, not {left}");
}

#[tokio::test]
async fn a_stream_arrives_complete_and_in_order() {
    let behaviour = Behaviour::Stream { events: 5, pause: Duration::from_millis(2) };
    let (fleet, _replicas) = fleet_with(&[behaviour]).await;
    for id in ["s1", "s2"] {
        let answer = call(fleet.front, &post("/stream/x", id, "")).await;
        assert_eq!((answer.status, answer.complete), (200, true));
        let events: String = (1..=5).map(|n| format!("id: {n}\ndata: x\n\n")).collect();
        assert_eq!(answer.body, events);
    }
}

#[tokio::test]
async fn bad_requests_get_the_matching_status() {
    let (fleet, replicas) = fleet_with(&[Behaviour::Answer]).await;
    let status = async |text: &str| call(fleet.front, text).await.status;
    assert_eq!(status(&get("/nowhere/", "r1")).await, 404);
    assert_eq!(status(&request("GET", "/safe/x", "r2", "Api-Key: wrong\r\n", "")).await, 401);
    assert_eq!(status(&request("GET", "/safe/x", "r3", "", "")).await, 401);
    assert_eq!(status(&request("GET", "/public/x", "r4", "", "")).await, 200);
    let large = "x".repeat(5_000);
    assert_eq!(status(&post("/once/x", "r5", &large)).await, 413);
    assert_eq!(status("garbage\r\n\r\n").await, 400);
    let header = format!("X-Large: {}\r\n", "y".repeat(64 << 10));
    assert_eq!(status(&request("GET", "/safe/x", "r6", &header, "")).await, 431);
    // An incomplete request does not affect others.
    let _half = open(fleet.front, "POST /once/x HTTP/1.1\r\nHost: shop.example\r\n").await;
    assert_eq!(status(&get("/safe/x", "r7")).await, 200);
    let served: Vec<_> = replicas[0].seen().iter().map(|seen| seen.id()).collect();
    assert_eq!(served, ["r4", "r7"]);
}

#[tokio::test]
async fn a_router_without_a_feed_answers_503_instead_of_404() {
    let (mut fleet, replicas) = fleet_with(&[Behaviour::Answer]).await;
    let wrong_key = request("GET", "/safe/x", "r1", "Api-Key: new\r\n", "");
    fleet.kill_control();
    // Until the router has noticed that its feed ended, it still answers 404.
    while call(fleet.front, &get("/new/x", "r2")).await.status == 404 {}
    let answer = call(fleet.front, &get("/new/x", "r3")).await;
    assert_eq!((answer.status, answer.body.as_str()), (503, "routing_unconfirmed"));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(call(fleet.front, &wrong_key).await.status, 503);
    assert_eq!(
        call(fleet.front, &get("/safe/x", "r4")).await.status,
        200,
        "it serves the last known configuration"
    );
    assert_eq!(replicas[0].seen().len(), 1);
    fleet.start_control();
    fleet.settle().await;
    assert_eq!(call(fleet.front, &get("/new/x", "r5")).await.status, 404);
    assert_eq!(call(fleet.front, &wrong_key).await.status, 401);
}

#[tokio::test]
async fn requests_before_the_first_configuration_are_answered_503() {
    let fleet = Fleet::start().await;
    let answer = call(fleet.front, &get("/safe/x", "r1")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(call(fleet.ready, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await.status, 503);
}

#[tokio::test]
async fn a_run_once_request_is_not_retried_after_a_lost_answer() {
    let (fleet, replicas) = fleet_with(&[Behaviour::RunAndReset, Behaviour::RunAndReset]).await;
    let answer = call(fleet.front, &post("/once/x", "r1", "seat 5")).await;
    assert_eq!(
        answer.status, 502,
        "the request may have run, so the answer must not say that it did not"
    );
    let runs: usize = replicas.iter().map(|r| r.seen().len()).sum();
    assert_eq!(runs, 1);
}

#[tokio::test]
async fn an_idempotent_request_is_retried_at_another_replica() {
    for lost in [Behaviour::RunAndReset, Behaviour::Fail, Behaviour::OtherId, Behaviour::CutShort] {
        let (fleet, _replicas) = fleet_with(&[lost.clone(), Behaviour::Answer]).await;
        for number in 0..4 {
            let id = format!("r{number}");
            let answer = call(fleet.front, &get("/safe/x", &id)).await;
            assert_eq!(answer.status, 200, "{lost:?}");
            assert_eq!(answer.body, format!("answer to {id}"));
        }
    }
}

#[tokio::test]
async fn an_answer_to_another_request_is_never_forwarded() {
    for wrong in [Behaviour::OtherId, Behaviour::Unsealed, Behaviour::CutShort] {
        let (fleet, _replicas) = fleet_with(std::slice::from_ref(&wrong)).await;
        let answer = call(fleet.front, &post("/once/x", "r1", "")).await;
        assert_eq!(answer.status, 502, "{wrong:?}");
    }
}

#[tokio::test]
async fn a_request_that_no_replica_ran_is_answered_as_not_run() {
    let (fleet, _replicas) = fleet_with(&[Behaviour::Full]).await;
    let answer = call(fleet.front, &post("/once/x", "r1", "")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(answer.header("bramblecrank-replica-seal"), None);
}

#[tokio::test]
async fn a_request_refused_by_a_full_replica_is_sent_to_another() {
    let (fleet, _replicas) = fleet_with(&[Behaviour::Full, Behaviour::Answer]).await;
    for number in 0..4 {
        let answer = call(fleet.front, &post("/once/x", &format!("r{number}"), "")).await;
        assert_eq!(answer.status, 200);
    }
}

#[tokio::test]
async fn a_failure_keeps_the_replicas_status_and_seal() {
    let (fleet, _replicas) = fleet_with(&[Behaviour::Fail]).await;
    let answer = call(fleet.front, &post("/once/x", "r1", "")).await;
    assert_eq!(answer.status, 500);
    assert_eq!(answer.header("bramblecrank-replica-seal"), Some("seal-i-0"));
}

#[tokio::test]
async fn a_request_is_answered_504_after_its_routes_timeout() {
    let (fleet, _replicas) = fleet_with(&[Behaviour::Hang]).await;
    let answer = call(fleet.front, &post("/once/x", "r1", "")).await;
    assert_eq!(answer.status, 504);
}

#[tokio::test]
async fn a_leaving_replica_gets_no_new_requests_after_the_acknowledgement() {
    let (fleet, replicas) = fleet_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    fleet.register(&replicas[0], "draining", 2).await;
    // An older heartbeat does not make it available again.
    fleet.register(&replicas[0], "ready", 1).await;
    fleet.settle().await;
    let before = replicas[0].seen().len();
    for number in 0..8 {
        let answer = call(fleet.front, &get("/safe/x", &format!("r{number}"))).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(replicas[0].seen().len(), before);
    fleet.deregister(&replicas[1]).await;
    fleet.settle().await;
    assert_eq!(call(fleet.front, &get("/safe/x", "last")).await.status, 503);
}

#[tokio::test]
async fn a_truncated_stream_is_resumed_if_its_route_allows_it() {
    let breaks = [Behaviour::BreakStream, Behaviour::BreakStream];
    let (fleet, replicas) = fleet_with(&breaks).await;
    // Each replica truncates its stream after two events; the second replica resumes at the
    // third event, so that all four events arrive once and in order.
    let answer = call(fleet.front, &get("/resumable/x", "r1")).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("bramblecrank-replica-seal").map(|s| s.len()), Some(8));
    let events: Vec<_> = answer.body.lines().filter(|line| line.starts_with("id:")).collect();
    assert_eq!(events, ["id: 1", "id: 2", "id: 3", "id: 4"]);
    assert!(!answer.complete, "the client sees that the second stream was truncated");
    let seen: Vec<_> = replicas.iter().flat_map(Replica::seen).collect();
    let resumed = seen.iter().filter(|s| s.header("last-event-id") == Some("2")).count();
    assert_eq!((seen.len(), resumed), (2, 1));
}

#[tokio::test]
async fn a_truncated_stream_of_a_route_that_is_not_resumable_stays_truncated() {
    let (fleet, replicas) = fleet_with(&[Behaviour::BreakStream, Behaviour::BreakStream]).await;
    let answer = call(fleet.front, &get("/stream/x", "r1")).await;
    assert_eq!(answer.status, 200);
    assert!(!answer.complete);
    assert_eq!(replicas.iter().map(|r| r.seen().len()).sum::<usize>(), 1);
}

#[tokio::test]
async fn a_client_disconnect_cancels_the_run() {
    let (fleet, replicas) = fleet_with(&[Behaviour::Hang]).await;
    let connection = open(fleet.front, &post("/once/x", "r1", "")).await;
    replicas[0].wait_for(|replica| replica.seen().len() == 1).await;
    drop(connection);
    replicas[0].wait_for(|replica| replica.abandoned() == 1).await;
}

#[tokio::test]
async fn only_a_higher_version_replaces_a_configuration() {
    let (fleet, _replicas) = fleet_with(&[Behaviour::Answer]).await;
    let five = configuration(5).replace("/safe/", "/moved/");
    fleet.configure(&five).await;
    assert_eq!(fleet.read_configuration().await, five);
    // A resent, an older and a different configuration of the same version are acknowledged
    // and change nothing.
    for text in [&five, &configuration(3), &configuration(5)] {
        assert_eq!(fleet.put_configuration(text).await, 200);
        assert_eq!(fleet.read_configuration().await, five);
    }
    let invalid = [
        configuration(9).replace("\"service\":\"app\"", "\"service\":\"unknown\""),
        configuration(9).replace("/once/", "/safe/"),
        configuration(9).replace("\"timeoutMs\":2000", "\"timeoutMs\":0"),
        configuration(9).replace("key-two", "key-one"),
        configuration(9)[..200].to_string(),
    ];
    for text in &invalid {
        assert_eq!(fleet.put_configuration(text).await, 400, "{text}");
        assert_eq!(fleet.read_configuration().await, five);
    }
    fleet.settle().await;
    assert_eq!(call(fleet.front, &get("/moved/x", "r1")).await.status, 200);
    assert_eq!(call(fleet.front, &get("/safe/x", "r2")).await.status, 404);
}

#[tokio::test]
async fn an_acknowledged_configuration_survives_a_restart() {
    let (mut fleet, replicas) = fleet_with(&[Behaviour::Answer]).await;
    let seven = configuration(7);
    fleet.configure(&seven).await;
    fleet.kill_control();
    // Routers keep the last known configuration.
    assert_eq!(call(fleet.front, &get("/safe/x", "r1")).await.status, 200);
    fleet.start_control();
    assert_eq!(fleet.read_configuration().await, seven);
    fleet.register(&replicas[0], "ready", 2).await;
    fleet.kill_router();
    fleet.start_router();
    fleet.wait_ready().await;
    assert_eq!(call(fleet.front, &get("/safe/x", "r2")).await.status, 200);
}

#[tokio::test]
async fn a_graceful_stop_completes_running_requests() {
    let slow = Behaviour::Slow(Duration::from_millis(1_200));
    let (mut fleet, replicas) = fleet_with(&[slow]).await;
    let under_way = tokio::spawn({
        let front = fleet.front;
        async move { call(front, &post("/once/x", "r1", "")).await }
    });
    replicas[0].wait_for(|replica| replica.seen().len() == 1).await;
    fleet.hang_up_router();
    fleet.terminate_router();
    // After the signal the router reports that it is not ready, but still serves running
    // requests.
    fleet.wait_not_ready().await;
    assert_eq!(under_way.await.unwrap().status, 200);
    fleet.wait_router_end().await;
}
