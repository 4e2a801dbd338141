//! Chooses the control host from which a newer routing table is requested, without I/O.
//!
//! Every control host announces each version; one of them sends the table. The leader is the
//! last choice: it also places requests, and sending a large table to every router would
//! delay its placer.

use std::collections::{BTreeMap, BTreeSet};

use crate::dispatch::Millis;
use crate::wire::HostId;

/// Milliseconds for which a newer version that only the leader has announced waits for
/// another host to announce it. Followers of the agreement learn of a commit with the
/// leader's next message, within 100 ms; a configuration may take seconds to be in force.
pub(super) const LEADER_GRACE_MS: Millis = 150;
/// Milliseconds after which a host that has not sent a requested table counts as silent, and
/// the table is requested from another one. A host of 0.3 cores that sends 260 KB to 295
/// routers takes less.
pub(super) const ANSWER_TIMEOUT_MS: Millis = 500;

/// What to do about the newest announced version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing until something changes: no newer version can be requested, or none exists.
    Nothing,
    /// Request the table of this host.
    Request(HostId),
    /// Check again after this many milliseconds.
    Wait(Millis),
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    host: HostId,
    requested_at: Millis,
}

/// The announced versions, and the pending request for a table.
#[derive(Clone, Debug, Default)]
pub struct TableFetch {
    announced: BTreeMap<HostId, u64>,
    newer_since: Option<Millis>,
    pending: Option<PendingRequest>,
    silent: BTreeSet<HostId>,
}

impl TableFetch {
    /// Records the version that a control host announced.
    pub fn record_announcement(&mut self, from: HostId, version: u64) {
        self.announced.insert(from, version);
    }

    /// Records that a control host has sent its table.
    pub fn record_delivery(&mut self, from: HostId) {
        self.silent.remove(&from);
        if self.pending.is_some_and(|pending| pending.host == from) {
            self.pending = None;
        }
    }

    /// Discards what is recorded of a control host whose feed has ended.
    pub fn on_feed_lost(&mut self, from: HostId) {
        self.announced.remove(&from);
        self.silent.remove(&from);
        if self.pending.is_some_and(|pending| pending.host == from) {
            self.pending = None;
        }
    }

    /// Whether a version later than `held` is announced.
    pub fn is_behind(&self, held: u64) -> bool {
        self.announced.values().any(|version| *version > held)
    }

    /// The newest announced version; 0 for none.
    pub fn newest_announced_version(&self) -> u64 {
        self.announced.values().max().copied().unwrap_or(0)
    }

    /// What to do now, while the table of version `held` is in force.
    pub fn next(&mut self, now: Millis, held: u64, leader: Option<HostId>) -> Next {
        if !self.is_behind(held) {
            self.newer_since = None;
            self.pending = None;
            return Next::Nothing;
        }
        let since = *self.newer_since.get_or_insert(now);
        if let Some(pending) = self.pending {
            let waited = now.saturating_sub(pending.requested_at);
            if waited < ANSWER_TIMEOUT_MS {
                return Next::Wait(ANSWER_TIMEOUT_MS - waited);
            }
            self.silent.insert(pending.host);
            self.pending = None;
        }
        let Some(host) = self.choose(held, leader) else { return Next::Nothing };
        let waited = now.saturating_sub(since);
        if Some(host) == leader && waited < LEADER_GRACE_MS {
            return Next::Wait(LEADER_GRACE_MS - waited);
        }
        self.pending = Some(PendingRequest { host, requested_at: now });
        Next::Request(host)
    }

    /// The host from which to request a table later than `held`: hosts that are not silent
    /// first, then others than the leader, then the one with the newest table.
    fn choose(&self, held: u64, leader: Option<HostId>) -> Option<HostId> {
        let newer = self.announced.iter().filter(|(_, version)| **version > held);
        let ranked = newer.map(|(host, version)| {
            let is_silent = self.silent.contains(host);
            let is_leader = Some(*host) == leader;
            ((is_silent, is_leader, std::cmp::Reverse(*version)), *host)
        });
        ranked.min().map(|(_, host)| host)
    }
}
