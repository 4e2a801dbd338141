//! Endpoints that broke something off a moment ago and may have crashed.

use std::collections::HashMap;

use crate::dispatch::Millis;
use crate::registry::EndpointStart;

/// Milliseconds after which an endpoint that has not been heard since is not listened for
/// any more: the blame for its crash was found long before.
const LISTENED_MS: Millis = 10_000;

#[derive(Clone, Copy, Debug)]
struct Doubt {
    started_at_ms: u64,
    lost_at: Millis,
}

/// Endpoints of which a sign of life is listened for.
#[derive(Clone, Debug, Default)]
pub(super) struct Doubts {
    endpoints: HashMap<String, Doubt>,
}

impl Doubts {
    /// An endpoint broke off an answer.
    pub fn note(&mut self, now: Millis, endpoint: &EndpointStart) {
        let doubt = Doubt { started_at_ms: endpoint.started_at_ms, lost_at: now };
        self.endpoints.insert(endpoint.id.clone(), doubt);
    }

    /// An endpoint was there at `alive_at`; whether it was in doubt.
    pub fn refute(&mut self, now: Millis, id: &str, started_at_ms: u64, alive_at: Millis) -> bool {
        self.endpoints.retain(|_, doubt| now < doubt.lost_at + LISTENED_MS);
        let is_refuted = self
            .endpoints
            .get(id)
            .is_some_and(|doubt| doubt.started_at_ms == started_at_ms && doubt.lost_at < alive_at);
        if is_refuted {
            self.endpoints.remove(id);
        }
        is_refuted
    }

    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}
