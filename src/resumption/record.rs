//! The record of a stream, and the messages by which routers store and find it.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// Maximum total length of the texts in a record that is sent to other routers, in bytes.
const MAX_TEXT_BYTES: usize = 1_024;

/// Identifies a stream by the attempt that began it and the customer that made the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey([u8; 16]);

impl StreamKey {
    /// The key of the stream that `attempt`, an id chosen by the caller, began.
    pub fn of(customer: Option<&str>, attempt: &str) -> StreamKey {
        let customer = customer.unwrap_or_default();
        let mut text = Vec::with_capacity(8 + customer.len() + attempt.len());
        text.extend_from_slice(&(customer.len() as u64).to_be_bytes());
        text.extend_from_slice(customer.as_bytes());
        text.extend_from_slice(attempt.as_bytes());
        StreamKey(xxh3_128(&text).to_be_bytes())
    }

    /// The part of the key by which routers are ranked.
    pub(super) fn seed(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_be_bytes([a, b, c, d, e, f, g, h])
    }
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The service.
    pub service: Box<str>,
    /// The version of the endpoint's software; empty if endpoints report none.
    pub version: Box<str>,
    /// The endpoint's id.
    pub endpoint: Box<str>,
    /// How certain it is that the endpoint ran this version.
    pub certainty: Certainty,
}

/// How certain it was, when a stream began, that its endpoint ran the version that it was
/// registered with: its software may have been replaced since its last registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Certainty {
    /// Its software may have been replaced, or news of that may have been missing.
    Doubtful,
    /// Nothing spoke against it.
    Presumed,
    /// It had registered since its software last started.
    Confirmed,
}

impl StreamRecord {
    /// Whether a stream of the other record may go on where this one began.
    pub fn fits(&self, other: &StreamRecord) -> bool {
        self.service == other.service && self.version == other.version
    }

    /// Whether it is short enough to be sent to other routers.
    pub fn is_storable(&self) -> bool {
        self.service.len() + self.version.len() + self.endpoint.len() <= MAX_TEXT_BYTES
    }
}

/// The last time at which an endpoint truncated a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamLoss {
    /// The endpoint's id.
    pub endpoint: Box<str>,
    /// Milliseconds since then. Ages are sent, since clocks of hosts differ.
    pub age_ms: u64,
}

/// What is known of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownStream {
    /// Where it began.
    pub record: StreamRecord,
    /// Milliseconds since it began.
    pub age_ms: u64,
    /// Where it was truncated last, if it was.
    pub loss: Option<StreamLoss>,
}

impl KnownStream {
    /// What is known of the stream, `ms` milliseconds later.
    pub fn aged(&self, ms: u64) -> KnownStream {
        let loss = self.loss.as_ref();
        KnownStream {
            record: self.record.clone(),
            age_ms: self.age_ms + ms,
            loss: loss.map(|loss| StreamLoss { age_ms: loss.age_ms + ms, ..loss.clone() }),
        }
    }
}

/// A datagram from one router to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordMessage {
    /// Requests to keep a record.
    Store {
        /// Number of the request at its sender, repeated in the answer.
        number: u32,
        /// The stream.
        key: StreamKey,
        /// What is known of it.
        stream: KnownStream,
    },
    /// The record is kept.
    Stored {
        /// Number of the request.
        number: u32,
    },
    /// Requests what is known of a stream.
    Find {
        /// Number of the request at its sender, repeated in the answer.
        number: u32,
        /// The stream.
        key: StreamKey,
    },
    /// What is known of a stream; `None` if nothing is.
    Found {
        /// Number of the request.
        number: u32,
        /// What is known of the stream.
        stream: Option<KnownStream>,
    },
}
