//! Replicated log of the control hosts (Raft), as a state machine without I/O,
//! clock or global randomness.
//!
//! Additions to basic Raft:
//! - Pre-vote and check-quorum: a leader that loses contact with a quorum steps down
//!   instead of accepting proposals, and a store that was cut off does not force an
//!   election when it is back.
//! - A replica's identity belongs to its data folder, not to its host: a host that
//!   lost its disk cannot vote again in a term in which it has already voted.
//! - Membership changes one store at a time, and a new store is a learner until it
//!   has caught up.
//!
//! See `docs/CONFIGURATION.md`.

mod log;
mod message;
mod replica;
#[cfg(test)]
mod tests;

pub use message::*;
pub use replica::{
    Departure, HEARTBEAT_MS, MIN_ELECTION_TIMEOUT_MS, NotLeader, Output, Persist, Replica, Role,
    Status,
};
