//! Who is served next, and where.
//!
//! Each service has one [`Dispatcher`] among the routers in reach of each
//! other. Routers keep requests and connections; only small wants travel to the
//! dispatcher and grants travel back. The dispatcher keeps a virtual counter of
//! service for each customer and serves the backlogged customer with the least.
//! Both sides are state machines without I/O, clock or randomness; see
//! `docs/DISPATCH.md` for what was weighed.

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
    Decision, Dispatcher, ORPHAN_MS, RECOVERY_MS, STALL_RESET_MS, Snapshot, Waited,
};

/// Longest time that a report may wait for others to share its frame, in
/// milliseconds.
pub const MAX_REPORT_DELAY_MS: Millis = 25;
/// A report waits at most this part of the time that requests take.
pub const REPORT_DELAY_DIVISOR: u32 = 32;

/// Longest time that a grant which queues at its endpoint may wait for others to
/// share its frame, in milliseconds.
pub const MAX_GRANT_DELAY_MS: Millis = 50;
/// Such a grant waits at most this part of the time that requests take.
pub const GRANT_DELAY_DIVISOR: u32 = 16;

/// Milliseconds on the process's monotonic clock.
pub type Millis = u64;
