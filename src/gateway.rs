//! The gateway: a router for opaque requests of any method, path and headers,
//! by the routes of the agreed document.
//!
//! A request is read whole, its route and customer are looked up, an endpoint is
//! chosen, and the answer is passed on as it comes. What an endpoint has not run
//! may be sent to another one; what it may have run only where that is allowed.

mod arrival;
mod budget;
mod callers;
mod connections;
mod destination;
mod endpoints;
mod events;
mod exchange;
mod handover;
mod header_names;
mod leaving;
mod losses;
mod nearby;
mod neighbours;
mod notices;
mod observation;
mod overload;
mod refusal;
mod request;
mod rollouts;
mod server;
mod start_checks;
mod state;
mod stream;
#[cfg(test)]
mod tests;

pub use budget::{BudgetRules, RetryBudgets};
pub use endpoints::{ColdLimit, EndpointTracker, Failure, Preference};
pub use events::EventSplitter;
pub use header_names::{AnswerHead, Forwarding, HeaderNames, PromptPart, RequestHead};
pub use neighbours::Neighbours;
pub use overload::{Overload, OverloadRules};
pub use server::run;
pub use state::Gateway;
