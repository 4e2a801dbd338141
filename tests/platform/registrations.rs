//! Replicas that restart, and invalid heartbeats from other programs.

use crate::fleet::{Fleet, configuration};
use crate::http::call;
use crate::replica::{Behaviour, Replica};
use crate::{fleet_with, get, post};

/// A heartbeat with every field.
fn heartbeat(replica: &Replica, born: u64, state: &str, sequence: u64) -> String {
    format!(
        r#"{{"service":"app","address":"{}","zone":"a","version":"v1","slots":6,"state":"{state}","born":{born},"warmupLeftMs":0,"callSeq":{sequence}}}"#,
        replica.address
    )
}

async fn is_served(fleet: &Fleet, name: &str) -> bool {
    fleet.settle().await;
    call(fleet.front, &get("/safe/x", name)).await.status == 200
}

async fn started_once() -> (Fleet, Replica) {
    let fleet = Fleet::start().await;
    let replica = Replica::start("i-0", Behaviour::Answer).await;
    assert_eq!(fleet.heartbeat("i-0", &heartbeat(&replica, 1_000, "ready", 40)).await, 200);
    fleet.configure(&configuration(1)).await;
    fleet.wait_ready().await;
    (fleet, replica)
}

#[tokio::test]
async fn a_restarted_replica_is_used_again() {
    let (fleet, replica) = started_once().await;
    assert!(is_served(&fleet, "first").await);
    fleet.deregister(&replica).await;
    assert!(!is_served(&fleet, "gone").await);
    assert_eq!(fleet.heartbeat("i-0", &heartbeat(&replica, 1_000, "ready", 41)).await, 200);
    assert!(
        !is_served(&fleet, "late").await,
        "a late heartbeat does not bring back a deregistered start"
    );
    assert_eq!(fleet.heartbeat("i-0", &heartbeat(&replica, 2_000, "ready", 1)).await, 200);
    assert!(is_served(&fleet, "again").await);
    assert_eq!(fleet.heartbeat("i-0", &heartbeat(&replica, 1_000, "draining", 42)).await, 200);
    assert!(
        is_served(&fleet, "still").await,
        "a heartbeat of an earlier start does not affect this one"
    );
}

#[tokio::test]
async fn a_replica_restarted_at_another_address_is_called_there() {
    let (fleet, before) = started_once().await;
    assert!(is_served(&fleet, "first").await);
    let after = Replica::start("i-0", Behaviour::Answer).await;
    assert_eq!(fleet.heartbeat("i-0", &heartbeat(&after, 2_000, "ready", 1)).await, 200);
    fleet.settle().await;
    let ran_before = before.seen().len();
    for number in 0..4 {
        assert_eq!(call(fleet.front, &get("/safe/x", &format!("r{number}"))).await.status, 200);
    }
    assert_eq!((before.seen().len(), after.seen().len()), (ran_before, 4));
}

#[tokio::test]
async fn a_request_that_may_have_run_on_an_earlier_start_is_not_reported_as_not_run() {
    let (fleet, replicas) = fleet_with(&[Behaviour::Hang]).await;
    let front = fleet.front;
    let pending = tokio::spawn(async move { call(front, &post("/once/x", "r1", "")).await });
    replicas[0].wait_for(|replica| !replica.seen().is_empty()).await;
    let again = Replica::start("i-0", Behaviour::Answer).await;
    assert_eq!(fleet.heartbeat("i-0", &heartbeat(&again, 2_000, "ready", 1)).await, 200);
    let answer = pending.await.unwrap();
    assert_eq!(answer.status, 504, "{}", answer.body);
    assert!(again.seen().is_empty(), "it may run once only");
}

#[tokio::test]
async fn an_invalid_heartbeat_is_rejected_and_changes_nothing() {
    let (fleet, replica) = started_once().await;
    let valid = heartbeat(&replica, 1_000, "ready", 41);
    let replaced = |from: &str, to: &str| {
        assert!(valid.contains(from), "{from}");
        valid.replacen(from, to, 1).replace(r#""callSeq":41"#, r#""callSeq":99"#)
    };
    let address = format!(r#""address":"{}","#, replica.address);
    let invalid = [
        "".to_string(),
        "{".to_string(),
        "[]".to_string(),
        "null".to_string(),
        "\u{0}\u{1}".to_string(),
        replaced(r#""service":"app","#, ""),
        replaced(r#""service":"app""#, r#""service":7"#),
        replaced(r#""service":"app""#, r#""service":"""#),
        replaced(r#""service":"app""#, r#""service":"other""#),
        replaced(&address, ""),
        replaced(&address, r#""address":["127.0.0.1",80],"#),
        replaced(&address, r#""address":"nowhere","#),
        replaced(&address, r#""address":"127.0.0.1:0","#),
        replaced(r#""zone":"a","#, ""),
        replaced(r#""zone":"a""#, r#""zone":null"#),
        replaced(r#""slots":6,"#, ""),
        replaced(r#""slots":6"#, r#""slots":"6""#),
        replaced(r#""slots":6"#, r#""slots":-6"#),
        replaced(r#""slots":6"#, r#""slots":0"#),
        replaced(r#""state":"ready","#, ""),
        replaced(r#""state":"ready""#, r#""state":true"#),
        replaced(r#""state":"ready""#, r#""state":"resting""#),
        replaced(r#""born":1000"#, r#""born":"1000""#),
        replaced(r#""born":1000"#, r#""born":2000.5"#),
        replaced(r#""born":1000"#, r#""born":-1"#),
        replaced(r#""born":1000"#, r#""born":null"#),
        replaced(r#""version":"v1""#, r#""version":1"#),
        replaced(r#""warmupLeftMs":0"#, r#""warmupLeftMs":"0""#),
        replaced(r#""warmupLeftMs":0"#, r#""warmupLeftMs":-1"#),
        valid.replace(r#","callSeq":41"#, ""),
        valid.replace(r#""callSeq":41"#, r#""callSeq":"99""#),
        valid.replace(r#""callSeq":41"#, r#""callSeq":99.5"#),
    ];
    for text in &invalid {
        let leaving = text.replace(r#""state":"ready""#, r#""state":"draining""#);
        assert_eq!(fleet.heartbeat("i-0", text).await, 400, "{text}");
        assert_eq!(fleet.heartbeat("i-0", &leaving).await, 400, "{leaving}");
    }
    assert!(is_served(&fleet, "after").await);
    let counted = fleet.control_metrics().await;
    let name = "bramblecrank_control_unusable_heartbeats_total{cause=";
    let counts = counted.lines().filter_map(|line| line.strip_prefix(name)?.split(' ').next_back());
    let sum: usize = counts.map(|count| count.parse::<usize>().unwrap()).sum();
    assert_eq!(sum, 2 * invalid.len(), "{counted}");
    assert_eq!(
        fleet.heartbeat("i-0", &valid).await,
        200,
        "a following valid heartbeat is accepted"
    );
    assert!(is_served(&fleet, "good").await);
}

#[tokio::test]
async fn fields_that_older_deployments_omit_are_optional() {
    let (fleet, replica) = started_once().await;
    fleet.deregister(&replica).await;
    let other = Replica::start("i-1", Behaviour::Answer).await;
    let older = heartbeat(&other, 0, "ready", 1)
        .replace(r#""born":0,"warmupLeftMs":0,"#, "")
        .replace(r#""version":"v1","#, "");
    assert_eq!(fleet.heartbeat("i-1", &older).await, 200);
    assert!(is_served(&fleet, "older").await);
}

#[tokio::test]
async fn a_leaving_heartbeat_is_acknowledged_without_a_leader() {
    let mut fleet = Fleet::start().await;
    fleet.restart_control_without_group();
    let replica = Replica::start("i-0", Behaviour::Answer).await;
    assert_eq!(fleet.heartbeat("i-0", &heartbeat(&replica, 1_000, "draining", 2)).await, 200);
    fleet.deregister(&replica).await;
    assert_eq!(fleet.put_configuration(&configuration(1)).await, 503, "there is no leader");
}
