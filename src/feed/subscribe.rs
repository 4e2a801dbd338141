//! The subscriptions of a process to the feeds of control hosts.

mod feeds;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, broadcast};

use super::host_reports::HostReports;
use super::sources::{Sources, Step};
use super::table_fetch::{Next, TableFetch};
use super::{EndpointsAfter, FeedMessage, FeedRequest, FleetState, Neighbour};
use crate::dispatch::Millis;
use crate::peer::Peers;
use crate::quarantine::CrashReport;
use crate::registry::{EndpointStart, Origin, Scope};
use crate::rollout::Report;
use crate::wire::{BatchSender, HostId, Role};

/// The number of silent hosts that are buffered for each receiver of
/// [`Subscriptions::watch_silent_hosts`].
const SILENT_HOSTS_BUFFER: usize = 64;
/// The maximum number of leaving endpoints that are reported to a control host when its feed
/// opens: more than a fleet has.
const MAX_LEAVING: usize = 2_048;
/// The interval at which this process checks whether it was stalled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long further feeds may open before the sources of endpoint updates are chosen: a few
/// times as long as it takes to connect between data halls.
const SOURCES_DELAY: Duration = Duration::from_millis(100);

/// The subscriptions of a process to all control hosts.
#[derive(Debug)]
pub struct Subscriptions {
    peers: Arc<Peers>,
    fleet_state: FleetState,
    reports: Mutex<HostReports>,
    table_sources: Mutex<TableSources>,
    tables_changed: Notify,
    sources: Mutex<Sources>,
    sources_changed: Notify,
    /// The numbering of each control host, and the number of the last change of endpoints
    /// received from it. Kept for each scope, since one leaves out changes that the other
    /// contains.
    received_upto: Mutex<BTreeMap<(HostId, Scope), (u64, u64)>>,
    neighbours: Mutex<Arc<Vec<Neighbour>>>,
    silent: broadcast::Sender<HostId>,
    role: Role,
}

/// The fetching of routing tables, and the senders of requests to control hosts.
#[derive(Debug, Default)]
struct TableSources {
    fetch: TableFetch,
    requests: BTreeMap<HostId, BatchSender<FeedRequest>>,
}

impl Subscriptions {
    /// Subscribes to every known control host except this one, as a host of `role` in the data
    /// hall `hall`, and updates `fleet_state` by what it receives.
    pub fn start(
        peers: Arc<Peers>,
        fleet_state: FleetState,
        hall: &str,
        role: Role,
    ) -> Arc<Subscriptions> {
        let sources = Mutex::new(Sources::new(peers.me, hall, role));
        let subscriptions = Arc::new(Subscriptions {
            peers,
            fleet_state,
            reports: Mutex::default(),
            table_sources: Mutex::default(),
            tables_changed: Notify::new(),
            sources,
            sources_changed: Notify::new(),
            received_upto: Mutex::default(),
            neighbours: Mutex::default(),
            silent: broadcast::Sender::new(SILENT_HOSTS_BUFFER),
            role,
        });
        tokio::spawn(feeds::follow_view(subscriptions.clone()));
        tokio::spawn(fetch_tables(subscriptions.clone()));
        tokio::spawn(choose_sources(subscriptions.clone()));
        tokio::spawn(watch_stalls(subscriptions.clone()));
        subscriptions
    }

    /// The leader of the highest term that a live control host reports.
    pub fn leader(&self) -> Option<HostId> {
        let view = self.peers.view();
        self.reports().leader(|host| view.get(host).is_some())
    }

    /// The term and host of the same leader.
    pub fn leadership(&self) -> Option<(u64, HostId)> {
        let view = self.peers.view();
        self.reports().leadership(|host| view.get(host).is_some())
    }

    /// Whether the routing in force here is the newest, apart from messages in transit: a live
    /// control host that reports the leader and has caught up with it sends every change, and
    /// its feed works.
    pub fn is_current(&self) -> bool {
        let view = self.peers.view();
        let is_live = |host| view.get(host).is_some();
        self.reports().is_confirmed(self.peers.clock.now(), is_live)
            && !self.table_sources().fetch.is_behind(self.held_version())
    }

    /// The version of the routing in force here; 0 before the first.
    fn held_version(&self) -> u64 {
        self.fleet_state.routing.current().map_or(0, |routing| routing.table.version)
    }

    /// The number of routers in the fleet, by the latest reports of control hosts.
    pub fn router_count(&self) -> usize {
        self.reports().router_count(self.peers.clock.now())
    }

    /// Whether news of control hosts arrive here: all open feeds, of which there is one or more,
    /// delivered something in the last `max_silence_ms`.
    pub fn hears_all(&self, max_silence_ms: Millis) -> bool {
        self.reports().hears_all(self.peers.clock.now(), max_silence_ms)
    }

    /// The number of control hosts whose feeds are open.
    pub fn open_feeds(&self) -> usize {
        self.reports().open_feeds()
    }

    /// Milliseconds since any feed delivered something; `None` without an open feed.
    pub fn shortest_silence_ms(&self) -> Option<Millis> {
        self.reports().shortest_silence_ms(self.peers.clock.now())
    }

    /// Milliseconds since the feed that is silent longest delivered something; `None` without
    /// an open feed.
    pub fn longest_silence_ms(&self) -> Option<Millis> {
        self.reports().longest_silence_ms(self.peers.clock.now())
    }

    /// Receives the control hosts whose feeds fell silent: other connections to them may be
    /// dead too.
    pub fn watch_silent_hosts(&self) -> broadcast::Receiver<HostId> {
        self.silent.subscribe()
    }

    /// The newest routing version that an open feed has announced; 0 for none.
    pub fn newest_announced_version(&self) -> u64 {
        self.table_sources().fetch.newest_announced_version()
    }

    fn reports(&self) -> MutexGuard<'_, HostReports> {
        lock(&self.reports)
    }

    fn table_sources(&self) -> MutexGuard<'_, TableSources> {
        lock(&self.table_sources)
    }

    fn on_feed_opened(&self, host: HostId, requests: BatchSender<FeedRequest>) {
        self.reports().on_feed_opened(self.peers.clock.now(), host);
        self.send_leaving(&requests);
        self.table_sources().requests.insert(host, requests);
        let hall = self.peers.view().known(host).map(|m| m.hall.clone()).unwrap_or_default();
        lock(&self.sources).on_feed_opened(host, &hall);
        self.sources_changed.notify_one();
    }

    /// Reports the leaving endpoints to a control host that was out of reach: it may have
    /// recorded endpoints as ready that announced to this router that they are leaving.
    fn send_leaving(&self, requests: &BatchSender<FeedRequest>) {
        let leaving = self.fleet_state.registry.read(|registry| registry.leaving(MAX_LEAVING));
        if self.role == Role::Router && !leaving.is_empty() {
            // The reader of a closed feed reports the error.
            let _ = requests.send(FeedRequest::LeavingEndpoints(leaving).into());
        }
    }

    fn on_feed_lost(&self, host: HostId) {
        self.reports().on_feed_lost(host);
        let mut table_sources = self.table_sources();
        table_sources.requests.remove(&host);
        table_sources.fetch.on_feed_lost(host);
        drop(table_sources);
        self.tables_changed.notify_one();
        lock(&self.sources).on_feed_lost(host);
        self.update_sources();
    }

    /// Starts and stops the endpoint updates of control hosts as needed.
    fn update_sources(&self) {
        let leader = self.leader();
        let steps = lock(&self.sources).update(leader);
        for step in steps {
            let (host, request) = match step {
                Step::Subscribe(host, scope) => {
                    (host, FeedRequest::Endpoints(self.endpoints_after(host, scope)))
                }
                Step::Unsubscribe(host) => (host, FeedRequest::NoEndpoints),
            };
            log::info!("feed: requested from control host {host}: {request:?}");
            if let Some(requests) = self.table_sources().requests.get(&host) {
                // The reader of a closed feed reports the error.
                let _ = requests.send(request.into());
            }
        }
    }

    fn endpoints_after(&self, host: HostId, scope: Scope) -> EndpointsAfter {
        let (numbering, change) =
            lock(&self.received_upto).get(&(host, scope)).copied().unwrap_or_default();
        EndpointsAfter { numbering, change, scope }
    }

    /// The other routers of this one's data hall, as last received.
    pub fn neighbours(&self) -> Arc<Vec<Neighbour>> {
        lock(&self.neighbours).clone()
    }

    /// Requests the routers of a data hall from a control host.
    pub fn request_neighbours(&self, hall: &str) {
        let chosen = lock(&self.sources).any(self.leader());
        let table_sources = self.table_sources();
        if let Some(requests) = chosen.and_then(|host| table_sources.requests.get(&host)) {
            let request = FeedRequest::Neighbours { hall: hall.to_string() };
            // The reader of a closed feed reports the error.
            let _ = requests.send(request.into());
        }
    }

    /// Reports endpoints that announced to this router that they are leaving to every reachable
    /// control host: the one that they registered with may be out of reach.
    pub fn report_leaving(&self, starts: &[EndpointStart]) {
        for requests in self.table_sources().requests.values() {
            let request = FeedRequest::LeavingEndpoints(starts.to_vec());
            // The reader of a closed feed reports the error.
            let _ = requests.send(request.into());
        }
    }

    /// Reports to the leader what this router observed of releases that are rolled out.
    /// Returns false if no leader is reachable.
    pub fn report_rollouts(&self, report: Report) -> bool {
        self.send_to_leader(FeedRequest::RolloutReport(report))
    }

    /// Reports to the leader what this router observed of crashes. Returns false if no leader
    /// is reachable.
    pub fn report_crashes(&self, report: CrashReport) -> bool {
        self.send_to_leader(FeedRequest::CrashReport(report))
    }

    fn send_to_leader(&self, report: FeedRequest) -> bool {
        let leader = self.leader();
        let table_sources = self.table_sources();
        let requests = leader.and_then(|leader| table_sources.requests.get(&leader));
        requests.is_some_and(|requests| requests.send(report.into()).is_ok())
    }

    fn adopt_neighbours(&self, mut routers: Vec<Neighbour>) {
        routers.retain(|router| router.host != self.peers.me);
        let known = Arc::new(routers);
        *lock(&self.neighbours) = known;
    }

    fn request_table(&self, host: HostId, held: u64) {
        log::info!("feed: requesting from control host {host} a routing newer than version {held}");
        if let Some(requests) = self.table_sources().requests.get(&host) {
            // The reader of a closed feed reports the error.
            let _ = requests.send(FeedRequest::Routing.into());
        }
    }

    fn apply(&self, from: HostId, message: FeedMessage) {
        match message {
            FeedMessage::RoutingVersion(version) => {
                self.table_sources().fetch.record_announcement(from, version);
                self.tables_changed.notify_one();
            }
            FeedMessage::Routing { version, encoded } => {
                let reported = self.reports().reported_leader(from);
                log::info!(
                    "feed: control host {from} sent routing version {version}, term {}, \
                     leader {:?}, caught up {}",
                    reported.term,
                    reported.leader,
                    reported.has_caught_up,
                );
                if let Err(error) = self.fleet_state.routing.adopt_encoded(version, &encoded) {
                    log::error!("feed: routing version {version} of host {from}: {error}");
                }
                self.table_sources().fetch.record_delivery(from);
                self.tables_changed.notify_one();
            }
            FeedMessage::Endpoints { numbering, upto, scope, endpoints } => {
                self.fleet_state.registry.merge(endpoints, Origin::Relayed);
                lock(&self.received_upto).insert((from, scope), (numbering, upto));
            }
            FeedMessage::DrainedHalls(drained) => self.fleet_state.registry.adopt_drained(drained),
            FeedMessage::Rollouts(rollouts) => {
                self.fleet_state.rollouts.adopt(rollouts, &self.fleet_state.registry);
            }
            FeedMessage::Grants(grants) => {
                let now = self.peers.clock.now();
                // Their time limit counts from their arrival, which was long ago if this process
                // was stalled.
                if self.reports().is_fresh(now, from) {
                    self.fleet_state.rollouts.adopt_grants(now, grants);
                }
            }
            FeedMessage::ProbeAnswer { stall } => self.reports().record_probe_answer(from, stall),
            FeedMessage::Quarantine(update) => self.fleet_state.quarantine.adopt(update),
            FeedMessage::Neighbours(routers) => self.adopt_neighbours(routers),
            FeedMessage::Remembered(endpoints) => self.fleet_state.registry.remember(endpoints),
            FeedMessage::Routers(routers) => {
                let now = self.peers.clock.now();
                self.reports().set_router_count(now, from, routers as usize);
            }
            FeedMessage::Leader(leader) => self.reports().set_leader(from, leader),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Requests the newest routing table whenever it is not in force here.
async fn fetch_tables(subscriptions: Arc<Subscriptions>) {
    loop {
        let (now, held, leader) =
            (subscriptions.peers.clock.now(), subscriptions.held_version(), subscriptions.leader());
        let next = subscriptions.table_sources().fetch.next(now, held, leader);
        match next {
            Next::Nothing => subscriptions.tables_changed.notified().await,
            Next::Wait(wait_ms) => {
                let wait = Duration::from_millis(wait_ms);
                // It checks again after either, the time-out or a change.
                let _ = tokio::time::timeout(wait, subscriptions.tables_changed.notified()).await;
            }
            Next::Request(host) => subscriptions.request_table(host, held),
        }
    }
}

/// Chooses the sources of endpoint updates after feeds have opened. Hosts that start together
/// open their feeds at nearly the same time, and the control host whose feeds open first must
/// not become the source of all of them.
async fn choose_sources(subscriptions: Arc<Subscriptions>) {
    loop {
        subscriptions.sources_changed.notified().await;
        tokio::time::sleep(SOURCES_DELAY).await;
        subscriptions.update_sources();
    }
}

/// Probes the control hosts whenever this process was stalled.
async fn watch_stalls(subscriptions: Arc<Subscriptions>) {
    loop {
        let was_stalled = subscriptions.reports().tick(subscriptions.peers.clock.now());
        if was_stalled {
            log::info!("feed: this process was stalled, probing control hosts");
        }
        let (stall, silent) = subscriptions.reports().silent_since_stall();
        for host in silent {
            if let Some(requests) = subscriptions.table_sources().requests.get(&host) {
                // The reader of a closed feed reports the error.
                let _ = requests.send(FeedRequest::Probe { stall }.into());
            }
        }
        tokio::time::sleep(STALL_CHECK_INTERVAL).await;
    }
}
