//! Who is in the fleet: heartbeats, suspicion, and who dispatches what.

mod table;
#[cfg(test)]
mod tests;

pub use table::{FIRST_HEARTBEAT_MS, HEARTBEAT_MS, Member, MemberTable, SUSPECT_MS, View};
