//! Calls that may not be repeated: who claimed which, and how it ended.
//!
//! Before the first byte of such a call leaves for an endpoint, its router
//! claims the customer's idempotency key. The table is part of the state that
//! control hosts agree on, so a claim outlives routers and single control hosts.

mod client;
mod table;
#[cfg(test)]
mod tests;

pub use client::ClaimClient;
pub use table::{
    ANSWER_RETENTION_MS, Attempt, CLAIM_RETENTION_MS, Claim, ClaimOutcome, ClaimTable,
    MAX_RECORDED_ANSWER_BYTES, RecordedAnswer, Settlement, fingerprint,
};
