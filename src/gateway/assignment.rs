//! A request while it is at an endpoint.

use std::sync::Arc;

use super::observation::ReleaseObservation;
use super::state::Gateway;
use crate::placement::{Completion, Reservation};
use crate::registry::Registration;

/// A request assigned to an endpoint, counted there until dropped.
pub(super) struct Assignment {
    gateway: Arc<Gateway>,
    /// The endpoint's id.
    pub endpoint: String,
    /// The start of the endpoint that it was sent to, in milliseconds since the epoch.
    pub started_at_ms: u64,
    prompt_tokens: u32,
    has_begun: bool,
    reservation: Option<Reservation>,
    /// What it shows about the endpoint's release.
    pub observation: ReleaseObservation,
}

impl Assignment {
    pub fn new(
        gateway: &Arc<Gateway>,
        endpoint: &Registration,
        prompt_tokens: u32,
        reservation: Option<Reservation>,
        observation: ReleaseObservation,
    ) -> Assignment {
        let now = gateway.now();
        let (endpoint, started_at_ms) = (endpoint.id.clone(), endpoint.started_at_ms);
        gateway.with_endpoints(|e| e.record_sent(now, &endpoint, started_at_ms, prompt_tokens));
        let gateway = gateway.clone();
        Assignment {
            gateway,
            endpoint,
            started_at_ms,
            prompt_tokens,
            has_begun: false,
            reservation,
            observation,
        }
    }

    /// Records the first part of the answer.
    pub fn record_first_event(&mut self) {
        if !std::mem::replace(&mut self.has_begun, true) {
            let tokens = self.prompt_tokens;
            self.gateway.with_endpoints(|e| {
                e.record_first_event(&self.endpoint, self.started_at_ms, tokens)
            });
            self.observation.record_answered();
            if let Some(reservation) = &mut self.reservation {
                reservation.record_first_event();
            }
        }
    }

    /// The address of the engine from which cached prompt parts can be copied.
    pub fn copy_from(&self) -> Option<std::net::SocketAddr> {
        let source = self.reservation.as_ref()?.copy_from.as_deref()?;
        self.gateway.registry.read(|registry| registry.get(source)?.address)
    }

    /// Records how the request ended.
    pub fn set_completion(&mut self, completion: Completion) {
        if let Some(reservation) = &mut self.reservation {
            reservation.set_completion(completion);
        }
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        let tokens = if self.has_begun { 0 } else { self.prompt_tokens };
        self.gateway
            .with_endpoints(|e| e.record_first_event(&self.endpoint, self.started_at_ms, tokens));
        self.gateway.with_endpoints(|e| e.record_end(&self.endpoint, self.started_at_ms));
    }
}
