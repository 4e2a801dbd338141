//! Server-sent events of a model's stream.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// The data of the event that ends a stream.
pub const DONE: &str = "[DONE]";
/// The longest event an endpoint may send, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

/// One event with its bytes as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// All of it, the blank line included.
    pub raw: Bytes,
    /// Its data.
    pub data: String,
}

/// An event that is too long or is not text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadEvent;

impl Splitter {
    /// Adds bytes received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, if there is one.
    pub fn next(&mut self) -> Result<Option<Event>, BadEvent> {
        let Some((end, gap)) = self.boundary() else {
            return match self.buffer.len() > MAX_EVENT {
                true => Err(BadEvent),
                false => Ok(None),
            };
        };
        let raw = self.buffer.split_to(end + gap).freeze();
        let text = std::str::from_utf8(&raw[..end]).map_err(|_| BadEvent)?;
        let lines = text.lines().filter_map(|l| l.strip_prefix("data:"));
        let data: Vec<_> = lines.map(|l| l.strip_prefix(' ').unwrap_or(l)).collect();
        let data = data.join("\n");
        Ok(Some(Event { raw, data }))
    }

    fn boundary(&self) -> Option<(usize, usize)> {
        let lf = find(&self.buffer, b"\n\n").map(|at| (at, 2));
        let crlf = find(&self.buffer, b"\r\n\r\n").map(|at| (at, 4));
        match (lf, crlf) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|w| w == needle)
}

/// Tokens counted by the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Generated so far.
    #[serde(default)]
    pub completion_tokens: u32,
}

/// What a router reads of a chunk or of a whole completion.
#[derive(Clone, Debug, Deserialize)]
pub struct Chunk {
    /// The request that the engine answers.
    #[serde(default)]
    pub id: Option<String>,
    /// Tokens so far, where the engine says so.
    #[serde(default)]
    pub usage: Option<Usage>,
}
