//! Roll-outs as the tasks of one process know them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use super::model::{Rollout, Rollouts, Stage};
use super::report::{Grant, Grants, Report};
use crate::dispatch::Millis;
use crate::registry::{RetiredReleases, Retirement, SharedRegistry};
use crate::wire::HostId;

/// Reports that may wait for the leader's next decision: some seconds of those of
/// hundreds of routers. Beyond them the oldest are dropped, as if they were lost.
const MOST_REPORTS: usize = 8_192;

/// The agreed roll-outs, what the leader has granted, and what routers report to it.
#[derive(Debug)]
pub struct SharedRollouts {
    table: watch::Sender<Arc<Rollouts>>,
    /// On a router: what it was granted last.
    granted: Mutex<Granted>,
    /// On the leader: what it grants.
    offered: watch::Sender<Grants>,
    /// On the leader: what routers reported since it decided last.
    reports: Mutex<VecDeque<(HostId, Report)>>,
}

#[derive(Debug, Default)]
struct Granted {
    grants: Grants,
    until: Millis,
}

impl Default for SharedRollouts {
    fn default() -> Self {
        SharedRollouts {
            table: watch::Sender::new(Arc::default()),
            granted: Mutex::default(),
            offered: watch::Sender::new(Grants::default()),
            reports: Mutex::default(),
        }
    }
}

impl SharedRollouts {
    /// The roll-outs as known here.
    pub fn table(&self) -> Arc<Rollouts> {
        self.table.borrow().clone()
    }

    /// The roll-outs as known here, now and as they change.
    pub fn watch(&self) -> watch::Receiver<Arc<Rollouts>> {
        self.table.subscribe()
    }

    /// Takes a table in, if it is newer. The endpoints of old releases stop once the new
    /// one is rolled out, and those of one that was rolled back get nothing more, whatever
    /// is ordered next: both are retired from the registry.
    pub fn adopt(&self, rollouts: Rollouts, registry: &SharedRegistry) {
        let mut changed = Vec::new();
        let before = self.table();
        self.table.send_if_modified(|known| {
            let is_newer = rollouts.revision() > known.revision();
            if is_newer {
                let is_new = |r: &&Rollout| known.get(&r.order.service) != Some(*r);
                changed.extend(rollouts.all().filter(is_new).cloned());
                *known = Arc::new(rollouts);
            }
            is_newer
        });
        for rollout in changed {
            let Rollout { number, order, stage, stage_at_ms } = rollout;
            log::info!("rollout: {} of {} is in stage {stage:?}", order.version, order.service);
            let releases = match stage {
                Stage::Canary | Stage::Shifting => continue,
                Stage::Done => RetiredReleases::AllBut(&order.version),
                Stage::RolledBack => RetiredReleases::Only(&order.version),
            };
            let known = before.get(&order.service);
            let seen_in_progress = known.is_some_and(|r| r.number == number && !r.stage.is_final());
            let (service, at_ms) = (order.service.as_str(), stage_at_ms);
            registry.retire(Retirement { service, releases, at_ms, seen_in_progress });
        }
    }

    /// Takes grants in, unless they come from a leader that was followed by another.
    pub fn adopt_grants(&self, now: Millis, grants: Grants) {
        let mut granted = self.granted();
        if grants.term >= granted.grants.term {
            granted.until = now + grants.valid_ms;
            granted.grants = grants;
        }
    }

    /// What this process may send to the new release of a service now.
    pub fn grant(&self, now: Millis, service: &str, number: u64) -> Option<Grant> {
        let granted = self.granted();
        let is_this = |grant: &&Grant| grant.service == service && grant.number == number;
        let grant = granted.grants.services.iter().find(is_this);
        grant.filter(|_| now < granted.until).cloned()
    }

    /// The leader grants anew.
    pub fn publish_grants(&self, grants: Grants) {
        self.offered.send_replace(grants);
    }

    /// What the leader grants, each time that it does.
    pub fn watch_grants(&self) -> watch::Receiver<Grants> {
        self.offered.subscribe()
    }

    /// A router reported to this host.
    pub fn record_report(&self, router: HostId, report: Report) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.push_back((router, report));
        if reports.len() > MOST_REPORTS {
            reports.pop_front();
        }
    }

    /// What was reported since this was asked last.
    pub fn take_reports(&self) -> VecDeque<(HostId, Report)> {
        std::mem::take(&mut *self.reports.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn granted(&self) -> MutexGuard<'_, Granted> {
        self.granted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
