//! Orders of roll-outs and their outcomes.

use crate::fleet::{Fleet, configuration};
use crate::replica::{Behaviour, Replica};

async fn start() -> Fleet {
    let fleet = Fleet::start().await;
    fleet.configure(&configuration(1)).await;
    fleet
}

fn order(service: &str, version: &str, seconds: &str) -> String {
    format!(r#"{{"service":"{service}","targetVersion":"{version}","durationS":{seconds}}}"#)
}

/// Waits until the service's roll-out is no longer `running`; returns the answer's body.
async fn wait_decided(fleet: &Fleet) -> String {
    loop {
        let answer = fleet.read_rollout("app").await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        if !answer.body.contains(r#""state":"running""#) {
            return answer.body;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn a_second_order_is_refused_while_a_roll_out_is_running() {
    let fleet = start().await;
    assert_eq!(fleet.order_rollout(&order("app", "v2", "60")).await, 200);
    assert_eq!(fleet.order_rollout(&order("app", "v2", "60")).await, 200, "sent again");
    assert_eq!(fleet.order_rollout(&order("app", "v3", "60")).await, 409);
    let answer = fleet.read_rollout("app").await;
    let status: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(status, serde_json::json!({"state": "running", "targetVersion": "v2"}));
}

#[tokio::test]
async fn an_invalid_order_is_refused_and_changes_nothing() {
    let fleet = start().await;
    assert_eq!(fleet.order_rollout(&order("nowhere", "v2", "60")).await, 404);
    for invalid in [
        order("app", "", "60"),
        order("app", "v 2", "60"),
        order("app", "v2", "0"),
        order("app", "v2", "-5"),
        order("app", "v2", "\"long\""),
        r#"{"service":"app"}"#.to_string(),
        "no order".to_string(),
    ] {
        assert_eq!(fleet.order_rollout(&invalid).await, 400, "{invalid}");
    }
    assert_eq!(fleet.read_rollout("app").await.status, 404, "the service had none");
}

#[tokio::test]
async fn an_order_before_the_first_configuration_is_answered_503() {
    let fleet = Fleet::start().await;
    assert_eq!(fleet.order_rollout_once(&order("app", "v2", "60")).await, 503);
}

#[tokio::test]
async fn a_roll_out_survives_a_restart_of_all_processes() {
    let mut fleet = start().await;
    assert_eq!(fleet.order_rollout(&order("app", "v2", "60")).await, 200);
    fleet.kill_control();
    fleet.kill_router();
    fleet.start_control();
    fleet.start_router();
    let answer = fleet.read_rollout("app").await;
    assert_eq!(answer.status, 200);
    assert!(answer.body.contains(r#""targetVersion":"v2""#), "{}", answer.body);
    assert!(answer.body.contains(r#""state":"running""#), "{}", answer.body);
}

#[tokio::test]
async fn a_decided_roll_out_stays_decided_after_a_restart() {
    let mut fleet = start().await;
    let old = Replica::start("r-old", Behaviour::Answer).await;
    fleet.register(&old, "ready", 1).await;
    assert_eq!(fleet.order_rollout(&order("app", "v2", "1")).await, 200);
    let status = wait_decided(&fleet).await;
    assert!(
        status.contains(r#""state":"rolled_back""#),
        "no endpoint of the release registered: {status}"
    );
    fleet.kill_control();
    fleet.start_control();
    let answer = fleet.read_rollout("app").await;
    assert!(answer.body.contains(r#""state":"rolled_back""#), "{}", answer.body);
}

#[tokio::test]
async fn a_release_without_an_older_one_is_done_at_once() {
    let fleet = start().await;
    let replica = Replica::start("r-only", Behaviour::Answer).await;
    fleet.register(&replica, "ready", 1).await;
    assert_eq!(fleet.order_rollout(&order("app", "v1", "60")).await, 200);
    let status = wait_decided(&fleet).await;
    assert!(status.contains(r#""state":"done""#), "{status}");
}

#[tokio::test]
async fn metrics_count_roll_outs_by_stage() {
    let fleet = start().await;
    assert_eq!(fleet.order_rollout(&order("app", "v2", "60")).await, 200);
    let metrics = fleet.control_metrics().await;
    assert!(metrics.contains("bramblecrank_control_rollouts_canary 1"), "{metrics}");
    assert!(metrics.contains("bramblecrank_control_rollouts_rolled_back 0"), "{metrics}");
}

#[tokio::test]
async fn operators_roll_a_release_out_by_command() {
    let fleet = start().await;
    let command = ["rollout", "start", "app", "v2", "--within", "60"];
    let (succeeded, output) = fleet.command(&command).await;
    assert!(succeeded && output.contains("v2 of app is being rolled out"), "{output}");
    let (succeeded, output) = fleet.command(&["rollout", "status", "app"]).await;
    assert!(succeeded && output.contains("roll-out of v2 for app: canary"), "{output}");
    let (_, output) = fleet.command(&["config", "status"]).await;
    assert!(output.contains("roll-out of v2 for app: canary"), "{output}");
    let (succeeded, output) =
        fleet.command(&["rollout", "start", "app", "v3", "--within", "9"]).await;
    assert!(!succeeded && output.contains("is under way"), "{output}");
    let (succeeded, output) =
        fleet.command(&["rollout", "start", "no", "v3", "--within", "9"]).await;
    assert!(!succeeded && output.contains("no service is called 'no'"), "{output}");
}
