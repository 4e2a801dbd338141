//! Chooses the control hosts that send endpoint updates to a subscriber, without I/O.
//!
//! If every control host sent every update to every subscriber, each control host would send
//! bytes in proportion to hosts times endpoints, and each update would arrive as often as there
//! are control hosts. Two that send all updates are enough: one in the subscriber's own data
//! hall, which stays reachable when the hall is cut off, and one in another, which receives
//! updates that the first may miss. Control hosts also send each other the endpoints that
//! registered with themselves, so that each of them is ready to lead.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::registry::Scope;
use crate::wire::{HostId, Role};

/// The number of control hosts that send all endpoint updates to one subscriber.
const SOURCES: usize = 2;

/// A change of the control hosts that send endpoint updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Request updates of this scope.
    Subscribe(HostId, Scope),
    /// Request that updates stop.
    Unsubscribe(HostId),
}

/// The control hosts whose feeds are open, and those that send endpoint updates.
#[derive(Clone, Debug)]
pub struct Sources {
    me: HostId,
    hall: String,
    role: Role,
    /// The data hall of each control host whose feed is open.
    open: BTreeMap<HostId, String>,
    /// The scope requested from each control host that sends endpoint updates.
    subscribed: BTreeMap<HostId, Scope>,
}

impl Sources {
    /// No control hosts yet, for the subscriber `me` of this data hall and role.
    pub fn new(me: HostId, hall: &str, role: Role) -> Sources {
        let (open, subscribed) = (BTreeMap::new(), BTreeMap::new());
        Sources { me, hall: hall.to_string(), role, open, subscribed }
    }

    /// Records that the feed of a control host, in this data hall, was opened.
    pub fn on_feed_opened(&mut self, host: HostId, hall: &str) {
        self.open.insert(host, hall.to_string());
        self.subscribed.remove(&host);
    }

    /// Records that the feed of a control host has ended.
    pub fn on_feed_lost(&mut self, host: HostId) {
        self.open.remove(&host);
        self.subscribed.remove(&host);
    }

    /// Chooses the sources anew and returns the changes since the last call.
    pub fn update(&mut self, leader: Option<HostId>) -> Vec<Step> {
        let chosen = self.choose(leader);
        let scope = |host: &HostId| match (chosen.contains(host), self.role) {
            (true, _) => Some(Scope::All),
            // An endpoint registers with one control host only, and any may become the leader.
            (false, Role::Control) => Some(Scope::Direct),
            (false, Role::Router) => None,
        };
        let needed = self.open.keys().filter_map(|host| Some((*host, scope(host)?)));
        let needed: BTreeMap<_, _> = needed.collect();
        let removed = self.subscribed.keys().filter(|host| !needed.contains_key(host));
        let removed = removed.map(|host| Step::Unsubscribe(*host));
        let added = needed.iter().filter(|(host, scope)| self.subscribed.get(host) != Some(scope));
        let steps =
            removed.chain(added.map(|(host, scope)| Step::Subscribe(*host, *scope))).collect();
        self.subscribed = needed;
        steps
    }

    /// The best source, and beside it the best one of another data hall, if there is one. The
    /// leader ranks last, since it has the highest load. Current sources rank before new ones,
    /// which would send everything again. Otherwise each subscriber has an order of its own,
    /// which spreads the load.
    fn choose(&self, leader: Option<HostId>) -> BTreeSet<HostId> {
        let rank = |(host, hall): &(&HostId, &String)| {
            let is_new = self.subscribed.get(host) != Some(&Scope::All);
            let leads = is_new && Some(**host) == leader;
            (leads, **hall != self.hall, is_new, self.hash_of(**host))
        };
        let mut order: Vec<_> = self.open.iter().collect();
        order.sort_by_key(rank);
        let Some((first, hall)) = order.first() else { return BTreeSet::new() };
        let in_other_hall = order.iter().find(|(_, other)| other != hall);
        let second = in_other_hall.or(order.get(SOURCES - 1));
        [Some(first), second.map(|(host, _)| host)]
            .into_iter()
            .flatten()
            .map(|host| **host)
            .collect()
    }

    /// The control host to ask for something that all of them know. The leader ranks last, since
    /// it has the highest load. Each subscriber has an order of its own, which spreads the load.
    pub fn any(&self, leader: Option<HostId>) -> Option<HostId> {
        let rank = |(host, hall): &(&HostId, &String)| {
            (Some(**host) == leader, **hall != self.hall, self.hash_of(**host))
        };
        self.open.iter().min_by_key(rank).map(|(host, _)| *host)
    }

    fn hash_of(&self, host: HostId) -> u64 {
        let seed = u64::from(self.me.0) << 32 | u64::from(host.0);
        xxh3_64(&seed.to_be_bytes())
    }
}
