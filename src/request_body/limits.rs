//! Limits on what is held of callers' requests.

use serde::{Deserialize, Serialize};

use super::ledger::OVERHEAD_BYTES;
use crate::error::{Error, Result};

/// The part of the host's memory that requests hold by default.
const DEFAULT_PART_OF_MEMORY: usize = 4;
/// Memory of a host that does not tell how much it has, in bytes.
const UNKNOWN_MEMORY_BYTES: usize = 1 << 30;

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestLimits {
    /// Bytes of requests that the process holds at most; a quarter of the host's memory if `None`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub held_bytes: Option<usize>,
}

impl RequestLimits {
    /// Checks that a request can be held.
    pub fn check(&self) -> Result<()> {
        match self.held_bytes {
            Some(bytes) if bytes < OVERHEAD_BYTES => Err(Error::Invalid {
                field: "requests.held_bytes".to_string(),
                problem: "holds less than one request".to_string(),
                remedy: format!("give {OVERHEAD_BYTES} or more"),
            }),
            _ => Ok(()),
        }
    }

    /// Bytes of requests that the process holds at most.
    pub fn max_held_bytes(&self) -> usize {
        self.held_bytes.unwrap_or_else(|| host_memory_bytes() / DEFAULT_PART_OF_MEMORY)
    }
}

/// The memory of this host in bytes.
fn host_memory_bytes() -> usize {
    let told = std::fs::read_to_string("/proc/meminfo").ok();
    let bytes = told.as_deref().and_then(total_bytes);
    bytes.unwrap_or_else(|| {
        log::warn!("requests: the host does not tell its memory; set requests.held_bytes");
        UNKNOWN_MEMORY_BYTES
    })
}

/// Reads the total from the contents of `/proc/meminfo`.
pub(super) fn total_bytes(meminfo: &str) -> Option<usize> {
    let line = meminfo.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    kib.checked_mul(1_024)
}
