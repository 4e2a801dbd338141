//! Membership of the group, changed one store at a time.

use std::collections::BTreeSet;

use super::{
    Departure, GroupMember, MIN_ELECTION_TIMEOUT_MS, Millis, NotLeader, Output, Payload, Progress,
    Replica, Role, StoreId,
};

/// Milliseconds of silence after which a voter may be replaced by a learner.
pub(super) const REPLACE_VOTER_AFTER_MS: Millis = 2_500;
/// Milliseconds of silence after which a learner is removed.
const REMOVE_LEARNER_AFTER_MS: Millis = 60_000;

impl Replica {
    pub(super) fn is_voter(&self) -> bool {
        self.members.iter().any(|m| m.store == self.id && m.voter)
    }

    pub(super) fn quorum(&self) -> usize {
        self.members.iter().filter(|m| m.voter).count() / 2 + 1
    }

    pub(super) fn other_members(&self) -> Vec<StoreId> {
        let others = self.members.iter().map(|m| m.store);
        others.filter(|store| *store != self.id).collect()
    }

    /// Adds replication progress for new members and drops that of former ones.
    pub(super) fn track_members(&mut self, now: Millis) {
        let others: BTreeSet<_> = self.other_members().into_iter().collect();
        self.progress.retain(|store, _| others.contains(store));
        let next = self.log.last_index() + 1;
        for store in others {
            let initial = Progress { matched: 0, next, acked_at: now, acked_round: 0 };
            self.progress.entry(store).or_insert(initial);
        }
    }

    pub(super) fn is_in_contact_with_quorum(&self, now: Millis) -> bool {
        let voters = self.members.iter().filter(|m| m.voter);
        let contacts = voters.filter(|m| {
            let acked = self.progress.get(&m.store).map(|p| p.acked_at);
            m.store == self.id || acked.is_some_and(|at| now < at + 2 * MIN_ELECTION_TIMEOUT_MS)
        });
        contacts.count() >= self.quorum()
    }

    pub(super) fn may_change_members(&self) -> bool {
        let has_caught_up = self.log.term(self.commit) == Some(self.hard_state.term);
        has_caught_up && self.members_index <= self.commit
    }

    /// Promotes a learner that has caught up: the store that it replaces is removed first,
    /// then it becomes a voter, one change at a time. If the group has its largest number of
    /// voters, the learner replaces one that has been silent for too long, or waits.
    pub(super) fn promote_learner(&mut self, now: Millis) {
        if !self.may_change_members() {
            return;
        }
        let caught_up = |m: &&GroupMember| {
            let matched = self.progress.get(&m.store).map(|p| p.matched);
            !m.voter && matched.is_some_and(|index| index >= self.commit)
        };
        let Some(learner) = self.members.iter().find(caught_up).cloned() else {
            self.remove_lost_learner(now);
            return;
        };
        let mut members = self.members.clone();
        let replaced = learner.replaces.filter(|old| members.iter().any(|m| m.store == *old));
        let voters = members.iter().filter(|m| m.voter).count();
        let removed = match replaced {
            Some(old) => Some(old),
            None if voters >= self.max_voters => match self.silent_voter(now) {
                Some(silent) => Some(silent),
                None => return,
            },
            None => None,
        };
        match removed {
            Some(old) => members.retain(|m| m.store != old),
            None => members
                .iter_mut()
                .filter(|m| m.store == learner.store)
                .for_each(|m| (m.voter, m.replaces) = (true, None)),
        }
        self.append_as_leader(now, vec![Payload::Members(members)]);
    }

    /// The voter that has been silent for longest, if for [`REPLACE_VOTER_AFTER_MS`].
    fn silent_voter(&self, now: Millis) -> Option<StoreId> {
        let voters = self.members.iter().filter(|m| m.voter && m.store != self.id);
        let contacts =
            voters.filter_map(|m| Some((self.progress.get(&m.store)?.acked_at, m.store)));
        let (at, store) = contacts.min()?;
        (now >= at + REPLACE_VOTER_AFTER_MS).then_some(store)
    }

    /// Removes a learner that has been silent for [`REMOVE_LEARNER_AFTER_MS`].
    fn remove_lost_learner(&mut self, now: Millis) {
        let is_lost = |m: &GroupMember| {
            let acked = self.progress.get(&m.store).map(|p| p.acked_at);
            !m.voter && acked.is_some_and(|at| now >= at + REMOVE_LEARNER_AFTER_MS)
        };
        let Some(lost) = self.members.iter().find(|m| is_lost(m)).map(|m| m.store) else {
            return;
        };
        let members = self.members.iter().filter(|m| m.store != lost).cloned().collect();
        self.append_as_leader(now, vec![Payload::Members(members)]);
    }

    /// Adds a store to the group as a learner. If the group has a store of the same host,
    /// whose disk is then lost, the learner is to replace it. Returns whether the store is
    /// a member now; false while another change is not committed.
    pub fn join(
        &mut self,
        now: Millis,
        mut learner: GroupMember,
    ) -> Result<(bool, Output), NotLeader> {
        self.require_leader()?;
        if self.members.iter().any(|m| m.store == learner.store) {
            return Ok((true, Output::default()));
        }
        if !self.may_change_members() {
            return Ok((false, Output::default()));
        }
        let predecessor = self.members.iter().find(|m| m.host == learner.host);
        learner.replaces = predecessor.map(|m| m.store);
        learner.voter = false;
        let mut members = self.members.clone();
        members.push(learner);
        self.append_as_leader(now, vec![Payload::Members(members)]);
        Ok((true, self.take_output()))
    }

    /// Starts the departure of a voter, or goes on with it.
    pub fn leave(&mut self, _: Millis, _: StoreId) -> Result<(Departure, Output), NotLeader> {
        Ok((Departure::Kept, Output::default()))
    }

    /// Steps down as leader once the change that removed this store's vote is committed.
    pub(super) fn step_down_if_removed(&mut self) {
        if !self.is_voter() && self.members_index <= self.commit {
            self.role = Role::Follower;
            self.leader = None;
            self.pending_reads.clear();
        }
    }
}
