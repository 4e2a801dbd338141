//! The replica: one store's state machine of the replicated log.

mod election;
mod membership;
mod output;
mod replication;

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::log::Log;
use super::message::*;
use crate::dispatch::Millis;

pub use output::{Departure, NotLeader, Output, Persist, Role, Status};
#[cfg(test)]
pub(in crate::agree) use replication::{MAX_IN_FLIGHT_BYTES, MAX_MESSAGE_BYTES};

/// Milliseconds between two heartbeats of a leader.
pub const HEARTBEAT_MS: Millis = 100;
/// Shortest election timeout in milliseconds: without contact with a leader for
/// that long, a voter starts an election. Timeouts are random, up to twice as long.
pub const MIN_ELECTION_TIMEOUT_MS: Millis = 700;
/// The shortest election timeout in milliseconds before the first contact with a leader
/// after a start; it doubles with each attempt up to [`MIN_ELECTION_TIMEOUT_MS`]. It is
/// short because after a restart of all hosts there is no leader. If there is one, the
/// pre-vote is refused. A leader sends two heartbeats within it.
const FIRST_ELECTION_TIMEOUT_MS: Millis = 200;

/// What a leader knows of another member's log.
#[derive(Clone, Copy, Debug)]
struct Progress {
    matched: u64,
    next: u64,
    acked_at: Millis,
    /// The last contact with the store, also as a follower of it.
    silent_since: Millis,
    acked_round: u64,
    in_flight: InFlight,
}

/// The bytes of entries and snapshots that were sent to a member and not yet answered.
#[derive(Clone, Copy, Debug, Default)]
struct InFlight {
    bytes: usize,
    /// The index up to which they reach.
    upto: u64,
}

#[derive(Clone, Copy, Debug)]
struct Read {
    token: u64,
    round: u64,
}

/// One store's replica of the log. Every input that depends on time carries it, in
/// milliseconds; randomness comes from the seed passed to [`Replica::new`].
#[derive(Clone, Debug)]
pub struct Replica {
    id: StoreId,
    hard_state: HardState,
    log: Log,
    role: Role,
    leader: Option<StoreId>,
    /// The leader's commit index when this store last began to follow it; `None` until a message
    /// has told it.
    catch_up_to: Option<u64>,
    commit: u64,
    members: Vec<GroupMember>,
    members_index: u64,
    durable_index: u64,
    max_voters: usize,
    votes: BTreeSet<StoreId>,
    progress: BTreeMap<StoreId, Progress>,
    pending_reads: Vec<Read>,
    round: u64,
    last_leader_contact: Option<Millis>,
    /// The leader of that contact.
    last_leader: Option<StoreId>,
    election_due: Millis,
    /// Number of times that the election timer was set since the start.
    timer_resets: u32,
    heartbeat_due: Millis,
    /// When this leader next checks whether a member is to be replaced. Unlike heartbeats, which
    /// every proposal puts off, this does not depend on the load.
    members_check_due: Millis,
    /// The commit index at the last such check, which a learner must have reached.
    checked_commit: u64,
    rng: SmallRng,
    output: Output,
}

impl Replica {
    /// A replica with the state read from disk.
    pub fn new(
        now: Millis,
        id: StoreId,
        hard_state: HardState,
        snapshot: Snapshot,
        entries: Vec<Entry>,
        seed: u64,
    ) -> Replica {
        let commit = snapshot.index;
        let log = Log::new(snapshot, entries);
        let (members_index, members) = log.members();
        let durable_index = log.last_index();
        let mut replica = Replica {
            id,
            hard_state,
            log,
            role: Role::Follower,
            leader: None,
            catch_up_to: None,
            commit,
            members,
            members_index,
            durable_index,
            max_voters: usize::MAX,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            pending_reads: Vec::new(),
            round: 0,
            last_leader_contact: None,
            last_leader: None,
            election_due: 0,
            timer_resets: 0,
            heartbeat_due: 0,
            members_check_due: 0,
            checked_commit: u64::MAX,
            rng: SmallRng::seed_from_u64(seed),
            output: Output::default(),
        };
        replica.reset_election_timer(now);
        replica
    }

    /// The records that must be on the disk of each of `members` before a new group starts.
    pub fn bootstrap_records(members: Vec<GroupMember>) -> Vec<Persist> {
        let hard_state = HardState { term: 1, voted_for: None };
        let entry = Entry { term: 1, index: 1, payload: Payload::Members(members) };
        vec![Persist::HardState(hard_state), Persist::Entries(vec![entry])]
    }

    /// Its state for status reports.
    pub fn status(&self) -> Status {
        Status {
            store: self.id,
            role: self.role,
            term: self.hard_state.term,
            leader: self.leader,
            commit: self.commit,
            last: self.log.last_index(),
            members: self.members.clone(),
        }
    }

    /// Sets the largest number of voters: in a group with that many, further stores stay
    /// learners until a voter has been silent for too long.
    pub fn set_max_voters(&mut self, max_voters: usize) {
        self.max_voters = max_voters;
    }

    /// Its role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Its term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Whether its commit index has reached the current term, and so covers every commit of
    /// earlier terms, and also those made before it last began to follow the leader. It learns
    /// the leader before that.
    pub fn has_caught_up(&self) -> bool {
        let covers_leader = || self.catch_up_to.is_some_and(|index| self.commit >= index);
        self.log.term(self.commit) == Some(self.hard_state.term)
            && (self.role == Role::Leader || covers_leader())
    }

    /// The leader of its term, if known; possibly itself.
    pub fn leader(&self) -> Option<StoreId> {
        self.leader
    }

    /// The latest membership in its log.
    pub fn members(&self) -> &[GroupMember] {
        &self.members
    }

    /// Index and term of its last entry, to be passed to [`Replica::record_synced`] once all
    /// records that were handed out are on disk.
    pub fn last_entry(&self) -> (u64, u64) {
        (self.log.last_index(), self.log.last_term())
    }

    /// When to call [`Replica::tick`] next, in milliseconds.
    pub fn next_tick(&self) -> Millis {
        match self.role {
            Role::Leader => self.heartbeat_due.min(self.members_check_due),
            _ => self.election_due,
        }
    }

    /// Records that everything in earlier outputs up to entry `index` of `term` is synced
    /// to disk. A leader counts its own copy only up to there.
    pub fn record_synced(&mut self, index: u64, term: u64) -> Output {
        if self.log.term(index) == Some(term) && index > self.durable_index {
            self.durable_index = index;
            if self.role == Role::Leader {
                self.advance_commit();
                // In a group of one no response arrives that would complete the reads.
                self.answer_reads();
            }
        }
        self.take_output()
    }

    /// Whether it has a membership, so belongs to a group.
    pub fn is_bootstrapped(&self) -> bool {
        !self.members.is_empty()
    }

    /// On the leader, the index up to which each follower's log is known to match.
    pub fn matched(&self) -> BTreeMap<StoreId, u64> {
        self.progress.iter().map(|(store, p)| (*store, p.matched)).collect()
    }

    /// Advances time: sends heartbeats as leader, starts an election when one is due.
    pub fn tick(&mut self, now: Millis) -> Output {
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else if now >= self.election_due {
            match self.is_voter() {
                true => self.start_election(now, true),
                false => self.forget_leader(now),
            }
        }
        self.take_output()
    }

    /// Appends commands and returns their indexes. An entry is committed if it appears with
    /// this index and the current term in [`Output::committed`].
    pub fn propose(
        &mut self,
        now: Millis,
        data: Vec<Vec<u8>>,
    ) -> Result<(Vec<u64>, Output), NotLeader> {
        self.require_leader()?;
        let payloads = data.into_iter().map(Payload::Data).collect();
        let indexes = self.append_as_leader(now, payloads);
        Ok((indexes, self.take_output()))
    }

    /// Changes the membership; none while an earlier change is not committed.
    pub fn change_members(
        &mut self,
        now: Millis,
        members: Vec<GroupMember>,
    ) -> Result<Option<Output>, NotLeader> {
        self.require_leader()?;
        if !self.may_change_members() {
            return Ok(None);
        }
        self.append_as_leader(now, vec![Payload::Members(members)]);
        Ok(Some(self.take_output()))
    }

    /// Starts a linearizable read. Its token appears in [`Output::reads`] once a quorum has
    /// confirmed that this replica still leads; by then its commit index covers every
    /// commit made before the read.
    pub fn read(&mut self, now: Millis, token: u64) -> Result<Output, NotLeader> {
        self.require_leader()?;
        self.broadcast(now);
        self.pending_reads.push(Read { token, round: self.round });
        self.answer_reads();
        Ok(self.take_output())
    }

    /// Compacts the log up to `index` to a snapshot with the state `data`.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) -> Output {
        // An older snapshot than the present one would drop the entries after it.
        let new = index > self.log.snapshot.index && index <= self.commit;
        let Some(term) = self.log.term(index).filter(|_| new) else {
            return Output::default();
        };
        let members = self.log.members_at(index);
        let snapshot = Snapshot { index, term, members, data };
        self.log.compact(snapshot.clone());
        self.output.persist.push(Persist::Snapshot(snapshot));
        self.take_output()
    }

    /// Handles a message; one for another store is ignored.
    pub fn receive(&mut self, now: Millis, envelope: Envelope) -> Output {
        if envelope.to != self.id {
            return Output::default();
        }
        let Envelope { from, term, message, .. } = envelope;
        // A granted pre-vote carries the term of an election that has not begun; a refused
        // one carries the receiver's own term.
        let is_pre_vote = matches!(
            message,
            Message::RequestVote { pre_vote: true, .. }
                | Message::VoteResponse { pre_vote: true, granted: true }
        );
        if term > self.hard_state.term && !is_pre_vote {
            let is_from_leader =
                matches!(message, Message::AppendEntries { .. } | Message::InstallSnapshot { .. });
            self.become_follower(now, term, is_from_leader.then_some(from));
        }
        match message {
            Message::RequestVote { pre_vote, last_index, last_term } => {
                self.on_request_vote(now, from, term, pre_vote, (last_term, last_index));
            }
            Message::VoteResponse { pre_vote, granted } => {
                self.on_vote_response(now, from, term, pre_vote, granted)
            }
            Message::AppendEntries { prev_index, prev_term, entries, commit, round } => {
                self.on_append_entries(
                    now,
                    from,
                    term,
                    (prev_index, prev_term),
                    entries,
                    commit,
                    round,
                );
            }
            Message::AppendResponse { success, index, round } => {
                self.on_append_response(now, from, term, success, index, round);
            }
            Message::InstallSnapshot { snapshot, round } => {
                self.on_install_snapshot(now, from, term, snapshot, round)
            }
        }
        self.take_output()
    }

    fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.output)
    }

    fn require_leader(&self) -> Result<(), NotLeader> {
        match self.role {
            Role::Leader => Ok(()),
            _ => Err(NotLeader { leader: self.leader }),
        }
    }

    fn send(&mut self, to: StoreId, term: u64, message: Message) {
        let from = self.id;
        self.output.messages.push(Envelope { from, to, term, message });
    }

    fn persist_hard_state(&mut self) {
        self.output.persist.push(Persist::HardState(self.hard_state));
    }

    /// Restarts the election timer. Its length is random, so that split votes don't repeat.
    fn reset_election_timer(&mut self, now: Millis) {
        let min_timeout = match self.last_leader_contact {
            Some(_) => MIN_ELECTION_TIMEOUT_MS,
            None => {
                (FIRST_ELECTION_TIMEOUT_MS << self.timer_resets.min(4)).min(MIN_ELECTION_TIMEOUT_MS)
            }
        };
        self.timer_resets += 1;
        self.election_due = now + self.rng.random_range(min_timeout..2 * min_timeout);
    }

    fn become_follower(&mut self, now: Millis, term: u64, leader: Option<StoreId>) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, voted_for: None };
            self.persist_hard_state();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.pending_reads.clear();
        self.reset_election_timer(now);
    }
}
