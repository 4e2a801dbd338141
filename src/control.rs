//! The control process: one of the hosts that agree on the configuration.

mod courier;
mod documents;
mod driver;
mod format;
pub(crate) mod found;
mod halls;
mod handle;
mod join;
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

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::error::{Error, Result};
use crate::feed::{self, FleetState, Publication, Subscribers, Subscriptions};
use crate::peer::{Incoming, PeerReader, Peers};
use crate::placement::{self, PlacerHandle};
use crate::quarantine::SharedQuarantine;
use crate::registry::{SharedRegistry, saved};
use crate::rollout::{Progress, SharedRollouts};
use crate::routing::CurrentRouting;
use crate::settings::ControlSettings;
use crate::spread::{self, Configs};
use crate::store::{Disk, Found};
use crate::wire::{HostId, Open, Role, Traffic};

/// How long to wait for a disk that refuses to be opened.
const DISK_PAUSE: Duration = Duration::from_millis(200);

use published::Published;

pub use documents::Unanswered;
pub use halls::HallOrder;
pub use handle::{Handle, Leadership, NoLeader};
pub use join::Joined;
pub use registrations::{Heard, judge};
pub use serve::{Ask, Asked, ClaimAnswer, ClaimRequest, Identity};
pub use state::{Changed, Command, Reply, State};

/// What the parts of a control host share.
#[derive(Debug)]
pub struct Control {
    /// Its settings.
    pub settings: ControlSettings,
    /// The other hosts.
    pub peers: Arc<Peers>,
    /// The newest accepted configuration, as this host knows it.
    pub configs: Arc<Configs>,
    /// The routing in force, as this host knows it.
    pub documents: Arc<CurrentRouting>,
    /// Endpoints that registered themselves here or elsewhere.
    pub registry: Arc<SharedRegistry>,
    /// Releases that are rolled out.
    pub rollouts: Arc<SharedRollouts>,
    /// Requests that crash endpoints.
    pub quarantine: Arc<SharedQuarantine>,
    /// What is shown of those that this host leads, by service.
    pub rollout_progress: Mutex<BTreeMap<String, Progress>>,
    /// The placer that runs here.
    pub placement: PlacerHandle,
    /// The feeds that are open from here.
    pub subscribers: Arc<Subscribers>,
    /// The agreement.
    pub handle: Handle,
    /// Set when an operator asks for a planned stop.
    pub stop: CancellationToken,
}

impl Control {
    /// What this host tells by feed, and learns so from the others.
    fn fleet_state(&self) -> FleetState {
        FleetState {
            documents: self.documents.clone(),
            registry: self.registry.clone(),
            rollouts: self.rollouts.clone(),
            quarantine: self.quarantine.clone(),
        }
    }
}

/// How operators and endpoints of another platform reach a control host.
pub struct Interface {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Builds the application that translates their calls.
    pub app: Box<dyn FnOnce(Arc<Control>) -> axum::Router + Send>,
}

/// Opens the data folder. While the disk refuses, it is tried again; damage and
/// a folder in use are errors.
async fn open_disk(settings: &ControlSettings) -> Result<(Disk, Found)> {
    loop {
        match Disk::open(&settings.data) {
            Err(error @ Error::File { .. }) if settings.wait_for_disk => {
                log::error!("store: cannot be opened yet: {error}");
                tokio::time::sleep(DISK_PAUSE).await;
            }
            opened => return opened,
        }
    }
}

/// Runs a control host until `stop`.
pub async fn run(
    settings: ControlSettings,
    stop: CancellationToken,
    interface: Option<Interface>,
) -> Result<()> {
    settings.check()?;
    let (disk, found) = open_disk(&settings).await?;
    if found.cut_bytes > 0 {
        log::warn!("store: cut a torn tail of {} bytes", found.cut_bytes);
    }
    let role = Role::Control;
    let (peers, incoming) = Peers::start(&settings.host, role, settings.operator).await?;
    let configs = Arc::new(Configs::default());
    let fleet_state = FleetState::default();
    let FleetState { documents, registry, rollouts, quarantine } = fleet_state.clone();
    registry.remember(saved::load(&settings.data));
    tokio::spawn(saved::keep_saved(registry.clone(), settings.data.clone()));
    let (handle, driver) = driver::start(
        &settings,
        peers.clone(),
        Published { configs: configs.clone(), fleet_state },
        disk,
        found,
    )?;
    let leadership = handle.leadership.clone();
    let placement = placement::serve(
        settings.placement,
        peers.clock,
        move || {
            let known = leadership.borrow();
            known.leads.then_some(known.term)
        },
        documents.clone(),
        registry.clone(),
        settings.host.regions.clone(),
        peers.sent.of(Traffic::Placement),
    );
    let control = Arc::new(Control {
        placement,
        settings,
        peers,
        configs,
        documents,
        registry,
        rollouts,
        quarantine,
        rollout_progress: Mutex::default(),
        subscribers: Arc::default(),
        handle,
        stop: stop.clone(),
    });
    tokio::spawn(take_connections(control.clone(), incoming));
    tokio::spawn(found::found(control.clone()));
    tokio::spawn(spread::follow_version(control.configs.clone(), control.peers.clone()));
    tokio::spawn(rollout_controller::run(control.clone()));
    tokio::spawn(quarantine_controller::run(control.clone()));
    tokio::spawn(crate::operator::serve_control(control.clone()));
    if let Some(interface) = interface {
        tokio::spawn(join::keep_joined(control.clone()));
        Subscriptions::start(
            control.peers.clone(),
            control.fleet_state(),
            &control.settings.host.hall,
            Role::Control,
        );
        crate::http::serve(interface.listen, (interface.app)(control.clone()), &stop).await?;
    }
    log::info!("control: host {} holds store {}", control.peers.me, control.handle.store);
    tokio::select! {
        result = driver => result.unwrap_or(Ok(())),
        () = stop.cancelled() => {
            control.peers.set_draining();
            log::info!("control: stopped");
            Ok(())
        }
    }
}

async fn take_connections(control: Arc<Control>, mut incoming: mpsc::Receiver<Incoming>) {
    while let Some(Incoming { open, reader, writer }) = incoming.recv().await {
        match open {
            Open::Agree { host, peer } => {
                tokio::spawn(serve::take_envelopes(control.clone(), host, peer, reader, writer));
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
            Open::Join(newcomer) => {
                tokio::spawn(join::answer(control.clone(), newcomer, writer));
            }
            Open::Place { router, session } => {
                tokio::spawn(control.placement.clone().attach(router, session, reader, writer));
            }
            Open::Feed { host } => {
                tokio::spawn(publish_feed(control.clone(), host, reader, writer));
            }
            Open::Claims { router } => {
                tokio::spawn(serve::take_claims(control.clone(), router, reader, writer));
            }
            open @ (Open::Dispatch { .. } | Open::Caller { .. } | Open::Leaving { .. }) => {
                log::warn!("peer: a control host takes no connection {open:?}");
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
        numbering: control.peers.incarnation,
        subscribers: control.subscribers.clone(),
    };
    let published = feed::publish(publication, control.peers.sent.clone(), reader, writer);
    if let Err(error) = published.await {
        log::info!("feed: host {host} follows no longer: {error}");
    }
}
