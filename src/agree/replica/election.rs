//! Elections: pre-vote, vote and becoming leader.

use std::collections::BTreeSet;

use super::{HardState, MIN_ELECTION_TIMEOUT_MS, Message, Millis, Payload, Replica, Role, StoreId};

impl Replica {
    pub(super) fn start_election(&mut self, now: Millis, pre_vote: bool) {
        self.reset_election_timer(now);
        self.leader = None;
        self.votes = BTreeSet::from([self.id]);
        if pre_vote {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            let term = self.hard_state.term + 1;
            self.hard_state = HardState { term, voted_for: Some(self.id) };
            self.persist_hard_state();
        }
        let term = if pre_vote { self.hard_state.term + 1 } else { self.hard_state.term };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let voters = self.members.iter().filter(|m| m.voter && m.store != self.id);
        for to in voters.map(|m| m.store).collect::<Vec<_>>() {
            self.send(to, term, Message::RequestVote { pre_vote, last_index, last_term });
        }
        self.count_votes(now);
    }

    /// Without a vote this store cannot start an election; it only stops stating a leader.
    pub(super) fn forget_leader(&mut self, now: Millis) {
        self.leader = None;
        self.reset_election_timer(now);
    }

    pub(super) fn on_request_vote(
        &mut self,
        now: Millis,
        from: StoreId,
        term: u64,
        pre_vote: bool,
        last: (u64, u64),
    ) {
        let is_up_to_date = last >= (self.log.last_term(), self.log.last_index());
        let granted = match pre_vote {
            true => term > self.hard_state.term && is_up_to_date && !self.has_live_leader(now),
            false => {
                let has_free_vote = self.hard_state.voted_for.is_none_or(|v| v == from);
                term == self.hard_state.term
                    && is_up_to_date
                    && has_free_vote
                    && self.role == Role::Follower
            }
        };
        if granted && !pre_vote {
            self.hard_state.voted_for = Some(from);
            self.persist_hard_state();
            self.reset_election_timer(now);
        }
        // A refusal carries the receiver's term, so that a stale candidate learns it; a
        // granted vote carries the candidate's.
        let term = if granted { term } else { self.hard_state.term };
        self.send(from, term, Message::VoteResponse { pre_vote, granted });
    }

    /// Whether this replica leads or was in contact with a leader within the shortest
    /// election timeout.
    pub(super) fn has_live_leader(&self, now: Millis) -> bool {
        self.role == Role::Leader
            || self.last_leader_contact.is_some_and(|at| now < at + MIN_ELECTION_TIMEOUT_MS)
    }

    pub(super) fn on_vote_response(
        &mut self,
        now: Millis,
        from: StoreId,
        term: u64,
        pre_vote: bool,
        granted: bool,
    ) {
        let expected = match pre_vote {
            true => self.role == Role::PreCandidate && term == self.hard_state.term + 1,
            false => self.role == Role::Candidate && term == self.hard_state.term,
        };
        if expected && granted {
            self.votes.insert(from);
            self.count_votes(now);
        }
    }

    pub(super) fn count_votes(&mut self, now: Millis) {
        let voters = self.members.iter().filter(|m| m.voter);
        let votes = voters.filter(|m| self.votes.contains(&m.store)).count();
        if votes < self.quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(now, false),
            Role::Candidate => self.become_leader(now),
            Role::Follower | Role::Leader => {}
        }
    }

    pub(super) fn become_leader(&mut self, now: Millis) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.progress.clear();
        self.pending_reads.clear();
        (self.members_check_due, self.checked_commit) = (now, u64::MAX);
        self.track_members(now);
        let former = self.last_leader.and_then(|leader| self.progress.get_mut(&leader));
        if let (Some(former), Some(at)) = (former, self.last_leader_contact) {
            former.silent_since = at;
        }
        self.append_as_leader(now, vec![Payload::Noop]);
    }
}
