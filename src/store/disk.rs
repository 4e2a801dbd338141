//! The data folder of a control host.

use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

use fs4::fs_std::FileExt;
use rand::RngExt;
use snafu::ResultExt;

use super::checksummed;
use super::record::{self, Item};
use crate::agree::{Entry, HardState, Persist, Snapshot, StoreId};
use crate::error::{DamagedSnafu, Error, FileSnafu, LockedSnafu, Result};

const LOCK: &str = "lock";
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
    identity: StoreId,
    _lock: File,
    log: File,
    sequence: u64,
    hard: HardState,
    log_bytes: u64,
    snapshot_bytes: u64,
    failed: bool,
}

impl Disk {
    /// Opens a folder; creates it, and its identity if it has no log.
    pub fn open(folder: &Path) -> Result<(Disk, RecoveredState)> {
        std::fs::create_dir_all(folder).context(FileSnafu { path: folder })?;
        let lock = lock_folder(folder)?;
        let identity = read_or_create_identity(folder)?;
        let snapshot_path = folder.join(SNAPSHOT);
        let (snapshot, snapshot_bytes) = read_snapshot(&snapshot_path)?;
        let path = folder.join(LOG);
        let mut log = open_log(&path)?;
        let mut bytes = Vec::new();
        log.read_to_end(&mut bytes).context(FileSnafu { path: &path })?;
        let mut recovered = RecoveredState { snapshot, ..RecoveredState::default() };
        let replayed = replay(&path, &bytes, &mut recovered)?;
        if recovered.cut_bytes > 0 {
            log.set_len(replayed.length).context(FileSnafu { path: &path })?;
            log.sync_all().context(FileSnafu { path: &path })?;
        }
        sync_folder(folder)?;
        let disk = Disk {
            folder: folder.to_path_buf(),
            identity,
            _lock: lock,
            log,
            sequence: replayed.sequence + 1,
            hard: recovered.hard,
            log_bytes: replayed.length,
            snapshot_bytes,
            failed: false,
        };
        Ok((disk, recovered))
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

    /// Allows writes again after a failed one: cuts off whatever the log holds after
    /// the last synced record, so that the same records can be written again.
    pub fn recover(&mut self) -> Result<()> {
        let path = self.folder.join(LOG);
        self.log = open_log(&path)?;
        self.log.set_len(self.log_bytes).context(FileSnafu { path: &path })?;
        self.log.sync_all().context(FileSnafu { path: &path })?;
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
                    self.write_snapshot(snapshot)?;
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
        self.log.write_all(&buffer).context(FileSnafu { path: &path })?;
        self.log.sync_data().context(FileSnafu { path: &path })?;
        self.sequence += 1;
        self.log_bytes += buffer.len() as u64;
        Ok(())
    }

    /// Replaces the snapshot, then replaces the log by one without the entries that
    /// the snapshot covers. A crash between the two leaves covered entries in the
    /// log, which `open` skips.
    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        let bytes = checksummed::encode(snapshot)?;
        self.replace(SNAPSHOT, &bytes)?;
        self.snapshot_bytes = bytes.len() as u64;
        let kept = self.entries_after(snapshot)?;
        let buffer = self.encode(&[Item::HardState(self.hard), Item::Entries(kept)])?;
        self.replace(LOG, &buffer)?;
        self.log_bytes = buffer.len() as u64;
        self.sequence += 1;
        self.log = open_log(&self.folder.join(LOG))?;
        Ok(())
    }

    fn entries_after(&self, snapshot: &Snapshot) -> Result<Vec<Entry>> {
        let path = self.folder.join(LOG);
        let bytes = std::fs::read(&path).context(FileSnafu { path: &path })?;
        let mut recovered = RecoveredState::default();
        replay(&path, &bytes, &mut recovered)?;
        let covered = recovered.entries.iter().find(|e| e.index == snapshot.index);
        if covered.is_none_or(|e| e.term != snapshot.term) {
            return Ok(Vec::new());
        }
        recovered.entries.retain(|e| e.index > snapshot.index);
        Ok(recovered.entries)
    }

    fn replace(&self, name: &str, bytes: &[u8]) -> Result<()> {
        let new = self.folder.join(format!("{name}.new"));
        let path = self.folder.join(name);
        let mut file = File::create(&new).context(FileSnafu { path: &new })?;
        file.write_all(bytes).context(FileSnafu { path: &new })?;
        file.sync_all().context(FileSnafu { path: &new })?;
        std::fs::rename(&new, &path).context(FileSnafu { path })?;
        sync_folder(&self.folder)
    }
}

fn lock_folder(folder: &Path) -> Result<File> {
    let path = folder.join(LOCK);
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
    let file = file.context(FileSnafu { path: &path })?;
    match FileExt::try_lock_exclusive(&file) {
        Ok(true) => Ok(file),
        _ => LockedSnafu { path: folder }.fail(),
    }
}

/// Reads the folder's identity; creates a random one if the folder has no log.
fn read_or_create_identity(folder: &Path) -> Result<StoreId> {
    let path = folder.join(IDENTITY);
    match std::fs::read_to_string(&path) {
        Ok(text) => match u64::from_str_radix(text.trim(), 16) {
            Ok(id) => Ok(StoreId(id)),
            Err(_) => DamagedSnafu { path, offset: 0u64 }.fail(),
        },
        Err(_) if !folder.join(LOG).exists() => {
            let id = StoreId(rand::rng().random());
            let new = folder.join("identity.new");
            let mut file = File::create(&new).context(FileSnafu { path: &new })?;
            file.write_all(id.to_string().as_bytes()).context(FileSnafu { path: &new })?;
            file.sync_all().context(FileSnafu { path: &new })?;
            std::fs::rename(&new, &path).context(FileSnafu { path: &path })?;
            sync_folder(folder)?;
            Ok(id)
        }
        Err(source) => Err(source).context(FileSnafu { path }),
    }
}

fn open_log(path: &Path) -> Result<File> {
    let options = OpenOptions::new().create(true).read(true).append(true).open(path);
    options.context(FileSnafu { path })
}

fn sync_folder(folder: &Path) -> Result<()> {
    let opened = File::open(folder).context(FileSnafu { path: folder })?;
    opened.sync_all().context(FileSnafu { path: folder })
}

fn read_snapshot(path: &Path) -> Result<(Snapshot, u64)> {
    if !path.exists() {
        return Ok((Snapshot::default(), 0));
    }
    let bytes = std::fs::read(path).context(FileSnafu { path })?;
    match checksummed::decode(&bytes) {
        Some(snapshot) => Ok((snapshot, bytes.len() as u64)),
        None => DamagedSnafu { path, offset: 0u64 }.fail(),
    }
}

struct Replayed {
    length: u64,
    sequence: u64,
}

fn replay(path: &Path, bytes: &[u8], recovered: &mut RecoveredState) -> Result<Replayed> {
    let mut at = 0;
    let mut sequence = 0;
    while at < bytes.len() {
        let Some(parsed) = record::decode(&bytes[at..]) else {
            // With a snapshot in place, the first record of the log had been synced.
            let was_synced = at == 0 && recovered.snapshot.index > 0;
            if was_synced || record::has_later(&bytes[at..], sequence) {
                return DamagedSnafu { path, offset: at as u64 }.fail();
            }
            recovered.cut_bytes = (bytes.len() - at) as u64;
            break;
        };
        sequence = parsed.sequence;
        at += parsed.size;
        for item in parsed.items {
            match item {
                Item::HardState(hard) => recovered.hard = hard,
                Item::Entries(entries) => apply_entries(recovered, entries),
            }
        }
    }
    Ok(Replayed { length: at as u64, sequence })
}

fn apply_entries(recovered: &mut RecoveredState, entries: Vec<Entry>) {
    let Some(first) = entries.first().map(|e| e.index) else {
        return;
    };
    recovered.entries.retain(|e| e.index < first);
    let covered_index = recovered.snapshot.index;
    recovered.entries.extend(entries.into_iter().filter(|e| e.index > covered_index));
}
