//! Passing on a stream event by event, so that another endpoint can resume it.

use std::sync::Arc;

use bytes::Bytes;

use super::header_names::event_id_value;
use crate::answer::events::{EventSplitter, MAX_EVENT_BYTES, field, lines};
use crate::answer::{AnswerMemory, HeldBytes};

/// A stream that is passed on event by event.
#[derive(Debug, Default)]
pub struct ResumableEvents {
    splitter: EventSplitter,
    last_id: Option<String>,
    /// Whether a part of the current event was returned, because the event is too long.
    is_split: bool,
    /// What is held back, if that is bounded together with other answers.
    held: Option<HeldBytes>,
}

impl ResumableEvents {
    /// A stream that is resumed after the event `last_id`.
    pub fn after(last_id: Option<String>) -> ResumableEvents {
        ResumableEvents { last_id, ..ResumableEvents::default() }
    }

    /// Bounds what is held back: an event is passed on in parts when `memory` is full.
    pub fn within(self, memory: &Arc<AnswerMemory>) -> ResumableEvents {
        ResumableEvents { held: Some(memory.hold()), ..self }
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
        }
        if self.may_hold_back() {
            return events;
        }
        self.is_split = true;
        let rest = self.splitter.take_all();
        self.may_hold_back();
        match events.is_empty() {
            true => rest,
            false => [events, rest].concat().into(),
        }
    }

    /// Whether what was not returned may be held back.
    fn may_hold_back(&self) -> bool {
        let bytes = self.splitter.buffered();
        bytes <= MAX_EVENT_BYTES && self.held.as_ref().is_none_or(|held| held.try_set(bytes))
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
