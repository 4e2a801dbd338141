//! Replicas that start again, and entries of other writers in the list of replicas.

use crate::fleet::{Fleet, configuration};
use crate::http::call;
use crate::replica::{Behaviour, Replica};
use crate::{fleet_with, get, post};

/// A heartbeat with every field.
fn beat(replica: &Replica, born: u64, state: &str, sequence: u64) -> String {
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
    assert_eq!(fleet.heartbeat("i-0", &beat(&replica, 1_000, "ready", 40)).await, 200);
    fleet.configure(&configuration(1)).await;
    fleet.wait_ready().await;
    (fleet, replica)
}

#[tokio::test]
async fn a_replica_that_starts_again_is_used_again() {
    let (fleet, replica) = started_once().await;
    assert!(is_served(&fleet, "first").await);
    fleet.deregister(&replica).await;
    assert!(!is_served(&fleet, "gone").await);
    assert_eq!(fleet.heartbeat("i-0", &beat(&replica, 1_000, "ready", 41)).await, 200);
    assert!(!is_served(&fleet, "late").await, "a late heartbeat brings nothing back");
    assert_eq!(fleet.heartbeat("i-0", &beat(&replica, 2_000, "ready", 1)).await, 200);
    assert!(is_served(&fleet, "again").await);
    assert_eq!(fleet.heartbeat("i-0", &beat(&replica, 1_000, "draining", 42)).await, 200);
    assert!(is_served(&fleet, "still").await, "the earlier start says nothing of this one");
}

#[tokio::test]
async fn a_replica_that_starts_again_elsewhere_is_called_there() {
    let (fleet, before) = started_once().await;
    assert!(is_served(&fleet, "first").await);
    let after = Replica::start("i-0", Behaviour::Answer).await;
    assert_eq!(fleet.heartbeat("i-0", &beat(&after, 2_000, "ready", 1)).await, 200);
    fleet.settle().await;
    let ran_before = before.seen().len();
    for number in 0..4 {
        assert_eq!(call(fleet.front, &get("/safe/x", &format!("r{number}"))).await.status, 200);
    }
    assert_eq!((before.seen().len(), after.seen().len()), (ran_before, 4));
}

#[tokio::test]
async fn what_may_have_run_on_an_earlier_start_is_not_said_not_to_have_run() {
    let (fleet, replicas) = fleet_with(&[Behaviour::Hang]).await;
    let front = fleet.front;
    let asked = tokio::spawn(async move { call(front, &post("/once/x", "r1", "")).await });
    replicas[0].wait_for(|replica| !replica.seen().is_empty()).await;
    let again = Replica::start("i-0", Behaviour::Answer).await;
    assert_eq!(fleet.heartbeat("i-0", &beat(&again, 2_000, "ready", 1)).await, 200);
    let answer = asked.await.unwrap();
    assert_eq!(answer.status, 504, "{}", answer.body);
    assert!(again.seen().is_empty(), "it may run once only");
}

#[tokio::test]
async fn what_another_writer_enters_names_no_replica_and_changes_nothing() {
    let (fleet, replica) = started_once().await;
    let good = beat(&replica, 1_000, "ready", 41);
    let instead = |from: &str, to: &str| {
        assert!(good.contains(from), "{from}");
        good.replacen(from, to, 1).replace(r#""callSeq":41"#, r#""callSeq":99"#)
    };
    let address = format!(r#""address":"{}","#, replica.address);
    let bad = [
        "".to_string(),
        "{".to_string(),
        "[]".to_string(),
        "null".to_string(),
        "\u{0}\u{1}".to_string(),
        instead(r#""service":"app","#, ""),
        instead(r#""service":"app""#, r#""service":7"#),
        instead(r#""service":"app""#, r#""service":"""#),
        instead(r#""service":"app""#, r#""service":"other""#),
        instead(&address, ""),
        instead(&address, r#""address":["127.0.0.1",80],"#),
        instead(&address, r#""address":"nowhere","#),
        instead(&address, r#""address":"127.0.0.1:0","#),
        instead(r#""zone":"a","#, ""),
        instead(r#""zone":"a""#, r#""zone":null"#),
        instead(r#""slots":6,"#, ""),
        instead(r#""slots":6"#, r#""slots":"6""#),
        instead(r#""slots":6"#, r#""slots":-6"#),
        instead(r#""slots":6"#, r#""slots":0"#),
        instead(r#""state":"ready","#, ""),
        instead(r#""state":"ready""#, r#""state":true"#),
        instead(r#""state":"ready""#, r#""state":"resting""#),
        instead(r#""born":1000"#, r#""born":"1000""#),
        instead(r#""born":1000"#, r#""born":2000.5"#),
        instead(r#""born":1000"#, r#""born":-1"#),
        instead(r#""born":1000"#, r#""born":null"#),
        instead(r#""version":"v1""#, r#""version":1"#),
        instead(r#""warmupLeftMs":0"#, r#""warmupLeftMs":"0""#),
        instead(r#""warmupLeftMs":0"#, r#""warmupLeftMs":-1"#),
        good.replace(r#","callSeq":41"#, ""),
        good.replace(r#""callSeq":41"#, r#""callSeq":"99""#),
        good.replace(r#""callSeq":41"#, r#""callSeq":99.5"#),
    ];
    for text in &bad {
        let leaves = text.replace(r#""state":"ready""#, r#""state":"draining""#);
        assert_eq!(fleet.heartbeat("i-0", text).await, 400, "{text}");
        assert_eq!(fleet.heartbeat("i-0", &leaves).await, 400, "{leaves}");
    }
    assert!(is_served(&fleet, "after").await);
    let counted = fleet.control_metrics().await;
    let name = "bramblecrank_control_unusable_heartbeats_total{cause=";
    let counts = counted.lines().filter_map(|line| line.strip_prefix(name)?.split(' ').next_back());
    let sum: usize = counts.map(|count| count.parse::<usize>().unwrap()).sum();
    assert_eq!(sum, 2 * bad.len(), "{counted}");
    assert_eq!(fleet.heartbeat("i-0", &good).await, 200, "a good one that follows is taken");
    assert!(is_served(&fleet, "good").await);
}

#[tokio::test]
async fn fields_that_older_deployments_do_not_send_may_be_missing() {
    let (fleet, replica) = started_once().await;
    fleet.deregister(&replica).await;
    let other = Replica::start("i-1", Behaviour::Answer).await;
    let older = beat(&other, 0, "ready", 1)
        .replace(r#""born":0,"warmupLeftMs":0,"#, "")
        .replace(r#""version":"v1","#, "");
    assert_eq!(fleet.heartbeat("i-1", &older).await, 200);
    assert!(is_served(&fleet, "older").await);
}

#[tokio::test]
async fn a_leave_is_acknowledged_while_nobody_leads() {
    let mut fleet = Fleet::start().await;
    fleet.restart_control_without_group();
    let replica = Replica::start("i-0", Behaviour::Answer).await;
    assert_eq!(fleet.heartbeat("i-0", &beat(&replica, 1_000, "draining", 2)).await, 200);
    fleet.deregister(&replica).await;
    assert_eq!(fleet.put_configuration(&configuration(1)).await, 503, "nobody leads");
}
