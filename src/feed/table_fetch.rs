//! Which control host to ask for a newer routing table, without I/O.
//!
//! Every control host announces each version; one of them sends the table. The leader
//! is asked last: it also places requests, and a large table sent to every router
//! would hold its placer up.

use std::collections::{BTreeMap, BTreeSet};

use crate::dispatch::Millis;
use crate::wire::HostId;

/// Milliseconds for which a newer version that only the leader has announced waits for
/// another host to announce it. Subscribers learn of a commit with the leader's next
/// message, which is due within 100 ms; configurations are in force after seconds.
pub(super) const LEADER_GRACE_MS: Millis = 150;
/// Milliseconds after which a host that was asked and has sent no table counts as
/// silent, and another one is asked. A host of 0.3 cores that sends 260 KB to 295
/// routers takes less; chosen, not measured.
pub(super) const ANSWER_MS: Millis = 500;

/// What to do about the newest version that is announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// No version is newer than the table that is held.
    Nothing,
    /// Ask this host for its table.
    Ask(HostId),
    /// Look again after so many milliseconds.
    Wait(Millis),
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    host: HostId,
    at: Millis,
}

/// Versions that are announced, and who was asked for a table.
#[derive(Clone, Debug, Default)]
pub struct TableFetch {
    announced: BTreeMap<HostId, u64>,
    newer_since: Option<Millis>,
    asked: Option<Asked>,
    silent: BTreeSet<HostId>,
}

impl TableFetch {
    /// A control host holds this version.
    pub fn announced(&mut self, from: HostId, version: u64) {
        self.announced.insert(from, version);
    }

    /// A control host has sent its table.
    pub fn delivered(&mut self, from: HostId) {
        self.silent.remove(&from);
        if self.asked.is_some_and(|asked| asked.host == from) {
            self.asked = None;
        }
    }

    /// The feed of a control host has ended.
    pub fn lost(&mut self, from: HostId) {
        self.announced.remove(&from);
        self.silent.remove(&from);
        if self.asked.is_some_and(|asked| asked.host == from) {
            self.asked = None;
        }
    }

    /// Whether a version newer than `held` is announced.
    pub fn is_behind(&self, held: u64) -> bool {
        self.announced.values().any(|version| *version > held)
    }

    /// The newest version that is announced; 0 for none.
    pub fn newest_announced_version(&self) -> u64 {
        self.announced.values().max().copied().unwrap_or(0)
    }

    /// What to do now, where the table of version `held` is in force.
    pub fn next(&mut self, now: Millis, held: u64, leader: Option<HostId>) -> Next {
        if !self.is_behind(held) {
            self.newer_since = None;
            self.asked = None;
            return Next::Nothing;
        }
        let since = *self.newer_since.get_or_insert(now);
        if let Some(asked) = self.asked {
            let waited = now.saturating_sub(asked.at);
            if waited < ANSWER_MS {
                return Next::Wait(ANSWER_MS - waited);
            }
            self.silent.insert(asked.host);
            self.asked = None;
        }
        let Some(host) = self.choose(held, leader) else { return Next::Nothing };
        let waited = now.saturating_sub(since);
        if Some(host) == leader && waited < LEADER_GRACE_MS {
            return Next::Wait(LEADER_GRACE_MS - waited);
        }
        self.asked = Some(Asked { host, at: now });
        Next::Ask(host)
    }

    /// The host with the newest table, of those that answer, the leader last.
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
