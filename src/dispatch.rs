//! Fair scheduling: which customer's request runs next, and on which endpoint.
//!
//! Each service has one [`Dispatcher`] among the routers that can reach each
//! other. Routers keep requests and connections; only small grant requests travel
//! to the dispatcher, and grants travel back. The dispatcher keeps a virtual counter
//! of service for each customer and serves the backlogged customer with the lowest.
//! Both sides are state machines without I/O, clock or randomness; see
//! `docs/DISPATCH.md` for the design decisions.

mod account;
mod capacity;
mod client;
mod dispatcher;
mod estimate;
#[cfg(test)]
mod tests;

pub use account::VIRTUAL_SCALE;
pub use capacity::{Capacity, EndpointLoad};
pub use client::{Client, Received, Submitted};
pub use dispatcher::{
    Decision, Dispatcher, ORPHAN_MS, QueueWait, RECOVERY_MS, STALL_RESET_MS, Snapshot,
};

/// Maximum time that a report may wait for others to share its frame, in
/// milliseconds.
pub const MAX_REPORT_DELAY_MS: Millis = 25;
/// A report waits at most the mean request duration divided by this.
pub const REPORT_DELAY_DIVISOR: u32 = 32;

/// Maximum time that a grant which queues at its endpoint may wait for others to
/// share its frame, in milliseconds.
pub const MAX_GRANT_DELAY_MS: Millis = 50;
/// Such a grant waits at most the mean request duration divided by this.
pub const GRANT_DELAY_DIVISOR: u32 = 16;

/// Milliseconds on the process's monotonic clock.
pub type Millis = u64;
