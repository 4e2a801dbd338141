//! Endpoints saved on the disk of a control host, for use after a restart.
//!
//! Endpoints register every second or so. A control host that restarts without its
//! saved endpoints would get them one after the other; from its disk it has them
//! all at once. Nothing depends on the file: it may be missing, old or damaged, and
//! the endpoints in it count only for a short time.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use super::{EndpointState, Registration, SharedRegistry};
use crate::error::{FileSnafu, Result};
use crate::store::checksummed;
use snafu::ResultExt;

/// Name of the file in the data folder.
const FILE: &str = "endpoints";
/// First bytes of the file, which identify its format; raised with every change to the fields
/// of a registration. A file without them begins with a count of at most ten bytes, and these
/// ten are no valid count.
const FORMAT: [u8; 10] = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x82];
/// How long to wait for further changes before the file is written.
const WRITE_DELAY: Duration = Duration::from_millis(250);

/// Reads the endpoints that accepted requests when the file was written.
pub fn load(folder: &Path) -> Vec<Registration> {
    let path = folder.join(FILE);
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Vec::new(),
        Err(error) => {
            log::warn!("registry: cannot read saved endpoints: {error}");
            return Vec::new();
        }
    };
    match checksummed::decode(&bytes) {
        Some((FORMAT, endpoints)) => endpoints,
        _ => {
            let size = bytes.len();
            log::warn!(
                "registry: saved endpoints are damaged or of another release; ignored {size} bytes"
            );
            Vec::new()
        }
    }
}

/// Replaces the saved endpoints by these, which accept requests.
pub fn save(folder: &Path, endpoints: &[Registration]) -> Result<()> {
    let path = folder.join(FILE);
    let new = folder.join(format!("{FILE}.new"));
    let bytes = checksummed::encode(&(FORMAT, endpoints))?;
    let mut file = File::create(&new).context(FileSnafu { path: &new })?;
    file.write_all(&bytes).context(FileSnafu { path: &new })?;
    file.sync_all().context(FileSnafu { path: &new })?;
    std::fs::rename(&new, &path).context(FileSnafu { path: &path })
}

/// Writes the file whenever the endpoints that accept requests have changed.
pub async fn keep_saved(registry: Arc<SharedRegistry>, folder: PathBuf) {
    let mut changes = registry.watch();
    while changes.changed().await.is_ok() {
        tokio::time::sleep(WRITE_DELAY).await;
        changes.mark_unchanged();
        let ready = |r: &&Registration| r.state == EndpointState::Ready;
        let endpoints: Vec<_> = registry.read(|r| r.all().filter(ready).cloned().collect());
        let folder = folder.clone();
        // A slow disk delays only this task.
        let written = tokio::task::spawn_blocking(move || save(&folder, &endpoints)).await;
        match written {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::warn!("registry: cannot save endpoints: {error}"),
            Err(error) => log::error!("registry: saving endpoints ended early: {error}"),
        }
    }
}
