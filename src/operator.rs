//! Operators' remote procedure calls, from `proto/operator.proto`.
//!
//! The only module that uses the operators' message types. The generated code is
//! committed; `tests/proto.rs` regenerates it and fails if the committed copy differs.

mod apply;
mod client;
mod control;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod generated;
mod router;
mod view;

pub use client::{apply_document, connect, explain, fleet_status};
pub use generated as proto;

pub(crate) use control::serve as serve_control;
pub(crate) use router::serve as serve_router;
