//! A data folder that loses power, is killed, or refuses a write, at any operation.

use proptest::prelude::*;

use super::{entries, hard, snapshot};
use crate::agree::Persist;
use crate::store::simulated::SimulatedDisk;
use crate::store::{Disk, RecoveredState};

/// One batch of records: appends entries, replaces the last ones, or takes or receives a
/// snapshot.
#[derive(Clone, Debug)]
enum Batch {
    Append(u64),
    Replace(u64),
    Snapshot(u64),
    SnapshotAndAppend(u64),
    Install(u64),
}

fn batch() -> impl Strategy<Value = Batch> {
    prop_oneof![
        4 => (1u64..5).prop_map(Batch::Append),
        2 => (1u64..4).prop_map(Batch::Replace),
        2 => (0u64..4).prop_map(Batch::Snapshot),
        1 => (0u64..4).prop_map(Batch::SnapshotAndAppend),
        1 => (1u64..6).prop_map(Batch::Install),
    ]
}

/// What the records amount to: the snapshot, the terms of the entries after it, and the term.
#[derive(Clone, Debug, Default)]
struct Model {
    snapshot: u64,
    snapshot_term: u64,
    terms: Vec<u64>,
    term: u64,
}

impl Model {
    fn last(&self) -> u64 {
        self.snapshot + self.terms.len() as u64
    }

    fn append(&mut self, count: u64) -> Vec<Persist> {
        let first = self.last() + 1;
        self.terms.extend((0..count).map(|_| self.term));
        vec![entries(first, first + count - 1, self.term)]
    }

    fn compact(&mut self, kept: u64) -> Vec<Persist> {
        let covered = (self.terms.len() as u64).saturating_sub(kept) as usize;
        let Some(term) = covered.checked_sub(1).map(|at| self.terms[at]) else {
            return Vec::new();
        };
        self.snapshot += covered as u64;
        self.snapshot_term = term;
        self.terms.drain(..covered);
        vec![snapshot(self.snapshot, term)]
    }

    fn records(&mut self, batch: &Batch) -> Vec<Persist> {
        match batch {
            Batch::Append(count) => self.append(*count),
            Batch::Replace(count) => {
                self.term += 1;
                let kept = (self.terms.len() as u64).saturating_sub(*count) as usize;
                self.terms.truncate(kept);
                let mut records = vec![hard(self.term)];
                records.extend(self.append(2));
                records
            }
            Batch::Snapshot(kept) => self.compact(*kept),
            Batch::Install(covered) => {
                self.term += 1;
                self.snapshot += covered;
                self.snapshot_term = self.term;
                self.terms.clear();
                vec![hard(self.term), snapshot(self.snapshot, self.term)]
            }
            Batch::SnapshotAndAppend(kept) => {
                let mut records = self.append(2);
                records.extend(self.compact(*kept));
                records.extend(self.append(1));
                records
            }
        }
    }

    /// Applies one record, as a disk holds it.
    fn apply(&mut self, record: &Persist) {
        match record {
            Persist::HardState(hard) => self.term = hard.term,
            Persist::Entries(entries) => {
                self.terms.truncate((entries[0].index - self.snapshot - 1) as usize);
                self.terms.extend(entries.iter().map(|e| e.term));
            }
            Persist::Snapshot(snapshot) => {
                let covered = (snapshot.index - self.snapshot) as usize;
                let matches = self.terms.get(covered - 1) == Some(&snapshot.term);
                match matches {
                    true => drop(self.terms.drain(..covered)),
                    false => self.terms.clear(),
                }
                (self.snapshot, self.snapshot_term) = (snapshot.index, snapshot.term);
            }
        }
    }

    fn is_read_back(&self, recovered: &RecoveredState) -> bool {
        let terms: Vec<_> = recovered.entries.iter().map(|e| e.term).collect();
        let indexes = recovered.entries.iter().map(|e| e.index);
        recovered.hard.term == self.term
            && recovered.snapshot.index == self.snapshot
            && recovered.snapshot.term == self.snapshot_term
            && terms == self.terms
            && indexes.eq(self.snapshot + 1..=self.last())
    }
}

/// The states that a disk may hold: before the last batch, after it, or in between.
fn is_one_of(recovered: &RecoveredState, before: &Model, records: &[Persist]) -> bool {
    (0..=records.len()).any(|written| {
        let mut model = before.clone();
        records[..written].iter().for_each(|record| model.apply(record));
        model.is_read_back(recovered)
    })
}

fn open(disk: &SimulatedDisk) -> (Disk, RecoveredState) {
    disk.open().expect("a folder that lost power opens")
}

proptest! {
    #![proptest_config(crate::testing::property(256))]

    /// Every batch that was written is read back, whichever operation of the next one is cut
    /// short by a loss of power or a kill; and what was read back once survives the next loss.
    #[test]
    fn written_records_survive_a_loss_of_power_or_a_kill_at_any_operation(
        batches in proptest::collection::vec(batch(), 1..8),
        ends in proptest::collection::vec((1u64..14, any::<bool>(), 0u64..9), 1..4),
        seed in any::<u64>(),
    ) {
        let folder = SimulatedDisk::new(seed);
        let (mut disk, mut recovered) = open(&folder);
        let identity = disk.identity();
        for (until_failure, is_kill, until_failure_at_open) in ends {
            let mut model = Model {
                snapshot: recovered.snapshot.index,
                snapshot_term: recovered.snapshot.term,
                terms: recovered.entries.iter().map(|e| e.term).collect(),
                term: recovered.hard.term,
            };
            folder.fail_after(until_failure);
            let mut before = model.clone();
            let mut unfinished = Vec::new();
            for batch in &batches {
                before = model.clone();
                unfinished = model.records(batch);
                if disk.write(&unfinished).is_err() {
                    break;
                }
                before = model.clone();
                unfinished.clear();
            }
            let lose = |is_kill: bool| if is_kill { folder.kill() } else { folder.lose_power() };
            lose(is_kill);
            if until_failure_at_open > 0 {
                folder.open_and_fail_after(until_failure_at_open);
                lose(!is_kill);
            }
            (disk, recovered) = open(&folder);
            prop_assert_eq!(disk.identity(), identity);
            let is_allowed = is_one_of(&recovered, &before, &unfinished);
            prop_assert!(is_allowed, "{recovered:?}\n{before:?}\n{unfinished:?}");
            // What this process has read may be acknowledged without another write.
            drop(disk);
            folder.lose_power();
            let again;
            (disk, again) = open(&folder);
            prop_assert_eq!(&again.entries, &recovered.entries);
            prop_assert_eq!(again.hard, recovered.hard);
            prop_assert_eq!(&again.snapshot, &recovered.snapshot);
            recovered = again;
        }
    }

    /// A batch that the disk refuses at any operation and that is written again is read back
    /// like any other, with all batches before it.
    #[test]
    fn records_written_again_after_a_refused_write_are_read_back(
        batches in proptest::collection::vec(batch(), 1..8),
        until_failure in 1u64..30,
        seed in any::<u64>(),
        ends_with_power_loss in any::<bool>(),
    ) {
        let folder = SimulatedDisk::new(seed);
        let (mut disk, _) = open(&folder);
        let mut model = Model::default();
        folder.fail_after(until_failure);
        for batch in &batches {
            let records = model.records(batch);
            if disk.write(&records).is_err() {
                folder.end_failure();
                disk.recover().unwrap();
                disk.write(&records).unwrap();
            }
        }
        drop(disk);
        if ends_with_power_loss {
            folder.lose_power();
        }
        let (_, recovered) = open(&folder);
        prop_assert!(model.is_read_back(&recovered), "{recovered:?}\n{model:?}");
    }

    /// A folder that loses power while it is opened for the first time opens again.
    #[test]
    fn a_first_start_survives_a_loss_of_power_at_any_operation(
        until_failure in proptest::collection::vec(1u64..9, 1..4),
        seed in any::<u64>(),
    ) {
        let folder = SimulatedDisk::new(seed);
        for operations in until_failure {
            folder.open_and_fail_after(operations);
            folder.lose_power();
        }
        let (mut disk, recovered) = open(&folder);
        prop_assert_eq!(recovered, RecoveredState::default());
        let identity = disk.identity();
        disk.write(&[hard(1), entries(1, 2, 1)]).unwrap();
        folder.lose_power();
        let (disk, recovered) = open(&folder);
        prop_assert_eq!(disk.identity(), identity);
        prop_assert_eq!(recovered.entries.len(), 2);
    }
}
