//! One store's part in the agreement.

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
pub const ELECTION_MS: Millis = 700;
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
pub struct Node {
    id: StoreId,
    hard: HardState,
    log: Log,
    role: Role,
    leader: Option<StoreId>,
    commit: u64,
    members: Vec<GroupMember>,
    members_index: u64,
    votes: BTreeSet<StoreId>,
    progress: BTreeMap<StoreId, Progress>,
    reads: Vec<Read>,
    round: u64,
    heard_leader: Option<Millis>,
    election_at: Millis,
    heartbeat_at: Millis,
    rng: SmallRng,
    out: Output,
}

impl Node {
    /// A store as it was found on disk.
    pub fn new(
        now: Millis,
        id: StoreId,
        hard: HardState,
        snapshot: Snapshot,
        entries: Vec<Entry>,
        seed: u64,
    ) -> Node {
        let commit = snapshot.index;
        let log = Log::new(snapshot, entries);
        let (members_index, members) = log.members();
        let mut node = Node {
            id,
            hard,
            log,
            role: Role::Follower,
            leader: None,
            commit,
            members,
            members_index,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            reads: Vec::new(),
            round: 0,
            heard_leader: None,
            election_at: 0,
            heartbeat_at: 0,
            rng: SmallRng::seed_from_u64(seed),
            out: Output::default(),
        };
        node.rest(now);
        node
    }

    /// What must be on disk for a new group of `members` before any of them starts.
    pub fn founding(members: Vec<GroupMember>) -> Vec<Persist> {
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

    /// Whether it belongs to a group already.
    pub fn is_founded(&self) -> bool {
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

    fn is_voter(&self) -> bool {
        self.members.iter().any(|m| m.store == self.id && m.voter)
    }

    fn majority(&self) -> usize {
        self.members.iter().filter(|m| m.voter).count() / 2 + 1
    }

    fn others(&self) -> Vec<StoreId> {
        let others = self.members.iter().map(|m| m.store);
        others.filter(|store| *store != self.id).collect()
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
        self.election_at = now + self.rng.random_range(ELECTION_MS..2 * ELECTION_MS);
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

    fn stand(&mut self, now: Millis, pre: bool) {
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

    fn vote(&mut self, now: Millis, from: StoreId, term: u64, pre: bool, last: (u64, u64)) {
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
    fn hears_leader(&self, now: Millis) -> bool {
        self.role == Role::Leader || self.heard_leader.is_some_and(|at| now < at + ELECTION_MS)
    }

    fn voted(&mut self, now: Millis, from: StoreId, term: u64, pre: bool, granted: bool) {
        let awaited = match pre {
            true => self.role == Role::PreCandidate && term == self.hard.term + 1,
            false => self.role == Role::Candidate && term == self.hard.term,
        };
        if awaited && granted {
            self.votes.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Millis) {
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

    fn win(&mut self, now: Millis) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.progress.clear();
        self.reads.clear();
        self.track_members(now);
        self.append_own(now, vec![Payload::Noop]);
    }

    /// Keeps a progress for each other member.
    fn track_members(&mut self, now: Millis) {
        let others: BTreeSet<_> = self.others().into_iter().collect();
        self.progress.retain(|store, _| others.contains(store));
        let next = self.log.last_index() + 1;
        for store in others {
            let fresh = Progress { matched: 0, next, acked_at: now, acked_round: 0 };
            self.progress.entry(store).or_insert(fresh);
        }
    }

    fn append_own(&mut self, now: Millis, payloads: Vec<Payload>) -> Vec<u64> {
        let first = self.log.last_index() + 1;
        let term = self.hard.term;
        let number = |(at, payload)| Entry { term, index: first + at as u64, payload };
        let entries: Vec<_> = payloads.into_iter().enumerate().map(number).collect();
        let indexes = entries.iter().map(|e| e.index).collect();
        self.write(entries);
        self.track_members(now);
        self.broadcast(now);
        self.advance_commit();
        indexes
    }

    fn write(&mut self, entries: Vec<Entry>) {
        self.log.append(&entries);
        (self.members_index, self.members) = self.log.members();
        self.out.persist.push(Persist::Entries(entries));
    }

    fn lead(&mut self, now: Millis) {
        if !self.hears_majority(now) {
            let term = self.hard.term;
            self.follow(now, term, None);
            return;
        }
        if now >= self.heartbeat_at {
            self.broadcast(now);
            self.admit_newcomer(now);
        }
    }

    fn hears_majority(&self, now: Millis) -> bool {
        let voters = self.members.iter().filter(|m| m.voter);
        let heard = voters.filter(|m| {
            let acked = self.progress.get(&m.store).map(|p| p.acked_at);
            m.store == self.id || acked.is_some_and(|at| now < at + 2 * ELECTION_MS)
        });
        heard.count() >= self.majority()
    }

    fn may_change_members(&self) -> bool {
        let own_term = self.log.term(self.commit) == Some(self.hard.term);
        own_term && self.members_index <= self.commit
    }

    /// Counts a newcomer that has caught up: first the store that it replaces
    /// goes, then it becomes a voter, one change at a time.
    fn admit_newcomer(&mut self, now: Millis) {
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

    fn broadcast(&mut self, now: Millis) {
        self.round += 1;
        self.heartbeat_at = now + HEARTBEAT_MS;
        for to in self.others() {
            self.send_entries(to);
        }
    }

    fn send_entries(&mut self, to: StoreId) {
        let Some(next) = self.progress.get(&to).map(|p| p.next) else {
            return;
        };
        let (term, round) = (self.hard.term, self.round);
        let prev_index = next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            let snapshot = self.log.snapshot.clone();
            self.set_next(to, snapshot.index + 1);
            self.send(to, term, Message::Install { snapshot, round });
            return;
        };
        let entries = self.log.from(next, MAX_ENTRIES);
        self.set_next(to, next + entries.len() as u64);
        let commit = self.commit;
        let append = Message::Append { prev_index, prev_term, entries, commit, round };
        self.send(to, term, append);
    }

    fn set_next(&mut self, store: StoreId, next: u64) {
        if let Some(progress) = self.progress.get_mut(&store) {
            progress.next = next;
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn append(
        &mut self,
        now: Millis,
        from: StoreId,
        term: u64,
        prev: (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        if !self.hear(now, from, term) {
            let refuse = Message::Appended { success: false, index: 0, round };
            self.send(from, self.hard.term, refuse);
            return;
        }
        let (prev_index, prev_term) = prev;
        let covered = prev_index < self.log.snapshot.index;
        if !covered && self.log.term(prev_index) != Some(prev_term) {
            let index = self.log.last_index().min(prev_index.saturating_sub(1)).max(self.commit);
            let refuse = Message::Appended { success: false, index, round };
            self.send(from, term, refuse);
            return;
        }
        let matched = prev_index + entries.len() as u64;
        let differs =
            |e: &Entry| e.index > self.log.snapshot.index && self.log.term(e.index) != Some(e.term);
        if let Some(at) = entries.iter().position(differs) {
            self.write(entries[at..].to_vec());
        }
        self.commit_to(commit.min(matched));
        let accept = Message::Appended { success: true, index: matched, round };
        self.send(from, term, accept);
    }

    /// Whether `from` leads this term; if so it is followed.
    fn hear(&mut self, now: Millis, from: StoreId, term: u64) -> bool {
        if term < self.hard.term {
            return false;
        }
        self.follow(now, term, Some(from));
        self.heard_leader = Some(now);
        true
    }

    fn install(&mut self, now: Millis, from: StoreId, term: u64, snapshot: Snapshot, round: u64) {
        if !self.hear(now, from, term) {
            let refuse = Message::Appended { success: false, index: 0, round };
            self.send(from, self.hard.term, refuse);
            return;
        }
        if snapshot.index > self.commit {
            self.commit = snapshot.index;
            self.log.compact(snapshot.clone());
            (self.members_index, self.members) = self.log.members();
            self.out.persist.push(Persist::Snapshot(snapshot.clone()));
            self.out.restore = Some(snapshot);
            self.out.committed.clear();
        }
        let accept = Message::Appended { success: true, index: self.commit, round };
        self.send(from, term, accept);
    }

    fn appended(
        &mut self,
        now: Millis,
        from: StoreId,
        term: u64,
        success: bool,
        index: u64,
        round: u64,
    ) {
        if self.role != Role::Leader || term != self.hard.term {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.acked_at = now;
        progress.acked_round = progress.acked_round.max(round);
        if success {
            progress.matched = progress.matched.max(index.min(last));
            progress.next = progress.next.max(progress.matched + 1);
        } else {
            progress.next = (index + 1).clamp(progress.matched + 1, last + 1);
        }
        let behind = progress.next <= last;
        self.advance_commit();
        self.answer_reads();
        if behind && self.role == Role::Leader {
            self.send_entries(from);
        }
    }

    /// Commits what a majority holds, if it is of this term.
    fn advance_commit(&mut self) {
        let last = self.log.last_index();
        let voters = self.members.iter().filter(|m| m.voter);
        let mut matched: Vec<_> = voters
            .map(|m| match m.store == self.id {
                true => last,
                false => self.progress.get(&m.store).map_or(0, |p| p.matched),
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(held) = matched.get(self.majority() - 1).copied() else {
            return;
        };
        if held > self.commit && self.log.term(held) == Some(self.hard.term) {
            self.commit_to(held);
            self.leave_if_removed();
        }
    }

    /// A leader that is no longer in the group follows once that is committed.
    fn leave_if_removed(&mut self) {
        if !self.is_voter() && self.members_index <= self.commit {
            self.role = Role::Follower;
            self.leader = None;
            self.reads.clear();
        }
    }

    fn commit_to(&mut self, index: u64) {
        while self.commit < index {
            let Some(entry) = self.log.get(self.commit + 1) else {
                return;
            };
            self.out.committed.push(entry.clone());
            self.commit += 1;
        }
    }

    /// Answers the reads whose round a majority has acknowledged, once this
    /// leader has committed an entry of its own term.
    fn answer_reads(&mut self) {
        if self.log.term(self.commit) != Some(self.hard.term) {
            return;
        }
        let majority = self.majority();
        let acked = |round: u64| {
            let voters = self.members.iter().filter(|m| m.voter);
            let acked = voters.filter(|m| {
                let progress = self.progress.get(&m.store);
                m.store == self.id || progress.is_some_and(|p| p.acked_round >= round)
            });
            acked.count() >= majority
        };
        let (ready, waiting) = self.reads.iter().partition::<Vec<Read>, _>(|r| acked(r.round));
        self.out.reads.extend(ready.iter().map(|r| r.token));
        self.reads = waiting;
    }
}
