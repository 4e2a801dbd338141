//! Which control hosts tell a subscriber of endpoints, without I/O.
//!
//! Were every router told by every control host, the bytes of a control host would grow
//! with routers times endpoints, as many times over as there are control hosts. Two are
//! enough for a router: one of its own data hall, which it reaches when the hall is cut
//! off, and one of another, which hears what the first may not.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::wire::{HostId, Role};

/// Control hosts that tell one router of endpoints.
const SOURCES: usize = 2;

/// A step towards being told by the right control hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask to be told.
    Ask(HostId),
    /// Ask to be told no more.
    Leave(HostId),
}

/// The control hosts whose feeds are open, and which of them were asked.
#[derive(Clone, Debug)]
pub struct Sources {
    me: HostId,
    hall: String,
    role: Role,
    /// The data hall of each control host whose feed is open.
    open: BTreeMap<HostId, String>,
    asked: BTreeSet<HostId>,
}

impl Sources {
    /// None yet, for the host `me`.
    pub fn new(me: HostId, hall: &str, role: Role) -> Sources {
        let (open, asked) = (BTreeMap::new(), BTreeSet::new());
        Sources { me, hall: hall.to_string(), role, open, asked }
    }

    /// The feed of a control host was opened.
    pub fn opened(&mut self, host: HostId, hall: &str, leader: Option<HostId>) -> Vec<Step> {
        self.open.insert(host, hall.to_string());
        self.asked.remove(&host);
        self.settle(leader)
    }

    /// The feed of a control host has ended.
    pub fn lost(&mut self, host: HostId, leader: Option<HostId>) -> Vec<Step> {
        self.open.remove(&host);
        self.asked.remove(&host);
        self.settle(leader)
    }

    fn settle(&mut self, leader: Option<HostId>) -> Vec<Step> {
        let wanted = match self.role {
            // An endpoint calls one control host, and any may come to lead.
            Role::Control => self.open.keys().copied().collect(),
            Role::Router => self.best(leader),
        };
        let left = self.asked.difference(&wanted).map(|host| Step::Leave(*host));
        let new = wanted.difference(&self.asked).map(|host| Step::Ask(*host));
        let steps = left.chain(new).collect();
        self.asked = wanted;
        steps
    }

    /// The best source, and the best of another data hall beside it. The leader, which
    /// has most to do, comes last, and each router has an order of its own.
    fn best(&self, leader: Option<HostId>) -> BTreeSet<HostId> {
        let rank =
            |host: HostId| xxh3_64(&(u64::from(self.me.0) << 32 | u64::from(host.0)).to_be_bytes());
        let mut order: Vec<_> = self.open.iter().collect();
        order.sort_by_key(|(host, hall)| {
            (Some(**host) == leader, **hall != self.hall, rank(**host))
        });
        let Some((first, hall)) = order.first() else { return BTreeSet::new() };
        let elsewhere = order.iter().find(|(_, other)| other != hall);
        let second = elsewhere.or(order.get(SOURCES - 1));
        [Some(first), second.map(|(host, _)| host)]
            .into_iter()
            .flatten()
            .map(|host| **host)
            .collect()
    }
}
