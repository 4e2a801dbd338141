//! Tests of the real programs with connections that fall silent without a reset.
//!
//! The failure: connections between hosts dropped all bytes while datagrams and new connections
//! worked. Routers of every data hall then answered 404 for routes of an acknowledged
//! configuration for good, leaving endpoints still got requests, customers were served
//! unequally, and routers reported that they followed all control hosts, at the first routing
//! version.
//!
//! The cause: a host that only reads or only writes on a connection does not detect that it is
//! dead. A feed ended only with its connection, a restart of its host, or a silence during which
//! the host was suspected; datagrams still arrived, so no host was suspected. With a relay that
//! dropped everything, a router's refusals still named all followed control hosts and the
//! previous version as the newest announced, while the time since the last message grew to
//! 59,971 ms.

use std::sync::{Arc, Mutex};

use bramblecrank::wire::Open;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio_util::sync::CancellationToken;

use crate::actors::{self, Context};
use crate::fleet::{Fleet, Size};
use crate::registrations;
use crate::replica::{Behaviour, Replica};
use crate::{eventually, is_in_force, serves};

const SIZE: Size = Size { controls: 3, routers: 2 };
/// Requests to each router, none of which may reach an endpoint that has left.
const REQUESTS_PER_ROUTER: usize = 20;

/// A fleet that serves version 1 with two replicas that register periodically.
struct ServingFleet {
    context: Context,
    rng: SmallRng,
    replicas: [Replica; 2],
}

impl ServingFleet {
    async fn start() -> ServingFleet {
        let fleet = Arc::new(Fleet::start(SIZE));
        let context = Context {
            fleet,
            history: Arc::new(Mutex::default()),
            finished: CancellationToken::new(),
        };
        let replicas = [
            Replica::start("i-1", Behaviour::Answer).await,
            Replica::start("i-2", Behaviour::Answer).await,
        ];
        for (seed, replica) in replicas.iter().enumerate() {
            tokio::spawn(registrations::run_registrations(
                context.clone(),
                replica.clone(),
                seed as u64,
            ));
        }
        let mut serving = ServingFleet { context, rng: SmallRng::seed_from_u64(1), replicas };
        serving.change_to(1).await;
        assert!(eventually(|| serves(&serving.context)).await, "the fleet does not start serving");
        let all = eventually(|| serving.every_replica_runs()).await;
        assert!(all, "a replica gets no requests");
        serving
    }

    /// Whether each replica has run a request. One may register later than the other, or never
    /// if it stopped registering before.
    async fn every_replica_runs(&self) -> bool {
        actors::is_served(&self.context, 0).await;
        self.replicas.iter().all(|replica| !replica.seen().is_empty())
    }

    /// Sends a version until it is acknowledged.
    async fn change_to(&mut self, version: u64) {
        let mut rng = SmallRng::seed_from_u64(version);
        let apply = actors::apply_version(&self.context, &mut rng, version);
        let acknowledged = tokio::time::timeout(crate::WAIT_TIMEOUT, apply).await;
        assert_eq!(acknowledged, Ok(true), "version {version} is not acknowledged");
    }

    /// Whether every router serves and none sends requests to a replica any more.
    async fn gets_no_requests(&self, replica: &Replica) -> bool {
        let before = replica.seen().len();
        let mut all_served = true;
        for request in 0..REQUESTS_PER_ROUTER * SIZE.routers {
            all_served &= actors::is_served(&self.context, request % SIZE.routers).await;
        }
        all_served && replica.seen().len() == before
    }
}

impl Drop for ServingFleet {
    fn drop(&mut self) {
        self.context.finished.cancel();
    }
}

fn is_opened_by_router(open: &Open) -> bool {
    matches!(open, Open::Feed { .. } | Open::Place { .. } | Open::Claims { .. })
}

fn is_between_control_hosts(open: &Open) -> bool {
    matches!(open, Open::Agree { .. })
}

#[tokio::test(flavor = "multi_thread")]
async fn routers_receive_updates_after_their_connections_fell_silent() {
    let mut serving = ServingFleet::start().await;
    let silenced = serving.context.fleet.silence(is_opened_by_router);
    assert!(silenced >= SIZE.controls * SIZE.routers, "only {silenced} connections were open");
    serving.change_to(2).await;
    assert!(eventually(|| is_in_force(&serving.context)).await, "version 2 is not in force");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_no_requests_after_connections_fell_silent() {
    let mut serving = ServingFleet::start().await;
    serving.context.fleet.silence(is_opened_by_router);
    let leaving = serving.replicas[0].clone();
    serving.context.finished.cancel();
    registrations::register_draining(&serving.context, &mut serving.rng, &leaving).await;
    let is_unused = eventually(|| serving.gets_no_requests(&leaving)).await;
    assert!(is_unused, "the replica registered as leaving and still gets requests");
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_are_accepted_after_connections_of_control_hosts_fell_silent() {
    let mut serving = ServingFleet::start().await;
    // A new leader opens its own connections, so the first silence alone does no harm.
    for version in 2..6 {
        let silenced = serving.context.fleet.silence(is_between_control_hosts);
        assert!(silenced > 0, "no connections were open");
        serving.change_to(version).await;
    }
    assert!(eventually(|| is_in_force(&serving.context)).await, "version 5 is not in force");
}
