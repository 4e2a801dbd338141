//! Parser for the server-sent events of a model's stream.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";
/// Maximum length of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

/// One event, parsed and as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes received, including the blank line that ends the event.
    pub raw: Bytes,
    /// The contents of its `data:` lines, joined by line feeds.
    pub data: String,
}

/// An event that is too long or is not valid UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadEvent;

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if there is one.
    pub fn next(&mut self) -> Result<Option<Event>, BadEvent> {
        let Some((end, separator_len)) = self.boundary() else {
            return match self.buffer.len() > MAX_EVENT_BYTES {
                true => Err(BadEvent),
                false => Ok(None),
            };
        };
        let raw = self.buffer.split_to(end + separator_len).freeze();
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

/// Token counts reported by the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Number of tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Number of tokens generated so far.
    #[serde(default)]
    pub completion_tokens: u32,
}

/// The fields that are read from a chunk or a complete completion.
#[derive(Clone, Debug, Deserialize)]
pub struct Chunk {
    /// Id of the request that the engine answers.
    #[serde(default)]
    pub id: Option<String>,
    /// Token counts so far, if the engine reports them.
    #[serde(default)]
    pub usage: Option<Usage>,
}
