//! The version of the protocol between processes, so that messages of an incompatible
//! release are rejected instead of being misread.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};

/// The protocol version of this release. It is incremented with every change of a message.
/// It stays above the numbers with which unversioned messages start, so that such messages
/// are recognized.
pub const PROTOCOL: u8 = 0x87;

/// The byte that follows the protocol version in datagrams about streams. Heartbeats have their
/// variant there, with a lower number, so that a host of a release without such datagrams drops
/// them as malformed.
const STREAM_DATAGRAM: u8 = 0x40;

/// Encodes a datagram about streams.
pub fn encode_stream_datagram<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    postcard::to_stdvec(&(PROTOCOL, STREAM_DATAGRAM, value))
        .map_err(|source| Error::Frame { source })
}

/// The encoded value of a datagram about streams; `None` for any other datagram.
pub fn stream_datagram(bytes: &[u8]) -> Option<&[u8]> {
    match bytes {
        [PROTOCOL, STREAM_DATAGRAM, value @ ..] => Some(value),
        _ => None,
    }
}

/// Encodes the protocol version, one byte, followed by `value`: the form of datagrams and of
/// the first frame of a connection.
pub fn encode_versioned<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    postcard::to_stdvec(&(PROTOCOL, value)).map_err(|source| Error::Frame { source })
}

/// Decodes a value that follows the protocol version. Fails with
/// [`Error::ProtocolMismatch`] if the version is not [`PROTOCOL`].
pub fn decode_versioned<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    match bytes.split_first() {
        Some((&PROTOCOL, value)) => {
            postcard::from_bytes(value).map_err(|source| Error::Frame { source })
        }
        Some((&theirs, _)) => Err(Error::ProtocolMismatch { theirs, ours: PROTOCOL }),
        None => Err(Error::Frame { source: postcard::Error::DeserializeUnexpectedEnd }),
    }
}
