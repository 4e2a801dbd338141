//! Bootstrapping the group, and changes of its members.

use rand::RngExt;
use tokio::sync::oneshot;

use super::super::handle::NoLeader;
use super::{Driver, Unsynced};
use crate::agree::{
    Departure, GroupMember, HardState, Output, Persist, Replica, Snapshot, StoreId,
};
use crate::error::Result;

impl Driver {
    pub(super) fn bootstrap(&mut self, members: Vec<GroupMember>) -> Result<()> {
        if self.replica.is_bootstrapped() {
            return Ok(());
        }
        log::info!("control: bootstrapping the group with {} stores", members.len());
        let records = Replica::bootstrap_records(members);
        // The group exists once this job is synced; until then no message that depends on it
        // may be sent.
        let job = self.disk.write(records.clone());
        let mut hard = HardState::default();
        let mut entries = Vec::new();
        for record in records {
            match record {
                Persist::HardState(state) => hard = state,
                Persist::Entries(first) => entries = first,
                Persist::Snapshot(_) => {}
            }
        }
        let now = self.peers.clock.now();
        let seed = rand::rng().random();
        let no_snapshot = Snapshot::default();
        self.replica = Replica::new(now, self.store, hard, no_snapshot, entries, seed);
        self.replica.set_max_voters(self.max_voters);
        let last_entry = self.replica.last_entry();
        self.unsynced.push_back(Unsynced { job, messages: Vec::new(), last_entry });
        Ok(())
    }

    pub(super) fn add_member(
        &mut self,
        new_member: GroupMember,
        reply: oneshot::Sender<Result<bool, NoLeader>>,
    ) -> Result<()> {
        let mut members = self.replica.status().members;
        if members.iter().any(|m| m.store == new_member.store) {
            let _ = reply.send(Ok(true));
            return Ok(());
        }
        members.push(new_member);
        let changed = self.replica.change_members(self.peers.clock.now(), members);
        let (answer, out) = match changed {
            Ok(Some(out)) => (Ok(true), out),
            Ok(None) => (Ok(false), Output::default()),
            Err(not_leader) => (Err(self.no_leader(not_leader)), Output::default()),
        };
        // The receiver is dropped if the caller has given up.
        let _ = reply.send(answer);
        self.execute(out)
    }

    pub(super) fn join(
        &mut self,
        new_member: GroupMember,
        reply: oneshot::Sender<Result<bool, NoLeader>>,
    ) -> Result<()> {
        let (answer, out) = match self.replica.join(self.peers.clock.now(), new_member) {
            Ok((joined, out)) => (Ok(joined), out),
            Err(not_leader) => (Err(self.no_leader(not_leader)), Output::default()),
        };
        // The receiver is dropped if the caller has given up.
        let _ = reply.send(answer);
        self.execute(out)
    }

    pub(super) fn leave(
        &mut self,
        store: StoreId,
        reply: oneshot::Sender<Result<Departure, NoLeader>>,
    ) -> Result<()> {
        let (answer, out) = match self.replica.leave(self.peers.clock.now(), store) {
            Ok((departure, out)) => (Ok(departure), out),
            Err(not_leader) => (Err(self.no_leader(not_leader)), Output::default()),
        };
        // The receiver is dropped if the caller has given up.
        let _ = reply.send(answer);
        self.execute(out)
    }
}
