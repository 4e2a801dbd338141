//! Log entries, group membership and messages of the replicated log.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::wire::HostId;

/// Identity of one data folder: random, generated when the folder is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreId(pub u64);

impl std::fmt::Display for StoreId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A member of the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// The store.
    pub store: StoreId,
    /// The host that holds it.
    pub host: HostId,
    /// The address at which peers reach that host.
    pub peer: SocketAddr,
    /// Whether it votes and counts in quorums; otherwise it is a learner.
    pub voter: bool,
    /// The member that is removed once this learner has caught up.
    pub replaces: Option<StoreId>,
}

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No command: the first entry of a new leader's term.
    Noop,
    /// The membership of the group from this entry on.
    Members(Vec<GroupMember>),
    /// An encoded command for the replicated state machine.
    Data(Vec<u8>),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended it.
    pub term: u64,
    /// Its index in the log, starting at 1.
    pub index: u64,
    /// Its content.
    pub payload: Payload,
}

impl Entry {
    /// Bytes of an entry beside its data, at most: term, index and the length of the data.
    const OVERHEAD_BYTES: usize = 32;

    /// Its approximate size in bytes, in memory and in a message.
    pub fn size(&self) -> usize {
        let content = match &self.payload {
            Payload::Noop => 0,
            Payload::Members(members) => size_of_val(members.as_slice()),
            Payload::Data(data) => data.len(),
        };
        Entry::OVERHEAD_BYTES + content
    }
}

/// The term and vote that a store must persist before it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: u64,
    /// The store that it voted for in that term.
    pub voted_for: Option<StoreId>,
}

/// The state machine's state up to an entry, which replaces the entries up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry covered.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The membership as of that entry.
    pub members: Vec<GroupMember>,
    /// The encoded state of the state machine.
    pub data: Vec<u8>,
}

/// A message from one store to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: StoreId,
    /// The receiver. A host that holds another store by now ignores the message.
    pub to: StoreId,
    /// The sender's term; in a pre-vote, the term of the election that would follow.
    pub term: u64,
    /// The message.
    pub message: Message,
}

impl Envelope {
    /// Whether the sender must sync its disk before it sends this message.
    /// Messages with entries or a snapshot don't wait, as a leader counts its own copy
    /// only once it is synced; nor does a pre-vote, which is not binding.
    pub fn needs_sync(&self) -> bool {
        match self.message {
            Message::AppendEntries { .. } | Message::InstallSnapshot { .. } => false,
            Message::RequestVote { pre_vote, .. } | Message::VoteResponse { pre_vote, .. } => {
                !pre_vote
            }
            Message::AppendResponse { .. } => true,
        }
    }
}

/// The content of a message between stores.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote, or for a pre-vote.
    RequestVote {
        /// Whether this is a pre-vote, which asks whether the receiver would grant its vote.
        pre_vote: bool,
        /// The index of the candidate's last entry.
        last_index: u64,
        /// That entry's term.
        last_term: u64,
    },
    /// Answers [`Message::RequestVote`].
    VoteResponse {
        /// Whether it answers a pre-vote.
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries from the leader; a heartbeat has none.
    AppendEntries {
        /// The index of the entry before the first one sent.
        prev_index: u64,
        /// That entry's term.
        prev_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// The leader's broadcast number, echoed in the response.
        round: u64,
    },
    /// Answers [`Message::AppendEntries`] or [`Message::InstallSnapshot`].
    AppendResponse {
        /// Whether the logs matched at the entry before the first one sent.
        success: bool,
        /// On success the index up to which the logs match, otherwise the one to try next.
        index: u64,
        /// The broadcast number of the message answered.
        round: u64,
    },
    /// The leader's snapshot, for a follower that needs entries already compacted.
    InstallSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// The leader's broadcast number, echoed in the response.
        round: u64,
    },
}
