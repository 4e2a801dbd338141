//! Connections that fall silent, with the real programs.
//!
//! What users saw: routes of an acknowledged configuration were answered 404 by routers
//! of every data hall, for good, endpoints that had said that they leave still got
//! requests, and customers were served unequally. Routers said that they followed all
//! control hosts, at the first routing version.
//!
//! Order of events: the fleet starts and serves; connections between hosts fall silent,
//! without a reset, while datagrams and new connections work; the configuration changes
//! and an endpoint leaves; no router learns of either.
//!
//! Cause: nobody who only reads on a connection, or only writes, finds out that it is
//! dead, and what ends a feed is the end of its connection, a new start of its host, or a
//! silence that spans a suspicion; datagrams go on, so nobody is suspected. Evidence: with
//! the connections through a relay that takes all and passes on nothing, a router's
//! refusals name as many followed control hosts as before, the version before as the
//! newest announced, and a growing time since any was heard: 59,971 ms at the end.

use std::sync::{Arc, Mutex};

use bramblecrank::wire::Open;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio_util::sync::CancellationToken;

use crate::actors::{self, Stage};
use crate::fleet::{Fleet, Size};
use crate::registrations;
use crate::replica::{Behaviour, Replica};
use crate::{comes_about, is_in_force, serves};

const SIZE: Size = Size { controls: 3, routers: 2 };
/// Requests to each router that must all pass an endpoint by which has left.
const REQUESTS: usize = 20;

/// A fleet that serves version 1 with two replicas that go on registering.
struct Serving {
    stage: Stage,
    rng: SmallRng,
    replicas: [Replica; 2],
}

impl Serving {
    async fn start() -> Serving {
        let fleet = Arc::new(Fleet::start(SIZE));
        let stage =
            Stage { fleet, history: Arc::new(Mutex::default()), over: CancellationToken::new() };
        let replicas = [
            Replica::start("i-1", Behaviour::Answer).await,
            Replica::start("i-2", Behaviour::Answer).await,
        ];
        for (seed, replica) in replicas.iter().enumerate() {
            tokio::spawn(registrations::register_on(stage.clone(), replica.clone(), seed as u64));
        }
        let mut serving = Serving { stage, rng: SmallRng::seed_from_u64(1), replicas };
        serving.change_to(1).await;
        assert!(comes_about(|| serves(&serving.stage)).await, "the fleet does not begin to serve");
        let all = comes_about(|| serving.every_replica_runs()).await;
        assert!(all, "a replica is not used");
        serving
    }

    /// Whether each replica has run a request. One may register later than the other, or,
    /// where it has stopped registering by then, not at all.
    async fn every_replica_runs(&self) -> bool {
        actors::is_served(&self.stage, 0).await;
        self.replicas.iter().all(|replica| !replica.seen().is_empty())
    }

    /// Sends a version until it is acknowledged.
    async fn change_to(&mut self, version: u64) {
        let mut rng = SmallRng::seed_from_u64(version);
        let change = actors::change(&self.stage, &mut rng, version);
        let taken = tokio::time::timeout(crate::NEVER, change).await;
        assert_eq!(taken, Ok(true), "version {version} is not acknowledged");
    }

    /// Whether every router serves and none sends anything to a replica any more.
    async fn is_passed_by(&self, replica: &Replica) -> bool {
        let before = replica.seen().len();
        let mut all_served = true;
        for request in 0..REQUESTS * SIZE.routers {
            all_served &= actors::is_served(&self.stage, request % SIZE.routers).await;
        }
        all_served && replica.seen().len() == before
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.stage.over.cancel();
    }
}

fn of_router(open: &Open) -> bool {
    matches!(open, Open::Feed { .. } | Open::Place { .. } | Open::Claims { .. })
}

fn between_control_hosts(open: &Open) -> bool {
    matches!(open, Open::Agree { .. })
}

#[tokio::test(flavor = "multi_thread")]
async fn routers_follow_again_after_their_connections_fell_silent() {
    let mut serving = Serving::start().await;
    let silent = serving.stage.fleet.silence(of_router);
    assert!(silent >= SIZE.controls * SIZE.routers, "only {silent} connections were open");
    serving.change_to(2).await;
    assert!(comes_about(|| is_in_force(&serving.stage)).await, "version 2 is not in force");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_leaves_gets_no_more_after_connections_fell_silent() {
    let mut serving = Serving::start().await;
    serving.stage.fleet.silence(of_router);
    let leaving = serving.replicas[0].clone();
    serving.stage.over.cancel();
    registrations::say_draining(&serving.stage, &mut serving.rng, &leaving).await;
    let passed_by = comes_about(|| serving.is_passed_by(&leaving)).await;
    assert!(passed_by, "it said that it leaves, and still gets requests");
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_are_accepted_after_control_hosts_connections_fell_silent() {
    let mut serving = Serving::start().await;
    // A new leader speaks on connections of its own, so the first time does no harm.
    for version in 2..6 {
        let silent = serving.stage.fleet.silence(between_control_hosts);
        assert!(silent > 0, "there are no connections");
        serving.change_to(version).await;
    }
    assert!(comes_about(|| is_in_force(&serving.stage)).await, "version 5 is not in force");
}
