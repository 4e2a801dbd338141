//! Files that are written at once, with a checksum that detects incomplete or damaged ones.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

#[derive(Debug, Serialize, Deserialize)]
struct Checksummed {
    checksum: u32,
    content: Vec<u8>,
}

/// Encodes `content` as the bytes of a file.
pub fn encode<T: Serialize + ?Sized>(content: &T) -> Result<Vec<u8>> {
    let content = postcard::to_stdvec(content).map_err(|source| Error::Frame { source })?;
    let checksummed = Checksummed { checksum: crc32fast::hash(&content), content };
    postcard::to_stdvec(&checksummed).map_err(|source| Error::Frame { source })
}

/// Decodes the bytes of a file; `None` if they are damaged.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let checksummed: Checksummed = postcard::from_bytes(bytes).ok()?;
    let is_intact = crc32fast::hash(&checksummed.content) == checksummed.checksum;
    is_intact.then(|| postcard::from_bytes(&checksummed.content).ok())?
}
