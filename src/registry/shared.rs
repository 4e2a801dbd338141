//! A registry shared by the tasks of a process, which hear of its changes.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::broadcast;

use super::{Registration, Registry};

/// Changes that a slow listener may be behind before it must start over.
const BACKLOG: usize = 1_024;

/// How long endpoints are remembered: two of their heartbeats, which come every 1.2 s
/// on the platform. One that left meanwhile gets nothing new after that.
const REMEMBERED_FOR: Duration = Duration::from_millis(2_500);

/// A registry and its changes.
#[derive(Debug)]
pub struct SharedRegistry {
    registry: Mutex<Registry>,
    changes: broadcast::Sender<Registration>,
}

impl Default for SharedRegistry {
    fn default() -> Self {
        SharedRegistry { registry: Mutex::default(), changes: broadcast::Sender::new(BACKLOG) }
    }
}

impl SharedRegistry {
    /// Takes in what an endpoint said; tells listeners what differs now.
    pub fn merge(&self, news: Registration) {
        let changed = self.read_mut(|registry| registry.merge(news));
        if let Some(now) = changed {
            log::info!(
                "registry: endpoint {} of {} at {:?} is {:?}, call {}",
                now.id,
                now.service,
                now.address,
                now.state,
                now.sequence
            );
            // Nobody may be listening.
            let _ = self.changes.send(now);
        }
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

    fn read_mut<T>(&self, f: impl FnOnce(&mut Registry) -> T) -> T {
        f(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Looks at the registry.
    pub fn read<T>(&self, f: impl FnOnce(&Registry) -> T) -> T {
        f(&self.registry.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Everything that is known, and from then on each change.
    pub fn subscribe(&self) -> (Vec<Registration>, broadcast::Receiver<Registration>) {
        let changes = self.changes.subscribe();
        (self.read(|registry| registry.all().cloned().collect()), changes)
    }
}
