//! Who is in the group, changed one store at a time.

use std::collections::BTreeSet;

use super::{
    GroupMember, MIN_ELECTION_TIMEOUT_MS, Millis, NotLeader, Output, Payload, Progress, Replica,
    Role, StoreId,
};

/// Milliseconds of silence after which a voter gives its place to a newcomer.
pub(super) const REPLACE_AFTER_MS: Millis = 2_500;
/// Milliseconds of silence after which a newcomer without a vote is forgotten.
const FORGET_NEWCOMER_MS: Millis = 60_000;

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
            m.store == self.id || acked.is_some_and(|at| now < at + 2 * MIN_ELECTION_TIMEOUT_MS)
        });
        heard.count() >= self.majority()
    }

    pub(super) fn may_change_members(&self) -> bool {
        let own_term = self.log.term(self.commit) == Some(self.hard.term);
        own_term && self.members_index <= self.commit
    }

    /// Counts a newcomer that has caught up: first the store that it replaces
    /// goes, then it becomes a voter, one change at a time. When there are as
    /// many voters as wanted, it takes the place of one long silent, or waits.
    pub(super) fn admit_newcomer(&mut self, now: Millis) {
        if !self.may_change_members() {
            return;
        }
        let caught_up = |m: &&GroupMember| {
            let matched = self.progress.get(&m.store).map(|p| p.matched);
            !m.voter && matched.is_some_and(|at| at >= self.commit)
        };
        let Some(newcomer) = self.members.iter().find(caught_up).cloned() else {
            self.forget_lost_newcomer(now);
            return;
        };
        let mut members = self.members.clone();
        let replaced = newcomer.replaces.filter(|old| members.iter().any(|m| m.store == *old));
        let voters = members.iter().filter(|m| m.voter).count();
        let leaves = match replaced {
            Some(old) => Some(old),
            None if voters >= self.max_voters => match self.silent_voter(now) {
                Some(silent) => Some(silent),
                None => return,
            },
            None => None,
        };
        match leaves {
            Some(old) => members.retain(|m| m.store != old),
            None => members
                .iter_mut()
                .filter(|m| m.store == newcomer.store)
                .for_each(|m| (m.voter, m.replaces) = (true, None)),
        }
        self.append_own(now, vec![Payload::Members(members)]);
    }

    /// The voter that has been silent for longest, if for [`REPLACE_AFTER_MS`].
    fn silent_voter(&self, now: Millis) -> Option<StoreId> {
        let voters = self.members.iter().filter(|m| m.voter && m.store != self.id);
        let heard = voters.filter_map(|m| Some((self.progress.get(&m.store)?.acked_at, m.store)));
        let (at, store) = heard.min()?;
        (now >= at + REPLACE_AFTER_MS).then_some(store)
    }

    /// Drops a store that never became a voter and is not heard of any more.
    fn forget_lost_newcomer(&mut self, now: Millis) {
        let is_lost = |m: &GroupMember| {
            let acked = self.progress.get(&m.store).map(|p| p.acked_at);
            !m.voter && acked.is_some_and(|at| now >= at + FORGET_NEWCOMER_MS)
        };
        let Some(lost) = self.members.iter().find(|m| is_lost(m)).map(|m| m.store) else {
            return;
        };
        let members = self.members.iter().filter(|m| m.store != lost).cloned().collect();
        self.append_own(now, vec![Payload::Members(members)]);
    }

    /// A store asks to belong to the group. It becomes a member without a vote
    /// at first; one that stands for a lost disk of the same host replaces that.
    /// Says whether it is a member now; false while another change is under way.
    pub fn join(
        &mut self,
        now: Millis,
        mut newcomer: GroupMember,
    ) -> Result<(bool, Output), NotLeader> {
        self.require_leader()?;
        if self.members.iter().any(|m| m.store == newcomer.store) {
            return Ok((true, Output::default()));
        }
        if !self.may_change_members() {
            return Ok((false, Output::default()));
        }
        let predecessor = self.members.iter().find(|m| m.host == newcomer.host);
        newcomer.replaces = predecessor.map(|m| m.store);
        newcomer.voter = false;
        let mut members = self.members.clone();
        members.push(newcomer);
        self.append_own(now, vec![Payload::Members(members)]);
        Ok((true, self.take_output()))
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
