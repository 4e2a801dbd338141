//! Endpoints that recently ended an answer early and may have crashed.

use std::collections::HashMap;

use crate::dispatch::Millis;
use crate::registry::EndpointStart;

/// Milliseconds for which an endpoint stays suspected after a loss: by then its crash has long
/// been analysed.
const SUSPECTED_MS: Millis = 10_000;

#[derive(Clone, Copy, Debug)]
struct Suspect {
    started_at_ms: u64,
    lost_at: Millis,
}

/// Suspected endpoints by id. An answer from one of them shows that it did not crash.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectedEndpoints {
    endpoints: HashMap<String, Suspect>,
}

impl SuspectedEndpoints {
    /// Records that an endpoint ended an answer early.
    pub fn record_loss(&mut self, now: Millis, endpoint: &EndpointStart) {
        let suspect = Suspect { started_at_ms: endpoint.started_at_ms, lost_at: now };
        self.endpoints.insert(endpoint.id.clone(), suspect);
    }

    /// Records that a start of an endpoint was alive at `alive_at`. Returns whether it had been
    /// suspected because of an earlier loss.
    pub fn record_alive(
        &mut self,
        now: Millis,
        id: &str,
        started_at_ms: u64,
        alive_at: Millis,
    ) -> bool {
        self.endpoints.retain(|_, suspect| now < suspect.lost_at + SUSPECTED_MS);
        let is_refuted = self.endpoints.get(id).is_some_and(|suspect| {
            suspect.started_at_ms == started_at_ms && suspect.lost_at < alive_at
        });
        if is_refuted {
            self.endpoints.remove(id);
        }
        is_refuted
    }

    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}
