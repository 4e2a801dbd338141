//! Refused requests as the tasks of one process know them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, watch};

use super::model::{QuarantineUpdate, Quarantines};
use super::report::{CrashReport, Observation};
use crate::wire::HostId;

/// Observations that may wait for the leader's next look: a moment's of hundreds of routers
/// in an outage, some 4 MB. Beyond them reports are dropped; routers tell everything three
/// times.
const MOST_WAITING: usize = 32_768;

/// What was agreed, and what routers report to a leader.
#[derive(Debug)]
pub struct SharedQuarantine {
    agreed: watch::Sender<Arc<Quarantines>>,
    waiting: Mutex<Vec<(HostId, Observation)>>,
    reported: Notify,
}

impl Default for SharedQuarantine {
    fn default() -> Self {
        SharedQuarantine {
            agreed: watch::Sender::new(Arc::default()),
            waiting: Mutex::default(),
            reported: Notify::new(),
        }
    }
}

impl SharedQuarantine {
    /// What is agreed, as known here.
    pub fn agreed(&self) -> Arc<Quarantines> {
        self.agreed.borrow().clone()
    }

    /// The same, now and as it changes.
    pub fn watch(&self) -> watch::Receiver<Arc<Quarantines>> {
        self.agreed.subscribe()
    }

    /// Takes the agreed state in, if it is newer.
    pub fn replace(&self, quarantines: &Quarantines) {
        self.agreed.send_if_modified(|known| {
            let is_newer = quarantines.revision() > known.revision();
            if is_newer {
                *known = Arc::new(quarantines.clone());
            }
            is_newer
        });
    }

    /// Takes news of it in, if they are newer.
    pub fn adopt(&self, news: QuarantineUpdate) {
        self.agreed.send_if_modified(|known| Arc::make_mut(known).adopt(news));
    }

    /// A router reported to this host; false where it is dropped.
    pub fn receive_report(&self, router: HostId, report: CrashReport) -> bool {
        let mut waiting = self.waiting();
        let has_room = waiting.len() + report.observations.len() <= MOST_WAITING;
        if has_room {
            waiting.extend(report.observations.into_iter().map(|seen| (router, seen)));
        }
        drop(waiting);
        self.reported.notify_one();
        has_room
    }

    /// What was reported since this was asked last.
    pub fn take_reported(&self) -> Vec<(HostId, Observation)> {
        std::mem::take(&mut *self.waiting())
    }

    /// Waits until something is reported.
    pub async fn reported(&self) {
        self.reported.notified().await;
    }

    fn waiting(&self) -> MutexGuard<'_, Vec<(HostId, Observation)>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
