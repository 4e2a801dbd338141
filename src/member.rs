//! Membership of the fleet: heartbeats, suspected hosts, and the dispatcher of each service.

mod table;
#[cfg(test)]
mod tests;

pub use table::{FIRST_HEARTBEAT_MS, HEARTBEAT_MS, Member, MemberTable, SUSPECT_AFTER_MS, View};
