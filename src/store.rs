//! Durable state of a control host: one folder, one log file, one snapshot file.
//!
//! Records are checksummed and synced before anything that rests on them is
//! said. A torn tail, which a crash leaves, is cut; damage before the end stops
//! the process with a clear error.

pub(crate) mod checksummed;
mod disk;
mod record;
#[cfg(test)]
mod tests;
mod writer;

pub use disk::{Disk, RecoveredState};
pub use writer::DiskWriter;
