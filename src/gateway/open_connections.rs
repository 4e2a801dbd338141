//! Since when connections to endpoints have been open. An endpoint cannot replace its software
//! without closing them, so the oldest one shows for how long it has run what it runs.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::task::AbortHandle;

use super::connections::Target;
use crate::clock::BootInstant;

/// All open connections to endpoints, by the start that they were opened to.
#[derive(Debug, Default)]
pub struct OpenConnections {
    count: AtomicUsize,
    by_target: Mutex<HashMap<Target, Vec<Entry>>>,
}

#[derive(Debug)]
struct Entry {
    opened_at: BootInstant,
    /// Finishes when either side closes the connection.
    driver: AbortHandle,
}

/// One open connection, closed and forgotten when dropped.
#[derive(Debug)]
pub struct OpenConnection {
    all: Arc<OpenConnections>,
    target: Target,
    opened_at: BootInstant,
    driver: AbortHandle,
}

impl OpenConnections {
    /// Adds a connection that was just opened and is driven by this task.
    pub fn add(all: &Arc<OpenConnections>, target: Target, driver: AbortHandle) -> OpenConnection {
        let opened_at = BootInstant::now();
        let entry = Entry { opened_at, driver: driver.clone() };
        all.lock().entry(target).or_default().push(entry);
        all.count.fetch_add(1, Ordering::Relaxed);
        OpenConnection { all: all.clone(), target, opened_at, driver }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// The starts of endpoints to which a connection has been open for this time.
    pub fn open_for(&self, age: Duration) -> HashSet<Target> {
        let by_target = self.lock();
        let is_old =
            |entry: &Entry| !entry.driver.is_finished() && entry.opened_at.elapsed() >= age;
        let old = by_target.iter().filter(|(_, entries)| entries.iter().any(is_old));
        old.map(|(target, _)| *target).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Target, Vec<Entry>>> {
        self.by_target.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenConnection {
    /// The time since it was opened.
    pub fn age(&self) -> Duration {
        self.opened_at.elapsed()
    }

    /// Age of the oldest connection to the same start of the endpoint that neither side has
    /// closed; its own if that is older.
    pub fn oldest_age(&self) -> Duration {
        let by_target = self.all.lock();
        let entries = by_target.get(&self.target).into_iter().flatten();
        let open = entries.filter(|entry| !entry.driver.is_finished());
        open.map(|entry| entry.opened_at.elapsed()).fold(self.age(), Duration::max)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.driver.abort();
        self.all.count.fetch_sub(1, Ordering::Relaxed);
        let mut by_target = self.all.lock();
        if let Some(entries) = by_target.get_mut(&self.target) {
            entries.retain(|entry| entry.driver.id() != self.driver.id());
            if entries.is_empty() {
                by_target.remove(&self.target);
            }
        }
    }
}
