//! Propagation of the configuration: hosts announce their version in heartbeats, and a host with
//! an older version pulls the missing deltas.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

use crate::clock::epoch_ms;
use crate::config::{Config, Delta, History};
use crate::error::Result;
use crate::peer::Peers;
use crate::wire::{Heartbeat, Open, PullResponse, SentBytes, write_frame};

/// Maximum duration of a pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long to wait after a failed pull.
const PULL_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The configuration in force in this process, and recent deltas.
#[derive(Debug)]
pub struct CurrentConfig {
    history: Mutex<History>,
    current: watch::Sender<Arc<Config>>,
    since_ms: Mutex<u64>,
}

impl Default for CurrentConfig {
    fn default() -> Self {
        CurrentConfig {
            history: Mutex::default(),
            current: watch::Sender::new(Arc::default()),
            since_ms: Mutex::new(epoch_ms()),
        }
    }
}

impl CurrentConfig {
    /// The configuration in force.
    pub fn current(&self) -> Arc<Config> {
        self.current.borrow().clone()
    }

    /// Watches the configuration in force.
    pub fn watch(&self) -> watch::Receiver<Arc<Config>> {
        self.current.subscribe()
    }

    /// When the configuration came into force, in milliseconds since the epoch.
    pub fn since_ms(&self) -> u64 {
        *self.since_ms.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adopts a pulled configuration if it is newer; returns whether it was.
    pub fn adopt(&self, pulled: PullResponse) -> bool {
        self.change(|history| history.adopt(pulled))
    }

    /// Puts a history in force that the control group has committed.
    pub fn replace(&self, history: History) {
        self.change(|current| *current = history);
    }

    /// Applies `f` to the history and puts its newest version in force.
    fn change<T>(&self, f: impl FnOnce(&mut History) -> T) -> T {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let result = f(&mut history);
        let newest = history.config().clone();
        drop(history);
        self.current.send_if_modified(|current| {
            let newer = newest.version > current.version;
            if newer {
                log::info!("config: version {} is in force", newest.version);
                *self.since_ms.lock().unwrap_or_else(PoisonError::into_inner) = epoch_ms();
                *current = newest;
            }
            newer
        });
        result
    }

    /// Returns what a process with version `held_version` needs to reach the newest version.
    pub fn since(&self, held_version: u64) -> PullResponse {
        self.history.lock().unwrap_or_else(PoisonError::into_inner).since(held_version)
    }

    /// Returns up to `limit` recent deltas, newest first.
    pub fn recent(&self, limit: usize) -> Vec<Delta> {
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history.deltas().rev().take(limit).cloned().collect()
    }
}

/// Sends the deltas, or a snapshot, that a pulling peer needs.
pub async fn answer_pull(
    configs: Arc<CurrentConfig>,
    sent: SentBytes,
    held_version: u64,
    mut writer: OwnedWriteHalf,
) {
    let pulled = configs.since(held_version);
    match write_frame(&mut writer, &pulled).await {
        Ok(bytes) => sent.add(bytes),
        Err(error) => log::debug!("config: answering a pull failed: {error}"),
    }
}

/// Pulls whenever a live member announces a newer version than this process has.
pub async fn pull_updates(configs: Arc<CurrentConfig>, peers: Arc<Peers>) {
    let mut view = peers.watch();
    loop {
        let held_version = configs.current().version;
        let newest = view.borrow_and_update().live.iter().max_by_key(|m| m.version).cloned();
        let newer = newest.filter(|m| m.version > held_version && m.host != peers.me);
        let Some(member) = newer else {
            if view.changed().await.is_err() {
                return;
            }
            continue;
        };
        match pull(&peers, &member, held_version).await {
            Ok(pulled) => {
                if !configs.adopt(pulled) {
                    tokio::time::sleep(PULL_RETRY_PAUSE).await;
                }
                peers.set_version(configs.current().version);
            }
            Err(error) => {
                log::warn!("config: pull from host {} failed: {error}", member.host);
                tokio::time::sleep(PULL_RETRY_PAUSE).await;
            }
        }
    }
}

async fn pull(peers: &Peers, member: &Heartbeat, held_version: u64) -> Result<PullResponse> {
    let open = Open::Pull { host: peers.me, held_version };
    let exchange = async {
        peers.links.wait_until_clear_to(member.host).await;
        let (mut reader, _writer) = peers.connect(member.peer, &open).await?;
        reader.next::<PullResponse>().await
    };
    match tokio::time::timeout(PULL_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => crate::error::RpcSnafu { message: "timed out" }.fail(),
    }
}

/// Announces the version in force in this host's heartbeats.
pub async fn announce_version(configs: Arc<CurrentConfig>, peers: Arc<Peers>) {
    let mut current = configs.watch();
    loop {
        let version = current.borrow_and_update().version;
        peers.set_version(version);
        if current.changed().await.is_err() {
            return;
        }
    }
}
