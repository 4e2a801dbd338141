//! Which engine reads a prompt, and whether it can do so in time.
//!
//! Reading prompts is what engines have least of, so each engine is modelled by
//! the prompts that it has still to read and by the prompt parts that it keeps.
//! A request goes where its first event comes first, counting what is kept
//! there, and waits in order of its latest start until the engine is about to run
//! dry; one that cannot make its objective anywhere is refused at once, with the
//! time at which it could. Customers above their fair share leave room for
//! the others. One placer decides for all routers that reach it; see
//! `docs/DISPATCH.md`.

mod choice;
mod client;
mod copy;
mod distance;
mod engine;
mod engines;
mod knowledge;
mod local;
mod message;
mod parts;
mod pauses;
mod placer;
mod queue;
mod rate;
mod rests;
mod rules;
mod server;
mod shares;
#[cfg(test)]
mod tests;
mod timing;
mod unanswered;
mod warmth;

pub use client::{PlacementClient, PlacementOutcome, Reservation};
pub use distance::Distances;
pub use engines::EngineInfo;
pub use knowledge::EndpointStartRef;
pub use local::LocalPlacer;
pub use message::{
    Completion, FromPlacer, KeptParts, Knowledge, OpenRequest, PlacementRequest, PromptParts,
    Refusal, RestTold, ToPlacer,
};
pub use placer::{Decision, Placer};
pub use rules::PlacementRules;
pub use server::{PlacerHandle, serve};
