//! State shared by the parts of a router.

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::dispatchers::Dispatchers;
use super::link::Link;
use super::notices::EndpointNotices;

use crate::admission::Admission;
use crate::claim::ClaimClient;
use crate::config::{Config, CustomerId, EndpointId, HallSet, ServiceId};
use crate::delivery::{EndpointClient, HttpClient, RetryBudget};
use crate::feed::{FleetState, Subscriptions};
use crate::host_list;
use crate::peer::Peers;
use crate::quarantine::{CrashGuard, report_crashes};
use crate::request_body::RequestMemory;
use crate::settings::{DispatchMode, RouterSettings};
use crate::spread::{self, CurrentConfig};
use crate::telemetry::{Metrics, RequestId, Trace};
use crate::wire::Role;

/// Endpoints that accept no new requests.
pub type LeavingEndpoints = Arc<BTreeSet<EndpointId>>;

/// Interval at which counters of other modules are copied to the metrics.
const METRICS_INTERVAL: Duration = Duration::from_millis(500);

/// A router: its settings and the state that its parts share.
#[derive(Debug)]
pub struct Router {
    /// Settings of this router.
    pub settings: RouterSettings,
    /// Connections to the other hosts, and the view of them.
    pub peers: Arc<Peers>,
    /// The configuration in force and its history.
    pub configs: Arc<CurrentConfig>,
    /// Dispatchers that run on this host.
    pub dispatchers: Dispatchers,
    /// Recent decisions, for `explain`.
    pub trace: Arc<Trace>,
    /// Metrics of this router.
    pub metrics: Metrics,
    /// HTTP client for calls to endpoints.
    pub endpoint_client: EndpointClient,
    /// The bytes of requests that are held.
    pub request_memory: Arc<RequestMemory>,
    /// Refuses requests that crash endpoints.
    pub guard: Arc<CrashGuard>,
    /// Subscriptions to the feeds of control hosts.
    pub feeds: Arc<Subscriptions>,
    /// Client for claims of run-once calls.
    pub claims: ClaimClient,
    /// Cancelled to begin a planned stop.
    pub stop: CancellationToken,
    /// Notices that endpoints gave in their answers.
    pub(super) notices: EndpointNotices,
    /// Run-once calls in progress; a planned stop waits for them.
    pub run_once_calls: TaskTracker,
    pub(super) leaving: watch::Sender<LeavingEndpoints>,
    pub(super) reach: watch::Sender<HallSet>,
    pub(super) admission: Mutex<Admission>,
    budgets: Mutex<HashMap<CustomerId, RetryBudget>>,
    links: Mutex<HashMap<ServiceId, Link>>,
    next_seq: AtomicU64,
    stopping: AtomicBool,
}

impl Router {
    /// Creates a router; `stop` is cancelled to begin a planned stop.
    pub fn new(
        settings: RouterSettings,
        peers: Arc<Peers>,
        stop: CancellationToken,
    ) -> Arc<Router> {
        let configs = Arc::new(CurrentConfig::default());
        let leaving = watch::Sender::new(LeavingEndpoints::default());
        let trace = Arc::new(Trace::default());
        let divisor = match settings.dispatch {
            DispatchMode::Fleet => 1,
            DispatchMode::Alone => settings.alone_routers,
        };
        let dispatchers = Dispatchers::new(
            peers.clone(),
            configs.clone(),
            leaving.subscribe(),
            trace.clone(),
            divisor,
        );
        let claims = ClaimClient::start(peers.clone());
        let fleet_state = FleetState::default();
        let guard =
            Arc::new(CrashGuard::new(fleet_state.quarantine.clone(), peers.me, peers.clock));
        let hall = settings.host.hall.clone();
        let endpoint_client = EndpointClient::new(settings.answers);
        let request_memory = RequestMemory::new(settings.requests.max_held_bytes());
        let feeds = Subscriptions::start(peers.clone(), fleet_state, &hall, Role::Router);
        Arc::new(Router {
            claims,
            guard,
            feeds,
            stop,
            settings,
            peers,
            configs,
            dispatchers,
            trace,
            metrics: Metrics::default(),
            endpoint_client,
            request_memory,
            notices: EndpointNotices::default(),
            run_once_calls: TaskTracker::new(),
            leaving,
            reach: watch::Sender::new(HallSet::ALL),
            admission: Mutex::default(),
            budgets: Mutex::default(),
            links: Mutex::default(),
            next_seq: AtomicU64::new(1),
            stopping: AtomicBool::new(false),
        })
    }

    /// Starts the background tasks.
    pub(super) fn start_tasks(self: &Arc<Self>) {
        tokio::spawn(spread::pull_updates(self.configs.clone(), self.peers.clone()));
        tokio::spawn(follow_platform(self.clone()));
        tokio::spawn(super::reach::follow(self.clone()));
        tokio::spawn(copy_metrics(self.clone()));
        tokio::spawn(report_crashes(self.guard.clone(), self.feeds.clone()));
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.configs.current()
    }

    /// Returns the id for a new request.
    pub(super) fn next_id(&self) -> RequestId {
        RequestId {
            router: self.peers.me,
            incarnation: self.peers.incarnation,
            seq: self.next_seq.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Returns the link to the dispatcher of `service`, starting it if necessary.
    pub(super) fn link(self: &Arc<Self>, service: ServiceId) -> Link {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(service).or_insert_with(|| Link::start(self, service));
        link.clone()
    }

    /// Whether an endpoint accepts no new requests, according to the configuration, the platform or
    /// its own notice. An undeclared endpoint counts as leaving.
    pub(super) fn is_leaving(&self, endpoint: EndpointId) -> bool {
        let declared = self.config().endpoints.get(&endpoint).is_none_or(|e| e.leaving);
        declared || self.leaving.borrow().contains(&endpoint) || self.notices.is_leaving(endpoint)
    }

    /// Calls `f` with a customer's retry budget.
    pub(super) fn with_budget<T>(
        &self,
        id: CustomerId,
        f: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        f(budgets.entry(id).or_default())
    }

    /// Whether a newer configuration may have been accepted out of reach: the live control hosts
    /// do not outnumber the suspected ones, so they may be no majority.
    pub fn is_stale(&self) -> bool {
        let view = self.peers.view();
        let live = view.with_role(Role::Control).count();
        let suspected = view.suspected.iter().filter(|m| m.role == Role::Control).count();
        live <= suspected
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop: new requests are refused, and dispatchers move to other hosts.
    pub fn begin_stop(&self) {
        log::info!("router: planned stop begins");
        self.stopping.store(true, Ordering::Relaxed);
        self.peers.set_draining();
    }

    /// Waits for run-once calls in progress, including those whose callers have disconnected.
    pub(super) async fn finish_run_once_calls(&self) {
        self.run_once_calls.close();
        self.run_once_calls.wait().await;
    }
}

async fn follow_platform(router: Arc<Router>) {
    let Some(address) = router.settings.platform else {
        return;
    };
    let client = HttpClient::default();
    loop {
        if let Some(list) = host_list::fetch(&client, address).await {
            let config = router.config();
            let ids = list.leaving().filter_map(|n| config.endpoint_ids.get(n).copied());
            let ids: BTreeSet<_> = ids.collect();
            router.leaving.send_if_modified(|current| {
                let changed = **current != ids;
                if changed {
                    log::info!("platform: {} endpoints are leaving", ids.len());
                    *current = Arc::new(ids);
                }
                changed
            });
        }
        tokio::time::sleep(host_list::POLL_INTERVAL).await;
    }
}

async fn copy_metrics(router: Arc<Router>) {
    let mut version = router.configs.watch();
    loop {
        let sent = router.peers.sent.get();
        let counted = router.metrics.control_bytes.get();
        router.metrics.control_bytes.inc_by(sent.saturating_sub(counted));
        let in_force = version.borrow_and_update().version;
        router.metrics.config_version.set(in_force as i64);
        router.peers.set_version(in_force);
        tokio::select! {
            () = tokio::time::sleep(METRICS_INTERVAL) => {}
            changed = version.changed() => if changed.is_err() { return },
        }
    }
}
