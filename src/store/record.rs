//! Records of the log file.
//!
//! Each: length (4 bytes), checksum (4), number (8), payload. One sync writes one
//! record, so a damaged record followed by a later one was once safe on disk,
//! while one followed by nothing was never promised to anybody.

use serde::{Deserialize, Serialize};

use crate::agree::{Entry, HardState};

pub(super) const HEADER: usize = 16;

/// One item of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Item {
    HardState(HardState),
    Entries(Vec<Entry>),
}

/// A record's bytes.
pub(super) fn encode(items: &[Item], sync: u64) -> Result<Vec<u8>, postcard::Error> {
    let payload = postcard::to_stdvec(items)?;
    let mut buffer = Vec::with_capacity(HEADER + payload.len());
    buffer.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    buffer.extend_from_slice(&checksum(sync, &payload).to_be_bytes());
    buffer.extend_from_slice(&sync.to_be_bytes());
    buffer.extend_from_slice(&payload);
    Ok(buffer)
}

fn checksum(sync: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&sync.to_be_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// A record found in the file.
pub(super) struct Parsed {
    pub items: Vec<Item>,
    pub sync: u64,
    pub size: usize,
}

/// The record at the start of `bytes`, if it is whole.
pub(super) fn decode(bytes: &[u8]) -> Option<Parsed> {
    let word = |at: usize| bytes.get(at..at + 4)?.try_into().ok().map(u32::from_be_bytes);
    let length = word(0)? as usize;
    let expected = word(4)?;
    let sync = u64::from_be_bytes(bytes.get(8..HEADER)?.try_into().ok()?);
    let payload = bytes.get(HEADER..HEADER.checked_add(length)?)?;
    if checksum(sync, payload) != expected {
        return None;
    }
    let items = postcard::from_bytes(payload).ok()?;
    let size = HEADER + length;
    Some(Parsed { items, sync, size })
}

/// Whether a whole record stands anywhere behind the start of `bytes`.
pub(super) fn has_later(bytes: &[u8], sync: u64) -> bool {
    let mut starts = 1..bytes.len().saturating_sub(HEADER);
    starts.any(|at| decode(&bytes[at..]).is_some_and(|p| p.sync > sync))
}
