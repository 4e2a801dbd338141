//! Quarantine state that the tasks of one process share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, watch};

use super::model::{QuarantineUpdate, Quarantines};
use super::report::{CrashReport, Observation};
use crate::wire::HostId;

/// Observations that may be pending until the leader's next analysis: those that hundreds of
/// routers send within a moment of an outage, about 4 MB. Reports beyond this limit are
/// dropped; routers send each observation three times.
const MAX_PENDING: usize = 32_768;

/// The agreed quarantines, and the observations that routers reported to this host.
#[derive(Debug)]
pub struct SharedQuarantine {
    agreed: watch::Sender<Arc<Quarantines>>,
    pending: Mutex<Vec<(HostId, Observation)>>,
    reported: Notify,
    /// On the leader, the recent crashes, and those that were refuted.
    crashes: AtomicU64,
    refuted_crashes: AtomicU64,
}

impl Default for SharedQuarantine {
    fn default() -> Self {
        SharedQuarantine {
            agreed: watch::Sender::new(Arc::default()),
            pending: Mutex::default(),
            reported: Notify::new(),
            crashes: AtomicU64::new(0),
            refuted_crashes: AtomicU64::new(0),
        }
    }
}

impl SharedQuarantine {
    /// The agreed quarantines, at the latest revision that this process has received.
    pub fn agreed(&self) -> Arc<Quarantines> {
        self.agreed.borrow().clone()
    }

    /// A receiver of the agreed quarantines that is notified of each change.
    pub fn watch(&self) -> watch::Receiver<Arc<Quarantines>> {
        self.agreed.subscribe()
    }

    /// Replaces the agreed quarantines if `quarantines` has a later revision.
    pub fn replace(&self, quarantines: &Quarantines) {
        self.agreed.send_if_modified(|current| {
            let is_newer = quarantines.revision() > current.revision();
            if is_newer {
                *current = Arc::new(quarantines.clone());
            }
            is_newer
        });
    }

    /// Applies an update if it has a later revision.
    pub fn adopt(&self, update: QuarantineUpdate) {
        self.agreed.send_if_modified(|current| Arc::make_mut(current).adopt(update));
    }

    /// Queues the observations of a router's report. Returns false if the report was dropped.
    pub fn receive_report(&self, router: HostId, report: CrashReport) -> bool {
        let mut pending = self.pending();
        let has_room = pending.len() + report.observations.len() <= MAX_PENDING;
        if has_room {
            pending
                .extend(report.observations.into_iter().map(|observation| (router, observation)));
        }
        drop(pending);
        self.reported.notify_one();
        has_room
    }

    /// Takes the observations that were reported since the last call, each with its router.
    pub fn take_reported(&self) -> Vec<(HostId, Observation)> {
        std::mem::take(&mut *self.pending())
    }

    /// Sets the numbers of recent crashes and of refuted ones, as the leader knows them.
    pub fn set_crash_counts(&self, crashes: u64, refuted: u64) {
        self.crashes.store(crashes, Ordering::Relaxed);
        self.refuted_crashes.store(refuted, Ordering::Relaxed);
    }

    /// The numbers of recent crashes and of refuted ones; 0 on other hosts.
    pub fn crash_counts(&self) -> (u64, u64) {
        (self.crashes.load(Ordering::Relaxed), self.refuted_crashes.load(Ordering::Relaxed))
    }

    /// Waits until something is reported.
    pub async fn reported(&self) {
        self.reported.notified().await;
    }

    fn pending(&self) -> MutexGuard<'_, Vec<(HostId, Observation)>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
