//! Kept connections to a replica that fall silent, without a reset, while new ones work.

use crate::http::call;
use crate::replica::{Behaviour, Replica};
use crate::{fleet_with, request};

/// Requests under way at once, so that as many connections are kept.
const KEPT: usize = 6;

fn short(id: &str) -> String {
    request("POST", "/once/x", id, "Api-Key: key-one\r\n", "")
        .replace("Deadline-Ms: 3000", "Deadline-Ms: 200")
}

/// Requests that got no answer before one was served.
async fn lost_before_one_is_served(front: std::net::SocketAddr) -> usize {
    let mut lost = 0;
    for number in 0.. {
        match call(front, &short(&format!("after-{number}"))).await.status {
            200 => break,
            504 => lost += 1,
            // Not sent: the replica is avoided for a moment.
            _ => {}
        }
    }
    lost
}

/// A request that got no answer on a kept connection says that the others, opened before
/// it, may be dead too: each would cost one more request its whole time.
#[tokio::test]
async fn one_request_at_most_is_lost_to_kept_connections_that_fell_silent() {
    let slow = Behaviour::Slow(std::time::Duration::from_millis(100));
    let (fleet, replicas) = fleet_with(&[slow]).await;
    let replica: &Replica = &replicas[0];
    let calls = (0..KEPT).map(|number| {
        let front = fleet.front;
        tokio::spawn(async move { call(front, &short(&format!("before-{number}"))).await.status })
    });
    for answered in calls.collect::<Vec<_>>() {
        assert_eq!(answered.await.unwrap(), 200);
    }
    replica.silence();
    assert_eq!(lost_before_one_is_served(fleet.front).await, 1);
}
