//! The log in memory: a snapshot and the entries after it.

use super::message::{Entry, GroupMember, Payload, Snapshot};

/// A snapshot and the entries after it.
#[derive(Clone, Debug, Default)]
pub(super) struct Log {
    pub snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Log {
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Log {
        Log { snapshot, entries }
    }

    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.term, |e| e.term)
    }

    /// The term of an entry; none if the log does not hold it.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// The entries from index `first` on, as many as fit into `max_bytes`, and at least one.
    pub fn entries_from(&self, first: u64, max_bytes: usize) -> Vec<Entry> {
        let offset = first.saturating_sub(self.snapshot.index + 1) as usize;
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let is_first = bytes == 0;
            bytes += entry.size();
            is_first || bytes <= max_bytes
        };
        self.entries.iter().skip(offset).take_while(fits).cloned().collect()
    }

    /// Appends entries, after removing any existing ones from the first one's index on.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else {
            return;
        };
        let keep = (first.index - self.snapshot.index - 1) as usize;
        self.entries.truncate(keep);
        self.entries.extend_from_slice(entries);
    }

    /// Replaces the entries covered by `snapshot`; if the log does not match it, all entries.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let covered = snapshot.index.saturating_sub(self.snapshot.index) as usize;
        if self.term(snapshot.index) == Some(snapshot.term) {
            self.entries.drain(..covered.min(self.entries.len()));
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }

    /// The latest membership, and the index of the entry that set it.
    pub fn members(&self) -> (u64, Vec<GroupMember>) {
        for entry in self.entries.iter().rev() {
            if let Payload::Members(members) = &entry.payload {
                return (entry.index, members.clone());
            }
        }
        (self.snapshot.index, self.snapshot.members.clone())
    }

    /// The membership as of an entry.
    pub fn members_at(&self, index: u64) -> Vec<GroupMember> {
        let covered = self.entries.iter().rev().filter(|e| e.index <= index);
        for entry in covered {
            if let Payload::Members(members) = &entry.payload {
                return members.clone();
            }
        }
        self.snapshot.members.clone()
    }
}
