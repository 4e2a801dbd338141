//! Endpoints' answers: reading them, and deciding whether they were whole.
//!
//! Every reader of answers uses [`AnswerBody`], and goes by [`BodyEnd::verdict`] alone.

mod body;
pub mod events;
mod framing;
#[cfg(test)]
mod tests;
mod verdict;

pub use body::{AnswerBody, Part};
pub use framing::{Framing, keeps_connection};
pub use verdict::{BodyEnd, BrokenAnswer, Completeness, ContentEnd, Ending};
