//! Passing on a stream event by event, so that another endpoint can resume it.

use bytes::Bytes;

use super::header_names::event_id_value;
use crate::answer::events::{EventSplitter, MAX_EVENT_BYTES, field, lines};

/// A stream that is passed on event by event.
#[derive(Debug, Default)]
pub struct ResumableEvents {
    splitter: EventSplitter,
    last_id: Option<String>,
    /// Whether a part of the current event was returned, because the event is too long.
    is_split: bool,
}

impl ResumableEvents {
    /// A stream that is resumed after the event `last_id`.
    pub fn after(last_id: Option<String>) -> ResumableEvents {
        ResumableEvents { last_id, ..ResumableEvents::default() }
    }

    /// Adds bytes; returns all events that are complete by now, or everything if an event is too
    /// long to be held back.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.splitter.push(bytes);
        let events = self.splitter.take_events();
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(id);
        }
        if !events.is_empty() {
            self.is_split = false;
            return events;
        }
        if self.splitter.buffered() <= MAX_EVENT_BYTES {
            return events;
        }
        self.is_split = true;
        self.splitter.take_all()
    }

    /// Whether what was returned so far ends between two events, so that another endpoint can
    /// resume the stream there, and the last one can be named to it.
    pub fn can_resume(&self) -> bool {
        !self.is_split && self.last_id().is_none_or(|id| event_id_value(id).is_some())
    }

    /// Drops the incomplete event of an endpoint that broke the stream off.
    pub fn discard_partial(&mut self) {
        self.splitter = EventSplitter::default();
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// The last id among complete events.
fn last_event_id(events: &[u8]) -> Option<String> {
    let id = lines(events).rev().find_map(|line| field(line, "id"))?;
    std::str::from_utf8(id).ok().map(str::to_string)
}
