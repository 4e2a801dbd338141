//! Heartbeats that arrive after newer calls of their replica.
//!
//! Guards against late heartbeats that undo an acknowledged end: two of them that had been sent
//! before the `DELETE` made a control host take the replica for a running one, and routers sent
//! it requests until it ended, although it answered their health checks with 503.

use crate::fleet::Fleet;
use crate::fleet_with;
use crate::notices::{assert_avoided, send_until_reached};
use crate::replica::{Behaviour, Replica};

/// Sends a heartbeat of a replica that reports no start.
async fn send_heartbeat(fleet: &Fleet, replica: &Replica, version: &str, state: &str, number: u64) {
    let body = format!(
        r#"{{"service":"app","address":"{}","zone":"a","version":"{version}","slots":6,"state":"{state}","warmupLeftMs":0,"callSeq":{number}}}"#,
        replica.address
    );
    assert_eq!(fleet.heartbeat(&replica.id, &body).await, 200);
}

async fn fleet_of_two() -> (Fleet, Vec<Replica>) {
    fleet_with(&[Behaviour::Answer, Behaviour::Answer]).await
}

#[tokio::test]
async fn late_heartbeats_do_not_undo_an_acknowledged_end() {
    let (fleet, replicas) = fleet_of_two().await;
    let replica = &replicas[0];
    send_heartbeat(&fleet, replica, "v1", "ready", 12).await;
    fleet.deregister(replica).await;
    for number in [7, 11] {
        send_heartbeat(&fleet, replica, "v1", "ready", number).await;
    }
    fleet.settle().await;
    assert_avoided(&fleet, "/once/x", replica).await;
}

#[tokio::test]
async fn late_heartbeats_do_not_undo_draining() {
    let (fleet, replicas) = fleet_of_two().await;
    let replica = &replicas[0];
    send_heartbeat(&fleet, replica, "v1", "ready", 20).await;
    send_heartbeat(&fleet, replica, "v2", "ready", 30).await;
    send_heartbeat(&fleet, replica, "v2", "draining", 31).await;
    for (version, number) in [("v1", 14), ("v1", 19), ("v2", 29)] {
        send_heartbeat(&fleet, replica, version, "ready", number).await;
    }
    fleet.settle().await;
    assert_avoided(&fleet, "/once/x", replica).await;
}

/// However many heartbeats arrive after its end, a replica must state that it accepts requests.
#[tokio::test]
async fn a_replica_that_returns_after_its_end_is_used_once_its_health_check_succeeds() {
    let (fleet, replicas) = fleet_of_two().await;
    let replica = &replicas[0];
    send_heartbeat(&fleet, replica, "v1", "ready", 12).await;
    replica.fail_checks(true);
    fleet.deregister(replica).await;
    for number in 13..20 {
        send_heartbeat(&fleet, replica, "v1", "ready", number).await;
    }
    fleet.settle().await;
    assert_avoided(&fleet, "/once/x", replica).await;
    assert!(replica.checks() > 0);
    replica.fail_checks(false);
    send_until_reached(&fleet, "/once/x", replica).await;
}

/// Guards against a router that keeps an endpoint as ready whose end it has missed: a control host
/// that started meanwhile did not send the ends that it knew of.
#[tokio::test]
async fn a_router_learns_of_ends_from_before_it_reached_a_restarted_control_host() {
    let (mut fleet, replicas) = fleet_of_two().await;
    fleet.freeze_router();
    fleet.kill_control();
    fleet.start_control();
    for replica in &replicas {
        send_heartbeat(&fleet, replica, "v1", "ready", 10).await;
    }
    fleet.deregister(&replicas[0]).await;
    fleet.thaw_router();
    fleet.settle().await;
    assert_avoided(&fleet, "/once/x", &replicas[0]).await;
}
