//! The files of a data folder.

use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Result, Write};
use std::path::{Path, PathBuf};

use fs4::fs_std::FileExt;
use snafu::ResultExt;

use crate::error::{FileSnafu, LockedSnafu};

const LOCK: &str = "lock";

/// Operations on the files of one folder, by name.
pub(super) trait Files: std::fmt::Debug + Send {
    /// The content of a file; none if there is no such file.
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>>;
    /// Creates a file with this content, or replaces that of an existing one, and syncs it.
    fn create(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// Appends to a file, which is created if there is none.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// Sets the length of a file in bytes.
    fn truncate(&mut self, name: &str, length: u64) -> Result<()>;
    /// Syncs what was appended to a file, and its length.
    fn sync(&mut self, name: &str) -> Result<()>;
    /// Renames a file and replaces the one that has the new name.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;
    /// Syncs the names of the files.
    fn sync_folder(&mut self) -> Result<()>;
}

/// A folder of the operating system, locked against other processes.
#[derive(Debug)]
pub(super) struct Folder {
    path: PathBuf,
    _lock: File,
    /// The file last appended to, and its name.
    appending: Option<(String, File)>,
}

impl Folder {
    /// Creates the folder if there is none, and locks it.
    pub fn open(path: &Path) -> crate::error::Result<Folder> {
        std::fs::create_dir_all(path).context(FileSnafu { path })?;
        let lock = path.join(LOCK);
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(&lock);
        let file = file.context(FileSnafu { path: &lock })?;
        match FileExt::try_lock_exclusive(&file) {
            Ok(true) => Ok(Folder { path: path.to_path_buf(), _lock: file, appending: None }),
            _ => LockedSnafu { path }.fail(),
        }
    }

    /// The file `name`, open for appending.
    fn appending(&mut self, name: &str) -> Result<&mut File> {
        if self.appending.as_ref().is_none_or(|(open, _)| open != name) {
            let file = OpenOptions::new().create(true).append(true).open(self.path.join(name))?;
            self.appending = Some((name.to_string(), file));
        }
        self.appending.as_mut().map(|(_, file)| file).ok_or(ErrorKind::NotFound.into())
    }
}

impl Files for Folder {
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>> {
        match std::fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn create(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let mut file = File::create(self.path.join(name))?;
        file.write_all(bytes)?;
        file.sync_all()
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.appending(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        // After a failed write the file is opened again.
        self.appending = None;
        self.appending(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.appending(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.appending.take_if(|(open, _)| open == from || open == to);
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync_folder(&mut self) -> Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
