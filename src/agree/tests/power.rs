//! Power lost everywhere together with as many disks as may be lost, while stores are replaced
//! for good and removed ones come back.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;

use super::group::{Disk, Group, member};
use crate::agree::*;
use crate::wire::HostId;

/// Milliseconds after which the successor of a removed or lost store must have taken its place.
const CATCH_UP_MS: u64 = 4_000;
/// Milliseconds after its start at which an empty store asks to join, at the latest.
const JOIN_AFTER_MS: u64 = 600;
/// Milliseconds without a leader after which a store that has a group asks to join.
const REJOIN_AFTER_MS: u64 = 2_500;
/// Milliseconds that a planned stop waits for a successor at most.
const LEAVE_WITHIN_MS: u64 = 2_000;
const STEP_MS: u64 = 20;

#[derive(Clone, Debug)]
enum Event {
    Propose,
    Compact(u64),
    /// A store is removed for good; an empty one starts at a new host that much later.
    Replace {
        which: u64,
        after_ms: u64,
    },
    /// An empty store starts at a new host; another one is stopped that much later, for good.
    ReplacePlanned {
        which: u64,
        after_ms: u64,
    },
    /// A store loses power and comes back with an empty disk.
    LoseDisk(u64),
    Kill(u64),
    LosePower(u64),
    /// All stores lose power, and some their disks.
    LosePowerEverywhere {
        disks: u64,
        which: u64,
    },
    /// All stores that were removed come back with their old disks.
    ReturnRemoved,
    Run(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let id = 0u64..7;
    let planned_after = prop_oneof![Just(1_000u64), 500u64..6_000];
    prop_oneof![
        5 => Just(Event::Propose),
        1 => id.clone().prop_map(Event::Compact),
        2 => (id.clone(), 0u64..2_000)
            .prop_map(|(which, after_ms)| Event::Replace { which, after_ms }),
        2 => (id.clone(), planned_after)
            .prop_map(|(which, after_ms)| Event::ReplacePlanned { which, after_ms }),
        1 => id.clone().prop_map(Event::LoseDisk),
        1 => id.clone().prop_map(Event::Kill),
        1 => id.clone().prop_map(Event::LosePower),
        2 => (0u64..3, id).prop_map(|(disks, which)| Event::LosePowerEverywhere { disks, which }),
        1 => Just(Event::ReturnRemoved),
        6 => prop_oneof![1u64..20, 20u64..300].prop_map(Event::Run),
    ]
}

/// A group whose hosts are lost, replaced and stopped within what may be lost at once.
struct Fleet {
    group: Group,
    tolerated: usize,
    /// The host of each store that is to be a member.
    hosts: BTreeMap<StoreId, HostId>,
    started_at: BTreeMap<StoreId, u64>,
    led_at: BTreeMap<StoreId, u64>,
    /// When each lost host or disk ceases to count as lost; none while its successor is to come.
    lost_until: Vec<Option<u64>>,
    /// When an empty store starts, and whose place it takes in `lost_until`.
    starting: Vec<(u64, usize)>,
    /// Stores that are stopped: when the stop begins, and whose place in `lost_until`.
    stopping: BTreeMap<StoreId, (u64, usize)>,
    removed: BTreeSet<StoreId>,
    last_id: u64,
}

impl Fleet {
    fn new(tolerated: usize, seed: u64) -> Fleet {
        let voters = 2 * tolerated as u64 + 1;
        let mut group = Group::new(voters, seed);
        group.max_voters = 2 * tolerated + 1;
        let ids: Vec<_> = group.stores.keys().copied().collect();
        for id in &ids {
            group.update(*id, |replica, _| {
                replica.set_max_voters(2 * tolerated + 1);
                Output::default()
            });
        }
        let mut fleet = Fleet {
            group,
            tolerated,
            hosts: ids.iter().map(|id| (*id, HostId(id.0 as u32))).collect(),
            started_at: ids.iter().map(|id| (*id, 0)).collect(),
            led_at: BTreeMap::new(),
            lost_until: Vec::new(),
            starting: Vec::new(),
            stopping: BTreeMap::new(),
            removed: BTreeSet::new(),
            last_id: voters,
        };
        fleet.run(150);
        fleet
    }

    /// How many more stores may be lost now.
    fn may_lose(&self) -> usize {
        let now = self.group.now;
        let lost = self.lost_until.iter().filter(|until| until.is_none_or(|at| now < at));
        self.tolerated.saturating_sub(lost.count())
    }

    fn pick(&self, which: u64) -> Option<StoreId> {
        let is_free = |id: &&StoreId| !self.stopping.contains_key(id);
        let free: Vec<_> = self.hosts.keys().filter(is_free).collect();
        free.get(which as usize % free.len().max(1)).map(|id| **id)
    }

    /// Starts an empty store at `host`, or at a new host.
    fn start_empty(&mut self, host: Option<HostId>) {
        self.last_id += 1;
        let id = StoreId(self.last_id);
        self.hosts.insert(id, host.unwrap_or(HostId(self.last_id as u32)));
        self.started_at.insert(id, self.group.now);
        self.group.start(id, Disk::empty(self.last_id));
    }

    fn remove(&mut self, id: StoreId) {
        self.group.lose_power(id);
        self.hosts.remove(&id);
        self.stopping.remove(&id);
        self.removed.insert(id);
    }

    fn lose_disk(&mut self, id: StoreId) {
        self.group.stores.remove(&id);
        let host = self.hosts.remove(&id);
        self.lost_until.push(Some(self.group.now + CATCH_UP_MS));
        self.start_empty(host);
    }

    fn apply(&mut self, event: &Event) {
        let now = self.group.now;
        match event {
            Event::Propose => {
                if let Some(leader) = self.group.leader() {
                    self.group.propose(leader);
                }
            }
            Event::Compact(which) => {
                if let Some(id) = self.pick(*which) {
                    self.group.compact(id);
                }
            }
            Event::Replace { which, after_ms } => {
                if self.may_lose() > 0
                    && let Some(id) = self.pick(*which)
                {
                    self.remove(id);
                    self.lost_until.push(None);
                    self.starting.push((now + after_ms, self.lost_until.len() - 1));
                }
            }
            Event::ReplacePlanned { which, after_ms } => {
                if self.may_lose() > 0
                    && let Some(id) = self.pick(*which)
                {
                    // The new host counts as lost for its first seconds.
                    self.lost_until.push(Some(now + CATCH_UP_MS));
                    self.stopping.insert(id, (now + after_ms, self.lost_until.len() - 1));
                    self.start_empty(None);
                }
            }
            Event::LoseDisk(which) => {
                if self.may_lose() > 0
                    && let Some(id) = self.pick(*which)
                {
                    self.lose_disk(id);
                }
            }
            Event::Kill(which) => {
                if let Some(id) = self.pick(*which) {
                    self.lost_until.push(Some(now + CATCH_UP_MS));
                    self.group.crash(id);
                    self.group.restart(id);
                }
            }
            Event::LosePower(which) => {
                if let Some(id) = self.pick(*which) {
                    self.lost_until.push(Some(now + CATCH_UP_MS));
                    self.group.lose_power(id);
                    self.group.restart(id);
                }
            }
            Event::LosePowerEverywhere { disks, which } => {
                let disks = self.may_lose().min(*disks as usize);
                let ids: Vec<_> = self.group.stores.keys().copied().collect();
                ids.iter().for_each(|id| self.group.lose_power(*id));
                for lost in 0..disks {
                    if let Some(id) = self.pick(which + lost as u64) {
                        self.lose_disk(id);
                    }
                }
                let ids: Vec<_> = self.hosts.keys().copied().collect();
                ids.iter().for_each(|id| self.group.restart(*id));
                // All hosts count as lost for that long after their return.
                self.lost_until.extend(vec![Some(now + CATCH_UP_MS); self.tolerated]);
            }
            Event::ReturnRemoved => {
                let removed = self.removed.clone();
                removed.iter().for_each(|id| self.group.restart(*id));
            }
            Event::Run(steps) => self.run(*steps),
        }
    }

    fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.group.step();
            self.start_successors();
            self.join();
            self.leave();
        }
    }

    fn start_successors(&mut self) {
        let now = self.group.now;
        let due: Vec<_> = self.starting.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, place) in due {
            self.lost_until[place] = Some(now + CATCH_UP_MS);
            self.start_empty(None);
        }
    }

    /// Stores without a leader ask the leader to let them join.
    fn join(&mut self) {
        let now = self.group.now;
        if !now.is_multiple_of(15 * STEP_MS) {
            return;
        }
        let Some(leader) = self.group.leader() else { return };
        for (id, host) in self.hosts.clone() {
            let Some(replica) = self.group.stores.get(&id).and_then(|s| s.replica.as_ref()) else {
                continue;
            };
            if replica.leader().is_some() {
                self.led_at.insert(id, now);
                continue;
            }
            let wait = if replica.is_bootstrapped() { REJOIN_AFTER_MS } else { JOIN_AFTER_MS };
            let since = self.led_at.get(&id).max(self.started_at.get(&id)).copied().unwrap_or(0);
            if now >= since + wait && id != leader {
                let learner = GroupMember { host, ..member(id.0, false, None) };
                self.group.update(leader, |r, now| {
                    r.join(now, learner).map_or_else(|_| Output::default(), |(_, out)| out)
                });
            }
        }
    }

    /// Stores that are stopped ask the leader to replace them, and end.
    fn leave(&mut self) {
        let now = self.group.now;
        for (id, (at, _)) in self.stopping.clone() {
            if now < at {
                continue;
            }
            let mut reply = None;
            if let Some(leader) = self.group.leader() {
                self.group.update(leader, |replica, now| match replica.leave(now, id) {
                    Ok((departure, out)) => {
                        reply = Some(departure);
                        out
                    }
                    Err(_) => Output::default(),
                });
            }
            let may_end = matches!(reply, Some(Departure::Left | Departure::Kept));
            if may_end || now >= at + LEAVE_WITHIN_MS {
                self.remove(id);
            }
        }
    }

    /// All stores that are to be members are back: one leads, has everything that was committed,
    /// and commits a change.
    fn check(&mut self) -> Result<(), TestCaseError> {
        let ids: Vec<_> = self.hosts.keys().copied().collect();
        ids.iter().for_each(|id| self.group.restart(*id));
        self.run(1_000);
        let leader = self.group.leader();
        prop_assert!(leader.is_some(), "no leader among {:?}", self.statuses());
        let leader = leader.unwrap();
        self.group.propose(leader);
        let (_, _, index) = *self.group.accepted.last().unwrap();
        self.run(100);
        prop_assert!(
            self.group.committed.contains_key(&index),
            "no commit by {leader}: {:?}",
            self.statuses()
        );
        let committed = self.group.committed.values().filter_map(|e| match &e.payload {
            Payload::Data(data) => Some(data.clone()),
            _ => None,
        });
        prop_assert_eq!(&self.group.stores[&leader].applied, &committed.collect::<Vec<_>>());
        let expected = self.group.max_voters.min(self.hosts.len());
        prop_assert!(self.group.voters().len() >= expected, "{:?}", self.statuses());
        Ok(())
    }

    fn statuses(&self) -> Vec<Status> {
        let replicas = self.group.stores.values().filter_map(|s| s.replica.as_ref());
        replicas.map(Replica::status).collect()
    }
}

fn check(tolerated: usize, seed: u64, events: &[Event]) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(tolerated, seed);
    events.iter().for_each(|event| fleet.apply(event));
    fleet.check()
}

proptest! {
    #![proptest_config(crate::testing::property(48))]

    /// With no more disks lost than is allowed at once, nothing committed is lost or changed,
    /// each term has one leader, and the group commits again once its hosts are back.
    #[test]
    fn a_group_survives_power_lost_everywhere_while_stores_are_replaced(
        tolerated in prop_oneof![3 => Just(1usize), 1 => Just(2)],
        seed in any::<u64>(),
        events in proptest::collection::vec(event(), 0..40),
    ) {
        check(tolerated, seed, &events)?;
    }

    /// The same right after a replacement, when the old store no longer counts.
    #[test]
    fn a_group_survives_a_lost_disk_once_a_replaced_store_no_longer_counts(
        tolerated in prop_oneof![3 => Just(1usize), 1 => Just(2)],
        seed in any::<u64>(),
        which in 0u64..7,
        lost in 0u64..7,
        is_planned in any::<bool>(),
        after_ms in prop_oneof![Just(1_000u64), 500u64..6_000],
        later in 0u64..300,
    ) {
        let replacement = match is_planned {
            true => Event::ReplacePlanned { which, after_ms },
            false => Event::Replace { which, after_ms: after_ms % 2_000 },
        };
        let counts_again = (after_ms % 2_000 * u64::from(!is_planned) + CATCH_UP_MS) / STEP_MS + 1;
        let mut events = vec![replacement];
        for _ in 0..counts_again {
            events.extend([Event::Propose, Event::Run(1)]);
        }
        events.extend([Event::Run(later), Event::Propose, Event::Run(1)]);
        events.extend([Event::Propose, Event::LosePowerEverywhere { disks: 2, which: lost }]);
        check(tolerated, seed, &events)?;
    }
}
