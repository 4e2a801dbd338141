//! Endpoints that register themselves with control hosts.
//!
//! Updates of an endpoint merge without agreement between hosts. Of two starts under one id
//! the later one counts; within a start, sequence numbers rise and the state only moves
//! forward (ready, leaving, gone). So processes may receive updates from each other in any
//! order.

mod continuation;
mod halls;
mod ready_index;
mod record;
mod registration;
mod replaced_releases;
mod retirement;
pub mod saved;
mod shared;
mod start;
mod table;
#[cfg(test)]
mod tests;

pub use halls::DrainedHalls;
pub use registration::{EndpointState, Origin, Registration};
pub use retirement::{RetiredReleases, Retirement};
pub use shared::SharedRegistry;
pub use start::EndpointStart;
pub use table::{Changes, Registry, Scope};
