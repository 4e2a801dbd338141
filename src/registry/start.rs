//! One start of an endpoint.

use serde::{Deserialize, Serialize};

use super::Registration;
use crate::notice::StartAddress;

/// One start of an endpoint: it may start again under the same id, and then keeps no state
/// from before.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointStart {
    /// The endpoint's id.
    pub id: String,
    /// Time of the start, in milliseconds since the epoch; 0 if unknown.
    pub started_at_ms: u64,
}

impl EndpointStart {
    /// The start that a registration belongs to.
    pub fn of(endpoint: &Registration) -> EndpointStart {
        EndpointStart { id: endpoint.id.clone(), started_at_ms: endpoint.started_at_ms }
    }
}

impl From<StartAddress<'_>> for EndpointStart {
    fn from(start: StartAddress<'_>) -> EndpointStart {
        EndpointStart { id: start.id.to_string(), started_at_ms: start.started_at_ms }
    }
}
