//! Endpoints' answers: reading them, and deciding whether they were whole.
//!
//! Every reader of answers uses [`AnswerBody`], and goes by [`BodyEnd::verdict`] alone. What is read
//! of an answer is bounded by [`ReadGuard`] and [`AnswerBody`], what is held by [`AnswerMemory`].

mod body;
pub mod events;
mod framing;
mod limits;
mod memory;
mod read_guard;
mod status;
#[cfg(test)]
mod tests;
mod verdict;

pub use body::{AnswerBody, Part};
pub use framing::{Framing, keeps_connection};
pub use limits::AnswerLimits;
pub use memory::{AnswerMemory, HeldBytes};
pub use read_guard::{ExceededLimit, GuardedIo, ReadGuard};
pub use status::is_final;
pub use verdict::{BodyEnd, BrokenAnswer, Completeness, ContentEnd, Ending};
