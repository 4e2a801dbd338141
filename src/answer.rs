//! Reading an endpoint's answer: how it is framed, how its body ended, and where in its events.

mod body;
pub mod events;
mod framing;
#[cfg(test)]
mod tests;

pub use body::{AnswerBody, BodyEnd, ContentEnd, Ending, Part};
pub use framing::Framing;
