//! State shared by the parts of a gateway.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::budget::RetryBudgets;
use super::connections::Connections;
use super::endpoints::{ColdLimit, EndpointTracker, Failure};
use super::header_names::HeaderNames;
use super::neighbours::Neighbours;
use super::overload::Overload;
use super::planned_stop::PlannedStop;
use super::records::StreamRecords;
use super::rollouts::Releases;
use crate::answer::AnswerMemory;
use crate::caller_connection::OpenAnswers;
use crate::dispatch::Millis;
use crate::feed::{FleetState, Subscriptions};
use crate::loop_lag::LoopLag;
use crate::peer::Peers;
use crate::placement::{LocalPlacer, PlacementClient};
use crate::quarantine::{CrashGuard, KnownStarts, SharedQuarantine};
use crate::registry::{EndpointState, Registration, Scope, SharedRegistry};
use crate::request_body::RequestMemory;
use crate::resumption::{RecentLosses, VersionHistory};
use crate::rollout::SharedRollouts;
use crate::routing::CurrentRouting;
use crate::settings::{GatewaySettings, RouterSettings};
use crate::telemetry::GatewayMetrics;
use crate::wire::Role;

/// A gateway and the state that its parts share.
pub struct Gateway {
    /// Settings of the router.
    pub settings: RouterSettings,
    /// Settings of the gateway.
    pub rules: GatewaySettings,
    /// Connections to the other hosts.
    pub peers: Arc<Peers>,
    /// The routing in force.
    pub routing: Arc<CurrentRouting>,
    /// Registrations of endpoints.
    pub registry: Arc<SharedRegistry>,
    /// Releases that are rolled out.
    pub rollouts: Arc<SharedRollouts>,
    /// Refuses requests that crash endpoints.
    pub guard: Arc<CrashGuard>,
    /// Subscriptions to the control hosts.
    pub feeds: Arc<Subscriptions>,
    /// Client of the placer, which chooses engines.
    pub placements: Arc<PlacementClient>,
    /// Header names of requests and answers.
    pub header_names: Arc<HeaderNames>,
    /// Connections to endpoints.
    pub connections: Connections,
    /// The bytes of incomplete answers that are held.
    pub(super) answer_memory: Arc<AnswerMemory>,
    /// The bytes of requests that are held.
    pub(super) request_memory: Arc<RequestMemory>,
    /// Records of streams that may be resumed.
    pub(super) records: Arc<StreamRecords>,
    /// Answers to callers that are not yet written in full.
    pub answers: Arc<OpenAnswers>,
    /// Metrics of the gateway.
    pub metrics: GatewayMetrics,
    /// Cancelled when a planned stop begins.
    pub stop: CancellationToken,
    pub(super) endpoints: Mutex<EndpointTracker>,
    /// Ids of endpoints with a start check in progress.
    start_checks: Mutex<BTreeSet<String>>,
    /// Notified when a start check has ended.
    pub(super) start_checks_ended: Notify,
    pub(super) budgets: Mutex<RetryBudgets>,
    releases: Mutex<Releases>,
    losses: Arc<Mutex<RecentLosses>>,
    versions: Mutex<VersionHistory>,
    overload: Arc<Mutex<Overload>>,
    neighbours: Mutex<Neighbours>,
    /// How far a planned stop has come.
    pub(super) planned_stop: PlannedStop,
    in_flight: AtomicUsize,
    handing_over: AtomicUsize,
    next_number: AtomicU64,
}

impl Gateway {
    pub(super) fn new(
        settings: RouterSettings,
        rules: GatewaySettings,
        peers: Arc<Peers>,
        header_names: Arc<HeaderNames>,
        stop: CancellationToken,
    ) -> Arc<Gateway> {
        let routing = Arc::new(CurrentRouting::default());
        let registry = Arc::new(SharedRegistry::default());
        let rollouts = Arc::new(SharedRollouts::default());
        let hall = settings.host.hall.clone();
        let quarantine = Arc::new(SharedQuarantine::default());
        let guard = Arc::new(CrashGuard::new(quarantine.clone(), peers.me, peers.clock));
        let fleet_state = FleetState {
            routing: routing.clone(),
            registry: registry.clone(),
            rollouts: rollouts.clone(),
            quarantine,
        };
        let feeds = Subscriptions::start(peers.clone(), fleet_state, &hall, Role::Router);
        let regions = settings.host.regions.clone();
        let local =
            LocalPlacer::new(peers.me, peers.clock, routing.clone(), registry.clone(), regions);
        let overload = Arc::new(Mutex::new(Overload::new(rules.overload)));
        let lag = watch_lag(overload.clone());
        let max_connections = rules.overload.max_caller_connections();
        let records = StreamRecords::new(peers.clone(), hall.clone());
        let placements = PlacementClient::start(peers.clone(), feeds.clone(), local, hall, lag);
        let budgets = RetryBudgets::new(rules.retry_budget, 1);
        let losses = Arc::new(Mutex::new(RecentLosses::default()));
        let on_early_close = {
            let (losses, clock) = (losses.clone(), peers.clock);
            move |endpoint: &str| {
                let mut losses = losses.lock().unwrap_or_else(PoisonError::into_inner);
                losses.record(clock.now(), endpoint);
            }
        };
        let answers = settings.answers;
        let request_memory = RequestMemory::new(settings.requests.max_held_bytes());
        Arc::new(Gateway {
            settings,
            rules,
            peers,
            routing,
            registry,
            rollouts,
            guard,
            feeds,
            placements,
            header_names,
            connections: Connections::new(max_connections, answers, on_early_close),
            answer_memory: AnswerMemory::new(answers.held_bytes),
            request_memory,
            records,
            answers: Arc::default(),
            metrics: GatewayMetrics::default(),
            stop,
            endpoints: Mutex::default(),
            start_checks: Mutex::default(),
            start_checks_ended: Notify::new(),
            budgets: Mutex::new(budgets),
            releases: Mutex::default(),
            losses,
            versions: Mutex::default(),
            overload,
            neighbours: Mutex::default(),
            planned_stop: PlannedStop::default(),
            in_flight: AtomicUsize::new(0),
            handing_over: AtomicUsize::new(0),
            next_number: AtomicU64::new(1),
        })
    }

    /// Milliseconds on this process's clock.
    pub fn now(&self) -> Millis {
        self.peers.clock.now()
    }

    /// Runs `f` on what was observed of endpoints, under its lock.
    pub(super) fn with_endpoints<T>(&self, f: impl FnOnce(&mut EndpointTracker) -> T) -> T {
        f(&mut self.endpoints.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Runs `f` on the ids of endpoints with a start check in progress, under their lock.
    pub(super) fn with_start_checks<T>(&self, f: impl FnOnce(&mut BTreeSet<String>) -> T) -> T {
        f(&mut self.start_checks.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// This router's limit for requests to a cold endpoint of a service.
    pub(super) fn cold_limit(&self, per_second: Option<f64>, is_engine: bool) -> ColdLimit {
        let routers = self.feeds.router_count();
        ColdLimit { per_second, routers, router: self.peers.me }.reserved_for_placer(is_engine)
    }

    /// Runs `f` on the retry budgets, under their lock.
    pub(super) fn with_budgets<T>(&self, f: impl FnOnce(&mut RetryBudgets) -> T) -> T {
        f(&mut self.budgets.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Runs `f` on this router's state of the releases, under its lock.
    pub(super) fn with_releases<T>(&self, f: impl FnOnce(&mut Releases) -> T) -> T {
        f(&mut self.releases.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Runs `f` on the endpoints whose connections broke, under their lock.
    pub(super) fn with_losses<T>(&self, f: impl FnOnce(&mut RecentLosses) -> T) -> T {
        f(&mut self.losses.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Runs `f` on the versions of endpoints, under their lock.
    pub(super) fn with_versions<T>(&self, f: impl FnOnce(&mut VersionHistory) -> T) -> T {
        f(&mut self.versions.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Runs `f` on this router's load, under its lock.
    pub(super) fn with_overload<T>(&self, f: impl FnOnce(&mut Overload) -> T) -> T {
        f(&mut self.overload.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Runs `f` on what is known of the other routers of the data hall, under its lock.
    pub(super) fn with_neighbours<T>(&self, f: impl FnOnce(&mut Neighbours) -> T) -> T {
        f(&mut self.neighbours.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn record_versions(&self, changed: &[Registration]) {
        let now = self.now();
        self.with_versions(|versions| {
            for endpoint in changed {
                match endpoint.state {
                    EndpointState::Gone => versions.forget(&endpoint.id),
                    _ => versions.record(now, &endpoint.id, &endpoint.version),
                }
            }
        });
    }

    /// The version of the routing in force; 0 before the first.
    pub(super) fn routing_version(&self) -> u64 {
        self.routing.current().map_or(0, |routing| routing.table.version)
    }

    /// All metrics in the text format.
    pub(super) fn render_metrics(&self) -> String {
        let version = i64::try_from(self.routing_version()).unwrap_or(i64::MAX);
        self.metrics.routing_version.set(version);
        self.metrics.open_feeds.set(self.feeds.open_feeds() as i64);
        self.metrics.held_bytes.set(self.answer_memory.held() as i64);
        self.metrics.held_request_bytes.set(self.request_memory.held() as i64);
        self.metrics.known_routers.set(self.records.directory().routers.len() as i64);
        self.metrics.open_answers.set(i64::try_from(self.unfinished()).unwrap_or(i64::MAX));
        self.metrics.stream_records.set(self.records.len() as i64);
        let silence = self.feeds.longest_silence_ms().unwrap_or(0);
        self.metrics.feed_silence_ms.set(i64::try_from(silence).unwrap_or(i64::MAX));
        self.metrics.render()
    }

    /// A number that identifies a request in the log.
    pub(super) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Records that an endpoint accepted a request and answers it.
    pub(super) fn record_accepted(&self, id: &str, started_at_ms: u64) {
        let now = self.now();
        self.with_endpoints(|e| e.record_accepted(now, id, started_at_ms));
    }

    /// Records that an endpoint answered a request, and that the answer was not broken off.
    pub(super) fn record_success(&self, id: &str, started_at_ms: u64) {
        let now = self.now();
        self.with_endpoints(|e| e.record_success(now, id, started_at_ms));
    }

    /// Records that a request failed at an endpoint.
    pub(super) fn record_failure(&self, id: &str, started_at_ms: u64, failure: Failure) {
        let now = self.now();
        let avoided = self.with_endpoints(|e| e.record_failure(now, id, started_at_ms, failure));
        if avoided > 0 {
            log::info!("gateway: endpoint {id} avoided for {avoided} ms: {failure:?}");
        }
    }

    /// Requests in flight, served here or by a router that they were handed over to.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Requests whose answers have not been written in full to their callers, served here or by a
    /// router that they were handed over to. A planned stop waits for them.
    pub(super) fn unfinished(&self) -> usize {
        self.answers.count() + self.handing_over.load(Ordering::Relaxed)
    }

    /// Requests that this router serves itself.
    pub(super) fn serving(&self) -> usize {
        self.in_flight().saturating_sub(self.handing_over.load(Ordering::Relaxed))
    }

    /// Whether new connections of callers should be handed over to other routers.
    pub(super) fn should_hand_over(&self) -> bool {
        let serving = self.serving();
        self.with_overload(|overload| overload.should_hand_over(serving))
    }

    /// Counts a request that is served here, until the guard is dropped.
    pub(super) fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { gateway: self.clone(), is_handover: false }
    }

    /// Counts a request that is handed over to another router, until the guard is dropped.
    pub(super) fn track_handover(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.handing_over.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { gateway: self.clone(), is_handover: true }
    }
}

fn watch_lag(overload: Arc<Mutex<Overload>>) -> LoopLag {
    LoopLag::start(move |lag| {
        let mut overload = overload.lock().unwrap_or_else(PoisonError::into_inner);
        let was_handing_over = overload.should_hand_over(0);
        let readiness_changed = overload.set_lag(lag);
        if overload.should_hand_over(0) != was_handing_over {
            log::info!(
                "gateway: new connections are {}: event loop {} ms late",
                if was_handing_over { "served here" } else { "handed over" },
                lag.as_millis(),
            );
        }
        if readiness_changed {
            log::info!(
                "gateway: {} for new connections: event loop {} ms late, {} connections of callers",
                if overload.is_ready() { "ready" } else { "not ready" },
                lag.as_millis(),
                overload.connections(),
            );
        }
    })
}

/// A request in flight, from its arrival until its answer is left to be written.
pub(super) struct InFlightGuard {
    gateway: Arc<Gateway>,
    is_handover: bool,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.gateway.in_flight.fetch_sub(1, Ordering::Relaxed);
        if self.is_handover {
            self.gateway.handing_over.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Applies changes of the registry: closes idle connections to endpoints that no longer accept
/// requests or have restarted, and checks endpoints whose state is uncertain.
pub(super) async fn follow_registry(gateway: Arc<Gateway>) {
    let mut watch = gateway.registry.watch();
    let mut last_change = 0;
    let mut known_starts = KnownStarts::default();
    while watch.changed().await.is_ok() {
        let changes =
            gateway.registry.read(|r| r.changes_after(last_change, usize::MAX, Scope::All));
        last_change = changes.upto;
        let start_events = known_starts.apply_changes(&changes.endpoints);
        for start in &start_events {
            gateway.connections.close_idle(start.id());
        }
        gateway.guard.record_starts(start_events);
        gateway.record_versions(&changes.endpoints);
        for endpoint in &changes.endpoints {
            if endpoint.state != EndpointState::Ready {
                gateway.connections.close_idle(&endpoint.id);
                gateway.with_endpoints(|e| e.forget(&endpoint.id));
            }
            gateway.check_if_uncertain(&endpoint.id);
        }
    }
}
