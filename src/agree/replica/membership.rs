//! Membership of the group, changed one store at a time.
//!
//! A store that no longer answers is removed before its successor counts, so that a quorum never
//! needs more than the stores that are left. One that is stopped as planned still answers: its
//! successor counts first, so that the group can lose another store at any moment.

use std::collections::BTreeSet;

use super::{
    Departure, GroupMember, InFlight, MIN_ELECTION_TIMEOUT_MS, Millis, NotLeader, Output, Payload,
    Progress, Replica, Role, StoreId,
};

/// Milliseconds of silence after which a voter may be replaced by a learner.
pub(super) const REPLACE_VOTER_AFTER_MS: Millis = 2_000;
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
            let initial = Progress {
                matched: 0,
                next,
                acked_at: now,
                silent_since: now,
                acked_round: 0,
                in_flight: InFlight::default(),
            };
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

    /// Promotes a learner that has caught up, or first removes the voter whose place it takes:
    /// the store that it replaces or, in a group with its largest number of voters, one that has
    /// been silent for too long.
    pub(super) fn promote_learner(&mut self, now: Millis) {
        if !self.may_change_members() {
            return;
        }
        let voters = self.members.iter().filter(|m| m.voter).count();
        let ready = self.ready_learners(now);
        let replaced = ready.iter().filter_map(|l| l.replaces).find(|old| self.is_member(*old));
        if let Some(old) = replaced {
            self.remove_member(now, old);
        } else if let Some(learner) = ready.first().filter(|_| voters < self.max_voters) {
            self.make_voter(now, learner.store);
        } else if (!ready.is_empty() || voters > self.max_voters)
            && let Some(silent) = self.silent_voter(now)
        {
            self.remove_member(now, silent);
        } else if ready.is_empty() {
            self.remove_lost_learner(now);
        }
    }

    /// Starts the departure of a voter that is about to stop, or goes on with it: first a
    /// learner that has caught up becomes a voter, then the departing store is removed.
    pub fn leave(&mut self, now: Millis, store: StoreId) -> Result<(Departure, Output), NotLeader> {
        let is_voter = |m: &GroupMember| m.store == store && m.voter;
        if !self.members.iter().any(is_voter) && self.members_index <= self.commit {
            return Ok((Departure::Left, Output::default()));
        }
        self.require_leader()?;
        let voters = self.members.iter().filter(|m| m.voter).count();
        if voters <= self.max_voters && self.members.iter().all(|m| m.voter) {
            return Ok((Departure::Kept, Output::default()));
        }
        if self.may_change_members() {
            if voters > self.max_voters {
                self.remove_member(now, store);
            } else if let Some(learner) = self.ready_learners(now).first() {
                self.make_voter(now, learner.store);
            }
        }
        Ok((Departure::Pending, self.take_output()))
    }

    fn is_member(&self, store: StoreId) -> bool {
        self.members.iter().any(|m| m.store == store)
    }

    /// The learners that answer and have what was committed at the last check.
    fn ready_learners(&self, now: Millis) -> Vec<GroupMember> {
        let is_ready = |m: &&GroupMember| {
            let progress = self.progress.get(&m.store);
            let ready = |p: &Progress| {
                p.matched >= self.checked_commit && now < p.acked_at + MIN_ELECTION_TIMEOUT_MS
            };
            !m.voter && progress.is_some_and(ready)
        };
        self.members.iter().filter(is_ready).cloned().collect()
    }

    fn make_voter(&mut self, now: Millis, store: StoreId) {
        let mut members = self.members.clone();
        members
            .iter_mut()
            .filter(|m| m.store == store)
            .for_each(|m| (m.voter, m.replaces) = (true, None));
        self.append_as_leader(now, vec![Payload::Members(members)]);
    }

    fn remove_member(&mut self, now: Millis, store: StoreId) {
        let members = self.members.iter().filter(|m| m.store != store).cloned().collect();
        self.append_as_leader(now, vec![Payload::Members(members)]);
    }

    /// The voter that has been silent for longest, if for [`REPLACE_VOTER_AFTER_MS`].
    fn silent_voter(&self, now: Millis) -> Option<StoreId> {
        let voters = self.members.iter().filter(|m| m.voter && m.store != self.id);
        let contacts =
            voters.filter_map(|m| Some((self.progress.get(&m.store)?.silent_since, m.store)));
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
        self.remove_member(now, lost);
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

    /// Steps down as leader once the change that removed this store's vote is committed.
    pub(super) fn step_down_if_removed(&mut self) {
        if !self.is_voter() && self.members_index <= self.commit {
            self.role = Role::Follower;
            self.leader = None;
            self.pending_reads.clear();
        }
    }
}
