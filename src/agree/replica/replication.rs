//! Log replication from the leader to the other members, and commits.

use super::{
    Entry, HEARTBEAT_MS, InFlight, Message, Millis, Payload, Persist, Read, Replica, Role,
    Snapshot, StoreId,
};

/// Bytes of entries in one message of the leader, unless its first entry alone is larger.
pub(in crate::agree) const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Bytes that may be in flight to a member before it has answered: while it catches up, the
/// messages queued for it take no more memory than these and one message.
pub(in crate::agree) const MAX_IN_FLIGHT_BYTES: usize = 2 << 20;

impl InFlight {
    fn add(&mut self, bytes: usize, upto: u64) {
        self.bytes += bytes;
        self.upto = upto;
    }

    /// Records that the member has everything up to `index`.
    fn acknowledge(&mut self, index: u64) {
        if index >= self.upto {
            self.bytes = 0;
        }
    }
}

impl Replica {
    pub(super) fn append_as_leader(&mut self, now: Millis, payloads: Vec<Payload>) -> Vec<u64> {
        let first = self.log.last_index() + 1;
        let term = self.hard_state.term;
        let to_entry = |(offset, payload)| Entry { term, index: first + offset as u64, payload };
        let entries: Vec<_> = payloads.into_iter().enumerate().map(to_entry).collect();
        let indexes = entries.iter().map(|e| e.index).collect();
        self.append_to_log(entries);
        self.track_members(now);
        self.broadcast(now);
        self.advance_commit();
        indexes
    }

    pub(super) fn append_to_log(&mut self, entries: Vec<Entry>) {
        if let Some(first) = entries.first() {
            self.durable_index = self.durable_index.min(first.index - 1);
        }
        self.log.append(&entries);
        (self.members_index, self.members) = self.log.members();
        self.output.persist.push(Persist::Entries(entries));
    }

    pub(super) fn tick_leader(&mut self, now: Millis) {
        if !self.is_in_contact_with_quorum(now) {
            let term = self.hard_state.term;
            self.become_follower(now, term, None);
            return;
        }
        if now >= self.heartbeat_due {
            self.broadcast(now);
        }
        if now >= self.members_check_due {
            self.members_check_due = now + HEARTBEAT_MS;
            self.promote_learner(now);
            self.checked_commit = self.commit;
        }
    }

    pub(super) fn broadcast(&mut self, now: Millis) {
        self.round += 1;
        self.heartbeat_due = now + HEARTBEAT_MS;
        for to in self.other_members() {
            self.send_entries(to);
        }
    }

    pub(super) fn send_entries(&mut self, to: StoreId) {
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let (term, round) = (self.hard_state.term, self.round);
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            let snapshot = self.log.snapshot.clone();
            progress.next = snapshot.index + 1;
            progress.in_flight.add(snapshot.data.len(), snapshot.index);
            self.send(to, term, Message::InstallSnapshot { snapshot, round });
            return;
        };
        let entries = match progress.in_flight.bytes < MAX_IN_FLIGHT_BYTES {
            true => self.log.entries_from(progress.next, MAX_MESSAGE_BYTES),
            false => Vec::new(),
        };
        if let Some(last) = entries.last() {
            progress.next = last.index + 1;
            progress.in_flight.add(entries.iter().map(Entry::size).sum(), last.index);
        }
        let commit = self.commit;
        let append = Message::AppendEntries { prev_index, prev_term, entries, commit, round };
        self.send(to, term, append);
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_append_entries(
        &mut self,
        now: Millis,
        from: StoreId,
        term: u64,
        prev: (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        if !self.accept_leader(now, from, term) {
            let rejection = Message::AppendResponse { success: false, index: 0, round };
            self.send(from, self.hard_state.term, rejection);
            return;
        }
        self.catch_up_to.get_or_insert(commit);
        let (prev_index, prev_term) = prev;
        let covered = prev_index < self.log.snapshot.index;
        if !covered && self.log.term(prev_index) != Some(prev_term) {
            let index = self.log.last_index().min(prev_index.saturating_sub(1)).max(self.commit);
            let rejection = Message::AppendResponse { success: false, index, round };
            self.send(from, term, rejection);
            return;
        }
        let matched = prev_index + entries.len() as u64;
        let differs =
            |e: &Entry| e.index > self.log.snapshot.index && self.log.term(e.index) != Some(e.term);
        if let Some(at) = entries.iter().position(differs) {
            self.append_to_log(entries[at..].to_vec());
        }
        self.commit_up_to(commit.min(matched));
        let acceptance = Message::AppendResponse { success: true, index: matched, round };
        self.send(from, term, acceptance);
    }

    /// Follows `from` as leader of `term`; false if the term is stale.
    pub(super) fn accept_leader(&mut self, now: Millis, from: StoreId, term: u64) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        if self.leader != Some(from) || self.hard_state.term != term {
            self.catch_up_to = None;
        }
        self.become_follower(now, term, Some(from));
        self.last_leader_contact = Some(now);
        self.last_leader = Some(from);
        true
    }

    pub(super) fn on_install_snapshot(
        &mut self,
        now: Millis,
        from: StoreId,
        term: u64,
        snapshot: Snapshot,
        round: u64,
    ) {
        if !self.accept_leader(now, from, term) {
            let rejection = Message::AppendResponse { success: false, index: 0, round };
            self.send(from, self.hard_state.term, rejection);
            return;
        }
        if snapshot.index > self.commit {
            self.commit = snapshot.index;
            self.log.compact(snapshot.clone());
            (self.members_index, self.members) = self.log.members();
            self.output.persist.push(Persist::Snapshot(snapshot.clone()));
            self.output.restore = Some(snapshot);
            self.output.committed.clear();
        }
        let acceptance = Message::AppendResponse { success: true, index: self.commit, round };
        self.send(from, term, acceptance);
    }

    pub(super) fn on_append_response(
        &mut self,
        now: Millis,
        from: StoreId,
        term: u64,
        success: bool,
        index: u64,
        round: u64,
    ) {
        if self.role != Role::Leader || term != self.hard_state.term {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.acked_at = now;
        progress.silent_since = now;
        progress.acked_round = progress.acked_round.max(round);
        if success {
            progress.matched = progress.matched.max(index.min(last));
            progress.next = progress.next.max(progress.matched + 1);
            progress.in_flight.acknowledge(index);
        } else {
            progress.next = (index + 1).clamp(progress.matched + 1, last + 1);
            progress.in_flight = InFlight::default();
        }
        let is_behind = progress.next <= last && progress.in_flight.bytes < MAX_IN_FLIGHT_BYTES;
        let is_changing_members = self.members_index > self.commit;
        self.advance_commit();
        self.answer_reads();
        if is_changing_members && self.role == Role::Leader {
            // The next step of a replacement does not wait for a heartbeat.
            self.promote_learner(now);
        }
        if is_behind && self.role == Role::Leader {
            self.send_entries(from);
        }
    }

    /// Commits up to the last entry that a quorum has on disk, if it is of the current term.
    pub(super) fn advance_commit(&mut self) {
        let voters = self.members.iter().filter(|m| m.voter);
        let mut matched: Vec<_> = voters
            .map(|m| match m.store == self.id {
                true => self.durable_index,
                false => self.progress.get(&m.store).map_or(0, |p| p.matched),
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(replicated) = matched.get(self.quorum() - 1).copied() else {
            return;
        };
        if replicated > self.commit && self.log.term(replicated) == Some(self.hard_state.term) {
            self.commit_up_to(replicated);
            self.step_down_if_removed();
        }
    }

    pub(super) fn commit_up_to(&mut self, index: u64) {
        while self.commit < index {
            let Some(entry) = self.log.get(self.commit + 1) else {
                return;
            };
            self.output.committed.push(entry.clone());
            self.commit += 1;
        }
    }

    /// Completes the reads whose broadcast a quorum has acknowledged, once this leader
    /// has committed an entry of its own term.
    pub(super) fn answer_reads(&mut self) {
        if !self.has_caught_up() {
            return;
        }
        let quorum = self.quorum();
        let acked = |round: u64| {
            let voters = self.members.iter().filter(|m| m.voter);
            let acked = voters.filter(|m| {
                let progress = self.progress.get(&m.store);
                m.store == self.id || progress.is_some_and(|p| p.acked_round >= round)
            });
            acked.count() >= quorum
        };
        let (ready, pending) =
            self.pending_reads.iter().partition::<Vec<Read>, _>(|r| acked(r.round));
        self.output.reads.extend(ready.iter().map(|r| r.token));
        self.pending_reads = pending;
    }
}
