//! The handle through which the other parts of a control host use the agreement.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::sync::{mpsc, oneshot, watch};

use super::state::{Command, Reply, State};
use crate::agree::{Departure, Envelope, GroupMember, Replica, Role, Status, StoreId};
use crate::wire::HostId;

/// Why this host could not decide a call: it does not lead, or lost its leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoLeader {
    /// Another host leads.
    Elsewhere(HostId),
    /// No leader is known.
    Unknown,
    /// Leadership was lost before the outcome was known: the command may be accepted or not.
    Uncertain,
}

pub(super) type ReplyTo = oneshot::Sender<Result<Reply, NoLeader>>;

pub(super) enum Event {
    Receive { envelope: Envelope, host: HostId, peer: SocketAddr },
    Propose(Command, ReplyTo),
    Read(oneshot::Sender<Result<(), NoLeader>>),
    Bootstrap(Vec<GroupMember>),
    AddMember { new_member: GroupMember, reply: oneshot::Sender<Result<bool, NoLeader>> },
    Join { new_member: GroupMember, reply: oneshot::Sender<Result<bool, NoLeader>> },
    Leave { store: StoreId, reply: oneshot::Sender<Result<Departure, NoLeader>> },
    Status(oneshot::Sender<DriverStatus>),
    Inspect(Box<dyn FnOnce(&State) + Send>, oneshot::Sender<NoLeader>),
}

/// The state of the agreement, for status reports.
#[derive(Clone, Debug)]
pub struct DriverStatus {
    /// Status of the consensus replica.
    pub replica: Status,
    /// On the leader, the index up to which each store's log matches its own.
    pub matched: BTreeMap<StoreId, u64>,
    /// Number of claims held.
    pub claims: usize,
}

/// Sends proposals, reads and membership changes to the agreement's driver.
#[derive(Clone, Debug)]
pub struct Handle {
    /// This host's store.
    pub store: StoreId,
    /// The current leadership, as recorded by this store.
    pub leadership: watch::Receiver<Leadership>,
    pub(super) events: mpsc::Sender<Event>,
}

/// The leadership of the group, as recorded by one store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// The current term.
    pub term: u64,
    /// The leader's host, where known.
    pub leader: Option<HostId>,
    /// Whether every entry accepted before this term is applied here.
    pub has_caught_up: bool,
    /// Whether this store leads.
    pub leads: bool,
    /// Whether this store belongs to a group.
    pub is_bootstrapped: bool,
    /// The hosts of the group, with their peer addresses.
    pub hosts: Vec<(HostId, SocketAddr)>,
}

impl Leadership {
    pub(super) fn of(replica: &Replica) -> Leadership {
        let members = replica.members();
        let leader = members.iter().find(|m| Some(m.store) == replica.leader());
        Leadership {
            term: replica.term(),
            leader: leader.map(|m| m.host),
            has_caught_up: replica.has_caught_up(),
            leads: replica.role() == Role::Leader,
            is_bootstrapped: replica.is_bootstrapped(),
            hosts: members.iter().map(|m| (m.host, m.peer)).collect(),
        }
    }
}

impl Handle {
    /// Proposes a command and waits for its reply.
    pub async fn propose(&self, command: Command) -> Result<Reply, NoLeader> {
        let (sender, receiver) = oneshot::channel();
        self.send(Event::Propose(command, sender)).await;
        receiver.await.unwrap_or(Err(NoLeader::Uncertain))
    }

    /// Waits until this leader has applied everything that was accepted before the call, so
    /// that a following `inspect` is linearizable.
    pub async fn read(&self) -> Result<(), NoLeader> {
        let (sender, receiver) = oneshot::channel();
        self.send(Event::Read(sender)).await;
        receiver.await.unwrap_or(Err(NoLeader::Uncertain))
    }

    /// Delivers a message from another store, with the host of that store and its peer address.
    pub async fn receive(&self, envelope: Envelope, host: HostId, peer: SocketAddr) {
        self.send(Event::Receive { envelope, host, peer }).await;
    }

    /// Bootstraps a group with these members, unless this store already belongs to one.
    pub async fn bootstrap(&self, members: Vec<GroupMember>) {
        self.send(Event::Bootstrap(members)).await;
    }

    /// Adds a store to the group; false while another change of the group is under way.
    pub async fn add_member(&self, new_member: GroupMember) -> Result<bool, NoLeader> {
        let (reply, receiver) = oneshot::channel();
        self.send(Event::AddMember { new_member, reply }).await;
        receiver.await.unwrap_or(Err(NoLeader::Uncertain))
    }

    /// Adds a store that asked to join; false while another change of the group is under way.
    pub async fn join(&self, new_member: GroupMember) -> Result<bool, NoLeader> {
        let (reply, receiver) = oneshot::channel();
        self.send(Event::Join { new_member, reply }).await;
        receiver.await.unwrap_or(Err(NoLeader::Uncertain))
    }

    /// Starts the departure of a store that is about to stop, or goes on with it.
    pub async fn leave(&self, store: StoreId) -> Result<Departure, NoLeader> {
        let (reply, receiver) = oneshot::channel();
        self.send(Event::Leave { store, reply }).await;
        receiver.await.unwrap_or(Err(NoLeader::Uncertain))
    }

    /// The state of the agreement; none when the driver has stopped.
    pub async fn status(&self) -> Option<DriverStatus> {
        let (sender, receiver) = oneshot::channel();
        self.send(Event::Status(sender)).await;
        receiver.await.ok()
    }

    /// Evaluates `f` on the state applied here, if this store counts itself as the leader. One
    /// that lost its leadership notices about a heartbeat later, and a new leader may not yet
    /// have applied everything: call `read` first where this matters.
    pub async fn inspect<T: Send + 'static>(
        &self,
        f: impl FnOnce(&State) -> T + Send + 'static,
    ) -> Result<T, NoLeader> {
        let (sender, receiver) = oneshot::channel();
        let (refuse, refused) = oneshot::channel();
        let inspect = move |state: &State| {
            // The receiver is dropped if the caller has given up.
            let _ = sender.send(f(state));
        };
        self.send(Event::Inspect(Box::new(inspect), refuse)).await;
        match receiver.await {
            Ok(value) => Ok(value),
            Err(_) => Err(refused.await.unwrap_or(NoLeader::Unknown)),
        }
    }

    async fn send(&self, event: Event) {
        // When the driver has stopped, the reply channel closes and the caller sees that.
        let _ = self.events.send(event).await;
    }
}
