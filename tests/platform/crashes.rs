//! A request that crashes every endpoint that runs it, and comes again and again.
//!
//! Callers saw answers break off all over the fleet for a quarter of a minute: one request
//! came again some times a second, at any router, and each time an endpoint began to run it
//! and ended with all that ran there. Twelve ended. The routers' logs of such a day show that
//! the endpoints were lost one after the other, by several routers within a millisecond each
//! time, and that in every one of them a run of the same fingerprint was among the lost.
//! Routers counted repeats within one arrival only, so that nobody knew that it came again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, configuration};
use crate::http::{Answer, call};
use crate::replica::{Behaviour, Replica};
use crate::{get, post};

/// What crashes a replica.
const CRASHES: &str = "the body that crashes";
/// How long the fleet may take to learn of the third crash.
const TO_LEARN: Duration = Duration::from_secs(3);
/// Between two requests.
const PAUSE: Duration = Duration::from_millis(50);

/// Replicas of which those that have crashed are followed by others.
struct Replicas {
    behaviour: Behaviour,
    live: Vec<Replica>,
    crashed: usize,
}

impl Replicas {
    async fn start(fleet: &Fleet, number: usize, others: Behaviour) -> Replicas {
        let after = Duration::from_millis(30);
        let others = Box::new(others);
        let behaviour = Behaviour::CrashOn { body: CRASHES, after, others };
        let mut replicas = Replicas { behaviour, live: Vec::new(), crashed: 0 };
        for _ in 0..number {
            replicas.add(fleet).await;
        }
        replicas
    }

    async fn add(&mut self, fleet: &Fleet) {
        let number = self.live.len() + self.crashed;
        let replica = Replica::start(&format!("i-{number}"), self.behaviour.clone()).await;
        fleet.register(&replica, "ready", 1).await;
        self.live.push(replica);
    }

    /// Starts another replica for each that has crashed; returns how many had crashed in all.
    async fn replace(&mut self, fleet: &Fleet) -> usize {
        let before = self.live.len();
        self.live.retain(|replica| !replica.has_crashed());
        let crashed = before - self.live.len();
        self.crashed += crashed;
        for _ in 0..crashed {
            self.add(fleet).await;
        }
        self.crashed
    }
}

/// Sends the request that crashes replicas, at one router after the other, until `is_over`
/// of how often replicas have crashed.
async fn ask_until(
    fleet: &Fleet,
    replicas: &mut Replicas,
    path: &str,
    is_over: impl Fn(usize) -> bool,
) -> Vec<Answer> {
    let mut answers = Vec::new();
    while !is_over(replicas.replace(fleet).await) {
        let router = [fleet.front, fleet.neighbour][answers.len() % 2];
        answers.push(ask(router, path, answers.len()).await);
        tokio::time::sleep(PAUSE).await;
    }
    answers
}

async fn ask(router: SocketAddr, path: &str, number: usize) -> Answer {
    call(router, &post(path, &format!("crash-{number}"), CRASHES)).await
}

async fn fleet_of_two_routers(others: Behaviour) -> (Fleet, Replicas) {
    let mut fleet = Fleet::start().await;
    fleet.start_neighbour().await;
    fleet.configure(&configuration(1)).await;
    let replicas = Replicas::start(&fleet, 4, others).await;
    fleet.wait_ready().await;
    (fleet, replicas)
}

/// Asks until three replicas have crashed, and then for as long as the fleet may take to
/// learn it.
async fn crash_three(fleet: &Fleet, replicas: &mut Replicas, path: &str) {
    ask_until(fleet, replicas, path, |crashed| crashed >= 3).await;
    let learnt_by = Instant::now() + TO_LEARN;
    ask_until(fleet, replicas, path, |_| Instant::now() >= learnt_by).await;
}

/// Sends the request some more times; no replica may run it, and its callers are told so.
async fn is_refused(fleet: &Fleet, replicas: &mut Replicas, path: &str) {
    let before = replicas.crashed;
    for number in 0..10 {
        let router = [fleet.front, fleet.neighbour][number % 2];
        let answer = ask(router, path, number).await;
        assert_eq!(replicas.replace(fleet).await, before, "a replica ran it again");
        assert_eq!((answer.status, answer.body.as_str()), (503, "crashes_endpoints"));
        assert!(answer.header("retry-after").is_some());
    }
}

#[tokio::test]
async fn a_request_that_crashed_three_endpoints_is_refused_by_every_router() {
    let (fleet, mut replicas) = fleet_of_two_routers(Behaviour::Answer).await;
    crash_three(&fleet, &mut replicas, "/stream/x").await;
    is_refused(&fleet, &mut replicas, "/stream/x").await;
    // All other requests are served, the same customer's and the same path's too.
    for router in [fleet.front, fleet.neighbour] {
        is_served(router, &post("/once/x", "other", "another body")).await;
        is_served(router, &get("/safe/x", "other")).await;
    }
}

/// Sends a request until it is served: the first tries may meet endpoints that are gone.
async fn is_served(router: SocketAddr, request: &str) {
    loop {
        let answer = call(router, request).await;
        assert_ne!(answer.body, "crashes_endpoints");
        match answer.status {
            200 => return,
            503 => tokio::time::sleep(PAUSE).await,
            status => panic!("it got {status}"),
        }
    }
}

#[tokio::test]
async fn a_stream_that_is_taken_up_elsewhere_is_refused_as_well() {
    let (fleet, mut replicas) = fleet_of_two_routers(Behaviour::Answer).await;
    crash_three(&fleet, &mut replicas, "/resumable/x").await;
    is_refused(&fleet, &mut replicas, "/resumable/x").await;
}

#[tokio::test]
async fn a_request_that_crashed_three_endpoints_stays_refused_after_all_were_killed() {
    let (mut fleet, mut replicas) = fleet_of_two_routers(Behaviour::Answer).await;
    crash_three(&fleet, &mut replicas, "/stream/x").await;
    fleet.kill_control();
    fleet.kill_router();
    fleet.kill_neighbour();
    fleet.start_control();
    fleet.start_router();
    fleet.start_neighbour().await;
    for (sequence, replica) in (2..).zip(&replicas.live) {
        fleet.register(replica, "ready", sequence).await;
    }
    fleet.wait_ready().await;
    is_refused(&fleet, &mut replicas, "/stream/x").await;
}

/// Streams run beside the request that crashes replicas, are lost with it again and again,
/// and come again: each is served in the end, and none is ever taken for what crashes.
#[tokio::test]
async fn requests_that_ran_beside_the_crashes_are_served() {
    let stream = Behaviour::Stream { events: 20, pause: Duration::from_millis(20) };
    let (fleet, mut replicas) = fleet_of_two_routers(stream).await;
    let callers = (0..8).map(|caller| {
        let router = [fleet.front, fleet.neighbour][caller % 2];
        tokio::spawn(async move {
            let body = format!("innocent {caller}");
            let mut answers = Vec::new();
            while answers.last().is_none_or(|answer: &Answer| !answer.complete) {
                let id = format!("innocent-{caller}-{}", answers.len());
                answers.push(call(router, &post("/stream/x", &id, &body)).await);
            }
            answers
        })
    });
    let callers: Vec<_> = callers.collect();
    crash_three(&fleet, &mut replicas, "/stream/x").await;
    is_refused(&fleet, &mut replicas, "/stream/x").await;
    for caller in callers {
        let answers = caller.await.unwrap();
        assert!(answers.iter().all(|answer| answer.body != "crashes_endpoints"));
        assert_eq!(answers.last().unwrap().status, 200);
    }
}

#[tokio::test]
async fn an_operator_sees_what_is_refused_and_lets_it_run_again() {
    let (fleet, mut replicas) = fleet_of_two_routers(Behaviour::Answer).await;
    crash_three(&fleet, &mut replicas, "/stream/x").await;
    is_refused(&fleet, &mut replicas, "/stream/x").await;
    let (done, listed) = fleet.command(&["quarantine", "list"]).await;
    assert!(done && listed.contains(" refused, "), "{listed}");
    assert!(listed.contains(" crashes, 1 times"), "{listed}");
    let fingerprint = listed.split(' ').next().unwrap();
    assert!(fingerprint.starts_with("one/"), "{listed}");
    let (done, said) = fleet.command(&["quarantine", "release", fingerprint]).await;
    assert!(done && said.contains("may run again"), "{said}");
    // What it did before is forgiven, also by routers that tell a leader of it again.
    tokio::time::sleep(TO_LEARN).await;
    let before = replicas.crashed;
    ask_until(&fleet, &mut replicas, "/stream/x", |crashed| crashed > before).await;
    let (done, said) = fleet.command(&["quarantine", "release", "no fingerprint"]).await;
    assert!(!done && said.contains("32 hexadecimal digits"), "{said}");
}
