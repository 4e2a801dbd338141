//! Agreement among control hosts: a replicated log with leader, terms and
//! majority commit, as a state machine without I/O, clock or global randomness.
//!
//! Beyond the textbook: pre-vote and check-quorum, so that a leader cut off in
//! silence neither accepts nor disturbs; identities that belong to the disk, so
//! that a host back without its disk cannot vote as if it still had it; and
//! membership changed one store at a time, with a newcomer counted only once it
//! has caught up. See `docs/CONFIGURATION.md`.

mod log;
mod message;
mod replica;
#[cfg(test)]
mod tests;

pub use message::*;
pub use replica::{
    HEARTBEAT_MS, MIN_ELECTION_TIMEOUT_MS, NotLeader, Output, Persist, Replica, Role, Status,
};
