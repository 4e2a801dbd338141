//! Records of the log file.
//!
//! Layout: length (4 bytes), checksum (4), sequence number (8), payload; numbers are
//! big-endian. Each sync writes one record. So a damaged record that is followed by a
//! later one had been synced, while a damaged last record may be an incomplete write
//! on which nothing depends yet.

use serde::{Deserialize, Serialize};

use crate::agree::{Entry, HardState};

pub(super) const HEADER_BYTES: usize = 16;

/// One item of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Item {
    HardState(HardState),
    Entries(Vec<Entry>),
}

/// Encodes `items` as one record.
pub(super) fn encode(items: &[Item], sequence: u64) -> Result<Vec<u8>, postcard::Error> {
    let payload = postcard::to_stdvec(items)?;
    let mut buffer = Vec::with_capacity(HEADER_BYTES + payload.len());
    buffer.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    buffer.extend_from_slice(&checksum(sequence, &payload).to_be_bytes());
    buffer.extend_from_slice(&sequence.to_be_bytes());
    buffer.extend_from_slice(&payload);
    Ok(buffer)
}

fn checksum(sequence: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&sequence.to_be_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// A record that was read from the log file.
pub(super) struct DecodedRecord {
    pub items: Vec<Item>,
    pub sequence: u64,
    pub size: usize,
}

/// Decodes the record at the start of `bytes`; `None` if it is incomplete or damaged.
pub(super) fn decode(bytes: &[u8]) -> Option<DecodedRecord> {
    let word = |at: usize| bytes.get(at..at + 4)?.try_into().ok().map(u32::from_be_bytes);
    let length = word(0)? as usize;
    let expected = word(4)?;
    let sequence = u64::from_be_bytes(bytes.get(8..HEADER_BYTES)?.try_into().ok()?);
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES.checked_add(length)?)?;
    if checksum(sequence, payload) != expected {
        return None;
    }
    let items = postcard::from_bytes(payload).ok()?;
    let size = HEADER_BYTES + length;
    Some(DecodedRecord { items, sequence, size })
}

/// Whether an intact record numbered higher than `sequence` starts anywhere after the first
/// of `bytes`.
pub(super) fn has_later(bytes: &[u8], sequence: u64) -> bool {
    let mut starts = 1..bytes.len().saturating_sub(HEADER_BYTES);
    starts.any(|at| decode(&bytes[at..]).is_some_and(|p| p.sequence > sequence))
}
