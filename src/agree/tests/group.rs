//! A simulated group of stores, their disks and the network between them.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::agree::*;
use crate::store::{self, simulated::SimulatedDisk};
use crate::wire::HostId;

/// The disk of a store, and the data folder that its process has open.
pub(super) struct Disk {
    disk: SimulatedDisk,
    folder: store::Disk,
}

impl Disk {
    /// An empty disk, with a seed for what a loss of power leaves.
    pub(super) fn empty(seed: u64) -> Disk {
        let disk = SimulatedDisk::new(seed);
        let (folder, _) = disk.open().unwrap();
        Disk { disk, folder }
    }

    pub(super) fn write(&mut self, persist: &[Persist]) {
        self.folder.write(persist).unwrap();
    }

    /// Opens the data folder again, in another process.
    fn open(&mut self) -> store::RecoveredState {
        let (folder, recovered) = self.disk.open().unwrap();
        self.folder = folder;
        recovered
    }

    /// Writes `records` up to an operation at which the process ends.
    fn write_until(&mut self, records: &[Persist], operation: u64) {
        self.disk.fail_after(operation);
        // The result is of no use to a process that ends.
        let _ = self.folder.write(records);
        self.disk.kill();
    }
}

/// Records not yet synced, and the messages that must wait for them.
pub(super) struct Unsynced {
    pub(super) persist: Vec<Persist>,
    pub(super) messages: Vec<Envelope>,
    pub(super) last: (u64, u64),
}

pub(super) struct Store {
    pub(super) disk: Disk,
    pub(super) unsynced: Vec<Unsynced>,
    pub(super) replica: Option<Replica>,
    pub(super) applied: Vec<Vec<u8>>,
}

/// A simulated group of stores and the network between them.
pub(super) struct Group {
    pub(super) now: u64,
    pub(super) rng: SmallRng,
    pub(super) stores: BTreeMap<StoreId, Store>,
    pub(super) network: Vec<Envelope>,
    pub(super) cut_links: BTreeSet<(StoreId, StoreId)>,
    pub(super) stalled_disks: BTreeSet<StoreId>,
    pub(super) loss_rate: f64,
    pub(super) max_voters: usize,
    pub(super) leader_by_term: BTreeMap<u64, StoreId>,
    pub(super) committed: BTreeMap<u64, Entry>,
    pub(super) accepted: Vec<(StoreId, u64, u64)>,
    pub(super) proposals: u64,
}

pub(super) fn member(id: u64, voter: bool, replaces: Option<StoreId>) -> GroupMember {
    GroupMember {
        store: StoreId(id),
        host: HostId(id as u32),
        peer: "127.0.0.1:1".parse().unwrap(),
        voter,
        replaces,
    }
}

impl Group {
    pub(super) fn new(size: u64, seed: u64) -> Group {
        let members: Vec<_> = (1..=size).map(|id| member(id, true, None)).collect();
        let mut group = Group {
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            stores: BTreeMap::new(),
            network: Vec::new(),
            cut_links: BTreeSet::new(),
            stalled_disks: BTreeSet::new(),
            loss_rate: 0.0,
            max_voters: usize::MAX,
            leader_by_term: BTreeMap::new(),
            committed: BTreeMap::new(),
            accepted: Vec::new(),
            proposals: 0,
        };
        for id in 1..=size {
            let mut disk = Disk::empty(group.rng.random());
            disk.write(&Replica::bootstrap_records(members.clone()));
            group.start(StoreId(id), disk);
        }
        group
    }

    pub(super) fn start(&mut self, id: StoreId, mut disk: Disk) {
        let seed = self.rng.random();
        let store::RecoveredState { hard, snapshot, entries, .. } = disk.open();
        let applied = match snapshot.data.is_empty() {
            true => Vec::new(),
            false => postcard::from_bytes(&snapshot.data).unwrap(),
        };
        let mut replica = Replica::new(self.now, id, hard, snapshot, entries, seed);
        replica.set_max_voters(self.max_voters);
        self.stores
            .insert(id, Store { disk, unsynced: Vec::new(), replica: Some(replica), applied });
    }

    /// Ends a store's process while it writes what is not synced yet.
    pub(super) fn crash(&mut self, id: StoreId) {
        let operation = self.rng.random_range(1..12);
        if let Some(store) = self.stores.get_mut(&id) {
            let unsynced = std::mem::take(&mut store.unsynced);
            let records: Vec<_> = unsynced.into_iter().flat_map(|u| u.persist).collect();
            store.disk.write_until(&records, operation);
            store.replica = None;
        }
    }

    /// Like [`Group::crash`], and what is not synced may be lost.
    pub(super) fn lose_power(&mut self, id: StoreId) {
        self.crash(id);
        if let Some(store) = self.stores.get(&id) {
            store.disk.disk.lose_power();
        }
    }

    pub(super) fn restart(&mut self, id: StoreId) {
        if self.stores.get(&id).is_some_and(|s| s.replica.is_none()) {
            let store = self.stores.remove(&id).unwrap();
            self.start(id, store.disk);
        }
    }

    pub(super) fn update(&mut self, id: StoreId, f: impl FnOnce(&mut Replica, u64) -> Output) {
        let now = self.now;
        let Some(replica) = self.stores.get_mut(&id).and_then(|s| s.replica.as_mut()) else {
            return;
        };
        let out = f(replica, now);
        self.carry_out(id, out);
    }

    pub(super) fn carry_out(&mut self, id: StoreId, out: Output) {
        let store = self.stores.get_mut(&id).unwrap();
        let (after_sync, at_once) = out.messages.into_iter().partition(Envelope::needs_sync);
        let last = store.replica.as_ref().unwrap().last_entry();
        store.unsynced.push(Unsynced { persist: out.persist, messages: after_sync, last });
        if let Some(snapshot) = &out.restore {
            store.applied = postcard::from_bytes(&snapshot.data).unwrap();
        }
        for entry in &out.committed {
            if let Payload::Data(data) = &entry.payload {
                store.applied.push(data.clone());
            }
            let first = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
            assert_eq!(first, entry, "a committed entry was changed");
        }
        let status = self.stores[&id].replica.as_ref().unwrap().status();
        if status.role == Role::Leader {
            let leader = *self.leader_by_term.entry(status.term).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {}", status.term);
        }
        self.network.extend::<Vec<_>>(at_once);
    }

    /// Syncs all waiting records of a store and sends the messages that waited for them.
    pub(super) fn sync(&mut self, id: StoreId) {
        let Some(store) = self.stores.get_mut(&id) else { return };
        for Unsynced { persist, messages, last } in std::mem::take(&mut store.unsynced) {
            let store = self.stores.get_mut(&id).unwrap();
            store.disk.write(&persist);
            self.network.extend(messages);
            self.update(id, |replica, _| replica.record_synced(last.0, last.1));
        }
    }

    pub(super) fn propose(&mut self, id: StoreId) {
        self.proposals += 1;
        let data = self.proposals.to_be_bytes().to_vec();
        let now = self.now;
        let Some(replica) = self.stores.get_mut(&id).and_then(|s| s.replica.as_mut()) else {
            return;
        };
        if let Ok((indexes, out)) = replica.propose(now, vec![data]) {
            let term = replica.status().term;
            self.accepted.push((id, term, indexes[0]));
            self.carry_out(id, out);
        }
    }

    pub(super) fn compact(&mut self, id: StoreId) {
        let Some(store) = self.stores.get(&id) else { return };
        let Some(replica) = &store.replica else { return };
        let commit = replica.status().commit;
        let data = postcard::to_stdvec(&store.applied).unwrap();
        self.update(id, |replica, _| replica.compact(commit, data));
    }

    pub(super) fn leader(&self) -> Option<StoreId> {
        let as_leader =
            |s: &Store| s.replica.as_ref().map(|r| r.status()).filter(|s| s.role == Role::Leader);
        let leaders = self.stores.values().filter_map(as_leader);
        leaders.max_by_key(|s| s.term).map(|s| s.store)
    }

    /// Advances time by 20 ms and delivers half of the messages, in random order.
    pub(super) fn step(&mut self) {
        self.now += 20;
        for id in self.stores.keys().copied().collect::<Vec<_>>() {
            self.update(id, |replica, now| replica.tick(now));
        }
        for id in self.stores.keys().copied().collect::<Vec<_>>() {
            if !self.stalled_disks.contains(&id) && self.rng.random_bool(0.7) {
                self.sync(id);
            }
        }
        let arrivals = self.network.len().div_ceil(2);
        for _ in 0..arrivals {
            let at = self.rng.random_range(0..self.network.len());
            let envelope = self.network.swap_remove(at);
            if self.cut_links.contains(&(envelope.from, envelope.to))
                || self.rng.random_bool(self.loss_rate)
            {
                continue;
            }
            if self.rng.random_bool(self.loss_rate / 2.0) {
                self.network.push(envelope.clone());
            }
            self.update(envelope.to, |replica, now| replica.receive(now, envelope));
        }
    }

    pub(super) fn run(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step());
    }

    /// Ends all faults, restarts all stores, and has the leader append one more command.
    pub(super) fn heal(&mut self) {
        self.cut_links.clear();
        self.stalled_disks.clear();
        self.loss_rate = 0.0;
        for id in self.stores.keys().copied().collect::<Vec<_>>() {
            self.restart(id);
        }
        self.run(400);
        let leader = self.leader().expect("no leader after healing");
        self.propose(leader);
        self.run(100);
    }

    pub(super) fn voters(&self) -> Vec<StoreId> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let status = self.stores[&leader].replica.as_ref().unwrap().status();
        status.members.iter().filter(|m| m.voter).map(|m| m.store).collect()
    }

    pub(super) fn assert_same_state(&self) {
        // A store whose disk was lost before the replacement was committed is still a
        // member, but has no state to compare.
        let voters: Vec<_> =
            self.voters().into_iter().filter(|v| self.stores.contains_key(v)).collect();
        assert!(!voters.is_empty());
        let states: BTreeSet<_> = voters.iter().map(|v| &self.stores[v].applied).collect();
        assert_eq!(states.len(), 1, "states differ");
        let last = states.first().unwrap().last().unwrap();
        assert_eq!(last, &self.proposals.to_be_bytes().to_vec());
    }
}
