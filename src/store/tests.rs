mod power;

use std::fs::OpenOptions;
use std::io::{Seek, SeekFrom, Write};

use proptest::prelude::*;
use tempfile::TempDir;

use super::*;
use crate::agree::{Entry, HardState, Payload, Persist, Snapshot, StoreId};
use crate::error::Error;

fn entries(from: u64, to: u64, term: u64) -> Persist {
    let entry = |index| Entry { term, index, payload: Payload::Data(vec![index as u8; 20]) };
    Persist::Entries((from..=to).map(entry).collect())
}

fn hard(term: u64) -> Persist {
    Persist::HardState(HardState { term, voted_for: Some(StoreId(1)) })
}

fn snapshot(index: u64, term: u64) -> Persist {
    Persist::Snapshot(Snapshot { index, term, members: vec![], data: vec![9; 100] })
}

fn indexes(recovered: &RecoveredState) -> Vec<u64> {
    recovered.entries.iter().map(|e| e.index).collect()
}

#[test]
fn written_records_are_read_back_with_the_same_identity() {
    let folder = TempDir::new().unwrap();
    let (mut disk, recovered) = Disk::open(folder.path()).unwrap();
    assert_eq!(recovered, RecoveredState::default());
    disk.write(&[hard(3), entries(1, 5, 3)]).unwrap();
    disk.write(&[entries(4, 6, 4)]).unwrap();
    let identity = disk.identity();
    drop(disk);
    let (disk, recovered) = Disk::open(folder.path()).unwrap();
    assert_eq!(disk.identity(), identity);
    assert_eq!(indexes(&recovered), [1, 2, 3, 4, 5, 6]);
    assert_eq!(recovered.entries[3].term, 4);
    assert_eq!(recovered.hard.term, 3);
}

#[test]
fn an_empty_folder_has_a_new_identity() {
    let one = Disk::open(TempDir::new().unwrap().path()).unwrap().0.identity();
    let two = Disk::open(TempDir::new().unwrap().path()).unwrap().0.identity();
    assert_ne!(one, two);
}

#[test]
fn a_folder_is_locked_by_one_process() {
    let folder = TempDir::new().unwrap();
    let _disk = Disk::open(folder.path()).unwrap();
    assert!(matches!(Disk::open(folder.path()), Err(Error::Locked { .. })));
}

#[test]
fn a_snapshot_replaces_the_entries_it_covers() {
    let folder = TempDir::new().unwrap();
    let (mut disk, _) = Disk::open(folder.path()).unwrap();
    disk.write(&[hard(2), entries(1, 10, 2)]).unwrap();
    disk.write(&[snapshot(7, 2)]).unwrap();
    disk.write(&[entries(11, 12, 2)]).unwrap();
    drop(disk);
    let (_, recovered) = Disk::open(folder.path()).unwrap();
    assert_eq!(recovered.snapshot.index, 7);
    assert_eq!(indexes(&recovered), [8, 9, 10, 11, 12]);
    assert_eq!(recovered.hard.term, 2);
}

#[test]
fn an_installed_snapshot_drops_conflicting_entries() {
    let folder = TempDir::new().unwrap();
    let (mut disk, _) = Disk::open(folder.path()).unwrap();
    disk.write(&[hard(2), entries(1, 10, 2)]).unwrap();
    disk.write(&[snapshot(7, 5)]).unwrap();
    drop(disk);
    let (_, recovered) = Disk::open(folder.path()).unwrap();
    assert_eq!(indexes(&recovered), Vec::<u64>::new());
}

fn log_length(folder: &TempDir) -> u64 {
    std::fs::metadata(folder.path().join("log")).unwrap().len()
}

fn overwrite(folder: &TempDir, at: u64, byte: u8) {
    let mut log = OpenOptions::new().write(true).open(folder.path().join("log")).unwrap();
    log.seek(SeekFrom::Start(at)).unwrap();
    log.write_all(&[byte]).unwrap();
}

#[test]
fn damage_in_the_middle_is_an_error_that_names_the_place() {
    let folder = TempDir::new().unwrap();
    let (mut disk, _) = Disk::open(folder.path()).unwrap();
    disk.write(&[hard(1), entries(1, 3, 1)]).unwrap();
    disk.write(&[entries(4, 6, 1)]).unwrap();
    disk.write(&[entries(7, 9, 1)]).unwrap();
    drop(disk);
    overwrite(&folder, 30, 0xff);
    assert!(matches!(Disk::open(folder.path()), Err(Error::Damaged { .. })));
}

#[test]
fn a_damaged_snapshot_is_an_error() {
    let folder = TempDir::new().unwrap();
    let (mut disk, _) = Disk::open(folder.path()).unwrap();
    disk.write(&[entries(1, 3, 1), snapshot(2, 1)]).unwrap();
    drop(disk);
    std::fs::write(folder.path().join("snapshot"), b"garbage").unwrap();
    assert!(matches!(Disk::open(folder.path()), Err(Error::Damaged { .. })));
}

proptest! {
    #![proptest_config(crate::testing::property(48))]

    /// A crash that truncates the last write at any byte loses no record synced before it.
    #[test]
    fn a_torn_tail_loses_nothing_that_was_synced(torn_bytes in 1u64..200, syncs in 1u64..5) {
        let folder = TempDir::new().unwrap();
        let (mut disk, _) = Disk::open(folder.path()).unwrap();
        for sync in 0..syncs {
            disk.write(&[hard(sync + 1), entries(sync * 3 + 1, sync * 3 + 3, sync + 1)]).unwrap();
        }
        let synced_length = log_length(&folder);
        disk.write(&[hard(99), entries(syncs * 3 + 1, syncs * 3 + 2, 99), hard(100)]).unwrap();
        drop(disk);
        let full_length = log_length(&folder);
        let cut = full_length - torn_bytes.min(full_length - synced_length);
        OpenOptions::new().write(true).open(folder.path().join("log")).unwrap().set_len(cut).unwrap();
        let (_, recovered) = Disk::open(folder.path()).unwrap();
        prop_assert!(recovered.entries.len() as u64 >= syncs * 3);
        prop_assert!(recovered.hard.term >= syncs);
    }

    /// A record with a damaged byte is cut off or refused, never decoded to other entries.
    #[test]
    fn a_damaged_byte_is_never_read(at in 0u64..400, byte in any::<u8>()) {
        let folder = TempDir::new().unwrap();
        let (mut disk, _) = Disk::open(folder.path()).unwrap();
        for sync in 0..4 {
            disk.write(&[hard(1), entries(sync * 3 + 1, sync * 3 + 3, 1)]).unwrap();
        }
        drop(disk);
        overwrite(&folder, at % log_length(&folder), byte);
        if let Ok((_, recovered)) = Disk::open(folder.path()) {
            for entry in &recovered.entries {
                prop_assert_eq!(&entry.payload, &Payload::Data(vec![entry.index as u8; 20]));
            }
        }
    }
}
