//! Resuming streams only at the service and software version that began them, without I/O.
//!
//! What two versions write does not fit together, and a caller that resumes a stream names only
//! the attempt that brought its first event. So the router that serves an attempt stores a
//! record of the stream at a few other routers before the caller gets the first event. They are
//! chosen by a hash of the attempt: any router that the caller comes back to finds them by the
//! same hash.

mod directory;
mod losses;
mod record;
mod replicas;
mod table;
#[cfg(test)]
mod tests;
mod versions;

pub use directory::{DirectoryAnswer, ListedRouter, RouterDirectory};
pub use losses::{DISCONNECTED_INTERVAL_MS, RecentLosses, STALL_MS, choose_unconfirmed};
pub use record::{Certainty, KnownStream, RecordMessage, StreamKey, StreamLoss, StreamRecord};
pub use replicas::{replicas_to_ask, replicas_to_store};
pub use table::{MAX_RECORDS, RETENTION_MS, RecordTable};
pub use versions::VersionHistory;

use crate::dispatch::Millis;

/// Milliseconds after which a router knows which version an endpoint ran at some moment. An endpoint
/// reports the version of its software with its next heartbeat, which follows within 1.2 s on the
/// platform.
pub const CONFIRM_MS: Millis = 1_500;
