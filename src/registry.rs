//! Endpoints that register themselves with control hosts.
//!
//! What is known of an endpoint merges without agreement: its sequence numbers
//! rise, its state only goes forward (ready, leaving, gone), and an id never
//! comes back. So every process may learn from every other, in any order.

mod halls;
pub mod saved;
mod shared;
mod table;
#[cfg(test)]
mod tests;

pub use halls::DrainedHalls;
pub use shared::SharedRegistry;
pub use table::{Changes, EndpointState, Hearing, Registration, Registry, Scope};
