//! The control process: one of the hosts that agree on the configuration.

mod courier;
mod driver;
pub(crate) mod found;
mod serve;
mod state;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::error::Result;
use crate::peer::{Incoming, Peers};
use crate::settings::ControlSettings;
use crate::spread::{self, Configs};
use crate::store::Disk;
use crate::wire::{Open, Role};

pub use driver::{Handle, NoLeader};
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
    /// The agreement.
    pub handle: Handle,
    /// Set when an operator asks for a planned stop.
    pub stop: CancellationToken,
}

/// Runs a control host until `stop`.
pub async fn run(settings: ControlSettings, stop: CancellationToken) -> Result<()> {
    settings.check()?;
    let (disk, found) = Disk::open(&settings.data)?;
    if found.cut_bytes > 0 {
        log::warn!("store: cut a torn tail of {} bytes", found.cut_bytes);
    }
    let role = Role::Control;
    let (peers, incoming) = Peers::start(&settings.host, role, settings.operator).await?;
    let configs = Arc::new(Configs::default());
    let (handle, driver) = driver::start(&settings, peers.clone(), configs.clone(), disk, found);
    let control = Arc::new(Control { settings, peers, configs, handle, stop: stop.clone() });
    tokio::spawn(take_connections(control.clone(), incoming));
    tokio::spawn(found::found(control.clone()));
    tokio::spawn(spread::follow_version(control.configs.clone(), control.peers.clone()));
    tokio::spawn(crate::operator::serve_control(control.clone()));
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
                tokio::spawn(serve::take_envelopes(control.clone(), host, peer, reader));
            }
            Open::Pull { have, .. } => {
                tokio::spawn(spread::answer_pull(
                    control.configs.clone(),
                    control.peers.sent.clone(),
                    have,
                    writer,
                ));
            }
            Open::Identify => {
                tokio::spawn(serve::identify(control.clone(), writer));
            }
            Open::Claims { router } => {
                tokio::spawn(serve::take_claims(control.clone(), router, reader, writer));
            }
            Open::Dispatch { .. } => log::warn!("peer: a control host does not dispatch"),
        }
    }
}
