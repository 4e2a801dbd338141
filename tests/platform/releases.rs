//! Replicas of several versions.

use crate::fleet::{Fleet, configuration};
use crate::get;
use crate::http::call;
use crate::replica::{Behaviour, Replica};

async fn start(replicas: &[(&str, &Replica)]) -> Fleet {
    let fleet = Fleet::start().await;
    for (version, replica) in replicas {
        fleet.register_release(version, "a", replica, "ready", 1).await;
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_ready().await;
    fleet
}

#[tokio::test]
async fn a_broken_stream_is_not_taken_up_by_a_replica_of_another_version() {
    let one = Replica::start("i-one", Behaviour::BreakStream).await;
    let two = Replica::start("i-two", Behaviour::BreakStream).await;
    let fleet = start(&[("v1", &one), ("v2", &two)]).await;
    let answer = call(fleet.front, &get("/resumable/x", "r1")).await;
    assert_eq!(answer.status, 200);
    let events: Vec<_> = answer.body.lines().filter(|line| line.starts_with("id:")).collect();
    assert_eq!(events, ["id: 1", "id: 2"]);
    assert!(!answer.whole, "the caller sees that it broke off");
    assert_eq!(one.seen().len() + two.seen().len(), 1);
}
