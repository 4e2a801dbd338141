//! Chooses the engine that prefills each request's prompt, and refuses requests that no engine can
//! start in time.
//!
//! Prefill ("reading" a prompt) is the scarcest capacity of engines. Each engine is therefore
//! modelled by the prompts that it has still to read and by the prompt parts that it keeps in its
//! cache. A request goes to the engine with the earliest expected first event, counting the parts
//! cached there. It waits in the placer's model of that engine's queue, ordered by latest start. A
//! request that cannot meet its objective on any engine is refused at once, with the time after
//! which a retry would meet it. Customers above their fair share are admitted only while little is
//! queued, which leaves capacity for the others. One placer decides for all routers that reach it;
//! see `docs/DISPATCH.md`.

mod candidates;
mod choice;
mod client;
mod cold_limiter;
mod copy;
mod engine;
mod engines;
mod hall_breakers;
mod hall_regions;
mod local;
mod message;
mod parts;
mod pauses;
mod placer;
mod queue;
mod rate;
mod records;
mod refusal;
mod rests;
mod router_requests;
mod rules;
mod server;
mod service_rates;
mod shares;
#[cfg(test)]
mod tests;
mod timing;
mod unanswered;

pub use client::{PlacementClient, PlacementOutcome, Reservation};
pub use engines::EngineInfo;
pub use hall_regions::HallRegions;
pub use local::LocalPlacer;
pub use message::{
    Completion, FromPlacer, KeptParts, OpenRequest, PlacementRequest, PromptParts, Refusal,
    RestReport, RouterSnapshot, ToPlacer,
};
pub use placer::{Decision, Placer};
pub use records::EndpointStartRef;
pub use rules::PlacementRules;
pub use server::{PlacerHandle, serve};
