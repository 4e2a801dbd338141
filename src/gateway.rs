//! The gateway: a router that proxies HTTP requests of any method, path and headers
//! according to the routes of the agreed routing document.
//!
//! The gateway buffers a request, resolves its route and customer, chooses an endpoint and
//! streams the answer back. A request that an endpoint has not run may be retried on another;
//! one that may have run is retried only where its route allows that.

mod arrival;
mod assignment;
mod budget;
mod callers;
mod connections;
mod destination;
mod directory;
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
mod open_connections;
mod overload;
mod planned_stop;
mod records;
mod refusal;
mod relayed_head;
mod request;
mod resumption;
mod rollouts;
mod server;
mod start_checks;
mod state;
mod stream;
mod stream_keeper;
#[cfg(test)]
mod tests;
mod version_checks;

pub use budget::{BudgetRules, RetryBudgets};
pub use endpoints::{ColdLimit, EndpointTracker, Failure, Preference};
pub use events::ResumableEvents;
pub use header_names::{AnswerHead, Forwarding, HeaderNames, PromptPart, RequestHead};
pub use neighbours::Neighbours;
pub use overload::{Overload, OverloadRules};
pub use server::run;
pub use state::Gateway;
