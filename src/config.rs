//! The agreed configuration: customers, services, data halls and endpoints.
//!
//! It changes only by [`Change`]s, each applied as part of one numbered
//! version. Applying is deterministic, so every process that applies the same
//! changes in the same order holds the same configuration.

mod apply;
mod document;
mod history;
mod model;
#[cfg(test)]
mod tests;

pub use apply::Refusal;
pub use document::Document;
pub use history::History;
pub use model::*;
