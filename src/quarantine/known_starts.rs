//! Follows which starts of endpoints are known.

use std::collections::HashMap;

use crate::registry::{EndpointStart, EndpointState, Registry, Scope};

/// A step in an endpoint's life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartNews {
    /// This start is the latest that is known.
    Started(EndpointStart),
    /// The endpoint is gone.
    Gone(String),
}

/// The starts that are known, as a registry tells them.
#[derive(Clone, Debug, Default)]
pub struct KnownStarts {
    seen: u64,
    starts: HashMap<String, u64>,
}

impl KnownStarts {
    /// What is new since this was asked last.
    pub fn news(&mut self, registry: &Registry) -> Vec<StartNews> {
        let changes = registry.changes_after(self.seen, usize::MAX, Scope::All);
        self.seen = changes.upto;
        let mut news = Vec::new();
        for endpoint in &changes.endpoints {
            if endpoint.state == EndpointState::Gone {
                if self.starts.remove(&endpoint.id).is_some() {
                    news.push(StartNews::Gone(endpoint.id.clone()));
                }
                continue;
            }
            let before = self.starts.insert(endpoint.id.clone(), endpoint.started_at_ms);
            if before != Some(endpoint.started_at_ms) {
                news.push(StartNews::Started(EndpointStart::of(endpoint)));
            }
        }
        news
    }
}
