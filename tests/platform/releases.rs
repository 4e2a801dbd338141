//! Roll-outs of a release while callers send requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;

use crate::fleet::{Fleet, configuration};
use crate::get;
use crate::http::call;
use crate::replica::{Behaviour, Replica};

/// Number of concurrent callers, and the pause of each between two requests.
const CALLERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(10);
/// Seconds within which a roll-out must be decided.
const WITHIN_S: u64 = 6;
/// Maximum share of all requests that a bad release may get, plus a fixed number of requests.
const MAX_BAD_SHARE: f64 = 0.1;
const MAX_BAD_EXTRA: f64 = 50.0;

/// A fleet with replicas of two versions.
struct Releases {
    fleet: Fleet,
    old: [Replica; 2],
    new: [Replica; 2],
}

impl Releases {
    async fn start(old: Behaviour, new: Behaviour) -> Releases {
        let fleet = Fleet::start().await;
        let start =
            async |name: &str, behaviour: &Behaviour| Replica::start(name, behaviour.clone()).await;
        let old = [start("i-old-1", &old).await, start("i-old-2", &old).await];
        let new = [start("i-new-1", &new).await, start("i-new-2", &new).await];
        let releases = Releases { fleet, old, new };
        releases.register_old(1).await;
        releases.fleet.configure(&configuration(1)).await;
        releases.fleet.wait_ready().await;
        releases
    }

    async fn register_old(&self, sequence: u64) {
        for replica in &self.old {
            self.fleet.register_release("v1", "a", replica, "ready", sequence).await;
        }
    }

    async fn register_new(&self, sequence: u64) {
        for replica in &self.new {
            self.fleet.register_release("v2", "a", replica, "ready", sequence).await;
        }
    }

    async fn order(&self) {
        let order = format!(r#"{{"service":"app","targetVersion":"v2","durationS":{WITHIN_S}}}"#);
        assert_eq!(self.fleet.order_rollout(&order).await, 200);
        self.fleet.settle().await;
        self.register_new(1).await;
    }

    /// Kills and restarts the control host, which is the leader.
    async fn restart_leader(&mut self) {
        self.fleet.kill_control();
        self.fleet.start_control();
        self.register_old(2).await;
        self.register_new(2).await;
    }

    async fn wait_decided(&self) -> String {
        loop {
            let answer = self.fleet.read_rollout("app").await;
            let status: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
            if status["state"] != "running" {
                return status["state"].as_str().unwrap().to_string();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn seen(replicas: &[Replica; 2]) -> usize {
        replicas.iter().map(|replica| replica.seen().len()).sum()
    }

    /// Makes 20 calls after the roll-out; returns how many the old and the new replicas ran.
    async fn calls_after(&self) -> (usize, usize) {
        self.fleet.settle().await;
        let before = (Releases::seen(&self.old), Releases::seen(&self.new));
        for number in 0..20 {
            let answer = call(self.fleet.front, &get("/safe/x", &format!("after{number}"))).await;
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
        (Releases::seen(&self.old) - before.0, Releases::seen(&self.new) - before.1)
    }
}

/// Tasks that send requests until they are stopped.
struct Callers {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicUsize>,
    tasks: Vec<JoinHandle<Vec<u16>>>,
}

impl Callers {
    fn start(front: SocketAddr) -> Callers {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let caller = |number| send_repeatedly(front, number, stop.clone(), sent.clone());
        let tasks = (0..CALLERS).map(|number| tokio::spawn(caller(number))).collect();
        Callers { stop, sent, tasks }
    }

    /// Stops the callers; returns the number of calls and the statuses of the failed ones.
    async fn end(self) -> (usize, Vec<u16>) {
        self.stop.store(true, Ordering::Relaxed);
        let mut failed = Vec::new();
        for task in self.tasks {
            failed.extend(task.await.unwrap());
        }
        (self.sent.load(Ordering::Relaxed), failed)
    }
}

async fn send_repeatedly(
    front: SocketAddr,
    number: usize,
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicUsize>,
) -> Vec<u16> {
    let mut failed = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("c{number}-{}", sent.fetch_add(1, Ordering::Relaxed));
        let answer = call(front, &get("/safe/x", &id)).await;
        if answer.status != 200 || !answer.complete {
            failed.push(answer.status);
        }
        tokio::time::sleep(PAUSE).await;
    }
    failed
}

#[tokio::test]
async fn a_good_release_gets_all_requests_and_no_caller_notices() {
    let releases = Releases::start(Behaviour::Answer, Behaviour::Answer).await;
    let callers = Callers::start(releases.fleet.front);
    releases.order().await;
    assert_eq!(releases.wait_decided().await, "done");
    let (sent, failed) = callers.end().await;
    assert!(failed.is_empty(), "{failed:?} of {sent}");
    assert_eq!(releases.calls_after().await, (0, 20));
}

#[tokio::test]
async fn a_bad_release_is_rolled_back_and_gets_little() {
    let releases = Releases::start(Behaviour::Answer, Behaviour::Fail).await;
    let callers = Callers::start(releases.fleet.front);
    releases.order().await;
    assert_eq!(releases.wait_decided().await, "rolled_back");
    let (sent, failed) = callers.end().await;
    let got = Releases::seen(&releases.new);
    println!("the bad release got {got} of {sent} requests");
    assert!(got as f64 <= MAX_BAD_SHARE * sent as f64 + MAX_BAD_EXTRA, "{got} of {sent}");
    assert!(failed.is_empty(), "failed requests were not retried: {failed:?} of {sent}");
    assert_eq!(releases.calls_after().await, (20, 0));
}

#[tokio::test]
async fn a_good_release_is_rolled_out_though_the_leader_is_killed() {
    let mut releases = Releases::start(Behaviour::Answer, Behaviour::Answer).await;
    let callers = Callers::start(releases.fleet.front);
    releases.order().await;
    releases.new[0].wait_for(|replica| !replica.seen().is_empty()).await;
    releases.restart_leader().await;
    assert_eq!(releases.wait_decided().await, "done");
    let (sent, failed) = callers.end().await;
    assert!(failed.is_empty(), "{failed:?} of {sent}");
    assert_eq!(releases.calls_after().await, (0, 20));
}

#[tokio::test]
async fn a_bad_release_is_rolled_back_though_the_leader_is_killed() {
    let mut releases = Releases::start(Behaviour::Answer, Behaviour::Fail).await;
    let callers = Callers::start(releases.fleet.front);
    releases.order().await;
    releases.new[0].wait_for(|replica| !replica.seen().is_empty()).await;
    releases.restart_leader().await;
    assert_eq!(releases.wait_decided().await, "rolled_back");
    let (sent, _) = callers.end().await;
    let got = Releases::seen(&releases.new);
    println!("the bad release got {got} of {sent} requests");
    assert!(got as f64 <= MAX_BAD_SHARE * sent as f64 + MAX_BAD_EXTRA, "{got} of {sent}");
    assert_eq!(releases.calls_after().await, (20, 0));
}

#[tokio::test]
async fn a_truncated_stream_is_not_resumed_by_a_replica_of_another_version() {
    let releases = Releases::start(Behaviour::BreakStream, Behaviour::BreakStream).await;
    releases.fleet.deregister(&releases.old[1]).await;
    releases.fleet.register_release("v2", "a", &releases.new[0], "ready", 1).await;
    releases.fleet.settle().await;
    // If the other replica resumed it, there would be four events.
    let answer = call(releases.fleet.front, &get("/resumable/x", "r1")).await;
    assert_eq!(answer.status, 200);
    let events: Vec<_> = answer.body.lines().filter(|line| line.starts_with("id:")).collect();
    assert_eq!(events, ["id: 1", "id: 2"]);
    assert!(!answer.complete, "the caller sees that it was truncated");
    assert_eq!(Releases::seen(&releases.old) + Releases::seen(&releases.new), 1);
}
