//! The data folder of a control host.

use std::path::{Path, PathBuf};

use rand::RngExt;
use snafu::ResultExt;

use super::checksummed;
use super::files::{Files, Folder};
use super::record::{self, Item};
use crate::agree::{Entry, HardState, Persist, Snapshot, StoreId};
use crate::error::{DamagedSnafu, Error, FileSnafu, Result};

const IDENTITY: &str = "identity";
const LOG: &str = "log";
const SNAPSHOT: &str = "snapshot";

/// The state that was read from a data folder when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Term and vote.
    pub hard: HardState,
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// Entries after it.
    pub entries: Vec<Entry>,
    /// Bytes of an incomplete last record that were cut off.
    pub cut_bytes: u64,
}

/// An open data folder, locked against other processes.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    files: Box<dyn Files>,
    identity: StoreId,
    sequence: u64,
    hard: HardState,
    log_bytes: u64,
    /// Index of the snapshot on disk.
    snapshot_index: u64,
    snapshot_bytes: u64,
    failed: bool,
}

impl Disk {
    /// Opens a folder; creates it, and its identity if it has no log.
    pub fn open(folder: &Path) -> Result<(Disk, RecoveredState)> {
        let files = Folder::open(folder)?;
        Disk::open_files(folder, Box::new(files))
    }

    /// Opens the folder `folder` whose files are `files`.
    pub(super) fn open_files(
        folder: &Path,
        mut files: Box<dyn Files>,
    ) -> Result<(Disk, RecoveredState)> {
        let identity = read_or_create_identity(folder, files.as_mut())?;
        let mut disk = Disk {
            folder: folder.to_path_buf(),
            files,
            identity,
            sequence: 0,
            hard: HardState::default(),
            log_bytes: 0,
            snapshot_index: 0,
            snapshot_bytes: 0,
            failed: false,
        };
        let recovered = disk.load()?;
        disk.hard = recovered.hard;
        Ok((disk, recovered))
    }

    /// Reads the snapshot and the log, cuts off an incomplete last record, and syncs what it
    /// has read: a process that was killed may have left records that it had not synced.
    fn load(&mut self) -> Result<RecoveredState> {
        let (snapshot, snapshot_bytes) = read_snapshot(&self.folder, self.files.as_ref())?;
        let path = self.folder.join(LOG);
        self.files.append(LOG, &[]).context(FileSnafu { path: &path })?;
        let bytes = self.files.read(LOG).context(FileSnafu { path: &path })?.unwrap_or_default();
        let replayed = replay(&path, &bytes, snapshot.index > 0)?;
        let cut_bytes = bytes.len() as u64 - replayed.length;
        if cut_bytes > 0 {
            self.files.truncate(LOG, replayed.length).context(FileSnafu { path: &path })?;
        }
        self.files.sync(LOG).context(FileSnafu { path: &path })?;
        self.files.sync_folder().context(FileSnafu { path: &self.folder })?;
        self.sequence = replayed.sequence + 1;
        self.log_bytes = replayed.length;
        self.snapshot_index = snapshot.index;
        self.snapshot_bytes = snapshot_bytes;
        let hard = replayed.hard;
        let differs = differs_from(&replayed.entries, &snapshot);
        let entries = entries_after(replayed.entries, &snapshot);
        if differs {
            // What is appended from now on follows the snapshot, not these entries.
            self.replace_log(hard, &entries)?;
        }
        Ok(RecoveredState { hard, snapshot, entries, cut_bytes })
    }

    /// The identity of this folder.
    pub fn identity(&self) -> StoreId {
        self.identity
    }

    /// Bytes in the log since the last snapshot.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Bytes of the last snapshot.
    pub fn snapshot_bytes(&self) -> u64 {
        self.snapshot_bytes
    }

    /// Writes and syncs `records`. After a failure the end of the log on disk is
    /// unknown, so writes fail until [`Disk::recover`] has succeeded.
    pub fn write(&mut self, records: &[Persist]) -> Result<()> {
        if self.failed {
            let source = std::io::Error::other("an earlier write failed");
            return Err(source).context(FileSnafu { path: self.folder.join(LOG) });
        }
        let result = self.write_all(records);
        self.failed = result.is_err();
        result
    }

    /// Allows writes again after a failed one. The same records are to be written again: some
    /// of them may be on disk already, and a snapshot may have replaced what it covers.
    pub fn recover(&mut self) -> Result<()> {
        self.load()?;
        self.failed = false;
        Ok(())
    }

    fn write_all(&mut self, records: &[Persist]) -> Result<()> {
        let mut items = Vec::new();
        for record in records {
            match record {
                Persist::HardState(hard) => {
                    self.hard = *hard;
                    items.push(Item::HardState(*hard));
                }
                Persist::Entries(entries) => items.push(Item::Entries(entries.clone())),
                Persist::Snapshot(snapshot) => {
                    self.append(&items)?;
                    items.clear();
                    // A later one of the same records is on disk if they are written again.
                    if snapshot.index >= self.snapshot_index {
                        self.write_snapshot(snapshot)?;
                    }
                }
            }
        }
        self.append(&items)
    }

    fn encode(&self, items: &[Item]) -> Result<Vec<u8>> {
        record::encode(items, self.sequence).map_err(|source| Error::Frame { source })
    }

    fn append(&mut self, items: &[Item]) -> Result<()> {
        if items.is_empty() {
            return Ok(());
        }
        let buffer = self.encode(items)?;
        let path = self.folder.join(LOG);
        self.files.append(LOG, &buffer).context(FileSnafu { path: &path })?;
        self.files.sync(LOG).context(FileSnafu { path: &path })?;
        self.sequence += 1;
        self.log_bytes += buffer.len() as u64;
        Ok(())
    }

    /// Replaces the snapshot, then replaces the log by one without the entries that
    /// the snapshot covers or contradicts. A crash between the two leaves those in the
    /// log, which `load` skips.
    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        let bytes = checksummed::encode(snapshot)?;
        self.replace(SNAPSHOT, &bytes)?;
        self.snapshot_index = snapshot.index;
        self.snapshot_bytes = bytes.len() as u64;
        let path = self.folder.join(LOG);
        let written = self.files.read(LOG).context(FileSnafu { path: &path })?.unwrap_or_default();
        let kept = entries_after(replay(&path, &written, true)?.entries, snapshot);
        self.replace_log(self.hard, &kept)
    }

    fn replace_log(&mut self, hard: HardState, entries: &[Entry]) -> Result<()> {
        let buffer = self.encode(&[Item::HardState(hard), Item::Entries(entries.to_vec())])?;
        self.replace(LOG, &buffer)?;
        self.log_bytes = buffer.len() as u64;
        self.sequence += 1;
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        replace(&self.folder, self.files.as_mut(), name, bytes)
    }
}

/// Replaces the file `name`, which has its old or its new content at any moment.
fn replace(folder: &Path, files: &mut dyn Files, name: &str, bytes: &[u8]) -> Result<()> {
    let new = format!("{name}.new");
    files.create(&new, bytes).context(FileSnafu { path: folder.join(&new) })?;
    files.rename(&new, name).context(FileSnafu { path: folder.join(name) })?;
    files.sync_folder().context(FileSnafu { path: folder })
}

/// Reads the folder's identity; creates a random one if the folder has no log.
fn read_or_create_identity(folder: &Path, files: &mut dyn Files) -> Result<StoreId> {
    let path = folder.join(IDENTITY);
    if let Some(bytes) = files.read(IDENTITY).context(FileSnafu { path: &path })? {
        let text = String::from_utf8_lossy(&bytes);
        return match u64::from_str_radix(text.trim(), 16) {
            Ok(id) => Ok(StoreId(id)),
            Err(_) => DamagedSnafu { path, offset: 0u64 }.fail(),
        };
    }
    if files.read(LOG).context(FileSnafu { path: folder.join(LOG) })?.is_some() {
        let source = std::io::Error::from(std::io::ErrorKind::NotFound);
        return Err(source).context(FileSnafu { path });
    }
    let id = StoreId(rand::rng().random());
    replace(folder, files, IDENTITY, id.to_string().as_bytes())?;
    Ok(id)
}

fn read_snapshot(folder: &Path, files: &dyn Files) -> Result<(Snapshot, u64)> {
    let path = folder.join(SNAPSHOT);
    let Some(bytes) = files.read(SNAPSHOT).context(FileSnafu { path: &path })? else {
        return Ok((Snapshot::default(), 0));
    };
    match checksummed::decode(&bytes) {
        Some(snapshot) => Ok((snapshot, bytes.len() as u64)),
        None => DamagedSnafu { path, offset: 0u64 }.fail(),
    }
}

/// What the log file holds.
#[derive(Default)]
struct Replayed {
    hard: HardState,
    entries: Vec<Entry>,
    /// Bytes up to the end of the last complete record.
    length: u64,
    /// The number of that record.
    sequence: u64,
}

/// Reads the log file. With a snapshot in place, its first record had been synced.
fn replay(path: &Path, bytes: &[u8], has_snapshot: bool) -> Result<Replayed> {
    let mut replayed = Replayed::default();
    let mut at = 0;
    while at < bytes.len() {
        let Some(parsed) = record::decode(&bytes[at..]) else {
            let was_synced = at == 0 && has_snapshot;
            if was_synced || record::has_later(&bytes[at..], replayed.sequence) {
                return DamagedSnafu { path, offset: at as u64 }.fail();
            }
            break;
        };
        replayed.sequence = parsed.sequence;
        at += parsed.size;
        for item in parsed.items {
            match item {
                Item::HardState(hard) => replayed.hard = hard,
                Item::Entries(entries) => {
                    if let Some(first) = entries.first().map(|e| e.index) {
                        replayed.entries.retain(|e| e.index < first);
                        replayed.entries.extend(entries);
                    }
                }
            }
        }
    }
    replayed.length = at as u64;
    Ok(replayed)
}

/// Whether the last entry that a snapshot covers is another one in the log.
fn differs_from(entries: &[Entry], snapshot: &Snapshot) -> bool {
    entries.iter().any(|e| e.index == snapshot.index && e.term != snapshot.term)
}

/// The entries of a log that follow a snapshot; none if the log differs from it.
fn entries_after(mut entries: Vec<Entry>, snapshot: &Snapshot) -> Vec<Entry> {
    if differs_from(&entries, snapshot) {
        return Vec::new();
    }
    entries.retain(|e| e.index > snapshot.index);
    entries
}
