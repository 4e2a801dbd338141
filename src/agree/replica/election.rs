//! Standing for election and voting.

use std::collections::BTreeSet;

use super::{HardState, MIN_ELECTION_TIMEOUT_MS, Message, Millis, Payload, Replica, Role, StoreId};

impl Replica {
    pub(super) fn stand(&mut self, now: Millis, pre: bool) {
        self.rest(now);
        self.leader = None;
        self.votes = BTreeSet::from([self.id]);
        if pre {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            let term = self.hard.term + 1;
            self.hard = HardState { term, voted_for: Some(self.id) };
            self.save_hard();
        }
        let term = if pre { self.hard.term + 1 } else { self.hard.term };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let voters = self.members.iter().filter(|m| m.voter && m.store != self.id);
        for to in voters.map(|m| m.store).collect::<Vec<_>>() {
            self.send(to, term, Message::Vote { pre, last_index, last_term });
        }
        self.count_votes(now);
    }

    pub(super) fn vote(
        &mut self,
        now: Millis,
        from: StoreId,
        term: u64,
        pre: bool,
        last: (u64, u64),
    ) {
        let whole = last >= (self.log.last_term(), self.log.last_index());
        let granted = match pre {
            true => term > self.hard.term && whole && !self.hears_leader(now),
            false => {
                let free = self.hard.voted_for.is_none_or(|v| v == from);
                term == self.hard.term && whole && free && self.role == Role::Follower
            }
        };
        if granted && !pre {
            self.hard.voted_for = Some(from);
            self.save_hard();
            self.rest(now);
        }
        // A refused candidate learns the newer term; a granted one its own.
        let term = if granted { term } else { self.hard.term };
        self.send(from, term, Message::Voted { pre, granted });
    }

    /// Whether a leader is known to be at work.
    pub(super) fn hears_leader(&self, now: Millis) -> bool {
        self.role == Role::Leader
            || self.heard_leader.is_some_and(|at| now < at + MIN_ELECTION_TIMEOUT_MS)
    }

    pub(super) fn voted(
        &mut self,
        now: Millis,
        from: StoreId,
        term: u64,
        pre: bool,
        granted: bool,
    ) {
        let awaited = match pre {
            true => self.role == Role::PreCandidate && term == self.hard.term + 1,
            false => self.role == Role::Candidate && term == self.hard.term,
        };
        if awaited && granted {
            self.votes.insert(from);
            self.count_votes(now);
        }
    }

    pub(super) fn count_votes(&mut self, now: Millis) {
        let voters = self.members.iter().filter(|m| m.voter);
        let votes = voters.filter(|m| self.votes.contains(&m.store)).count();
        if votes < self.majority() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.stand(now, false),
            Role::Candidate => self.win(now),
            Role::Follower | Role::Leader => {}
        }
    }

    pub(super) fn win(&mut self, now: Millis) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.progress.clear();
        self.reads.clear();
        self.track_members(now);
        self.append_own(now, vec![Payload::Noop]);
    }
}
