//! Data halls that operators drain and restore.

use crate::fleet::{Fleet, configuration};
use crate::get;
use crate::http::call;
use crate::replica::{Behaviour, Replica};

/// Number of calls; with a random choice they would hardly ever all reach one of two replicas.
const CALLS: usize = 20;

struct Halls {
    fleet: Fleet,
    in_a: Replica,
    in_b: Replica,
}

async fn start() -> Halls {
    let fleet = Fleet::start().await;
    let in_a = Replica::start("i-a", Behaviour::Answer).await;
    let in_b = Replica::start("i-b", Behaviour::Answer).await;
    fleet.register_in("a", &in_a, "ready", 1).await;
    fleet.register_in("b", &in_b, "ready", 1).await;
    fleet.configure(&configuration(1)).await;
    fleet.wait_ready().await;
    Halls { fleet, in_a, in_b }
}

impl Halls {
    /// Makes calls, all of which must be served; returns how many went to each replica.
    async fn calls(&self, name: &str) -> (usize, usize) {
        let before = (self.in_a.seen().len(), self.in_b.seen().len());
        for number in 0..CALLS {
            let answer = call(self.fleet.front, &get("/safe/x", &format!("{name}{number}"))).await;
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
        (self.in_a.seen().len() - before.0, self.in_b.seen().len() - before.1)
    }
}

#[tokio::test]
async fn a_drained_hall_gets_no_new_requests_until_it_is_restored() {
    let halls = start().await;
    let (to_a, to_b) = halls.calls("all").await;
    assert!(to_a > 0 && to_b > 0, "{to_a} and {to_b}");
    assert_eq!(halls.fleet.order_hall("POST", "a").await, 200);
    assert_eq!(halls.fleet.order_hall("POST", "a").await, 200, "an order may be sent again");
    halls.fleet.settle().await;
    assert_eq!(halls.calls("drained").await, (0, CALLS));
    assert_eq!(halls.fleet.order_hall("DELETE", "a").await, 200);
    halls.fleet.settle().await;
    let (to_a, to_b) = halls.calls("back").await;
    assert!(to_a > 0 && to_b > 0, "{to_a} and {to_b}");
}

#[tokio::test]
async fn a_drained_hall_stays_drained_after_all_processes_are_killed() {
    let mut halls = start().await;
    assert_eq!(halls.fleet.order_hall("POST", "a").await, 200);
    halls.fleet.kill_control();
    halls.fleet.kill_router();
    halls.fleet.start_control();
    halls.fleet.start_router();
    halls.fleet.register_in("a", &halls.in_a, "ready", 2).await;
    halls.fleet.register_in("b", &halls.in_b, "ready", 2).await;
    halls.fleet.wait_ready().await;
    assert_eq!(halls.calls("after").await, (0, CALLS));
}

#[tokio::test]
async fn draining_an_unknown_hall_is_refused_and_changes_nothing() {
    let halls = start().await;
    assert_eq!(halls.fleet.order_hall("POST", "nowhere").await, 404);
    halls.fleet.settle().await;
    let (to_a, to_b) = halls.calls("all").await;
    assert!(to_a > 0 && to_b > 0, "{to_a} and {to_b}");
}

#[tokio::test]
async fn operators_drain_and_restore_a_hall_by_command() {
    let halls = start().await;
    let (succeeded, output) = halls.fleet.command(&["hall", "drain", "a"]).await;
    assert!(succeeded && output.contains("drained data halls: a"), "{output}");
    halls.fleet.settle().await;
    assert_eq!(halls.calls("drained").await, (0, CALLS));
    let (_, status) = halls.fleet.command(&["config", "status"]).await;
    assert!(status.contains("drained data halls: a"), "{status}");
    let (succeeded, output) = halls.fleet.command(&["hall", "restore", "a"]).await;
    assert!(succeeded && output.contains("drained data halls: none"), "{output}");
    let (succeeded, output) = halls.fleet.command(&["hall", "drain", "nowhere"]).await;
    assert!(!succeeded && output.contains("no data hall is called 'nowhere'"), "{output}");
}
