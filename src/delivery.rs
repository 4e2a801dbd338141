//! Calls to endpoints, and what callers may be told about them.
//!
//! The result of an attempt is a value. "Not sent" needs proof: no byte of the
//! call left, or the endpoint says itself that it did not run it.

mod attempt;
mod budget;
mod client;
pub mod header;
mod outcome;
pub(crate) mod sse;
#[cfg(test)]
mod tests;

pub(crate) use attempt::pass_on;
pub use attempt::{Answer, Attempt, Attempted, Call, Caller, MAX_ANSWER};
pub use budget::RetryBudget;
pub use client::HttpClient;
pub use outcome::{NotRunReason, Outcome, UnknownReason};
