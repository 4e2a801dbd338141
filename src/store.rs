//! Durable state of a control host: one folder, one log file, one snapshot file.
//!
//! Records are checksummed, and synced before any message that depends on them is
//! sent. An incomplete last record, which a crash leaves, is cut off; damage before
//! the end is an error that stops the process.

pub(crate) mod checksummed;
mod disk;
mod files;
mod record;
#[cfg(test)]
pub(crate) mod simulated;
#[cfg(test)]
mod tests;
mod writer;

pub use disk::{Disk, RecoveredState};
pub use writer::DiskWriter;
