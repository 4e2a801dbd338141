//! The feeds that are open from this control host, and what each was told, for metrics.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// The routing version that each open feed was told last, by the feed's number.
#[derive(Debug, Default)]
pub struct Followers {
    told: Mutex<BTreeMap<u64, u64>>,
    next: AtomicU64,
}

/// One open feed; it counts no more when this is dropped.
#[derive(Debug)]
pub struct Follower {
    number: u64,
    all: Arc<Followers>,
}

impl Followers {
    /// A feed was opened; it was told no version yet.
    pub fn opened(self: &Arc<Self>) -> Follower {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        self.with(|told| told.insert(number, 0));
        Follower { number, all: self.clone() }
    }

    /// Feeds that are open.
    pub fn count(&self) -> usize {
        self.with(|told| told.len())
    }

    /// Feeds that were told this version or a later one: it was written to the socket.
    /// That it came is seen at the subscriber only.
    pub fn count_told(&self, version: u64) -> usize {
        self.with(|told| told.values().filter(|last| **last >= version).count())
    }

    fn with<T>(&self, f: impl FnOnce(&mut BTreeMap<u64, u64>) -> T) -> T {
        f(&mut self.told.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Follower {
    /// The feed was told a routing version.
    pub fn told(&self, version: u64) {
        self.all.with(|told| told.insert(self.number, version));
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.all.with(|told| told.remove(&self.number));
    }
}
