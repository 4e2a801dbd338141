//! Whole files with a checksum, so that a torn or damaged one is noticed.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

#[derive(Debug, Serialize, Deserialize)]
struct Checksummed {
    checksum: u32,
    content: Vec<u8>,
}

/// The bytes of a file that holds `content`.
pub fn encode<T: Serialize + ?Sized>(content: &T) -> Result<Vec<u8>> {
    let content = postcard::to_stdvec(content).map_err(|source| Error::Frame { source })?;
    let checksummed = Checksummed { checksum: crc32fast::hash(&content), content };
    postcard::to_stdvec(&checksummed).map_err(|source| Error::Frame { source })
}

/// What a file holds; none where it is damaged.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let checksummed: Checksummed = postcard::from_bytes(bytes).ok()?;
    let is_whole = crc32fast::hash(&checksummed.content) == checksummed.checksum;
    is_whole.then(|| postcard::from_bytes(&checksummed.content).ok())?
}
