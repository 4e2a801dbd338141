//! The subscribers' side: what is known, and who tells it.

mod feeds;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, broadcast};

use super::news::News;
use super::sources::{Sources, Step};
use super::table_fetch::{Next, TableFetch};
use super::{EndpointsAfter, FeedMessage, FeedRequest, FleetState, Neighbour};
use crate::dispatch::Millis;
use crate::peer::Peers;
use crate::quarantine::CrashReport;
use crate::registry::{EndpointStart, Origin, Scope};
use crate::rollout::Report;
use crate::wire::{BatchSender, HostId, Role};

/// Control hosts whose feeds may fall silent at one moment and still be told one by one.
const MOST_SILENT: usize = 64;
/// Endpoints that leave of which a control host is told at most when its feed opens: more
/// than a fleet has.
const MOST_LEAVING: usize = 2_048;
/// How often it is looked whether this process stood still.
const TICK: Duration = Duration::from_millis(200);
/// How long feeds may go on opening before it is chosen who tells of endpoints: a few
/// times what a connection between data halls takes.
const SOURCES_SETTLE: Duration = Duration::from_millis(100);

/// The feeds that a process follows.
#[derive(Debug)]
pub struct Subscriptions {
    peers: Arc<Peers>,
    fleet_state: FleetState,
    news: Mutex<News>,
    tables: Mutex<Tables>,
    tables_changed: Notify,
    sources: Mutex<Sources>,
    sources_changed: Notify,
    /// Whose numbers each control host uses, and the last change of endpoints that it
    /// told; of each scope for itself, since the one leaves out what the other contains.
    told: Mutex<BTreeMap<(HostId, Scope), (u64, u64)>>,
    neighbours: Mutex<Arc<Vec<Neighbour>>>,
    silent: broadcast::Sender<HostId>,
    role: Role,
}

/// Where routing tables are to be had.
#[derive(Debug, Default)]
struct Tables {
    fetch: TableFetch,
    requests: BTreeMap<HostId, BatchSender<FeedRequest>>,
}

impl Subscriptions {
    /// Follows every control host that is known but this one, as a host of `role`.
    pub fn start(
        peers: Arc<Peers>,
        fleet_state: FleetState,
        hall: &str,
        role: Role,
    ) -> Arc<Subscriptions> {
        let sources = Mutex::new(Sources::new(peers.me, hall, role));
        let all = Arc::new(Subscriptions {
            peers,
            fleet_state,
            news: Mutex::default(),
            tables: Mutex::default(),
            tables_changed: Notify::new(),
            sources,
            sources_changed: Notify::new(),
            told: Mutex::default(),
            neighbours: Mutex::default(),
            silent: broadcast::Sender::new(MOST_SILENT),
            role,
        });
        tokio::spawn(feeds::follow_view(all.clone()));
        tokio::spawn(fetch_tables(all.clone()));
        tokio::spawn(choose_sources(all.clone()));
        tokio::spawn(watch_wakings(all.clone()));
        all
    }

    /// The leader that the newest news of a live control host names.
    pub fn leader(&self) -> Option<HostId> {
        let view = self.peers.view();
        self.news().leader(|host| view.get(host).is_some())
    }

    /// The same, and its term.
    pub fn leadership(&self) -> Option<(u64, HostId)> {
        let view = self.peers.view();
        self.news().leadership(|host| view.get(host).is_some())
    }

    /// Whether the routing in force here is the newest, but for what is on its way: a
    /// live control host that hears the leader, has caught up with it and is heard tells
    /// every change.
    pub fn is_current(&self) -> bool {
        let view = self.peers.view();
        let is_live = |host| view.get(host).is_some();
        self.news().is_confirmed(self.peers.clock.now(), is_live)
            && !self.tables().fetch.is_behind(self.held())
    }

    /// The version of the routing in force here; 0 before the first.
    fn held(&self) -> u64 {
        self.fleet_state.documents.current().map_or(0, |routing| routing.table.version)
    }

    /// Routers in the fleet, as far as control hosts last said.
    pub fn router_count(&self) -> usize {
        self.news().routers(self.peers.clock.now())
    }

    /// Control hosts whose feeds are open.
    pub fn open_feeds(&self) -> usize {
        self.news().open_feeds()
    }

    /// Milliseconds since any control host said anything by feed; none without a feed.
    pub fn shortest_silence_ms(&self) -> Option<Millis> {
        self.news().shortest_silence_ms(self.peers.clock.now())
    }

    /// Milliseconds for which the feed that is silent longest has said nothing.
    pub fn longest_silence_ms(&self) -> Option<Millis> {
        self.news().longest_silence_ms(self.peers.clock.now())
    }

    /// Tells of control hosts whose feeds fell silent: other connections to them may be
    /// dead too.
    pub fn watch_silent_hosts(&self) -> broadcast::Receiver<HostId> {
        self.silent.subscribe()
    }

    /// The newest routing version that an open feed has announced; 0 for none.
    pub fn newest_announced_version(&self) -> u64 {
        self.tables().fetch.newest_announced_version()
    }

    fn news(&self) -> MutexGuard<'_, News> {
        lock(&self.news)
    }

    fn tables(&self) -> MutexGuard<'_, Tables> {
        lock(&self.tables)
    }

    fn opened(&self, host: HostId, requests: BatchSender<FeedRequest>) {
        self.news().opened(self.peers.clock.now(), host);
        self.tell_leaving(&requests);
        self.tables().requests.insert(host, requests);
        let hall = self.peers.view().known(host).map(|m| m.hall.clone()).unwrap_or_default();
        lock(&self.sources).opened(host, &hall);
        self.sources_changed.notify_one();
    }

    /// A control host that was out of reach may know endpoints as ready that told this
    /// router that they leave.
    fn tell_leaving(&self, requests: &BatchSender<FeedRequest>) {
        let leaving = self.fleet_state.registry.read(|registry| registry.leaving(MOST_LEAVING));
        if self.role == Role::Router && !leaving.is_empty() {
            // A feed that has closed is noticed by its reader.
            let _ = requests.send(FeedRequest::EndpointsLeave(leaving).into());
        }
    }

    fn lost(&self, host: HostId) {
        self.news().lost(host);
        let mut tables = self.tables();
        tables.requests.remove(&host);
        tables.fetch.lost(host);
        drop(tables);
        self.tables_changed.notify_one();
        lock(&self.sources).lost(host);
        self.settle_sources();
    }

    /// Asks control hosts to tell of endpoints, or to tell no more.
    fn settle_sources(&self) {
        let leader = self.leader();
        let steps = lock(&self.sources).settle(leader);
        for step in steps {
            let (host, request) = match step {
                Step::Ask(host, scope) => {
                    (host, FeedRequest::Endpoints(self.endpoints_after(host, scope)))
                }
                Step::Leave(host) => (host, FeedRequest::NoEndpoints),
            };
            log::info!("feed: control host {host} is asked: {request:?}");
            if let Some(requests) = self.tables().requests.get(&host) {
                // A feed that has closed is noticed by its reader.
                let _ = requests.send(request.into());
            }
        }
    }

    fn endpoints_after(&self, host: HostId, scope: Scope) -> EndpointsAfter {
        let (numbering, change) = lock(&self.told).get(&(host, scope)).copied().unwrap_or_default();
        EndpointsAfter { numbering, change, scope, with_gone: self.role == Role::Control }
    }

    /// The other routers of this one's data hall, as last told.
    pub fn neighbours(&self) -> Arc<Vec<Neighbour>> {
        lock(&self.neighbours).clone()
    }

    /// Asks a control host for the routers of a data hall, the leader only where there
    /// is no other: it has most to do.
    pub fn ask_for_neighbours(&self, hall: &str) {
        let leader = self.leader();
        let tables = self.tables();
        let asked = tables.requests.iter().min_by_key(|(host, _)| Some(**host) == leader);
        if let Some((_, requests)) = asked {
            let request = FeedRequest::Neighbours { hall: hall.to_string() };
            // A feed that has closed is noticed by its reader.
            let _ = requests.send(request.into());
        }
    }

    /// Tells every control host in reach of endpoints that told this router that they
    /// leave: the one that they told themselves may be out of reach.
    pub fn report_leaving(&self, starts: &[EndpointStart]) {
        for requests in self.tables().requests.values() {
            let request = FeedRequest::EndpointsLeave(starts.to_vec());
            // A feed that has closed is noticed by its reader.
            let _ = requests.send(request.into());
        }
    }

    /// Reports to the leader what this router saw of releases that are rolled out; false
    /// where no leader is in reach.
    pub fn report_rollouts(&self, report: Report) -> bool {
        self.tell_leader(FeedRequest::RolloutReport(report))
    }

    /// Reports to the leader what this router saw of crashes; false where no leader is in
    /// reach.
    pub fn report_crashes(&self, report: CrashReport) -> bool {
        self.tell_leader(FeedRequest::CrashReport(report))
    }

    fn tell_leader(&self, report: FeedRequest) -> bool {
        let leader = self.leader();
        let tables = self.tables();
        let requests = leader.and_then(|leader| tables.requests.get(&leader));
        requests.is_some_and(|requests| requests.send(report.into()).is_ok())
    }

    fn adopt_neighbours(&self, mut routers: Vec<Neighbour>) {
        routers.retain(|router| router.host != self.peers.me);
        let known = Arc::new(routers);
        *lock(&self.neighbours) = known;
    }

    fn ask_for_table(&self, host: HostId, held: u64) {
        log::info!("feed: asks control host {host} for a routing newer than version {held}");
        if let Some(requests) = self.tables().requests.get(&host) {
            // A feed that has closed is noticed by its reader.
            let _ = requests.send(FeedRequest::Routing.into());
        }
    }

    fn take(&self, from: HostId, message: FeedMessage) {
        match message {
            FeedMessage::RoutingVersion(version) => {
                self.tables().fetch.announced(from, version);
                self.tables_changed.notify_one();
            }
            FeedMessage::Routing { version, encoded } => {
                if let Err(error) = self.fleet_state.documents.adopt_encoded(version, &encoded) {
                    log::error!("feed: routing version {version} of host {from}: {error}");
                }
                self.tables().fetch.delivered(from);
                self.tables_changed.notify_one();
            }
            FeedMessage::Endpoints { numbering, upto, scope, endpoints } => {
                self.fleet_state.registry.merge(endpoints, Origin::Relayed);
                lock(&self.told).insert((from, scope), (numbering, upto));
            }
            FeedMessage::DrainedHalls(drained) => self.fleet_state.registry.adopt_drained(drained),
            FeedMessage::Rollouts(rollouts) => {
                self.fleet_state.rollouts.adopt(rollouts, &self.fleet_state.registry);
            }
            FeedMessage::Grants(grants) => {
                let now = self.peers.clock.now();
                // They hold from their arrival on: where this process stood still, they
                // arrived long ago.
                if self.news().speaks_now(now, from) {
                    self.fleet_state.rollouts.adopt_grants(now, grants);
                }
            }
            FeedMessage::Speaks { waking } => self.news().spoke_since(from, waking),
            FeedMessage::Quarantine(news) => self.fleet_state.quarantine.adopt(news),
            FeedMessage::Neighbours(routers) => self.adopt_neighbours(routers),
            FeedMessage::Remembered(endpoints) => self.fleet_state.registry.remember(endpoints),
            FeedMessage::Routers(routers) => {
                let now = self.peers.clock.now();
                self.news().set_routers(now, from, routers as usize);
            }
            FeedMessage::Leader(leader) => self.news().set_leader(from, leader),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Asks for the newest routing table whenever it is not in force here.
async fn fetch_tables(all: Arc<Subscriptions>) {
    loop {
        let (now, held, leader) = (all.peers.clock.now(), all.held(), all.leader());
        let next = all.tables().fetch.next(now, held, leader);
        match next {
            Next::Nothing => all.tables_changed.notified().await,
            Next::Wait(wait_ms) => {
                let wait = Duration::from_millis(wait_ms);
                // Elapsed or told: either way it looks again.
                let _ = tokio::time::timeout(wait, all.tables_changed.notified()).await;
            }
            Next::Ask(host) => all.ask_for_table(host, held),
        }
    }
}

/// Chooses who tells of endpoints when feeds have opened. Hosts that start together open
/// their feeds within moments, and the first to do so must not have to tell everybody.
async fn choose_sources(all: Arc<Subscriptions>) {
    loop {
        all.sources_changed.notified().await;
        tokio::time::sleep(SOURCES_SETTLE).await;
        all.settle_sources();
    }
}

/// Asks control hosts to speak whenever this process has stood still.
async fn watch_wakings(all: Arc<Subscriptions>) {
    loop {
        let stood_still = all.news().tick(all.peers.clock.now());
        if stood_still {
            log::info!("feed: this process stood still, control hosts are asked to speak");
        }
        let (waking, silent) = all.news().not_spoken();
        for host in silent {
            if let Some(requests) = all.tables().requests.get(&host) {
                // A feed that has closed is noticed by its reader.
                let _ = requests.send(FeedRequest::Speak { waking }.into());
            }
        }
        tokio::time::sleep(TICK).await;
    }
}
