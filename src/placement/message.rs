//! Messages between routers and a placer.

use serde::{Deserialize, Serialize};

use crate::eligibility::Eligibility;

/// Ids and lengths in tokens of a prompt's parts, in order.
pub type PromptParts = Vec<(u64, u32)>;

/// A request for an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Number of the request, unique within the router's session.
    pub seq: u64,
    /// The service.
    pub service: String,
    /// The customer; empty if customers are not distinguished.
    pub customer: String,
    /// The prompt's parts.
    pub parts: PromptParts,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum output length in tokens.
    pub output_tokens: u32,
    /// Milliseconds from now within which its first event must arrive.
    pub objective_ms: u32,
    /// Longest allowed pause between events in milliseconds; 0 for no limit.
    pub pause_objective_ms: u32,
    /// The data hall of the router.
    pub hall: String,
    /// Endpoints that may run it.
    pub eligibility: Eligibility,
    /// Ids of endpoints that it must not be sent to.
    pub avoid: Vec<String>,
    /// Whether its customer's demand was already recorded by an earlier attempt with other
    /// endpoints.
    pub demand_recorded: bool,
    /// Whether the router prefers to retry with other endpoints over queueing where no engine has
    /// room.
    pub has_alternative: bool,
}

/// How a placed request completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Completion {
    /// The endpoint answered it.
    Served,
    /// The endpoint could not be reached, failed, or its answer ended early.
    Failed,
    /// Another endpoint answers at its address; this one no longer exists.
    Replaced,
    /// The caller left, or the request was sent to another endpoint.
    Abandoned,
}

/// A placed request that has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// Number of the request, unique within one run of the router's process.
    pub seq: u64,
    /// The id of the endpoint that it was placed at.
    pub endpoint: String,
    /// When that endpoint's process started, in milliseconds since the epoch.
    pub started_at_ms: u64,
    /// The prompt's parts.
    pub parts: PromptParts,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum output length in tokens.
    pub output_tokens: u32,
    /// Longest allowed pause between events in milliseconds; 0 for no limit.
    pub pause_objective_ms: u32,
    /// Whether its first event has arrived.
    pub first_event_seen: bool,
}

/// Leading prompt parts that an endpoint has read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptParts {
    /// The endpoint's id.
    pub endpoint: String,
    /// When its process started, in milliseconds since the epoch; a later start keeps none of the
    /// parts.
    pub started_at_ms: u64,
    /// The parts.
    pub parts: PromptParts,
}

/// A rest that an engine requested from a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestReport {
    /// The endpoint's id.
    pub endpoint: String,
    /// When its process started, in milliseconds since the epoch; the rest does not apply to a
    /// later start.
    pub started_at_ms: u64,
    /// Milliseconds left of the rest.
    pub time_ms: u32,
}

/// The state that a router sends to a placer about placements decided by others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterSnapshot {
    /// Its requests that have not ended.
    pub open: Vec<OpenRequest>,
    /// Prompt parts that endpoints have read, the most recently used last.
    pub kept: Vec<KeptParts>,
    /// Engines whose requested rests have not ended.
    pub rests: Vec<RestReport>,
}

/// A message from a router to a placer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToPlacer {
    /// State left by earlier placements; sent before the first request.
    Snapshot(RouterSnapshot),
    /// An engine requested a rest from the router.
    Rest(RestReport),
    /// A request needs an engine.
    Place(PlacementRequest),
    /// The first event of a placed request arrived.
    FirstEvent {
        /// The request's number.
        seq: u64,
    },
    /// A placed request has ended.
    Done {
        /// The request's number.
        seq: u64,
        /// How it completed.
        completion: Completion,
    },
}

/// Why a request cannot meet its objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Milliseconds after which a retry would meet it.
    pub retry_after_ms: u32,
    /// Milliseconds of prompts to read first at the best engine.
    pub backlog_ms: u32,
    /// Longest time in milliseconds that the request may wait for them.
    pub allowed_ms: u32,
    /// Milliseconds to read its own prompt there.
    pub own_ms: u32,
    /// Its customer's received service divided by its share, in hundredths.
    pub share_percent: u32,
}

/// A message from a placer to a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromPlacer {
    /// The request goes to this endpoint.
    Go {
        /// The request's number.
        seq: u64,
        /// The endpoint's id.
        endpoint: String,
        /// When the endpoint's process started according to the placer, in milliseconds since the
        /// epoch.
        started_at_ms: u64,
        /// The id of an endpoint from which it should copy prompt parts.
        copy_from: Option<String>,
    },
    /// The request cannot meet its objective.
    Refuse {
        /// The request's number.
        seq: u64,
        /// The retry delay and the values that it is based on.
        refusal: Refusal,
    },
    /// The placer has no engine of the service.
    Unknown {
        /// The request's number.
        seq: u64,
    },
}

impl FromPlacer {
    /// The number of the request that the message answers.
    pub fn seq(&self) -> u64 {
        match self {
            FromPlacer::Go { seq, .. }
            | FromPlacer::Refuse { seq, .. }
            | FromPlacer::Unknown { seq } => *seq,
        }
    }
}
