//! Recent decisions by request, from admission to answer.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, PoisonError};

use crate::clock::epoch_ms;
use crate::wire::HostId;

/// Maximum number of requests whose steps a process keeps.
const MAX_REQUESTS: usize = 20_000;
/// Maximum number of steps kept for one request.
const MAX_STEPS: usize = 64;

/// Number of a request, unique in the fleet: router, its incarnation, sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId {
    /// The router that received it.
    pub router: HostId,
    /// That router's incarnation.
    pub incarnation: u64,
    /// Its sequence number on that router.
    pub seq: u64,
}

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}-{:x}-{}", self.router, self.incarnation, self.seq)
    }
}

impl std::str::FromStr for RequestId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let invalid = || format!("'{text}' is not a request number such as 3-19a2b3c4d5-17");
        let mut parts = text.split('-');
        let (Some(router), Some(incarnation), Some(seq), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(invalid());
        };
        Ok(RequestId {
            router: HostId(router.parse().map_err(|_| invalid())?),
            incarnation: u64::from_str_radix(incarnation, 16).map_err(|_| invalid())?,
            seq: seq.parse().map_err(|_| invalid())?,
        })
    }
}

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// When, in milliseconds since the epoch.
    pub at_ms: u64,
    /// The part of the router that decided, such as `dispatch`.
    pub part: &'static str,
    /// What was decided, and why.
    pub text: String,
}

#[derive(Debug, Default)]
struct Requests {
    steps: BTreeMap<RequestId, Vec<Step>>,
    order: VecDeque<RequestId>,
}

/// The decisions of one process about recent requests.
#[derive(Debug, Default)]
pub struct Trace(Mutex<Requests>);

impl Trace {
    /// Logs a decision and records it.
    pub fn decide(&self, id: RequestId, part: &'static str, text: String) {
        log::info!("{part}: request {id} {text}");
        let mut requests = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !requests.steps.contains_key(&id) {
            requests.order.push_back(id);
        }
        let steps = requests.steps.entry(id).or_default();
        if steps.len() < MAX_STEPS {
            let at_ms = epoch_ms();
            steps.push(Step { at_ms, part, text });
        }
        while requests.order.len() > MAX_REQUESTS {
            if let Some(oldest) = requests.order.pop_front() {
                requests.steps.remove(&oldest);
            }
        }
    }

    /// The recorded decisions about a request.
    pub fn explain(&self, id: RequestId) -> Vec<Step> {
        let requests = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        requests.steps.get(&id).cloned().unwrap_or_default()
    }
}
