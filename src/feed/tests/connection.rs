//! Feeds between control hosts and a subscriber, over real sockets.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::super::publish::{Event, Feed};
use super::super::{FeedMessage, FleetState, Subscriptions, publish};
use crate::peer::{Incoming, Peers};
use crate::registry::{EndpointState, Origin, Registration, Scope, SharedRegistry};
use crate::routing::{CurrentRouting, RoutingTable};
use crate::testing::{
    peer_address as address, publication_of_leader, route, start_peers as start, wait_until,
};
use crate::wire::{HostId, Open, Role, Traffic, write_frame};

/// Publishes to every subscriber, as a control host that leads and has no endpoints.
async fn serve(
    peers: Arc<Peers>,
    incoming: mpsc::Receiver<Incoming>,
    routing: Arc<CurrentRouting>,
) {
    serve_endpoints(peers, incoming, routing, Arc::default()).await;
}

/// Publishes to every subscriber, as a control host that leads.
async fn serve_endpoints(
    peers: Arc<Peers>,
    mut incoming: mpsc::Receiver<Incoming>,
    routing: Arc<CurrentRouting>,
    registry: Arc<SharedRegistry>,
) {
    while let Some(Incoming { open, reader, writer }) = incoming.recv().await {
        assert!(matches!(open, Open::Feed { .. }));
        let publication = publication_of_leader(&peers, routing.clone(), registry.clone());
        tokio::spawn(publish(publication, peers.sent.clone(), reader, writer));
    }
}

fn table(version: u64) -> RoutingTable {
    RoutingTable { version, ..RoutingTable::default() }
}

/// A control host that publishes, a router that subscribes to it, and the routing of each.
async fn fleet(first: u8) -> ([Arc<Peers>; 2], [Arc<CurrentRouting>; 2], Arc<Subscriptions>) {
    let (control, incoming) = start(Role::Control, first, vec![]).await;
    let published = Arc::new(CurrentRouting::default());
    tokio::spawn(serve(control.clone(), incoming, published.clone()));
    let (router, _) = start(Role::Router, first + 1, vec![address(first)]).await;
    let received = Arc::new(CurrentRouting::default());
    let feeds = Subscriptions::start(router.clone(), fleet_state(&received), "a", Role::Router);
    published.adopt_table(table(1));
    wait_until(|| version(&received) == 1).await;
    ([control, router], [published, received], feeds)
}

fn fleet_state(routing: &Arc<CurrentRouting>) -> FleetState {
    FleetState { routing: routing.clone(), ..FleetState::default() }
}

fn version(routing: &CurrentRouting) -> u64 {
    routing.current().map_or(0, |routing| routing.table.version)
}

#[tokio::test]
async fn a_version_comes_into_force_despite_lost_heartbeats() {
    let ([control, router], [published, received], feeds) = fleet(1).await;
    assert!(feeds.is_current());
    control.links.set(vec![router.me], vec![], vec![]);
    let suspects = |host: HostId| router.view().suspected.iter().any(|m| m.host == host);
    wait_until(|| suspects(control.me)).await;
    assert!(!feeds.is_current(), "a suspected host may be cut off");
    published.adopt_table(table(2));
    wait_until(|| version(&received) == 2).await;
    assert!(suspects(control.me), "no heartbeat was received meanwhile");
    control.links.set(vec![], vec![], vec![]);
    wait_until(|| feeds.is_current()).await;
}

/// A table with so many routes that it is larger than everything else that is sent.
fn large_table(version: u64) -> RoutingTable {
    let numbered =
        |n| route(&format!("route-{n}"), "shop.example", &format!("/a-long-prefix-of-route-{n}/"));
    RoutingTable { version, routes: (0..2_000).map(numbered).collect(), ..table(version) }
}

#[tokio::test]
async fn a_large_table_is_sent_to_a_router_once() {
    let controls = [start(Role::Control, 11, vec![]).await, start(Role::Control, 12, vec![]).await];
    let published = [Arc::new(CurrentRouting::default()), Arc::new(CurrentRouting::default())];
    let mut hosts = Vec::new();
    for ((control, incoming), routing) in controls.into_iter().zip(&published) {
        tokio::spawn(serve(control.clone(), incoming, routing.clone()));
        hosts.push(control);
    }
    let (router, _) = start(Role::Router, 13, vec![address(11), address(12)]).await;
    let received = Arc::new(CurrentRouting::default());
    let feeds = Subscriptions::start(router, fleet_state(&received), "a", Role::Router);
    wait_until(|| feeds.open_feeds() == 2).await;
    let size = postcard::to_stdvec(&large_table(1)).unwrap().len() as u64;
    for routing in &published {
        routing.adopt_table(large_table(1));
    }
    wait_until(|| version(&received) == 1).await;
    // Once the next, small table is in force, no host still has the large one to send.
    for routing in &published {
        routing.adopt_table(table(2));
    }
    wait_until(|| version(&received) == 2).await;
    let sent: u64 = hosts.iter().map(|host| host.sent.get()).sum();
    assert!(sent < size * 3 / 2, "{sent} bytes sent, the table has {size}");
}

#[tokio::test]
async fn a_table_is_fetched_from_another_host_if_one_sends_none() {
    let (first, first_incoming) = start(Role::Control, 21, vec![]).await;
    let (second, second_incoming) = start(Role::Control, 22, vec![]).await;
    let routing = [Arc::new(CurrentRouting::default()), Arc::new(CurrentRouting::default())];
    // The first announces versions and never sends a table.
    tokio::spawn(announce(first_incoming, 3));
    tokio::spawn(serve(second, second_incoming, routing[1].clone()));
    let (router, _) = start(Role::Router, 23, vec![address(21), address(22)]).await;
    let received = Arc::new(CurrentRouting::default());
    let feeds = Subscriptions::start(router, fleet_state(&received), "a", Role::Router);
    wait_until(|| feeds.open_feeds() == 2).await;
    routing[1].adopt_table(table(2));
    wait_until(|| version(&received) == 2).await;
    assert!(!feeds.is_current(), "a newer version is announced");
    drop(first);
}

/// Announces a version to every subscriber, and sends nothing else.
async fn announce(mut incoming: mpsc::Receiver<Incoming>, version: u64) {
    let mut open = Vec::new();
    while let Some(Incoming { mut writer, .. }) = incoming.recv().await {
        write_frame(&mut writer, &FeedMessage::RoutingVersion(version)).await.unwrap();
        open.push(writer);
    }
}

/// Endpoints of one service that registered with the control host itself.
fn registered(endpoints: u32) -> Arc<SharedRegistry> {
    let registry = SharedRegistry::default();
    registry.merge((0..endpoints).map(registration), Origin::Direct);
    Arc::new(registry)
}

fn registration(number: u32) -> Registration {
    Registration {
        id: format!("i-{number:010}"),
        started_at_ms: 0,
        service: "service".into(),
        version: "v1".into(),
        address: Some(([10, 0, 0, 1], 8_080).into()),
        hall: "hall".into(),
        slots: 32,
        state: EndpointState::Ready,
        warmup_ms: 0,
        sequence: 1,
        revivals: 0,
    }
}

/// Six control hosts have the same endpoints, and only two of them send these to a router.
#[tokio::test]
async fn only_two_control_hosts_send_thousands_of_endpoints_to_a_router() {
    const ENDPOINTS: u32 = 3_000;
    let mut hosts = Vec::new();
    for number in 61..67 {
        let (control, incoming) = start(Role::Control, number, vec![]).await;
        let endpoints = registered(ENDPOINTS);
        tokio::spawn(serve_endpoints(control.clone(), incoming, Arc::default(), endpoints));
        hosts.push(control);
    }
    let seeds = (61..67).map(address).collect();
    let (router, _) = start(Role::Router, 67, seeds).await;
    let registry = Arc::new(SharedRegistry::default());
    let fleet_state = FleetState { registry: registry.clone(), ..FleetState::default() };
    let feeds = Subscriptions::start(router, fleet_state, "a", Role::Router);
    wait_until(|| feeds.open_feeds() == hosts.len()).await;
    wait_until(|| registry.read(|r| r.ready("service").count()) == ENDPOINTS as usize).await;
    let sent: Vec<_> =
        hosts.iter().map(|host| host.sent.of(Traffic::Endpoints).get_for_traffic()).collect();
    let once = postcard::to_stdvec(
        &registered(ENDPOINTS).read(|r| r.changes_after(0, usize::MAX, Scope::All)).endpoints,
    )
    .unwrap()
    .len() as u64;
    assert!(sent.iter().sum::<u64>() < once * 3, "{sent:?} bytes, {once} for one copy");
}

/// Feeds grow with the routers and changes of endpoints with the endpoints; most feeds carry none
/// of these changes.
#[tokio::test]
async fn a_feed_without_endpoints_does_not_wake_up_when_they_change() {
    let (control, _incoming) = start(Role::Control, 91, vec![]).await;
    let registry = Arc::new(SharedRegistry::default());
    let publication = publication_of_leader(&control, Arc::default(), registry.clone());
    let (_requests, receiver) = mpsc::channel(1);
    let mut feed = Feed::new(publication, receiver);
    let mut woken = async |within_ms| {
        let mut events = 0;
        let deadline = tokio::time::Instant::now() + Duration::from_millis(within_ms);
        while let Ok(event) = tokio::time::timeout_at(deadline, feed.wait()).await {
            let is_periodic = matches!(event, Event::KeepAliveDue);
            events += usize::from(!is_periodic);
            feed.message_for(event);
        }
        events
    };
    // The state at the beginning.
    woken(200).await;
    for number in 0..50 {
        registry.merge([registration(number)], Origin::Direct);
    }
    assert_eq!(woken(200).await, 0);
}
