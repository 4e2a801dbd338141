//! One store's part in the agreement.

mod election;
mod membership;
mod replication;

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::log::Log;
use super::message::*;
use crate::dispatch::Millis;

/// Milliseconds between two heartbeats of a leader.
pub const HEARTBEAT_MS: Millis = 100;
/// Shortest silence of a leader after which a store stands for election; the
/// longest is twice that.
pub const MIN_ELECTION_TIMEOUT_MS: Millis = 700;
/// The same for the first attempt after a start, doubled with each further one:
/// where all were stopped at once nobody leads, and where somebody does, a vote is
/// not given. Two heartbeats of a leader fit in.
const FIRST_ELECTION_MS: Millis = 200;
/// Most entries in one message.
const MAX_ENTRIES: usize = 512;

/// What a store is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It follows a leader, or waits for one.
    Follower,
    /// It asks whether it would be elected.
    PreCandidate,
    /// It stands for election.
    Candidate,
    /// It leads.
    Leader,
}

/// What must be on disk before any message of the same output is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Persist {
    /// Term and vote.
    HardState(HardState),
    /// Entries; the first replaces whatever stands from its index on.
    Entries(Vec<Entry>),
    /// A snapshot in place of all entries up to its index.
    Snapshot(Snapshot),
}

/// What follows from an input, to be carried out in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// To be written and synced, in order.
    pub persist: Vec<Persist>,
    /// To be sent.
    pub messages: Vec<Envelope>,
    /// A snapshot with which the state machine must be replaced.
    pub restore: Option<Snapshot>,
    /// Newly committed entries, to be applied in order.
    pub committed: Vec<Entry>,
    /// Reads that may now be answered from what has been applied.
    pub reads: Vec<u64>,
}

/// A proposal or read came to a store that does not lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader, where known.
    pub leader: Option<StoreId>,
}

/// A store's state for reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The store.
    pub store: StoreId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader, where known.
    pub leader: Option<StoreId>,
    /// How far it knows to be committed.
    pub commit: u64,
    /// Its last entry.
    pub last: u64,
    /// The group as it knows it.
    pub members: Vec<GroupMember>,
}

#[derive(Clone, Copy, Debug)]
struct Progress {
    matched: u64,
    next: u64,
    acked_at: Millis,
    acked_round: u64,
}

#[derive(Clone, Copy, Debug)]
struct Read {
    token: u64,
    round: u64,
}

/// One store's part in the agreement. Every input carries the time; randomness
/// comes from the seed given at the start.
#[derive(Clone, Debug)]
pub struct Replica {
    id: StoreId,
    hard: HardState,
    log: Log,
    role: Role,
    leader: Option<StoreId>,
    commit: u64,
    members: Vec<GroupMember>,
    members_index: u64,
    durable: u64,
    max_voters: usize,
    votes: BTreeSet<StoreId>,
    progress: BTreeMap<StoreId, Progress>,
    reads: Vec<Read>,
    round: u64,
    heard_leader: Option<Millis>,
    election_at: Millis,
    /// Elections that were waited for since the start.
    waits: u32,
    heartbeat_at: Millis,
    rng: SmallRng,
    out: Output,
}

impl Replica {
    /// A store as it was found on disk.
    pub fn new(
        now: Millis,
        id: StoreId,
        hard: HardState,
        snapshot: Snapshot,
        entries: Vec<Entry>,
        seed: u64,
    ) -> Replica {
        let commit = snapshot.index;
        let log = Log::new(snapshot, entries);
        let (members_index, members) = log.members();
        let durable = log.last_index();
        let mut replica = Replica {
            id,
            hard,
            log,
            role: Role::Follower,
            leader: None,
            commit,
            members,
            members_index,
            durable,
            max_voters: usize::MAX,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            reads: Vec::new(),
            round: 0,
            heard_leader: None,
            election_at: 0,
            waits: 0,
            heartbeat_at: 0,
            rng: SmallRng::seed_from_u64(seed),
            out: Output::default(),
        };
        replica.rest(now);
        replica
    }

    /// What must be on disk for a new group of `members` before any of them starts.
    pub fn bootstrap_records(members: Vec<GroupMember>) -> Vec<Persist> {
        let hard = HardState { term: 1, voted_for: None };
        let entry = Entry { term: 1, index: 1, payload: Payload::Members(members) };
        vec![Persist::HardState(hard), Persist::Entries(vec![entry])]
    }

    /// Its state.
    pub fn status(&self) -> Status {
        Status {
            store: self.id,
            role: self.role,
            term: self.hard.term,
            leader: self.leader,
            commit: self.commit,
            last: self.log.last_index(),
            members: self.members.clone(),
        }
    }

    /// With this many voters the group is complete: further stores follow
    /// without a vote until one is long silent.
    pub fn set_max_voters(&mut self, most: usize) {
        self.max_voters = most;
    }

    /// Its role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Its term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Whether an entry of the current term is known to be committed, and with it all that
    /// was committed before. A store that has started again knows the leader sooner.
    pub fn has_caught_up(&self) -> bool {
        self.log.term(self.commit) == Some(self.hard.term)
    }

    /// The leader that it follows or is, where known.
    pub fn leader(&self) -> Option<StoreId> {
        self.leader
    }

    /// The group as it knows it.
    pub fn members(&self) -> &[GroupMember] {
        &self.members
    }

    /// The entry up to which a restart would find the log as it is now, were
    /// everything persisted that has been handed out.
    pub fn last_entry(&self) -> (u64, u64) {
        (self.log.last_index(), self.log.last_term())
    }

    /// When [`Replica::tick`] has something to do next.
    pub fn next_tick(&self) -> Millis {
        match self.role {
            Role::Leader => self.heartbeat_at,
            _ => self.election_at,
        }
    }

    /// All that was handed out for persisting up to the entry `index` of `term`
    /// is on this store's disk. A leader counts itself only up to there.
    pub fn record_synced(&mut self, index: u64, term: u64) -> Output {
        if self.log.term(index) == Some(term) && index > self.durable {
            self.durable = index;
            if self.role == Role::Leader {
                self.advance_commit();
                // Where no other store acknowledges anything, nothing else would.
                self.answer_reads();
            }
        }
        self.take_output()
    }

    /// Whether it belongs to a group already.
    pub fn is_bootstrapped(&self) -> bool {
        !self.members.is_empty()
    }

    /// How far each follower's log is known to match, on the leader.
    pub fn matched(&self) -> BTreeMap<StoreId, u64> {
        self.progress.iter().map(|(store, p)| (*store, p.matched)).collect()
    }

    /// Time passes.
    pub fn tick(&mut self, now: Millis) -> Output {
        if self.role == Role::Leader {
            self.lead(now);
        } else if now >= self.election_at && self.is_voter() {
            self.stand(now, true);
        }
        self.take_output()
    }

    /// A command is to be appended; its index and term tell when it is committed.
    pub fn propose(
        &mut self,
        now: Millis,
        data: Vec<Vec<u8>>,
    ) -> Result<(Vec<u64>, Output), NotLeader> {
        self.require_leader()?;
        let payloads = data.into_iter().map(Payload::Data).collect();
        let indexes = self.append_own(now, payloads);
        Ok((indexes, self.take_output()))
    }

    /// The group is to change. Refused while an earlier change is under way.
    pub fn change_members(
        &mut self,
        now: Millis,
        members: Vec<GroupMember>,
    ) -> Result<Option<Output>, NotLeader> {
        self.require_leader()?;
        if !self.may_change_members() {
            return Ok(None);
        }
        self.append_own(now, vec![Payload::Members(members)]);
        Ok(Some(self.take_output()))
    }

    /// Asks to be told when all that was committed before now has been applied
    /// and this store is known to lead still.
    pub fn read(&mut self, now: Millis, token: u64) -> Result<Output, NotLeader> {
        self.require_leader()?;
        self.broadcast(now);
        self.reads.push(Read { token, round: self.round });
        self.answer_reads();
        Ok(self.take_output())
    }

    /// The state machine's state up to `index`, in place of the entries.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) -> Output {
        // A snapshot that covers nothing new would take the entries behind it along.
        let new = index > self.log.snapshot.index && index <= self.commit;
        let Some(term) = self.log.term(index).filter(|_| new) else {
            return Output::default();
        };
        let members = self.log.members_at(index);
        let snapshot = Snapshot { index, term, members, data };
        self.log.compact(snapshot.clone());
        self.out.persist.push(Persist::Snapshot(snapshot));
        self.take_output()
    }

    /// A message arrived.
    pub fn receive(&mut self, now: Millis, envelope: Envelope) -> Output {
        if envelope.to != self.id {
            return Output::default();
        }
        let Envelope { from, term, message, .. } = envelope;
        let only_asks = matches!(
            message,
            Message::Vote { pre: true, .. } | Message::Voted { pre: true, granted: true }
        );
        if term > self.hard.term && !only_asks {
            let leads = matches!(message, Message::Append { .. } | Message::Install { .. });
            self.follow(now, term, leads.then_some(from));
        }
        match message {
            Message::Vote { pre, last_index, last_term } => {
                self.vote(now, from, term, pre, (last_term, last_index));
            }
            Message::Voted { pre, granted } => self.voted(now, from, term, pre, granted),
            Message::Append { prev_index, prev_term, entries, commit, round } => {
                self.append(now, from, term, (prev_index, prev_term), entries, commit, round);
            }
            Message::Appended { success, index, round } => {
                self.appended(now, from, term, success, index, round);
            }
            Message::Install { snapshot, round } => self.install(now, from, term, snapshot, round),
        }
        self.take_output()
    }

    fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.out)
    }

    fn require_leader(&self) -> Result<(), NotLeader> {
        match self.role {
            Role::Leader => Ok(()),
            _ => Err(NotLeader { leader: self.leader }),
        }
    }

    fn send(&mut self, to: StoreId, term: u64, message: Message) {
        let from = self.id;
        self.out.messages.push(Envelope { from, to, term, message });
    }

    fn save_hard(&mut self) {
        self.out.persist.push(Persist::HardState(self.hard));
    }

    /// Restarts the election timer, at random so that split votes end.
    fn rest(&mut self, now: Millis) {
        let least = match self.heard_leader {
            Some(_) => MIN_ELECTION_TIMEOUT_MS,
            None => (FIRST_ELECTION_MS << self.waits.min(4)).min(MIN_ELECTION_TIMEOUT_MS),
        };
        self.waits += 1;
        self.election_at = now + self.rng.random_range(least..2 * least);
    }

    fn follow(&mut self, now: Millis, term: u64, leader: Option<StoreId>) {
        if term > self.hard.term {
            self.hard = HardState { term, voted_for: None };
            self.save_hard();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.reads.clear();
        self.rest(now);
    }
}
