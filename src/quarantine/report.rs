//! Reports of crashes that routers send to the leader.

use serde::{Deserialize, Serialize};

use super::profile::RequestProfile;
use super::suspect::Suspect;
use crate::registry::EndpointStart;

/// A router's observations. A router may send the same observation several times.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The observations, in the order in which they were made.
    pub observations: Vec<Observation>,
}

/// One observation of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// How long ago it was made, in milliseconds.
    pub ago_ms: u32,
    /// The event that was observed.
    pub event: ObservedEvent,
}

/// An event that is evidence for or against a suspect crashing endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObservedEvent {
    /// An endpoint ended a request's answer early.
    Lost {
        /// The start of the endpoint that ran the request.
        endpoint: EndpointStart,
        /// The request, without attributes that were served lately.
        request: RequestProfile,
        /// Milliseconds for which the request had run at the endpoint.
        ran_ms: u32,
    },
    /// An endpoint answered a request that was sent to it after it had ended other answers early,
    /// so it did not crash.
    Alive(EndpointStart),
    /// A request was served completely, or one with each of these attributes was.
    Served(Suspect),
}
