//! The router's side: refuses quarantined requests, and reports observations of crashes to the
//! leader.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;

use super::crash_analysis::CrashAnalysis;
use super::model::Quarantines;
use super::profile::RequestProfile;
use super::report::CrashReport;
use super::suspect::Suspect;
use super::suspected_endpoints::SuspectedEndpoints;
use super::{Observation, ObservationLog, SharedQuarantine, StartEvent};
use crate::clock::{Clock, epoch_ms};
use crate::dispatch::Millis;
use crate::feed::Subscriptions;
use crate::registry::EndpointStart;
use crate::wire::HostId;

/// Time in milliseconds after which a caller may retry if this router alone decided to refuse the
/// request: a leader that is back has decided by then.
const LOCAL_RETRY_MS: u32 = 10_000;
/// Shortest time in milliseconds after which a caller may retry: the leader takes a moment to let
/// a request run again once the time of its refusal is over.
const MIN_RETRY_MS: u64 = 1_000;
/// How long an observation waits for others of the same crash before it is reported: a router
/// detects all its losses within some milliseconds.
const GATHER_TIME: Duration = Duration::from_millis(10);
/// Longest time for which data that an endpoint sent before it crashed may wait here to be read.
const MAX_READ_DELAY: Duration = Duration::from_millis(250);
/// Pause between checks for a new leader while there are observations to report.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Guards the endpoints of one router against requests that crash them.
#[derive(Debug)]
pub struct CrashGuard {
    shared: Arc<SharedQuarantine>,
    router: HostId,
    clock: Clock,
    local: Mutex<LocalState>,
    suspected: Mutex<SuspectedEndpoints>,
    /// Whether any endpoint is suspected, kept apart because it is read for each piece of a
    /// stream.
    has_suspected: AtomicBool,
    observed: Notify,
}

#[derive(Debug, Default)]
struct LocalState {
    observation_log: ObservationLog,
    /// The analysis by which this router decides without a leader.
    analysis: CrashAnalysis,
    refused_locally: BTreeSet<Suspect>,
}

impl CrashGuard {
    /// Creates the guard of `router` without observations, with the agreed quarantines.
    pub fn new(shared: Arc<SharedQuarantine>, router: HostId, clock: Clock) -> CrashGuard {
        CrashGuard {
            shared,
            router,
            clock,
            local: Mutex::default(),
            suspected: Mutex::default(),
            has_suspected: AtomicBool::new(false),
            observed: Notify::new(),
        }
    }

    /// The milliseconds after which the caller of a request may retry, if the request is refused.
    /// A router that cannot reach a leader also decides from its own observations.
    pub fn refusal(
        &self,
        request: &RequestProfile,
        has_leader: impl FnOnce() -> bool,
    ) -> Option<u32> {
        let agreed = self.shared.agreed();
        if let Some((_, quarantine)) = agreed.refusal_of(request) {
            let left = quarantine.until_ms.saturating_sub(epoch_ms()).max(MIN_RETRY_MS);
            return Some(u32::try_from(left).unwrap_or(u32::MAX));
        }
        let is_refused_locally = self.local().refused_locally.iter().any(|s| request.matches(s));
        (is_refused_locally && !has_leader()).then_some(LOCAL_RETRY_MS)
    }

    /// Records that an endpoint ended a request's answer early, after the request `ran` there.
    pub fn record_loss(&self, endpoint: EndpointStart, request: &RequestProfile, ran: Duration) {
        let ran_ms = u32::try_from(ran.as_millis()).unwrap_or(u32::MAX);
        self.suspected().record_loss(self.clock.now(), &endpoint);
        self.has_suspected.store(true, Ordering::Relaxed);
        self.record(|now, observation_log| {
            observation_log.record_loss(now, endpoint, request.clone(), ran_ms)
        });
    }

    /// Records that an endpoint answered a request that was sent to it `sent_ago`.
    pub fn record_answer(&self, endpoint: &str, started_at_ms: u64, sent_ago: Duration) {
        if !self.has_suspected.load(Ordering::Relaxed) {
            return;
        }
        let now = self.clock.now();
        let sent_at = now.saturating_sub(sent_ago.as_millis() as Millis);
        let mut suspected = self.suspected();
        let was_suspected = suspected.record_alive(now, endpoint, started_at_ms, sent_at);
        self.has_suspected.store(!suspected.is_empty(), Ordering::Relaxed);
        drop(suspected);
        if was_suspected {
            let endpoint = EndpointStart { id: endpoint.to_string(), started_at_ms };
            self.record(|now, observation_log| {
                observation_log.record_answer(now, &endpoint, sent_at).into_iter().collect()
            });
        }
    }

    /// Records that an endpoint sent more of an answer that it had begun before.
    pub fn record_stream_data(&self, endpoint: &str, started_at_ms: u64) {
        self.record_answer(endpoint, started_at_ms, MAX_READ_DELAY);
    }

    /// Records that a request was served completely, as its endpoint stated.
    pub fn record_served(&self, request: &RequestProfile) {
        let agreed = self.shared.agreed();
        let is_suspect = |suspect: &Suspect| agreed.concerns(suspect);
        self.record(|now, observation_log| observation_log.record_served(now, request, is_suspect));
    }

    fn record(&self, record: impl FnOnce(Millis, &mut ObservationLog) -> Vec<Observation>) {
        let now = self.clock.now();
        let mut local = self.local();
        let observations = record(now, &mut local.observation_log);
        if observations.is_empty() {
            return;
        }
        for observation in observations {
            local.analysis.record(now, self.router, observation);
        }
        drop(local);
        self.observed.notify_one();
    }

    /// Records which starts of endpoints became known.
    pub fn record_starts(&self, events: Vec<StartEvent>) {
        self.local().analysis.record_starts(self.clock.now(), events);
    }

    /// Updates what this router refuses without a leader.
    fn decide_locally(&self) {
        let now = self.clock.now();
        let agreed = self.shared.agreed();
        let at_epoch = |at_ms| self.clock.at_epoch(at_ms);
        let mut local = self.local();
        if !local.analysis.is_due(now) {
            return;
        }
        local.analysis.review(now, &agreed.states(at_epoch));
        // Only the leader acts on what was served, by releasing it.
        local.analysis.take_served();
        local.refused_locally = local.analysis.blamed().clone();
    }

    /// Adapts to a change of the agreed quarantines. What was served here shortly before it was
    /// refused is not to blame, which is recorded for the leader.
    fn quarantines_changed(&self, before: &Quarantines, after: &Quarantines) {
        let mut local = self.local();
        for (suspect, quarantine) in after.all().filter(|(s, q)| before.get(s) != Some(*q)) {
            log::info!(
                "quarantine: {suspect} is now {:?}: refusal {} after {} crashes, revision {}",
                quarantine.stage,
                quarantine.times,
                quarantine.crashes,
                after.revision(),
            );
            if after.refuses(suspect) {
                local.observation_log.record_refusal(self.clock.now(), suspect);
            }
        }
        for suspect in before.no_longer_refused(after) {
            local.observation_log.discard_losses(suspect);
            local.analysis.discard_crashes(self.clock.now(), suspect);
        }
        for (suspect, _) in before.all().filter(|(s, _)| after.get(s).is_none()) {
            log::info!("quarantine: {suspect} is released, revision {}", after.revision());
        }
    }

    fn report(&self) -> CrashReport {
        self.local().observation_log.report(self.clock.now())
    }

    fn resend_all(&self) {
        self.local().observation_log.resend_all(self.clock.now());
    }

    /// Time until there may be something to report; none while there are no observations.
    fn until_next_report(&self) -> Option<Duration> {
        let local = self.local();
        if local.observation_log.is_empty() {
            return None;
        }
        let now = self.clock.now();
        let due =
            local.observation_log.due().map(|due| Duration::from_millis(due.saturating_sub(now)));
        Some(due.map_or(LEADER_POLL_INTERVAL, |due| due.min(LEADER_POLL_INTERVAL)))
    }

    fn suspected(&self) -> MutexGuard<'_, SuspectedEndpoints> {
        self.suspected.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn local(&self) -> MutexGuard<'_, LocalState> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reports this router's observations of crashes to the current leader, until the process ends.
pub async fn report_crashes(guard: Arc<CrashGuard>, feeds: Arc<Subscriptions>) {
    let mut agreed = guard.shared.watch();
    let mut previous = Arc::<Quarantines>::default();
    let mut reported_to = None;
    loop {
        let now_agreed = agreed.borrow_and_update().clone();
        if now_agreed.revision() != previous.revision() {
            guard.quarantines_changed(&previous, &now_agreed);
            previous = now_agreed;
        }
        let leadership = feeds.leadership();
        if leadership != reported_to {
            guard.resend_all();
            reported_to = leadership;
        }
        guard.decide_locally();
        if reported_to.is_some() {
            let report = guard.report();
            if !report.observations.is_empty() && !feeds.report_crashes(report) {
                reported_to = None;
            }
        }
        let pause = guard.until_next_report();
        tokio::select! {
            () = guard.observed.notified() => tokio::time::sleep(GATHER_TIME).await,
            () = sleep_or_pend(pause) => {}
            changed = agreed.changed() => if changed.is_err() { return },
        }
    }
}

async fn sleep_or_pend(time: Option<Duration>) {
    match time {
        Some(time) => tokio::time::sleep(time).await,
        None => std::future::pending().await,
    }
}
