//! Messages between routers and a placer.

use serde::{Deserialize, Serialize};

use crate::eligibility::Eligibility;

/// Ids and lengths of a prompt's parts, in order, in tokens.
pub type PromptParts = Vec<(u64, u32)>;

/// A request that wants an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Number of the request, unique within the router's session.
    pub seq: u64,
    /// The service.
    pub service: String,
    /// Whose it is; empty where customers are not told apart.
    pub customer: String,
    /// The prompt's parts.
    pub parts: PromptParts,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Most tokens of output.
    pub output_tokens: u32,
    /// Milliseconds in which its first event is in time, from now on.
    pub objective_ms: u32,
    /// Longest pause between events that is in time, in milliseconds; 0 for none.
    pub pause_objective_ms: u32,
    /// The data hall of the router that asks.
    pub hall: String,
    /// Endpoints that it may go to.
    pub eligibility: Eligibility,
    /// Endpoints that it must not go to.
    pub avoid: Vec<String>,
    /// Whether it was asked for a moment ago with other endpoints, and counts as asked.
    pub demand_recorded: bool,
    /// Whether it is rather asked for with other endpoints than queued where none has room.
    pub has_alternative: bool,
}

/// How a placed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Completion {
    /// The endpoint answered it.
    Served,
    /// The endpoint could not be reached, failed or broke off.
    Failed,
    /// Another endpoint answers at its address: it is gone for good.
    Replaced,
    /// Its caller left, or it was sent elsewhere.
    Abandoned,
}

/// A placed request that has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// Number of the request, unique within the router's life.
    pub seq: u64,
    /// Where it was placed.
    pub endpoint: String,
    /// The start of the endpoint that it was placed at.
    pub started_at_ms: u64,
    /// The prompt's parts.
    pub parts: PromptParts,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Most tokens of output.
    pub output_tokens: u32,
    /// Longest pause between events that is in time, in milliseconds; 0 for none.
    pub pause_objective_ms: u32,
    /// Whether its first event has come.
    pub begun: bool,
}

/// Leading prompt parts that an endpoint has read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptParts {
    /// The endpoint.
    pub endpoint: String,
    /// The start of the endpoint that read them; a later one keeps nothing of them.
    pub started_at_ms: u64,
    /// The parts.
    pub parts: PromptParts,
}

/// A rest that an engine asked a router for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestTold {
    /// The endpoint.
    pub endpoint: String,
    /// The start of the endpoint that asked; a later one asked nothing.
    pub started_at_ms: u64,
    /// Milliseconds that are left of it.
    pub time_ms: u32,
}

/// What a router knows from placements that others decided.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Knowledge {
    /// Its requests that have not ended.
    pub open: Vec<OpenRequest>,
    /// What endpoints read, used last at the end.
    pub kept: Vec<KeptParts>,
    /// Engines that it lets rest.
    pub rests: Vec<RestTold>,
}

/// What a router tells a placer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToPlacer {
    /// What earlier placements left, before the first request.
    Known(Knowledge),
    /// An engine asked the router for rest.
    Rest(RestTold),
    /// A request wants an engine.
    Place(PlacementRequest),
    /// The first event of a placed request came.
    Begun {
        /// The request's number.
        seq: u64,
    },
    /// A placed request has ended.
    Done {
        /// The request's number.
        seq: u64,
        /// How.
        completion: Completion,
    },
}

/// Why a request cannot be served in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Milliseconds after which another try would be in time.
    pub retry_after_ms: u32,
    /// Milliseconds of prompts to be read first at the best engine.
    pub backlog_ms: u32,
    /// Milliseconds of them that the request may wait for.
    pub allowed_ms: u32,
    /// Milliseconds to read its own prompt there.
    pub own_ms: u32,
    /// What its customer was served over its share, in hundredths.
    pub share_percent: u32,
}

/// What a placer tells a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromPlacer {
    /// The request goes to this endpoint.
    Go {
        /// The request's number.
        seq: u64,
        /// The endpoint's id.
        endpoint: String,
        /// When the endpoint started, as the placer knows it.
        started_at_ms: u64,
        /// The id of an endpoint from which it should copy prompt parts.
        copy_from: Option<String>,
    },
    /// It cannot be served in time.
    Refuse {
        /// The request's number.
        seq: u64,
        /// When to come back, and what decided it.
        refusal: Refusal,
    },
    /// No engine of the service is known here.
    Unknown {
        /// The request's number.
        seq: u64,
    },
}

impl FromPlacer {
    /// The number of the request that it is about.
    pub fn seq(&self) -> u64 {
        match self {
            FromPlacer::Go { seq, .. }
            | FromPlacer::Refuse { seq, .. }
            | FromPlacer::Unknown { seq } => *seq,
        }
    }
}
