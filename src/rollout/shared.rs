//! Rollout state shared by the tasks of one process.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use super::model::{Rollout, Rollouts, Stage};
use super::report::{Grant, Grants, Report};
use crate::dispatch::Millis;
use crate::registry::{RetiredReleases, Retirement, SharedRegistry};
use crate::wire::HostId;

/// Maximum number of reports kept until the leader's next decision: a few seconds of reports from
/// hundreds of routers. Beyond that the oldest are dropped, as if they were lost in transit.
const MAX_REPORTS: usize = 8_192;

/// The agreed rollouts, the leader's grants and the reports of routers.
#[derive(Debug)]
pub struct SharedRollouts {
    table: watch::Sender<Arc<Rollouts>>,
    /// On a router: the grants received last.
    granted: Mutex<Granted>,
    /// On the leader: the grants published last.
    published: watch::Sender<Grants>,
    /// On the leader: reports received since the last decision.
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
            published: watch::Sender::new(Grants::default()),
            reports: Mutex::default(),
        }
    }
}

impl SharedRollouts {
    /// The current table of rollouts.
    pub fn table(&self) -> Arc<Rollouts> {
        self.table.borrow().clone()
    }

    /// Subscribes to the table of rollouts.
    pub fn watch(&self) -> watch::Receiver<Arc<Rollouts>> {
        self.table.subscribe()
    }

    /// Replaces the table by a newer one. The endpoints of old releases are retired from the
    /// registry once the new release is rolled out, and so are those of a release that was
    /// rolled back, whatever is ordered next.
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

    /// Adopts grants, unless their leader has been succeeded by another.
    pub fn adopt_grants(&self, now: Millis, grants: Grants) {
        let mut granted = self.granted();
        if grants.term >= granted.grants.term {
            granted.until = now + grants.valid_ms;
            granted.grants = grants;
        }
    }

    /// The grant that is valid now for a rollout of a service.
    pub fn grant(&self, now: Millis, service: &str, number: u64) -> Option<Grant> {
        let granted = self.granted();
        let is_this = |grant: &&Grant| grant.service == service && grant.number == number;
        let grant = granted.grants.services.iter().find(is_this);
        grant.filter(|_| now < granted.until).cloned()
    }

    /// Publishes the leader's grants to the subscribers.
    pub fn publish_grants(&self, grants: Grants) {
        self.published.send_replace(grants);
    }

    /// Subscribes to the grants that the leader publishes.
    pub fn watch_grants(&self) -> watch::Receiver<Grants> {
        self.published.subscribe()
    }

    /// Queues a router's report for the next decision.
    pub fn record_report(&self, router: HostId, report: Report) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.push_back((router, report));
        if reports.len() > MAX_REPORTS {
            reports.pop_front();
        }
    }

    /// Takes the reports received since the last call.
    pub fn take_reports(&self) -> VecDeque<(HostId, Report)> {
        std::mem::take(&mut *self.reports.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn granted(&self) -> MutexGuard<'_, Granted> {
        self.granted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
