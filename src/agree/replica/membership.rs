//! Who is in the group, changed one store at a time.

use std::collections::BTreeSet;

use super::{ELECTION_MS, GroupMember, Millis, Payload, Progress, Replica, Role, StoreId};

impl Replica {
    pub(super) fn is_voter(&self) -> bool {
        self.members.iter().any(|m| m.store == self.id && m.voter)
    }

    pub(super) fn majority(&self) -> usize {
        self.members.iter().filter(|m| m.voter).count() / 2 + 1
    }

    pub(super) fn others(&self) -> Vec<StoreId> {
        let others = self.members.iter().map(|m| m.store);
        others.filter(|store| *store != self.id).collect()
    }

    /// Keeps a progress for each other member.
    pub(super) fn track_members(&mut self, now: Millis) {
        let others: BTreeSet<_> = self.others().into_iter().collect();
        self.progress.retain(|store, _| others.contains(store));
        let next = self.log.last_index() + 1;
        for store in others {
            let fresh = Progress { matched: 0, next, acked_at: now, acked_round: 0 };
            self.progress.entry(store).or_insert(fresh);
        }
    }

    pub(super) fn hears_majority(&self, now: Millis) -> bool {
        let voters = self.members.iter().filter(|m| m.voter);
        let heard = voters.filter(|m| {
            let acked = self.progress.get(&m.store).map(|p| p.acked_at);
            m.store == self.id || acked.is_some_and(|at| now < at + 2 * ELECTION_MS)
        });
        heard.count() >= self.majority()
    }

    pub(super) fn may_change_members(&self) -> bool {
        let own_term = self.log.term(self.commit) == Some(self.hard.term);
        own_term && self.members_index <= self.commit
    }

    /// Counts a newcomer that has caught up: first the store that it replaces
    /// goes, then it becomes a voter, one change at a time.
    pub(super) fn admit_newcomer(&mut self, now: Millis) {
        if !self.may_change_members() {
            return;
        }
        let caught_up = |m: &&GroupMember| {
            let matched = self.progress.get(&m.store).map(|p| p.matched);
            !m.voter && matched.is_some_and(|at| at >= self.commit)
        };
        let Some(newcomer) = self.members.iter().find(caught_up).cloned() else {
            return;
        };
        let mut members = self.members.clone();
        match newcomer.replaces.filter(|old| members.iter().any(|m| m.store == *old)) {
            Some(old) => members.retain(|m| m.store != old),
            None => members
                .iter_mut()
                .filter(|m| m.store == newcomer.store)
                .for_each(|m| (m.voter, m.replaces) = (true, None)),
        }
        self.append_own(now, vec![Payload::Members(members)]);
    }

    /// A leader that is no longer in the group follows once that is committed.
    pub(super) fn leave_if_removed(&mut self) {
        if !self.is_voter() && self.members_index <= self.commit {
            self.role = Role::Follower;
            self.leader = None;
            self.reads.clear();
        }
    }
}
