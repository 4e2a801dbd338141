//! What a replica returns to its owner: effects to carry out, refusals and its state.

use super::{Entry, Envelope, GroupMember, HardState, Snapshot, StoreId};

/// The current role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Collects pre-votes.
    PreCandidate,
    /// Collects votes.
    Candidate,
    /// Leads the group in its term.
    Leader,
}

/// A record to be synced to disk before the messages that need it are sent
/// (see [`Envelope::needs_sync`]).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Persist {
    /// Term and vote.
    HardState(HardState),
    /// Entries to append, after removing any existing ones from the first one's index on.
    Entries(Vec<Entry>),
    /// A snapshot that replaces all entries up to its index.
    Snapshot(Snapshot),
}

/// The effects of an input, to be carried out in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Records to write and sync, in order.
    pub persist: Vec<Persist>,
    /// Messages to send.
    pub messages: Vec<Envelope>,
    /// A snapshot from which the state machine must be restored.
    pub restore: Option<Snapshot>,
    /// Newly committed entries, to apply in order.
    pub committed: Vec<Entry>,
    /// Tokens of reads that may now be answered from the applied state.
    pub reads: Vec<u64>,
}

/// A request was refused because this replica is not the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader, if known.
    pub leader: Option<StoreId>,
}

/// How far the leader is with the departure of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// The store is no member of the group, or never was one that votes.
    Left,
    /// Another store is about to replace it, or a change of the group is under way.
    Pending,
    /// No store can replace it; it remains a member.
    Kept,
}

/// A replica's state for status reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The store.
    pub store: StoreId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<StoreId>,
    /// Its commit index.
    pub commit: u64,
    /// The index of its last entry.
    pub last: u64,
    /// The latest membership in its log.
    pub members: Vec<GroupMember>,
}
