//! Choosing between releases for the requests of this router while one is rolled out.

use std::collections::BTreeMap;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use rand::RngExt;

use super::destination::Destination;
use super::exchange::Attempt;
use super::request::Call;
use super::state::Gateway;
use crate::dispatch::Millis;
use crate::eligibility::VersionRule;
use crate::registry::Registration;
use crate::rollout::{
    ALL_PERMILLE, Grant, Release, ReleaseChoice, Rollout, Rollouts, RouterState, RouterTally,
    SplitReason, TrafficSplitter, release_of,
};

/// How often observations are reported to the leader: several times within the second in
/// which a bad release must be detected, at few bytes each.
const REPORT_INTERVAL: Duration = Duration::from_millis(180);
/// Shortest interval between log lines about the fraction of a service's requests that its
/// new release gets, in milliseconds.
const LOG_INTERVAL_MS: Millis = 1_000;

/// This router's state of the releases of its services.
#[derive(Debug, Default)]
pub(super) struct Releases {
    splitter: TrafficSplitter,
    pub tally: RouterTally,
    logged_splits: BTreeMap<String, LoggedSplit>,
}

/// The fraction of requests for a new release and the reason for it, as last logged.
#[derive(Debug, PartialEq, Eq)]
struct LoggedSplit {
    number: u64,
    permille: u32,
    reason: SplitReason,
    logged_at: Millis,
}

impl Releases {
    /// Logs a changed fraction of a service's requests for its new release.
    fn log_split(
        &mut self,
        now: Millis,
        rollout: &Rollout,
        grant: Option<&Grant>,
        reason: SplitReason,
    ) {
        let permille = grant.map_or(0, |grant| grant.permille);
        let (number, service) = (rollout.number, &rollout.order.service);
        let split = LoggedSplit { number, permille, reason, logged_at: now };
        if let Some(known) = self.logged_splits.get(service) {
            let is_same =
                (known.number, known.permille, known.reason) == (number, permille, reason);
            let is_new = known.number != number;
            if is_same || !is_new && now < known.logged_at + LOG_INTERVAL_MS {
                return;
            }
        }
        let version = &rollout.order.version;
        log::info!("rollout: {version} of {service} gets {permille} of 1000 requests: {reason:?}");
        self.logged_splits.insert(service.clone(), split);
    }
}

impl Call {
    /// Which releases may run it now; `None` when none may.
    pub(super) fn version_rule(&self) -> Option<VersionRule> {
        let offset = rand::rng().random();
        self.with_router_state(|releases, choice, state| {
            let (rule, reason) = releases.splitter.rule(choice, &self.route.name, offset, state);
            if let Some(rollout) = state.rollout {
                releases.log_split(self.gateway.now(), rollout, state.grant, reason);
            }
            rule
        })
    }

    /// Whether it may be sent to an endpoint, as far as is known at this moment.
    pub(super) fn may_be_sent_to(&self, endpoint: &Registration) -> bool {
        self.gateway.accepts_requests(endpoint)
            && self.crash_refusal().is_none()
            && self
                .eligibility()
                .is_some_and(|eligibility| self.is_eligible(&eligibility, endpoint))
    }

    /// Binds the request to a release, before the caller gets the first piece of its answer.
    pub(super) fn bind(&self, version: &str) {
        self.release_choice().bind(version);
    }

    /// Whether its stream may be resumed on the release that began it.
    pub(super) fn may_resume(&self) -> bool {
        let offset = rand::rng().random();
        self.with_router_state(|releases, choice, state| {
            releases.splitter.try_resume(choice, &self.route.name, offset, state)
        })
    }

    /// Records a failed attempt at an endpoint of a release: if that is the new release, the
    /// request is sent to another.
    pub(super) fn record_failure_at(&self, version: &str, attempt: &Attempt) {
        if matches!(attempt, Attempt::Answered(_)) {
            return;
        }
        if let Some(number) = self.rollout_number(|rollout| rollout.order.version == version) {
            self.release_choice().record_failure_at_new(number);
        }
    }

    /// Whether it was assigned to the new release, got no place there, and may get one at
    /// another release. Once all requests go to the new release, those that it cannot serve in
    /// time are refused as usual, since the other releases have to drain.
    pub(super) fn falls_back_from_new(
        &self,
        rule: &VersionRule,
        destination: &Destination,
    ) -> bool {
        let VersionRule::Only { version, .. } = rule else { return false };
        let number = self.rollout_number(|r| r.order.version == *version && !r.stage.is_final());
        let Some(number) = number else { return false };
        let is_refused = matches!(destination, Destination::TooLate(_));
        let may_fall_back = !is_refused || self.is_partial_traffic(rule);
        may_fall_back && self.release_choice().record_no_place_at_new(number)
    }

    /// Whether it is assigned to a new release that gets only a fraction of the requests.
    pub(super) fn is_partial_traffic(&self, rule: &VersionRule) -> bool {
        let VersionRule::Only { version, .. } = rule else { return false };
        let number = self.rollout_number(|r| r.order.version == *version && !r.stage.is_final());
        let Some(number) = number else { return false };
        let now = self.gateway.now();
        let grant = self.gateway.rollouts.grant(now, &self.service, number);
        grant.is_none_or(|grant| grant.permille < ALL_PERMILLE) && !self.release_choice().is_bound()
    }

    fn rollout_number(&self, matches: impl Fn(&Rollout) -> bool) -> Option<u64> {
        let table = self.gateway.rollouts.table();
        table.get(&self.service).filter(|rollout| matches(rollout)).map(|rollout| rollout.number)
    }

    fn with_router_state<T>(
        &self,
        f: impl FnOnce(&mut Releases, &mut ReleaseChoice, &RouterState<'_>) -> T,
    ) -> T {
        let gateway = &self.gateway;
        let table = gateway.rollouts.table();
        let rollout = table.get(&self.service);
        let grant = rollout.and_then(|rollout| {
            gateway.rollouts.grant(gateway.now(), &self.service, rollout.number)
        });
        // Computed before taking the lock: it may visit many endpoints while old ones leave.
        let others_accept_requests =
            rollout.is_none_or(|rollout| self.others_accept_requests(rollout));
        let grant = grant.as_ref();
        let state = RouterState { rollout, grant, others_accept_requests };
        let mut choice = self.release_choice();
        gateway.with_releases(|releases| f(releases, &mut choice, &state))
    }

    /// Whether an endpoint of a release other than the new one could run it.
    fn others_accept_requests(&self, rollout: &Rollout) -> bool {
        if rollout.stage.is_final() {
            return true;
        }
        let allowed = self.current_regions();
        let regions = &self.gateway.settings.host.regions;
        let may_run = |endpoint: &Registration| {
            release_of(rollout, &endpoint.version) == Release::Old
                && allowed.allows(regions.of(&endpoint.hall))
        };
        self.gateway.registry.read(|registry| registry.ready(&self.service).any(may_run))
    }

    fn release_choice(&self) -> MutexGuard<'_, ReleaseChoice> {
        self.release_choice.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reports this router's observations to the leader while a release is rolled out.
pub(super) async fn report(gateway: Arc<Gateway>) {
    let mut table = gateway.rollouts.watch();
    let is_in_progress = |table: &Arc<Rollouts>| table.all().any(|r| !r.stage.is_final());
    while table.wait_for(is_in_progress).await.is_ok() {
        let known = gateway.rollouts.table();
        let report = gateway.with_releases(|releases| releases.tally.take_report(&known));
        if !gateway.feeds.report_rollouts(report.clone()) {
            gateway.with_releases(|releases| releases.tally.put_back(report));
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}
