//! Endpoints on the disk of a control host, for the time after a restart.
//!
//! Endpoints say what they are every second or so. A control host that has lost
//! its memory would know them one after the other; from its disk it knows at once
//! whom it knew before. Nothing depends on the file: it may be missing, old or
//! damaged, and what it names is believed for a moment only.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use super::{EndpointState, Registration, SharedRegistry};
use crate::error::{FileSnafu, Result};
use crate::store::sealed;
use snafu::ResultExt;

/// Name of the file in the data folder.
const FILE: &str = "endpoints";
/// Begins what this release writes, and rises with every change of a registration. A list
/// without it begins with a count in at most ten bytes, which these ten cannot be.
const FORMAT: [u8; 10] = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x82];
/// How long to wait for further changes before the file is written.
const SETTLE: Duration = Duration::from_millis(250);

/// Reads the endpoints that took work when the file was written.
pub fn load(folder: &Path) -> Vec<Registration> {
    let path = folder.join(FILE);
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Vec::new(),
        Err(error) => {
            log::warn!("registry: saved endpoints cannot be read: {error}");
            return Vec::new();
        }
    };
    match sealed::open(&bytes) {
        Some((FORMAT, endpoints)) => endpoints,
        _ => {
            let size = bytes.len();
            log::warn!(
                "registry: saved endpoints are damaged or another release's, {size} bytes passed over"
            );
            Vec::new()
        }
    }
}

/// Writes the endpoints that take work, in place of those written before.
pub fn save(folder: &Path, endpoints: &[Registration]) -> Result<()> {
    let path = folder.join(FILE);
    let new = folder.join(format!("{FILE}.new"));
    let bytes = sealed::seal(&(FORMAT, endpoints))?;
    let mut file = File::create(&new).context(FileSnafu { path: &new })?;
    file.write_all(&bytes).context(FileSnafu { path: &new })?;
    file.sync_all().context(FileSnafu { path: &new })?;
    std::fs::rename(&new, &path).context(FileSnafu { path: &path })
}

/// Writes the file whenever the endpoints that take work have changed.
pub async fn keep_saved(registry: Arc<SharedRegistry>, folder: PathBuf) {
    let mut changes = registry.watch();
    while changes.changed().await.is_ok() {
        tokio::time::sleep(SETTLE).await;
        changes.mark_unchanged();
        let ready = |r: &&Registration| r.state == EndpointState::Ready;
        let endpoints: Vec<_> = registry.read(|r| r.all().filter(ready).cloned().collect());
        let folder = folder.clone();
        // A slow disk holds up nothing but this.
        let written = tokio::task::spawn_blocking(move || save(&folder, &endpoints)).await;
        match written {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::warn!("registry: endpoints cannot be saved: {error}"),
            Err(error) => log::error!("registry: saving endpoints ended early: {error}"),
        }
    }
}
