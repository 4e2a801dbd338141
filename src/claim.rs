//! Claims on the idempotency keys of calls that must not run twice, and how those calls ended.
//!
//! A router claims the customer's idempotency key before it sends the first byte of
//! such a call to an endpoint. The table is part of the replicated state of the control
//! hosts, so a claim survives the loss of its router and of single control hosts.

mod client;
mod table;
#[cfg(test)]
mod tests;

pub use client::ClaimClient;
pub use table::{
    ANSWER_RETENTION_MS, Attempt, CLAIM_RETENTION_MS, Claim, ClaimDecision, ClaimTable,
    MAX_RECORDED_ANSWER_BYTES, RecordedAnswer, Settlement, fingerprint,
};
