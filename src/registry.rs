//! Endpoints that register themselves with control hosts.
//!
//! What is known of an endpoint merges without agreement. Of two starts under one id the
//! later one counts; within a start sequence numbers rise and the state only goes
//! forward (ready, leaving, gone). So every process may learn from every other, in any
//! order.

mod halls;
mod known;
mod retired;
pub mod saved;
mod shared;
mod start;
mod table;
#[cfg(test)]
mod tests;

pub use halls::DrainedHalls;
pub use retired::{RetiredReleases, Retirement};
pub use shared::SharedRegistry;
pub use start::EndpointStart;
pub use table::{Changes, EndpointState, Origin, Registration, Registry, Scope};
