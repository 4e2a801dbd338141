//! Which control hosts tell a subscriber of endpoints, without I/O.
//!
//! Were everybody told everything by every control host, the bytes of a control host
//! would grow with hosts times endpoints, as many times over as there are control hosts.
//! Two that tell all they know are enough: one of the subscriber's own data hall, which
//! it reaches when the hall is cut off, and one of another, which hears what the first
//! may not. Control hosts also tell each other what endpoints said to themselves, so that
//! any may lead at once.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::registry::Scope;
use crate::wire::{HostId, Role};

/// Control hosts that tell one router of endpoints.
const SOURCES: usize = 2;

/// A step towards being told by the right control hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask to be told of these changes.
    Ask(HostId, Scope),
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
    asked: BTreeMap<HostId, Scope>,
}

impl Sources {
    /// None yet, for the host `me`.
    pub fn new(me: HostId, hall: &str, role: Role) -> Sources {
        let (open, asked) = (BTreeMap::new(), BTreeMap::new());
        Sources { me, hall: hall.to_string(), role, open, asked }
    }

    /// The feed of a control host was opened.
    pub fn opened(&mut self, host: HostId, hall: &str) {
        self.open.insert(host, hall.to_string());
        self.asked.remove(&host);
    }

    /// The feed of a control host has ended.
    pub fn lost(&mut self, host: HostId) {
        self.open.remove(&host);
        self.asked.remove(&host);
    }

    /// Works out whom to ask now.
    pub fn settle(&mut self, leader: Option<HostId>) -> Vec<Step> {
        let best = self.best(leader);
        let scope = |host: &HostId| match (best.contains(host), self.role) {
            (true, _) => Some(Scope::All),
            // An endpoint calls one control host, and any may come to lead.
            (false, Role::Control) => Some(Scope::Direct),
            (false, Role::Router) => None,
        };
        let wanted = self.open.keys().filter_map(|host| Some((*host, scope(host)?)));
        let wanted: BTreeMap<_, _> = wanted.collect();
        let left = self.asked.keys().filter(|host| !wanted.contains_key(host));
        let left = left.map(|host| Step::Leave(*host));
        let new = wanted.iter().filter(|(host, scope)| self.asked.get(host) != Some(scope));
        let steps = left.chain(new.map(|(host, scope)| Step::Ask(*host, *scope))).collect();
        self.asked = wanted;
        steps
    }

    /// The best source, and the best of another data hall beside it. The leader, which
    /// has most to do, comes last; who was asked stays, since a new one tells everything
    /// again; and each subscriber has an order of its own.
    fn best(&self, leader: Option<HostId>) -> BTreeSet<HostId> {
        let rank = |(host, hall): &(&HostId, &String)| {
            let is_new = self.asked.get(host) != Some(&Scope::All);
            let leads = is_new && Some(**host) == leader;
            let seed = u64::from(self.me.0) << 32 | u64::from(host.0);
            (leads, **hall != self.hall, is_new, xxh3_64(&seed.to_be_bytes()))
        };
        let mut order: Vec<_> = self.open.iter().collect();
        order.sort_by_key(rank);
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
