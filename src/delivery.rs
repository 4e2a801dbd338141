//! Calls to endpoints, and the outcomes that are reported to callers.
//!
//! The result of an attempt is a value. A call is reported as not run only with proof: no byte of
//! it was sent, or the endpoint itself answered that it did not run it.

mod attempt;
mod budget;
mod client;
pub mod header;
mod outcome;
pub(crate) mod sse;
#[cfg(test)]
mod tests;

pub(crate) use attempt::strip_hop_headers;
pub use attempt::{Answer, Attempt, AttemptReport, Call, EndpointClient};
pub use budget::RetryBudget;
pub use client::HttpClient;
pub use outcome::{NotRunReason, Outcome, UnknownReason};
