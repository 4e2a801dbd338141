//! Tracks the latest known start of each endpoint.

use std::collections::HashMap;

use crate::registry::{EndpointStart, EndpointState, Registration};

/// A change of the latest known start of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartEvent {
    /// This start became the latest known one.
    Started(EndpointStart),
    /// The endpoint is gone.
    Gone(String),
}

impl StartEvent {
    /// The endpoint's id.
    pub fn id(&self) -> &str {
        match self {
            StartEvent::Started(start) => &start.id,
            StartEvent::Gone(id) => id,
        }
    }
}

/// The latest known start of each endpoint, from the changes of a registry.
#[derive(Clone, Debug, Default)]
pub struct KnownStarts {
    starts: HashMap<String, u64>,
}

impl KnownStarts {
    /// Applies a registry's changes, which must be passed in order, and returns the events that
    /// follow from them.
    pub fn apply_changes(&mut self, changes: &[Registration]) -> Vec<StartEvent> {
        let mut events = Vec::new();
        for endpoint in changes {
            if endpoint.state == EndpointState::Gone {
                if self.starts.remove(&endpoint.id).is_some() {
                    events.push(StartEvent::Gone(endpoint.id.clone()));
                }
                continue;
            }
            let before = self.starts.insert(endpoint.id.clone(), endpoint.started_at_ms);
            if before != Some(endpoint.started_at_ms) {
                events.push(StartEvent::Started(EndpointStart::of(endpoint)));
            }
        }
        events
    }
}
