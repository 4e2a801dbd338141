//! The control process: one of the hosts that agree on the configuration, the routing document
//! and the other replicated state.

pub(crate) mod bootstrap;
mod calls;
mod documents;
mod driver;
mod format;
mod group_addresses;
mod halls;
mod handle;
mod join;
mod leave;
mod legacy;
mod published;
mod quarantine_controller;
mod registrations;
mod rollout_controller;
mod rollouts;
mod serve;
mod state;
#[cfg(test)]
mod tests;
mod transport;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::caller_connection::OpenAnswers;
use crate::error::{Error, Result};
use crate::feed::{self, FleetState, Publication, Subscribers, Subscriptions};
use crate::peer::{Incoming, PeerReader, Peers};
use crate::placement::{self, PlacerHandle};
use crate::quarantine::SharedQuarantine;
use crate::registry::{SharedRegistry, saved};
use crate::request_body::RequestMemory;
use crate::rollout::{Progress, SharedRollouts};
use crate::routing::CurrentRouting;
use crate::settings::ControlSettings;
use crate::spread::{self, CurrentConfig};
use crate::store::{Disk, RecoveredState};
use crate::wire::{HostId, Open, Role, Traffic};

/// Pause before the data folder is opened again after an I/O error.
const DISK_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long a planned stop waits for the answers to calls: callers that get none within a second
/// call another host.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(2);
/// How often a planned stop checks whether all answers are written.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Descriptors for each connection of an operator or endpoint, so that half of all are left for
/// other hosts and files.
const DESCRIPTORS_PER_CONNECTION: usize = 2;

use published::PublishedState;

pub use calls::CallSource;
pub use documents::CallError;
pub use halls::HallOrder;
pub use handle::{Handle, Leadership, NoLeader};
pub use join::JoinReply;
pub use leave::LeaveReply;
pub use registrations::{RegistrationOutcome, check_registration};
pub use serve::{ClaimAction, ClaimAnswer, ClaimReply, ClaimRequest, Identity};
pub use state::{ChangeOutcome, Command, Reply, State};

/// State shared by the tasks of a control host.
#[derive(Debug)]
pub struct Control {
    /// The settings of this host.
    pub settings: ControlSettings,
    /// Connections to the other hosts.
    pub peers: Arc<Peers>,
    /// The newest accepted configuration that this host has applied or received.
    pub configs: Arc<CurrentConfig>,
    /// The newest routing in force that this host has applied or received.
    pub routing: Arc<CurrentRouting>,
    /// Endpoints that registered themselves with this or another host.
    pub registry: Arc<SharedRegistry>,
    /// The rollouts of releases, and the reports and grants for them.
    pub rollouts: Arc<SharedRollouts>,
    /// The requests in quarantine because they crash endpoints, and reports of crashes.
    pub quarantine: Arc<SharedQuarantine>,
    /// Progress of the rollouts that this host conducts as leader, by service.
    pub rollout_progress: Mutex<BTreeMap<String, Progress>>,
    /// The placer that runs here.
    pub placement: PlacerHandle,
    /// The bytes of operators' and endpoints' calls that are held.
    pub request_memory: Arc<RequestMemory>,
    /// The subscribers to the feeds of this host.
    pub subscribers: Arc<Subscribers>,
    /// Handle to the agreement of the control group.
    pub handle: Handle,
    /// Cancelled for a planned stop, by a call of an operator or by a signal.
    pub stop: CancellationToken,
}

impl Control {
    /// The state that this host publishes in its feeds and receives from those of other hosts.
    fn fleet_state(&self) -> FleetState {
        FleetState {
            routing: self.routing.clone(),
            registry: self.registry.clone(),
            rollouts: self.rollouts.clone(),
            quarantine: self.quarantine.clone(),
        }
    }
}

/// An HTTP interface for the operators and endpoints of another platform.
pub struct Interface {
    /// The address on which it listens.
    pub listen: SocketAddr,
    /// Builds the application that translates their calls.
    pub app: Box<dyn FnOnce(Arc<Control>) -> axum::Router + Send>,
}

/// Opens the data folder. I/O errors are retried if `wait_for_disk` is set; a damaged
/// folder or one in use by another process is always an error.
async fn open_disk(settings: &ControlSettings) -> Result<(Disk, RecoveredState)> {
    loop {
        match Disk::open(&settings.data) {
            Err(error @ Error::File { .. }) if settings.wait_for_disk => {
                log::error!("store: cannot be opened yet: {error}");
                tokio::time::sleep(DISK_RETRY_PAUSE).await;
            }
            opened => return opened,
        }
    }
}

/// Runs a control host until `stop` is cancelled or its driver ends with an error.
pub async fn run(
    settings: ControlSettings,
    stop: CancellationToken,
    interface: Option<Interface>,
) -> Result<()> {
    settings.check()?;
    let (disk, found) = open_disk(&settings).await?;
    if found.cut_bytes > 0 {
        log::warn!("store: cut a torn tail of {} bytes off the log", found.cut_bytes);
    }
    let role = Role::Control;
    let (peers, incoming) = Peers::start(&settings.host, role, settings.operator).await?;
    let configs = Arc::new(CurrentConfig::default());
    let fleet_state = FleetState::default();
    let FleetState { routing, registry, rollouts, quarantine } = fleet_state.clone();
    registry.remember(saved::load(&settings.data));
    tokio::spawn(saved::keep_saved(registry.clone(), settings.data.clone()));
    let (handle, driver) = driver::start(
        &settings,
        peers.clone(),
        PublishedState { configs: configs.clone(), fleet_state },
        disk,
        found,
    )?;
    let leadership = handle.leadership.clone();
    let placement = placement::serve(
        settings.placement,
        peers.clock,
        move || {
            let current = leadership.borrow();
            current.leads.then_some(current.term)
        },
        routing.clone(),
        registry.clone(),
        settings.host.regions.clone(),
        peers.sent.of(Traffic::Placement),
    );
    let request_memory = RequestMemory::new(settings.requests.max_held_bytes());
    let control = Arc::new(Control {
        placement,
        settings,
        peers,
        configs,
        routing,
        registry,
        rollouts,
        quarantine,
        rollout_progress: Mutex::default(),
        request_memory,
        subscribers: Arc::default(),
        handle,
        stop: stop.clone(),
    });
    tokio::spawn(accept_connections(control.clone(), incoming));
    tokio::spawn(bootstrap::bootstrap(control.clone()));
    tokio::spawn(group_addresses::follow(control.clone()));
    tokio::spawn(spread::announce_version(control.configs.clone(), control.peers.clone()));
    tokio::spawn(rollout_controller::run(control.clone()));
    tokio::spawn(quarantine_controller::run(control.clone()));
    tokio::spawn(crate::operator::serve_control(control.clone()));
    let joins_by_itself = interface.is_some();
    let mut answers = Arc::<OpenAnswers>::default();
    if let Some(interface) = interface {
        tokio::spawn(join::keep_joined(control.clone()));
        Subscriptions::start(
            control.peers.clone(),
            control.fleet_state(),
            &control.settings.host.hall,
            Role::Control,
        );
        let app = (interface.app)(control.clone());
        let max_connections = control.settings.descriptors / DESCRIPTORS_PER_CONNECTION;
        answers = crate::http::serve(interface.listen, app, max_connections, &stop).await?;
    }
    log::info!("control: host {} runs with store {}", control.peers.me, control.handle.store);
    tokio::select! {
        result = driver => result.unwrap_or(Ok(())),
        () = stop.cancelled() => {
            control.peers.set_draining();
            if joins_by_itself {
                leave::leave(&control).await;
            }
            wait_until_written(&answers).await;
            log::info!("control: stopped");
            Ok(())
        }
    }
}

/// Waits until the calls that arrived before the stop are answered.
async fn wait_until_written(answers: &OpenAnswers) {
    let all_written = async {
        while answers.count() > 0 {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(MAX_ANSWER_TIME, all_written).await.is_err() {
        log::warn!("control: stopped with {} calls unanswered", answers.count());
    }
}

async fn accept_connections(control: Arc<Control>, mut incoming: mpsc::Receiver<Incoming>) {
    while let Some(Incoming { open, reader, writer }) = incoming.recv().await {
        match open {
            Open::Agree { host, peer } => {
                tokio::spawn(serve::receive_envelopes(control.clone(), host, peer, reader, writer));
            }
            Open::Pull { held_version, .. } => {
                tokio::spawn(spread::answer_pull(
                    control.configs.clone(),
                    control.peers.sent.clone(),
                    held_version,
                    writer,
                ));
            }
            Open::Identify => {
                tokio::spawn(serve::identify(control.clone(), writer));
            }
            Open::Join(new_member) => {
                tokio::spawn(join::answer(control.clone(), new_member, writer));
            }
            Open::Leave(store) => {
                tokio::spawn(leave::answer(control.clone(), store, writer));
            }
            Open::Place { router, session } => {
                tokio::spawn(control.placement.clone().attach(router, session, reader, writer));
            }
            Open::Feed { host } => {
                tokio::spawn(publish_feed(control.clone(), host, reader, writer));
            }
            Open::Claims { router } => {
                tokio::spawn(serve::serve_claims(control.clone(), router, reader, writer));
            }
            Open::Directory { digest, .. } => {
                tokio::spawn(serve::send_directory(control.clone(), digest, writer));
            }
            open @ (Open::Dispatch { .. } | Open::Caller { .. } | Open::Leaving { .. }) => {
                log::warn!("peer: a control host accepts no connection {open:?}");
            }
        }
    }
}

async fn publish_feed(
    control: Arc<Control>,
    host: HostId,
    reader: PeerReader,
    writer: OwnedWriteHalf,
) {
    let publication = Publication {
        subscriber: host,
        fleet_state: control.fleet_state(),
        leadership: control.handle.leadership.clone(),
        view: control.peers.watch(),
        router_count: control.peers.watch_router_count(),
        numbering: control.peers.incarnation,
        subscribers: control.subscribers.clone(),
    };
    let published = feed::publish(publication, control.peers.sent.clone(), reader, writer);
    if let Err(error) = published.await {
        log::info!("feed: subscription of host {host} ended: {error}");
    }
}
