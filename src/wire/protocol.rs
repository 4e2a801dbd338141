//! The version of what processes say to each other, so that a release that speaks
//! otherwise is told apart and never misread.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};

/// What this release speaks. It rises with every change of a message, and stays above
/// the numbers with which messages themselves begin.
pub const PROTOCOL: u8 = 0x85;

/// A value behind the version, as datagrams and the first frame of a connection carry it.
pub fn encode_versioned<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    postcard::to_stdvec(&(PROTOCOL, value)).map_err(|source| Error::Frame { source })
}

/// The value behind the version, if it is this release's.
pub fn decode_versioned<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    match bytes.split_first() {
        Some((&PROTOCOL, value)) => {
            postcard::from_bytes(value).map_err(|source| Error::Frame { source })
        }
        Some((&theirs, _)) => Err(Error::ProtocolMismatch { theirs, ours: PROTOCOL }),
        None => Err(Error::Frame { source: postcard::Error::DeserializeUnexpectedEnd }),
    }
}
