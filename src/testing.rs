//! Functions shared by the tests of several modules.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;
use tokio::sync::{mpsc, watch};

use crate::control::Leadership;
use crate::feed::{FleetState, Publication};
use crate::peer::{Incoming, Peers};
use crate::region::AllowedRegions;
use crate::registry::SharedRegistry;
use crate::routing::{CurrentRouting, Route, RouteKind, Target};
use crate::settings::{HeartbeatScope, HostSettings};
use crate::wire::{HostId, Role};

const PEER_PORT: u16 = 7_400;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a test waits for something that must happen before it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The peer address of a host of a test. Each test uses its own values of `last_octet`; the
/// third octet depends on the process id, so that concurrent test runs use other addresses.
pub fn peer_address(last_octet: u8) -> SocketAddr {
    let net = (std::process::id() % 250 + 1) as u8;
    (Ipv4Addr::new(127, 8, net, last_octet), PEER_PORT).into()
}

/// Starts the peer connections of a host, over real sockets.
pub async fn start_peers(
    role: Role,
    last_octet: u8,
    seeds: Vec<SocketAddr>,
) -> (Arc<Peers>, mpsc::Receiver<Incoming>) {
    let peer = peer_address(last_octet);
    let settings = HostSettings {
        name: format!("host-{last_octet}"),
        id: None,
        hall: "a".into(),
        peer,
        seeds,
        advertise: None,
        seed_port: None,
        regions: Default::default(),
        heartbeats: HeartbeatScope::Control,
        file: None,
    };
    Peers::start(&settings, role, peer).await.unwrap()
}

/// What a leading control host publishes, with this routing and these endpoints.
pub fn publication_of_leader(
    peers: &Peers,
    routing: Arc<CurrentRouting>,
    registry: Arc<SharedRegistry>,
) -> Publication {
    let leadership = Leadership {
        term: 1,
        leader: Some(peers.me),
        has_caught_up: true,
        leads: true,
        is_bootstrapped: true,
        hosts: vec![(peers.me, peers.address)],
    };
    Publication {
        subscriber: HostId(0),
        fleet_state: FleetState { routing, registry, ..FleetState::default() },
        leadership: watch::Sender::new(leadership).subscribe(),
        view: peers.watch(),
        router_count: peers.watch_router_count(),
        numbering: peers.incarnation,
        subscribers: Arc::default(),
    }
}

/// Polls until `condition` holds; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting).await.expect("the condition does not hold in time");
}

/// Configuration of a property test with a fixed seed, so that every run has the same result.
/// `PROPERTY_CASES` and `PROPERTY_SEED` override the number of cases and the seed.
pub fn property(cases: u32) -> ProptestConfig {
    let read = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    ProptestConfig {
        cases: read("PROPERTY_CASES").map_or(cases, |n| n as u32),
        rng_seed: RngSeed::Fixed(read("PROPERTY_SEED").unwrap_or(1)),
        max_shrink_iters: 500,
        ..ProptestConfig::default()
    }
}

/// A route of repeatable requests to the service `app`.
pub fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Repeatable,
        timeout_ms: 1_000,
        objective_ms: 100,
        pause_objective_ms: 0,
        priority: 1,
        targets: vec![Target { service: "app".into(), weight: 1 }],
        attempts: 2,
        public: false,
        resumable: false,
        regions: AllowedRegions::Anywhere,
    }
}
