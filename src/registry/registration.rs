//! What endpoints report of themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// State of an endpoint. The variants are in the order in which an endpoint passes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndpointState {
    /// It accepts new requests.
    Ready,
    /// It finishes its running requests and takes no new ones.
    Leaving,
    /// It has ended.
    Gone,
}

/// An endpoint's report on itself, sent with each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Its id, which stays the same when it starts again: see `started_at_ms`.
    pub id: String,
    /// Time of its start, in milliseconds since the epoch; 0 if not reported. The higher of
    /// two is the later start, which keeps no state of the earlier one.
    pub started_at_ms: u64,
    /// The service that it belongs to.
    pub service: String,
    /// The release of its software; empty if not reported.
    pub version: String,
    /// The address on which it listens; none if only its end is known.
    pub address: Option<SocketAddr>,
    /// Its data hall.
    pub hall: String,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Its state.
    pub state: EndpointState,
    /// Milliseconds for which it is still warming up after its start.
    pub warmup_ms: u64,
    /// Rises with each of its heartbeats.
    pub sequence: u64,
    /// How often this start was recorded as ended and then found to be still running, as an
    /// end does not name its start, or was found to run other software. The higher of two is the
    /// later update. Only the registry sets it.
    pub revivals: u32,
}

impl Registration {
    /// The end of an endpoint, without its other fields.
    pub fn gone(id: &str) -> Registration {
        Registration {
            id: id.to_string(),
            started_at_ms: 0,
            service: String::new(),
            version: String::new(),
            address: None,
            hall: String::new(),
            slots: 0,
            state: EndpointState::Gone,
            warmup_ms: 0,
            sequence: 0,
            revivals: 0,
        }
    }

    /// Whether the change from `before` to this must be sent to other processes.
    pub(super) fn differs_from(&self, before: &Registration) -> bool {
        let of = |r: &Registration| {
            (r.started_at_ms, r.revivals, r.state, r.address, r.slots, r.warmup_ms > 0)
        };
        let is_colder = self.warmup_ms > before.warmup_ms;
        let is_elsewhere = self.service != before.service || self.hall != before.hall;
        let is_other = is_elsewhere || self.version != before.version;
        of(self) != of(before) || is_other || is_colder
    }
}

/// Source of an update of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The endpoint sent it to this process.
    Direct,
    /// Another process forwarded it.
    Relayed,
}
