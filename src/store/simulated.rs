//! A simulated disk that loses power, refuses writes, or whose process is killed, at any
//! operation.

use std::collections::BTreeMap;
use std::io::{Error, Result};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::files::Files;
use super::{Disk, RecoveredState};

/// A change of a file's content that is not synced.
#[derive(Clone, Debug)]
enum Write {
    Append { at: usize, bytes: Vec<u8> },
    SetLength(usize),
}

impl Write {
    fn apply(&self, content: &mut Vec<u8>) {
        match self {
            Write::Append { at, bytes } => {
                content.resize(content.len().max(at + bytes.len()), 0);
                content[*at..at + bytes.len()].copy_from_slice(bytes);
            }
            Write::SetLength(length) => content.resize(*length, 0),
        }
    }

    /// What a loss of power leaves of it.
    fn torn(self, rng: &mut SmallRng) -> Option<Write> {
        match (rng.random_range(0..3), self) {
            (0, _) => None,
            (1, Write::Append { at, mut bytes }) => {
                let damaged = rng.random_range(0..=bytes.len());
                match rng.random_bool(0.5) {
                    true => bytes.truncate(damaged),
                    false => bytes[..damaged].fill(0),
                }
                Some(Write::Append { at, bytes })
            }
            (_, whole) => Some(whole),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Content {
    synced: Vec<u8>,
    unsynced: Vec<Write>,
}

impl Content {
    fn read(&self) -> Vec<u8> {
        let mut content = self.synced.clone();
        self.unsynced.iter().for_each(|w| w.apply(&mut content));
        content
    }
}

/// A change of the folder's names that is not synced.
#[derive(Clone, Debug)]
enum Renaming {
    Created(String, usize),
    Renamed { from: String, to: String, file: usize },
}

impl Renaming {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            Renaming::Created(name, file) => {
                names.insert(name.clone(), *file);
            }
            Renaming::Renamed { from, to, file } => {
                names.retain(|name, held| name != from || held != file);
                names.insert(to.clone(), *file);
            }
        }
    }
}

#[derive(Debug)]
struct Inner {
    files: Vec<Content>,
    synced_names: BTreeMap<String, usize>,
    unsynced_names: Vec<Renaming>,
    /// Number of the process that has the folder open.
    process: u64,
    /// Operations up to and including the first that fails; 0 once it has.
    until_failure: Option<u64>,
    rng: SmallRng,
}

impl Inner {
    fn names(&self) -> BTreeMap<String, usize> {
        let mut names = self.synced_names.clone();
        self.unsynced_names.iter().for_each(|n| n.apply(&mut names));
        names
    }

    fn find_or_create(&mut self, name: &str) -> usize {
        if let Some(file) = self.names().get(name) {
            return *file;
        }
        self.files.push(Content::default());
        let file = self.files.len() - 1;
        self.unsynced_names.push(Renaming::Created(name.to_string(), file));
        file
    }

    fn write(&mut self, file: usize, write: Write) {
        self.files[file].unsynced.push(write);
    }

    fn append(&mut self, name: &str, bytes: &[u8]) {
        let file = self.find_or_create(name);
        let at = self.files[file].read().len();
        if !bytes.is_empty() {
            self.write(file, Write::Append { at, bytes: bytes.to_vec() });
        }
    }

    fn sync(&mut self, name: &str) {
        let file = self.find_or_create(name);
        self.files[file] = Content { synced: self.files[file].read(), unsynced: Vec::new() };
        // A new file survives with its name once it is synced.
        let is_new = |n: &Renaming| matches!(n, Renaming::Created(_, new) if *new == file);
        if let Some(at) = self.unsynced_names.iter().position(is_new) {
            self.unsynced_names.remove(at).apply(&mut self.synced_names);
        }
    }
}

/// A simulated disk, which outlives the processes that open it.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedDisk(Arc<Mutex<Inner>>);

impl SimulatedDisk {
    /// An empty disk, with a seed for what remains after a loss of power.
    pub fn new(seed: u64) -> SimulatedDisk {
        SimulatedDisk(Arc::new(Mutex::new(Inner {
            files: Vec::new(),
            synced_names: BTreeMap::new(),
            unsynced_names: Vec::new(),
            process: 0,
            until_failure: None,
            rng: SmallRng::seed_from_u64(seed),
        })))
    }

    /// Opens the data folder. Whatever has it open can no longer use it, as if its process
    /// had been killed.
    pub fn open(&self) -> crate::error::Result<(Disk, RecoveredState)> {
        self.kill();
        let process = self.lock().process;
        let files = Process { disk: self.clone(), process };
        Disk::open_files(Path::new("/simulated"), Box::new(files))
    }

    /// Makes the operation with this number, counted from now, and all after it fail.
    pub fn fail_after(&self, operations: u64) {
        self.lock().until_failure = Some(operations);
    }

    /// Ends the failure of operations.
    pub fn end_failure(&self) {
        self.lock().until_failure = None;
    }

    /// Opens the data folder in a process whose disk fails after `operations`.
    pub fn open_and_fail_after(&self, operations: u64) {
        self.kill();
        let process = self.lock().process;
        self.fail_after(operations);
        let files = Process { disk: self.clone(), process };
        // The result is of no use: the process ends right after.
        drop(Disk::open_files(Path::new("/simulated"), Box::new(files)));
    }

    /// Kills the process that has the folder open; the files stay as they are.
    pub fn kill(&self) {
        let mut inner = self.lock();
        inner.process += 1;
        inner.until_failure = None;
    }

    /// Loses power: unsynced writes are present, missing or torn, and unsynced names are kept
    /// or lost, each on its own.
    pub fn lose_power(&self) {
        self.kill();
        let inner = &mut *self.lock();
        let none_remain = inner.rng.random_bool(0.3);
        for file in &mut inner.files {
            for write in std::mem::take(&mut file.unsynced) {
                if let Some(write) = write.torn(&mut inner.rng).filter(|_| !none_remain) {
                    write.apply(&mut file.synced);
                }
            }
        }
        for renaming in std::mem::take(&mut inner.unsynced_names) {
            if inner.rng.random_bool(0.5) {
                renaming.apply(&mut inner.synced_names);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no operation panics")
    }
}

/// The disk as one process has it open.
#[derive(Debug)]
struct Process {
    disk: SimulatedDisk,
    process: u64,
}

impl Process {
    /// Carries out an operation, unless it is to fail or the process was killed. An operation
    /// that fails may have been carried out.
    fn carry_out(&self, operation: impl FnOnce(&mut Inner)) -> Result<()> {
        let mut inner = self.disk.lock();
        if inner.process != self.process {
            return Err(Error::other("the process was killed"));
        }
        match inner.until_failure {
            Some(0) => return Err(Error::other("the disk has failed")),
            Some(1) => {
                inner.until_failure = Some(0);
                if inner.rng.random_bool(0.5) {
                    operation(&mut inner);
                }
                return Err(Error::other("the disk fails"));
            }
            Some(left) => inner.until_failure = Some(left - 1),
            None => {}
        }
        operation(&mut inner);
        Ok(())
    }
}

impl Files for Process {
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>> {
        let inner = self.disk.lock();
        Ok(inner.names().get(name).map(|file| inner.files[*file].read()))
    }

    fn create(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.carry_out(|inner| {
            let file = inner.find_or_create(name);
            inner.write(file, Write::SetLength(0));
        })?;
        self.carry_out(|inner| inner.append(name, bytes))?;
        self.sync(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.carry_out(|inner| inner.append(name, bytes))
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        self.carry_out(|inner| {
            let file = inner.find_or_create(name);
            inner.write(file, Write::SetLength(length as usize));
        })
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.carry_out(|inner| inner.sync(name))
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.carry_out(|inner| {
            if let Some(file) = inner.names().get(from).copied() {
                let (from, to) = (from.to_string(), to.to_string());
                inner.unsynced_names.push(Renaming::Renamed { from, to, file });
            }
        })
    }

    fn sync_folder(&mut self) -> Result<()> {
        self.carry_out(|inner| {
            inner.synced_names = inner.names();
            inner.unsynced_names.clear();
        })
    }
}
