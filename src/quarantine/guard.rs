//! A router's side: which requests it refuses, and what it tells the leader of crashes.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;

use super::crash_analysis::CrashAnalysis;
use super::doubts::Doubts;
use super::model::{Quarantines, Stage};
use super::report::CrashReport;
use super::{Fingerprint, Observation, ObservationLog, SharedQuarantine, StartEvent};
use crate::clock::{Clock, epoch_ms};
use crate::dispatch::Millis;
use crate::feed::Subscriptions;
use crate::registry::EndpointStart;
use crate::wire::HostId;

/// When to come back, in milliseconds, where a request is refused by what this router alone
/// saw: a leader that is back has decided by then.
const ALONE_RETRY_MS: u32 = 10_000;
/// The shortest time after which a caller is told to come back, in milliseconds: the leader
/// takes a moment to let a request run again whose time is over.
const LEAST_RETRY_MS: u64 = 1_000;
/// How long what is seen waits for more of the same crash before it is told: a router
/// notices all that it lost within some milliseconds.
const GATHER: Duration = Duration::from_millis(10);
/// How long what an endpoint sent before its end may wait here to be read.
const READ_LATE: Duration = Duration::from_millis(250);
/// How often it is looked whether another host leads while there is anything to tell it.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// What a router knows of requests that crash endpoints.
#[derive(Debug)]
pub struct CrashGuard {
    shared: Arc<SharedQuarantine>,
    me: HostId,
    clock: Clock,
    seen: Mutex<Seen>,
    doubts: Mutex<Doubts>,
    /// Whether any endpoint is doubted: asked for every piece of a stream.
    has_doubts: AtomicBool,
    noticed: Notify,
}

#[derive(Debug, Default)]
struct Seen {
    observation_log: ObservationLog,
    /// What this router would decide without a leader.
    alone: CrashAnalysis,
    refused_alone: BTreeSet<Fingerprint>,
}

impl CrashGuard {
    /// The guard of router `me`, which has seen nothing, with what is agreed.
    pub fn new(shared: Arc<SharedQuarantine>, me: HostId, clock: Clock) -> CrashGuard {
        CrashGuard {
            shared,
            me,
            clock,
            seen: Mutex::default(),
            doubts: Mutex::default(),
            has_doubts: AtomicBool::new(false),
            noticed: Notify::new(),
        }
    }

    /// Whether a request is refused, and the milliseconds after which its caller may come
    /// back. Without a leader in reach this router decides by what it saw itself.
    pub fn refusal(&self, of: &Fingerprint, has_leader: impl FnOnce() -> bool) -> Option<u32> {
        let agreed = self.shared.agreed();
        if let Some(quarantine) = agreed.get(of).filter(|q| q.stage == Stage::Refused) {
            let left = quarantine.until_ms.saturating_sub(epoch_ms()).max(LEAST_RETRY_MS);
            return Some(u32::try_from(left).unwrap_or(u32::MAX));
        }
        let is_refused_alone = self.seen().refused_alone.contains(of);
        (is_refused_alone && !has_leader()).then_some(ALONE_RETRY_MS)
    }

    /// An endpoint broke off a request's answer.
    pub fn record_loss(&self, endpoint: EndpointStart, fingerprint: &Fingerprint, ran: Duration) {
        let ran_ms = u32::try_from(ran.as_millis()).unwrap_or(u32::MAX);
        self.doubts().note(self.clock.now(), &endpoint);
        self.has_doubts.store(true, Ordering::Relaxed);
        self.see(|now, observation_log| {
            observation_log.record_loss(now, endpoint, fingerprint.clone(), ran_ms)
        });
    }

    /// An endpoint answered a request that was sent to it so long ago.
    pub fn record_answer(&self, endpoint: &str, started_at_ms: u64, sent_ago: Duration) {
        if !self.has_doubts.load(Ordering::Relaxed) {
            return;
        }
        let now = self.clock.now();
        let sent = now.saturating_sub(sent_ago.as_millis() as Millis);
        let mut doubts = self.doubts();
        let is_refuted = doubts.refute(now, endpoint, started_at_ms, sent);
        self.has_doubts.store(!doubts.is_empty(), Ordering::Relaxed);
        drop(doubts);
        if is_refuted {
            let endpoint = EndpointStart { id: endpoint.to_string(), started_at_ms };
            self.see(|now, observation_log| observation_log.record_answer(now, &endpoint, sent));
        }
    }

    /// An endpoint sends on an answer that began before.
    pub fn record_stream_data(&self, endpoint: &str, started_at_ms: u64) {
        self.record_answer(endpoint, started_at_ms, READ_LATE);
    }

    /// A request was served whole.
    pub fn record_served(&self, fingerprint: &Fingerprint) {
        let is_suspect = self.shared.agreed().get(fingerprint).is_some();
        self.see(|now, observation_log| {
            observation_log.record_served(now, fingerprint, is_suspect)
        });
    }

    fn see(&self, see: impl FnOnce(Millis, &mut ObservationLog) -> Option<Observation>) {
        let now = self.clock.now();
        let mut seen = self.seen();
        let Some(observation) = see(now, &mut seen.observation_log) else { return };
        seen.alone.record(now, self.me, observation);
        drop(seen);
        self.noticed.notify_one();
    }

    /// What became known of starts of endpoints.
    pub fn record_starts(&self, news: Vec<StartEvent>) {
        self.seen().alone.record_starts(self.clock.now(), news);
    }

    /// What this router would decide without a leader.
    fn decide_alone(&self) {
        let now = self.clock.now();
        let agreed = self.shared.agreed();
        let at_epoch = |at_ms| self.clock.at_epoch(at_ms);
        let quarantine_state = |fingerprint: &_| agreed.quarantine_state(fingerprint, at_epoch);
        let mut seen = self.seen();
        if !seen.alone.is_due(now) {
            return;
        }
        seen.alone.review(now, quarantine_state);
        // Nobody has to be told that they are released.
        seen.alone.take_served();
        seen.refused_alone = seen.alone.blamed().clone();
    }

    /// What was agreed has changed. Who was served here a moment before it was refused is
    /// not to blame, and the leader has to learn that.
    fn adopted(&self, before: &Quarantines, now: &Quarantines) {
        let mut seen = self.seen();
        for (fingerprint, quarantine) in now.all().filter(|(f, q)| before.get(f) != Some(*q)) {
            log::info!(
                "quarantine: {fingerprint} is {:?} for the {}. time after {} crashes, revision {}",
                quarantine.stage,
                quarantine.times,
                quarantine.crashes,
                now.revision(),
            );
            if quarantine.stage == Stage::Refused {
                seen.observation_log.record_refusal(self.clock.now(), fingerprint);
            }
        }
        for fingerprint in before.no_longer_refused(now) {
            seen.observation_log.discard_losses(fingerprint);
            seen.alone.discard_losses(self.clock.now(), fingerprint);
        }
        for (fingerprint, _) in before.all().filter(|(f, _)| now.get(f).is_none()) {
            log::info!("quarantine: {fingerprint} is released, revision {}", now.revision());
        }
    }

    fn report(&self) -> CrashReport {
        self.seen().observation_log.report(self.clock.now())
    }

    fn tell_anew(&self) {
        self.seen().observation_log.tell_anew(self.clock.now());
    }

    /// How long there is nothing to tell; none for as long as nothing is seen.
    fn quiet_for(&self) -> Option<Duration> {
        let seen = self.seen();
        if seen.observation_log.is_empty() {
            return None;
        }
        let now = self.clock.now();
        let due =
            seen.observation_log.due().map(|due| Duration::from_millis(due.saturating_sub(now)));
        Some(due.map_or(LOOK_EVERY, |due| due.min(LOOK_EVERY)))
    }

    fn doubts(&self) -> MutexGuard<'_, Doubts> {
        self.doubts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells whoever leads what this router saw of crashes, until the process ends.
pub async fn report_crashes(guard: Arc<CrashGuard>, feeds: Arc<Subscriptions>) {
    let mut agreed = guard.shared.watch();
    let mut known = Arc::<Quarantines>::default();
    let mut told = None;
    loop {
        let now_agreed = agreed.borrow_and_update().clone();
        if now_agreed.revision() != known.revision() {
            guard.adopted(&known, &now_agreed);
            known = now_agreed;
        }
        let leadership = feeds.leadership();
        if leadership != told {
            guard.tell_anew();
            told = leadership;
        }
        guard.decide_alone();
        if told.is_some() {
            let report = guard.report();
            if !report.observations.is_empty() && !feeds.report_crashes(report) {
                told = None;
            }
        }
        let quiet = guard.quiet_for();
        tokio::select! {
            () = guard.noticed.notified() => tokio::time::sleep(GATHER).await,
            () = wait(quiet) => {}
            changed = agreed.changed() => if changed.is_err() { return },
        }
    }
}

async fn wait(time: Option<Duration>) {
    match time {
        Some(time) => tokio::time::sleep(time).await,
        None => std::future::pending().await,
    }
}
