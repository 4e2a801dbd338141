//! A registry shared by the tasks of a process, which hear of its changes.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

use super::known::RESTORED_WARMUP_MS;
use super::{DrainedHalls, EndpointStart, Origin, Registration, Registry, Retirement};

/// Endpoints that a log line about many names at most.
const MOST_NAMED: usize = 8;
/// How long what an endpoint says may be of the time before a data hall was taken back.
const RESTORED_FOR: Duration = Duration::from_millis(RESTORED_WARMUP_MS);
/// How long endpoints are remembered: two of their heartbeats, which come every 1.2 s
/// on the platform. One that left meanwhile gets nothing new after that.
const REMEMBERED_FOR: Duration = Duration::from_millis(2_500);

/// A registry and its changes.
#[derive(Debug)]
pub struct SharedRegistry {
    registry: Mutex<Registry>,
    /// Number of the last change.
    changes: watch::Sender<u64>,
}

impl Default for SharedRegistry {
    fn default() -> Self {
        SharedRegistry { registry: Mutex::default(), changes: watch::Sender::new(0) }
    }
}

impl SharedRegistry {
    /// Takes in what endpoints said; tells listeners if something differs now.
    pub fn merge(&self, news: impl IntoIterator<Item = Registration>, origin: Origin) {
        let changed: Vec<_> = self.read_mut(|registry| {
            news.into_iter().filter_map(|endpoint| registry.merge(endpoint, origin)).collect()
        });
        log_changed(&changed);
    }

    /// Takes in what an endpoint said here, if that may be by what is known at that moment.
    pub fn merge_if(&self, news: Registration, may_be: impl FnOnce(&Registry) -> bool) {
        let changed = self.read_mut(|registry| {
            may_be(registry).then(|| registry.merge(news, Origin::Direct)).flatten()
        });
        log_changed(changed.as_slice());
    }

    /// Starts of endpoints were heard to leave by other words than a registration. Returns
    /// whether any was known to take work.
    pub fn record_leaving(&self, starts: &[EndpointStart], origin: Origin) -> bool {
        let changed: Vec<_> = self.read_mut(|registry| {
            starts.iter().filter_map(|start| registry.record_leaving(start, origin)).collect()
        });
        log_changed(&changed);
        !changed.is_empty()
    }

    /// Endpoints take no more work since a roll-out ended.
    pub fn retire(&self, retired: Retirement<'_>) {
        let number = self.read_mut(|registry| registry.retire(retired));
        log::info!("registry: {number} endpoints are retired: {retired:?}");
    }

    /// Adopts newer orders about data halls.
    pub fn adopt_drained(self: &Arc<Self>, drained: DrainedHalls) {
        let names = drained.names().collect::<Vec<_>>().join(", ");
        let revision = drained.revision();
        if !self.read_mut(|registry| registry.adopt_drained(drained)) {
            return;
        }
        log::info!("registry: drained data halls are [{names}], revision {revision}");
        let registry = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(RESTORED_FOR).await;
            registry.read_mut(|registry| registry.forget_restored(revision));
        });
    }

    /// Takes in endpoints that took work before a restart, for as long as it may take
    /// them to say so themselves.
    pub fn remember(self: &Arc<Self>, endpoints: Vec<Registration>) {
        log::info!("registry: {} endpoints are remembered", endpoints.len());
        self.read_mut(|registry| registry.remember(endpoints));
        let registry = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(REMEMBERED_FOR).await;
            let unheard = registry.read_mut(Registry::forget_remembered);
            if unheard > 0 {
                log::info!("registry: {unheard} remembered endpoints were not heard, forgotten");
            }
        });
    }

    /// Works on the registry, and tells listeners of its last change.
    fn read_mut<T>(&self, f: impl FnOnce(&mut Registry) -> T) -> T {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let result = f(&mut registry);
        let last = registry.last_change();
        self.changes.send_if_modified(|told| std::mem::replace(told, last) != last);
        result
    }

    /// Looks at the registry.
    pub fn read<T>(&self, f: impl FnOnce(&Registry) -> T) -> T {
        f(&self.registry.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Tells of each change, by its number.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

fn log_changed(changed: &[Registration]) {
    let describe = |e: &Registration| {
        let (id, service, state, call) = (&e.id, &e.service, e.state, e.sequence);
        format!("{id} of {service} is {state:?}, call {call}, cold {} ms", e.warmup_ms)
    };
    let named: Vec<_> = changed.iter().take(MOST_NAMED).map(describe).collect();
    if !named.is_empty() {
        log::info!("registry: {} endpoints changed: {}", changed.len(), named.join("; "));
    }
}
