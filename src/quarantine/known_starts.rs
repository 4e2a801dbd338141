//! Follows which starts of endpoints are known.

use std::collections::HashMap;

use crate::registry::{EndpointStart, EndpointState, Registration};

/// A step in an endpoint's life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartEvent {
    /// This start is the latest that is known.
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

/// The starts that are known, as a registry tells them.
#[derive(Clone, Debug, Default)]
pub struct KnownStarts {
    starts: HashMap<String, u64>,
}

impl KnownStarts {
    /// What is new by changes of a registry, which are told in their order.
    pub fn apply_changes(&mut self, changes: &[Registration]) -> Vec<StartEvent> {
        let mut news = Vec::new();
        for endpoint in changes {
            if endpoint.state == EndpointState::Gone {
                if self.starts.remove(&endpoint.id).is_some() {
                    news.push(StartEvent::Gone(endpoint.id.clone()));
                }
                continue;
            }
            let before = self.starts.insert(endpoint.id.clone(), endpoint.started_at_ms);
            if before != Some(endpoint.started_at_ms) {
                news.push(StartEvent::Started(EndpointStart::of(endpoint)));
            }
        }
        news
    }
}
