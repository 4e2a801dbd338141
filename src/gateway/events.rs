//! Splitting a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Bytes of an incomplete event above which they are forwarded as they are.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// A splitter for a stream that is resumed after the event `last_id`.
    pub fn after(last_id: Option<String>) -> EventSplitter {
        EventSplitter { partial: BytesMut::new(), last_id }
    }

    /// Adds bytes; returns all events that are complete by now.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        // The end of an event may be split between two pieces.
        let search_from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let complete = match last_end(&self.partial, search_from) {
            Some(end) => self.partial.split_to(end).freeze(),
            None if self.partial.len() > MAX_EVENT_BYTES => self.partial.split().freeze(),
            None => return Bytes::new(),
        };
        if let Some(id) = last_event_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// The bytes left at the end of the stream, which are no complete event.
    pub fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Drops the incomplete event of a truncated stream.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// The offset after the last complete event.
fn last_end(bytes: &[u8], from: usize) -> Option<usize> {
    let lf = bytes[from..].windows(2).rposition(|pair| pair == b"\n\n");
    let crlf = bytes[from..].windows(4).rposition(|four| four == b"\r\n\r\n");
    let lf = lf.map(|at| from + at + 2);
    let crlf = crlf.map(|at| from + at + 4);
    lf.max(crlf)
}

/// The last `id` field of some events.
fn last_event_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim().to_string())
}
