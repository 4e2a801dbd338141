//! What a router tells the leader of crashes.

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::registry::EndpointStart;

/// What a router saw. It may tell the same several times.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// What it saw, in order.
    pub observations: Vec<Observation>,
}

/// One thing that a router saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Milliseconds ago.
    pub ago_ms: u32,
    /// What it was.
    pub event: ObservedEvent,
}

/// What bears on whether a request crashes endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObservedEvent {
    /// An endpoint broke off a request's answer.
    Lost {
        /// Where.
        endpoint: EndpointStart,
        /// The request.
        fingerprint: Fingerprint,
        /// Milliseconds for which the request had been there.
        ran_ms: u32,
    },
    /// An endpoint answered a request that was sent to it after it had broken others off:
    /// it did not crash.
    Alive(EndpointStart),
    /// A request was served whole.
    Served(Fingerprint),
}
