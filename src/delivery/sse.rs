//! The events of a model's stream.

use bytes::Bytes;
use serde::Deserialize;

use crate::answer::HeldBytes;
use crate::answer::events::{EventSplitter, MAX_EVENT_BYTES, field, lines};

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// Splits a byte stream into parsed events.
#[derive(Debug, Default)]
pub struct Splitter {
    splitter: EventSplitter,
    /// What is buffered, if that is bounded together with other answers.
    held: Option<HeldBytes>,
}

/// One event, parsed and as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes received, including the blank line that ends the event.
    pub raw: Bytes,
    /// The contents of its `data` lines, joined by line feeds.
    pub data: String,
}

/// An event that is too long, or for which there is no memory, or that is not valid UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadEvent;

impl Splitter {
    /// A splitter that reports an event as too long when it does not fit into what is held.
    pub fn within(held: HeldBytes) -> Splitter {
        Splitter { held: Some(held), ..Splitter::default() }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.splitter.push(bytes);
    }

    /// Returns the next complete event, if there is one.
    pub fn next(&mut self) -> Result<Option<Event>, BadEvent> {
        match self.splitter.take_event() {
            Some(raw) => Event::parse(raw).map(Some),
            None if self.is_too_long() => Err(BadEvent),
            None => Ok(None),
        }
    }

    fn is_too_long(&self) -> bool {
        let bytes = self.splitter.buffered();
        bytes > MAX_EVENT_BYTES || self.held.as_ref().is_some_and(|held| !held.try_set(bytes))
    }
}

impl Event {
    fn parse(raw: Bytes) -> Result<Event, BadEvent> {
        let data = lines(&raw).filter_map(|line| field(line, "data"));
        let data = data.map(std::str::from_utf8).collect::<Result<Vec<_>, _>>();
        let data = data.map_err(|_| BadEvent)?.join("\n");
        Ok(Event { raw, data })
    }
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
