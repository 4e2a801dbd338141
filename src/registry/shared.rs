//! A registry shared by the tasks of a process, with notification of changes.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

use super::record::RESTORED_WARMUP_MS;
use super::{DrainedHalls, EndpointStart, Origin, Registration, Registry, Retirement};

/// Maximum number of endpoints named in one log line.
const MAX_NAMED: usize = 8;
/// How long an update may still date from the time before a data hall was restored.
const RESTORED_PERIOD: Duration = Duration::from_millis(RESTORED_WARMUP_MS);
/// How long endpoints count as ready after a restart without a new heartbeat: two of their
/// heartbeats, which come every 1.2 s on the platform. One that left meanwhile gets no new
/// requests after that.
const REMEMBERED_PERIOD: Duration = Duration::from_millis(2_500);

/// A registry behind a lock, with a channel for its changes.
#[derive(Debug)]
pub struct SharedRegistry {
    registry: Mutex<Registry>,
    /// Number of the last change.
    changes: watch::Sender<u64>,
    /// Revision of the drained data halls.
    drained: watch::Sender<u64>,
}

impl Default for SharedRegistry {
    fn default() -> Self {
        SharedRegistry {
            registry: Mutex::default(),
            changes: watch::Sender::new(0),
            drained: watch::Sender::new(0),
        }
    }
}

impl SharedRegistry {
    /// Merges updates of endpoints; notifies listeners if something changed.
    pub fn merge(&self, updates: impl IntoIterator<Item = Registration>, origin: Origin) {
        let changed: Vec<_> = self.modify(|registry| {
            updates.into_iter().filter_map(|endpoint| registry.merge(endpoint, origin)).collect()
        });
        log_changed(&changed);
    }

    /// Merges an update that an endpoint sent to this process, if `is_allowed` holds for the
    /// registry under the same lock.
    pub fn merge_if(&self, update: Registration, is_allowed: impl FnOnce(&Registry) -> bool) {
        let changed = self.modify(|registry| {
            is_allowed(registry).then(|| registry.merge(update, Origin::Direct)).flatten()
        });
        log_changed(changed.as_slice());
    }

    /// Records starts that are leaving, as reported by other means than a registration.
    /// Returns whether any of them was recorded as accepting requests.
    pub fn record_leaving(&self, starts: &[EndpointStart], origin: Origin) -> bool {
        let changed: Vec<_> = self.modify(|registry| {
            starts.iter().filter_map(|start| registry.record_leaving(start, origin)).collect()
        });
        log_changed(&changed);
        !changed.is_empty()
    }

    /// Retires endpoints because a rollout ended: they accept no more requests.
    pub fn retire(&self, retirement: Retirement<'_>) {
        let number = self.modify(|registry| registry.retire(retirement));
        log::info!("registry: retired {number} endpoints: {retirement:?}");
    }

    /// Adopts the drained data halls, if their revision is newer.
    pub fn adopt_drained(self: &Arc<Self>, drained: DrainedHalls) {
        let names = drained.names().collect::<Vec<_>>().join(", ");
        let revision = drained.revision();
        if !self.modify(|registry| registry.adopt_drained(drained)) {
            return;
        }
        log::info!("registry: drained data halls are [{names}], revision {revision}");
        let registry = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(RESTORED_PERIOD).await;
            registry.modify(|registry| registry.forget_restored(revision));
        });
    }

    /// Adds endpoints that accepted requests before a restart, for as long as it may take them to
    /// register again.
    pub fn remember(self: &Arc<Self>, endpoints: Vec<Registration>) {
        log::info!(
            "registry: {} remembered endpoints count as ready until they register",
            endpoints.len()
        );
        self.modify(|registry| registry.remember(endpoints));
        let registry = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(REMEMBERED_PERIOD).await;
            let unconfirmed = registry.modify(Registry::forget_remembered);
            if unconfirmed > 0 {
                log::info!("registry: removed {unconfirmed} endpoints that did not register again");
            }
        });
    }

    /// Modifies the registry and notifies listeners of its last change.
    fn modify<T>(&self, f: impl FnOnce(&mut Registry) -> T) -> T {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let result = f(&mut registry);
        announce(&self.changes, registry.last_change());
        announce(&self.drained, registry.drained().revision());
        result
    }

    /// Reads the registry under its lock.
    pub fn read<T>(&self, f: impl FnOnce(&Registry) -> T) -> T {
        f(&self.registry.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A receiver of the number of the last change.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// A receiver of the revision of the drained data halls.
    pub fn watch_drained(&self) -> watch::Receiver<u64> {
        self.drained.subscribe()
    }
}

/// Notifies listeners of a number if it is a new one.
fn announce(to: &watch::Sender<u64>, number: u64) {
    to.send_if_modified(|announced| std::mem::replace(announced, number) != number);
}

fn log_changed(changed: &[Registration]) {
    let describe = |e: &Registration| {
        let (id, service, state, call) = (&e.id, &e.service, e.state, e.sequence);
        format!("{id} of {service} is {state:?}, call {call}, cold {} ms", e.warmup_ms)
    };
    let named: Vec<_> = changed.iter().take(MAX_NAMED).map(describe).collect();
    if !named.is_empty() {
        log::info!("registry: {} endpoints changed: {}", changed.len(), named.join("; "));
    }
}
