//! Entries from the leader to the others, and what they answer.

use super::{
    Entry, HEARTBEAT_MS, MAX_ENTRIES, Message, Millis, Payload, Persist, Read, Replica, Role,
    Snapshot, StoreId,
};

impl Replica {
    pub(super) fn append_own(&mut self, now: Millis, payloads: Vec<Payload>) -> Vec<u64> {
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

    pub(super) fn write(&mut self, entries: Vec<Entry>) {
        if let Some(first) = entries.first() {
            self.durable = self.durable.min(first.index - 1);
        }
        self.log.append(&entries);
        (self.members_index, self.members) = self.log.members();
        self.out.persist.push(Persist::Entries(entries));
    }

    pub(super) fn lead(&mut self, now: Millis) {
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

    pub(super) fn broadcast(&mut self, now: Millis) {
        self.round += 1;
        self.heartbeat_at = now + HEARTBEAT_MS;
        for to in self.others() {
            self.send_entries(to);
        }
    }

    pub(super) fn send_entries(&mut self, to: StoreId) {
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

    pub(super) fn set_next(&mut self, store: StoreId, next: u64) {
        if let Some(progress) = self.progress.get_mut(&store) {
            progress.next = next;
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn append(
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
    pub(super) fn hear(&mut self, now: Millis, from: StoreId, term: u64) -> bool {
        if term < self.hard.term {
            return false;
        }
        self.follow(now, term, Some(from));
        self.heard_leader = Some(now);
        true
    }

    pub(super) fn install(
        &mut self,
        now: Millis,
        from: StoreId,
        term: u64,
        snapshot: Snapshot,
        round: u64,
    ) {
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

    pub(super) fn appended(
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
    pub(super) fn advance_commit(&mut self) {
        let voters = self.members.iter().filter(|m| m.voter);
        let mut matched: Vec<_> = voters
            .map(|m| match m.store == self.id {
                true => self.durable,
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

    pub(super) fn commit_to(&mut self, index: u64) {
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
    pub(super) fn answer_reads(&mut self) {
        if !self.has_caught_up() {
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
