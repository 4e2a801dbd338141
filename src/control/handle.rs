//! How the other parts of a control host ask the agreement.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::sync::{mpsc, oneshot, watch};

use super::state::{Command, Reply, State};
use crate::agree::{Envelope, GroupMember, Replica, Role, Status, StoreId};
use crate::wire::HostId;

/// There is no leader here to decide; the one elsewhere, where known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoLeader {
    /// Another host leads.
    Elsewhere(HostId),
    /// No leader is known.
    Unknown,
    /// The leader was lost on the way: the command may be accepted or not.
    Uncertain,
}

pub(super) type ReplyTo = oneshot::Sender<Result<Reply, NoLeader>>;

pub(super) enum Event {
    Receive { envelope: Envelope, host: HostId, peer: SocketAddr },
    Propose(Command, ReplyTo),
    Read(oneshot::Sender<Result<(), NoLeader>>),
    Found(Vec<GroupMember>),
    Let { newcomer: GroupMember, reply: oneshot::Sender<Result<bool, NoLeader>> },
    Join { newcomer: GroupMember, reply: oneshot::Sender<Result<bool, NoLeader>> },
    Status(oneshot::Sender<DriverStatus>),
    Look(Box<dyn FnOnce(&State) + Send>, oneshot::Sender<NoLeader>),
}

/// The agreement's state for reports.
#[derive(Clone, Debug)]
pub struct DriverStatus {
    /// Of the state machine.
    pub replica: Status,
    /// How far each store's log matches, on the leader.
    pub matched: BTreeMap<StoreId, u64>,
    /// Claims held.
    pub claims: usize,
}

/// Asks the agreement.
#[derive(Clone, Debug)]
pub struct Handle {
    /// This host's store.
    pub store: StoreId,
    /// Who leads, as this store knows it.
    pub leadership: watch::Receiver<Leadership>,
    pub(super) events: mpsc::Sender<Event>,
}

/// Who leads the agreement, as one store knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// The term.
    pub term: u64,
    /// The leader's host, where known.
    pub leader: Option<HostId>,
    /// Whether all that was accepted before this term is applied here.
    pub has_caught_up: bool,
    /// Whether this store leads.
    pub leads: bool,
    /// Whether this store belongs to a group.
    pub founded: bool,
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
            founded: replica.is_bootstrapped(),
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

    /// Waits until all that was accepted before now has been applied here, on
    /// the leader.
    pub async fn read(&self) -> Result<(), NoLeader> {
        let (sender, receiver) = oneshot::channel();
        self.send(Event::Read(sender)).await;
        receiver.await.unwrap_or(Err(NoLeader::Uncertain))
    }

    /// A message from another store, and the host that holds it.
    pub async fn receive(&self, envelope: Envelope, host: HostId, peer: SocketAddr) {
        self.send(Event::Receive { envelope, host, peer }).await;
    }

    /// Founds a new group, unless this store belongs to one.
    pub async fn found(&self, members: Vec<GroupMember>) {
        self.send(Event::Found(members)).await;
    }

    /// Lets a store into the group; false while another change is under way.
    pub async fn let_in(&self, newcomer: GroupMember) -> Result<bool, NoLeader> {
        let (reply, receiver) = oneshot::channel();
        self.send(Event::Let { newcomer, reply }).await;
        receiver.await.unwrap_or(Err(NoLeader::Uncertain))
    }

    /// Lets a store in that asks to join; false while another change is under
    /// way.
    pub async fn join(&self, newcomer: GroupMember) -> Result<bool, NoLeader> {
        let (reply, receiver) = oneshot::channel();
        self.send(Event::Join { newcomer, reply }).await;
        receiver.await.unwrap_or(Err(NoLeader::Uncertain))
    }

    /// The agreement's state.
    pub async fn status(&self) -> Option<DriverStatus> {
        let (sender, receiver) = oneshot::channel();
        self.send(Event::Status(sender)).await;
        receiver.await.ok()
    }

    /// Looks at the state as applied here, if this store leads as far as it
    /// knows. Others lag by a heartbeat, a new leader by a little.
    pub async fn look<T: Send + 'static>(
        &self,
        f: impl FnOnce(&State) -> T + Send + 'static,
    ) -> Result<T, NoLeader> {
        let (sender, receiver) = oneshot::channel();
        let (refuse, refused) = oneshot::channel();
        let look = move |state: &State| {
            // The asker may have left.
            let _ = sender.send(f(state));
        };
        self.send(Event::Look(Box::new(look), refuse)).await;
        match receiver.await {
            Ok(seen) => Ok(seen),
            Err(_) => Err(refused.await.unwrap_or(NoLeader::Unknown)),
        }
    }

    async fn send(&self, event: Event) {
        // When the driver has stopped, the answer's channel closes.
        let _ = self.events.send(event).await;
    }
}
