//! The latest reports of control hosts about the fleet, without I/O.

use std::collections::BTreeMap;

use super::LeaderUpdate;
use crate::dispatch::Millis;
use crate::wire::HostId;

/// Milliseconds for which a lower number of routers is ignored. A control host that restarts
/// receives the heartbeats of routers one after the other, and with a lower number each router
/// would use a larger part of the limits that routers share. The longest window of these
/// limits is 10 s.
const ROUTER_DECREASE_DELAY_MS: Millis = 10_000;

/// Milliseconds after which the reports of a control host may be outdated: one keep-alive is
/// missing, so its connection may be dead. Callers rely on a configuration 2 s after it was
/// accepted; until then a router may refuse requests for what is missing from its own.
const MAX_REPORT_AGE_MS: Millis = 1_500;

/// Milliseconds between two ticks from which on this process counts as stalled: messages that
/// it reads next may have been sent long before.
const STALL_MS: Millis = 500;

/// The latest reports of one control host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct HostReport {
    leader: LeaderUpdate,
    routers: usize,
    /// When its feed last delivered anything.
    received: Millis,
    /// The last stall of this process after which it is known to have sent something.
    sent_since_stall: u64,
}

/// The latest reports of the control hosts with an open feed.
#[derive(Clone, Debug, Default)]
pub struct HostReports {
    hosts: BTreeMap<HostId, HostReport>,
    routers: usize,
    decrease_at: Option<Millis>,
    last_tick: Option<Millis>,
    /// The number of stalls of this process so far.
    stalls: u64,
}

impl HostReports {
    /// Records that a feed was opened.
    pub fn on_feed_opened(&mut self, now: Millis, from: HostId) {
        let sent_since_stall = self.stalls;
        self.hosts
            .insert(from, HostReport { received: now, sent_since_stall, ..HostReport::default() });
    }

    /// Detects stalls; to be called several times a second. Returns whether the process was
    /// stalled since the last call, for example because its host was suspended. Messages that
    /// are read after that may be old, and only the answer to a probe sent after it shows that
    /// a control host still sends.
    pub fn tick(&mut self, now: Millis) -> bool {
        let was_stalled = !self.ticked_recently(now);
        self.last_tick = Some(now);
        self.stalls += u64::from(was_stalled);
        was_stalled
    }

    /// The number of stalls so far, and the control hosts that are not known to have sent
    /// anything since the last one.
    pub fn silent_since_stall(&self) -> (u64, Vec<HostId>) {
        let silent = self.hosts.iter().filter(|(_, report)| report.sent_since_stall != self.stalls);
        (self.stalls, silent.map(|(host, _)| *host).collect())
    }

    /// Records the answer of a control host to the probe sent after the stall of this number.
    pub fn record_probe_answer(&mut self, from: HostId, stall: u64) {
        if let Some(report) = self.hosts.get_mut(&from) {
            report.sent_since_stall = stall;
        }
    }

    /// Whether messages that are read from a control host now were sent recently, rather than
    /// before a stall.
    pub fn is_fresh(&self, now: Millis, from: HostId) -> bool {
        self.ticked_recently(now)
            && self.hosts.get(&from).is_some_and(|report| report.sent_since_stall == self.stalls)
    }

    fn ticked_recently(&self, now: Millis) -> bool {
        self.last_tick.is_none_or(|last_tick| now.saturating_sub(last_tick) < STALL_MS)
    }

    /// Records that a feed delivered a message or keep-alive.
    pub fn record_received(&mut self, now: Millis, from: HostId) {
        if let Some(report) = self.hosts.get_mut(&from) {
            report.received = now;
        }
    }

    /// Milliseconds since any feed delivered something; `None` where none is open.
    pub fn shortest_silence_ms(&self, now: Millis) -> Option<Millis> {
        self.hosts.values().map(|report| now.saturating_sub(report.received)).min()
    }

    /// Whether news of control hosts arrive here, apart from messages in transit: all open feeds,
    /// of which there is one or more, delivered something in the last `max_silence_ms`.
    pub fn hears_all(&self, now: Millis, max_silence_ms: Millis) -> bool {
        let hears = |(host, report): (&HostId, &HostReport)| {
            self.is_fresh(now, *host) && now.saturating_sub(report.received) <= max_silence_ms
        };
        !self.hosts.is_empty() && self.hosts.iter().all(hears)
    }

    /// Whether a newer configuration would be known here, apart from messages in transit. This
    /// holds if a control host that `is_live`, whose feed delivered something recently and
    /// which reports the newest leader, has applied everything that was accepted before.
    pub fn is_confirmed(&self, now: Millis, is_live: impl Fn(HostId) -> bool) -> bool {
        let live = || self.hosts.iter().filter(|(host, _)| is_live(**host));
        let leaders =
            live().map(|(_, report)| report.leader).filter(|update| update.leader.is_some());
        let newest_term = leaders.map(|update| update.term).max();
        live().any(|(host, report)| {
            self.is_fresh(now, *host)
                && report.leader.leader.is_some()
                && Some(report.leader.term) == newest_term
                && report.leader.has_caught_up
                && now.saturating_sub(report.received) < MAX_REPORT_AGE_MS
        })
    }

    /// Milliseconds since the feed that is silent longest delivered something; `None` where
    /// none is open.
    pub fn longest_silence_ms(&self, now: Millis) -> Option<Millis> {
        self.hosts.values().map(|report| now.saturating_sub(report.received)).max()
    }

    /// Discards the reports of a control host whose feed has ended: they may be outdated.
    pub fn on_feed_lost(&mut self, from: HostId) {
        self.hosts.remove(&from);
    }

    /// Records which leader and term a control host reports.
    pub fn set_leader(&mut self, from: HostId, leader: LeaderUpdate) {
        if let Some(report) = self.hosts.get_mut(&from) {
            report.leader = leader;
        }
    }

    /// The leader and term that a control host reported last.
    pub fn reported_leader(&self, from: HostId) -> LeaderUpdate {
        self.hosts.get(&from).map(|report| report.leader).unwrap_or_default()
    }

    /// Records how many live routers a control host reports.
    pub fn set_router_count(&mut self, now: Millis, from: HostId, routers: usize) {
        if let Some(report) = self.hosts.get_mut(&from) {
            report.routers = routers;
        }
        self.update_router_count(now);
    }

    /// The number of control hosts with an open feed.
    pub fn open_feeds(&self) -> usize {
        self.hosts.len()
    }

    /// The leader of the highest term that is reported by a control host which `is_live`.
    pub fn leader(&self, is_live: impl Fn(HostId) -> bool) -> Option<HostId> {
        self.leadership(is_live).map(|(_, leader)| leader)
    }

    /// The term and host of the same leader.
    pub fn leadership(&self, is_live: impl Fn(HostId) -> bool) -> Option<(u64, HostId)> {
        let live = self.hosts.iter().filter(|(host, _)| is_live(**host));
        let reported =
            live.filter_map(|(_, report)| Some((report.leader.term, report.leader.leader?)));
        reported.max_by_key(|(term, _)| *term)
    }

    /// The highest number of live routers that a control host reports; 1 before the first
    /// report. It rises at once and falls after [`ROUTER_DECREASE_DELAY_MS`].
    pub fn router_count(&mut self, now: Millis) -> usize {
        self.update_router_count(now);
        self.routers.max(1)
    }

    fn update_router_count(&mut self, now: Millis) {
        // Without a feed the last number stays in force.
        let reported = self.hosts.values().map(|report| report.routers).max().filter(|n| *n > 0);
        let reported = reported.unwrap_or(self.routers);
        let is_in_force = reported >= self.routers
            || now >= *self.decrease_at.get_or_insert(now + ROUTER_DECREASE_DELAY_MS);
        if is_in_force {
            self.routers = reported;
            self.decrease_at = None;
        }
    }
}
