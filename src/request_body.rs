//! Bodies of callers' requests: what is read and held of them.
//!
//! Every server reads bodies with [`read_body`]. What all requests hold together is bounded by
//! [`RequestMemory`]; which of them may hold how much is decided by [`Ledger`].

mod held;
mod ledger;
mod limits;
mod memory;
mod read;
#[cfg(test)]
mod tests;

pub use held::HeldBody;
pub use ledger::{Ledger, OVERHEAD_BYTES, RequestId, Room};
pub use limits::RequestLimits;
pub use memory::{HeldRequest, RequestMemory};
pub use read::{ReadError, read_body};
