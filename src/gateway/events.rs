//! Cutting a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Bytes of an event that has no end; longer ones are passed on as they are.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// A splitter for a stream that is taken up after an event.
    pub fn after(last_id: Option<String>) -> EventSplitter {
        EventSplitter { partial: BytesMut::new(), last_id }
    }

    /// Takes bytes in; gives out all events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        // An end may lie across the border of two pieces.
        let searched = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let whole = match last_end(&self.partial, searched) {
            Some(end) => self.partial.split_to(end).freeze(),
            None if self.partial.len() > MAX_EVENT_BYTES => self.partial.split().freeze(),
            None => return Bytes::new(),
        };
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// The stream has ended: what is left, which is no whole event.
    pub fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// The stream broke off: drops the event that is not whole.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Where the last whole event ends.
fn last_end(bytes: &[u8], from: usize) -> Option<usize> {
    let newlines = bytes[from..].windows(2).rposition(|pair| pair == b"\n\n");
    let returns = bytes[from..].windows(4).rposition(|four| four == b"\r\n\r\n");
    let newlines = newlines.map(|at| from + at + 2);
    let returns = returns.map(|at| from + at + 4);
    newlines.max(returns)
}

/// The last `id` field of some events.
fn last_event_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim().to_string())
}
