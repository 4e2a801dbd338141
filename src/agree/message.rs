//! Entries, membership and messages of the agreement.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::wire::HostId;

/// Identity of one data folder, random and new with every empty one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreId(pub u64);

impl std::fmt::Display for StoreId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A store in the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// The store.
    pub store: StoreId,
    /// The host that holds it.
    pub host: HostId,
    /// Where that host's peers reach it.
    pub peer: SocketAddr,
    /// Whether it counts in majorities.
    pub voter: bool,
    /// The store that it takes the place of once it has caught up.
    pub replaces: Option<StoreId>,
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader's first entry.
    Noop,
    /// The group from here on.
    Members(Vec<GroupMember>),
    /// A command for the state machine above.
    Data(Vec<u8>),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended it.
    pub term: u64,
    /// Its place, from 1.
    pub index: u64,
    /// What it holds.
    pub payload: Payload,
}

/// What a store must not forget about votes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term seen.
    pub term: u64,
    /// Whom it voted for in that term.
    pub voted_for: Option<StoreId>,
}

/// The state up to an entry, in place of the entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The group as of that entry.
    pub members: Vec<GroupMember>,
    /// The state machine's state.
    pub data: Vec<u8>,
}

/// A message from one store to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sends.
    pub from: StoreId,
    /// To whom; another store on the same host must not take it.
    pub to: StoreId,
    /// The sender's term, or the term stood for.
    pub term: u64,
    /// What is said.
    pub message: Message,
}

impl Envelope {
    /// Whether it promises something that must be on the sender's disk first.
    /// A leader's entries promise nothing of its own copy, and a preliminary
    /// vote binds nobody.
    pub fn needs_sync(&self) -> bool {
        match self.message {
            Message::Append { .. } | Message::Install { .. } => false,
            Message::Vote { pre, .. } | Message::Voted { pre, .. } => !pre,
            Message::Appended { .. } => true,
        }
    }
}

/// What stores say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote, or whether there would be one.
    Vote {
        /// Whether it only asks.
        pre: bool,
        /// The candidate's last entry.
        last_index: u64,
        /// That entry's term.
        last_term: u64,
    },
    /// Answers a vote request.
    Voted {
        /// Whether it was only asked.
        pre: bool,
        /// Whether it is given.
        granted: bool,
    },
    /// Entries from the leader; none for a heartbeat.
    Append {
        /// The entry before the first.
        prev_index: u64,
        /// That entry's term.
        prev_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// How far the leader knows to be committed.
        commit: u64,
        /// The leader's round, echoed in the answer.
        round: u64,
    },
    /// Answers entries or a snapshot.
    Appended {
        /// Whether the entry before the first matched.
        success: bool,
        /// On success how far the logs match; else where to try next.
        index: u64,
        /// The round answered.
        round: u64,
    },
    /// The leader's snapshot, for a store too far behind.
    Install {
        /// The snapshot.
        snapshot: Snapshot,
        /// The leader's round.
        round: u64,
    },
}
