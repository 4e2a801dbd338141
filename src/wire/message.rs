//! The messages between processes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::agree::{GroupMember, StoreId};
use crate::config::{Config, CustomerId, Delta, EndpointId, HallSet, ServiceId};

/// The number of a host, from its settings or from its IPv4 address.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HostId(pub u32);

impl HostId {
    /// The number of a host that is identified by its address alone.
    pub fn of(address: std::net::Ipv4Addr) -> HostId {
        HostId(u32::from(address))
    }

    /// The address of a host that is identified by its address.
    pub fn address(self) -> std::net::Ipv4Addr {
        self.0.into()
    }
}

impl std::fmt::Display for HostId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The role of a process in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Serves requests of callers.
    Router,
    /// Stores the agreed configuration.
    Control,
}

/// The state that a host reports about itself in a full heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub host: HostId,
    /// When the process started, in milliseconds since the epoch; increases with every start.
    pub incarnation: u64,
    /// Its role.
    pub role: Role,
    /// The name of its data hall.
    pub hall: String,
    /// The address for peers.
    pub peer: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
    /// The configuration version in force on the sender.
    pub version: u64,
    /// Whether the sender is draining for a planned stop.
    pub draining: bool,
    /// The address of another member, so that new members become known to all.
    pub also: Option<SocketAddr>,
}

/// A heartbeat datagram. Most are brief; a full one is sent to new members, periodically,
/// and on request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatMessage {
    /// All fields.
    Full(Heartbeat),
    /// Only the fields that change.
    Brief {
        /// The sender.
        host: HostId,
        /// The incarnation of the sender.
        incarnation: u64,
        /// The configuration version in force on the sender.
        version: u64,
        /// Whether the sender is draining for a planned stop.
        draining: bool,
    },
    /// Requests a full heartbeat: the answer to a brief one from a sender or incarnation of
    /// which no full heartbeat was received. Contains the full heartbeat of the requester.
    RequestFull(Heartbeat),
}

impl HeartbeatMessage {
    /// The sender.
    pub fn host(&self) -> HostId {
        match self {
            HeartbeatMessage::Full(heartbeat) | HeartbeatMessage::RequestFull(heartbeat) => {
                heartbeat.host
            }
            HeartbeatMessage::Brief { host, .. } => *host,
        }
    }
}

/// The first frame on a TCP connection between hosts; names its purpose.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Open {
    /// A router attaches to the dispatcher of one service.
    Dispatch {
        /// The router.
        router: HostId,
        /// The service.
        service: ServiceId,
        /// Number of the session; increases with every connection of this router.
        session: u64,
    },
    /// Requests, once, the changes of the configuration since `held_version`.
    Pull {
        /// The requester.
        host: HostId,
        /// The configuration version that it holds; 0 for none.
        held_version: u64,
    },
    /// A control host sends messages of the agreement.
    Agree {
        /// The sender.
        host: HostId,
        /// The address for answers; stores that belong to no group yet answer there too.
        peer: SocketAddr,
    },
    /// Asks which store a control host holds, before the group is bootstrapped.
    Identify,
    /// A store requests to join the group.
    Join(GroupMember),
    /// A router requests placements from the placer of a control host.
    Place {
        /// The router.
        router: HostId,
        /// Number of the session; increases with every connection of this router.
        session: u64,
    },
    /// A router or control host subscribes to the feed of a control host.
    Feed {
        /// The subscriber.
        host: HostId,
    },
    /// An overloaded router hands over a caller's connection; the caller's bytes follow
    /// after the answer.
    Caller {
        /// The router.
        router: HostId,
        /// The version of its routing table; the receiver must hold it or a later one.
        version: u64,
    },
    /// A router that relayed an answer asks the router that served it which endpoints are
    /// leaving.
    Leaving {
        /// The router.
        router: HostId,
    },
    /// A router sends run-once claims; answers return on the same connection.
    Claims {
        /// The router.
        router: HostId,
    },
    /// A router requests, once, the directory of all routers from a control host.
    Directory {
        /// The router.
        router: HostId,
        /// The digest of the directory that it has.
        digest: u64,
    },
    /// A store that is about to stop asks to be replaced. A host of the release before this
    /// message refuses the connection, and the store stops without a successor.
    Leave(StoreId),
}

impl Open {
    /// The host that opened the connection, where the frame names it.
    pub fn sender(&self) -> Option<HostId> {
        match self {
            Open::Dispatch { router, .. } | Open::Claims { router } => Some(*router),
            Open::Pull { host, .. } | Open::Agree { host, .. } => Some(*host),
            Open::Feed { host } => Some(*host),
            Open::Place { router, .. } | Open::Caller { router, .. } => Some(*router),
            Open::Leaving { router } | Open::Directory { router, .. } => Some(*router),
            Open::Join(new_member) => Some(new_member.host),
            Open::Identify | Open::Leave(_) => None,
        }
    }
}

/// The answer to [`Open::Pull`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PullResponse {
    /// The requester holds the newest version known to the sender.
    Current,
    /// The changes since the requester's version, in order.
    Deltas(Vec<Delta>),
    /// The complete configuration, for a requester too far behind for deltas.
    Snapshot(Box<Config>),
}

/// A request that is queued at a router and asks its dispatcher for a grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Number of the request at its router.
    pub seq: u64,
    /// Its customer.
    pub customer: CustomerId,
    /// Units known in advance, such as those of the prompt.
    pub input: u32,
    /// Milliseconds within which it must start.
    pub start_within_ms: u32,
    /// Hashes of prefixes of the prompt, in order of increasing length.
    pub prefix: Vec<u32>,
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Completion {
    /// The endpoint answered.
    Answered,
    /// The endpoint could not be reached, or its answer ended early.
    Failed,
    /// The grant was not used.
    Unused,
}

/// A message from a router to a dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToDispatcher {
    /// Starts a session; discards the state from earlier sessions of the router.
    Join {
        /// Data halls whose endpoints the router can reach.
        reach: HallSet,
        /// Whether another dispatcher handled these requests before.
        takeover: bool,
        /// The last known lead of each customer over the least served one, in virtual units.
        leads: Vec<(CustomerId, u64)>,
    },
    /// The data halls whose endpoints the router can reach have changed.
    Reach(HallSet),
    /// A queued request asks for a grant.
    GrantRequest(GrantRequest),
    /// A request granted by an earlier dispatcher is running.
    Running {
        /// Number of the request.
        seq: u64,
        /// Its customer.
        customer: CustomerId,
        /// The endpoint on which it runs.
        endpoint: EndpointId,
        /// Units used so far.
        units: u32,
    },
    /// A running request has used more units than predicted.
    Progress {
        /// Number of the request.
        seq: u64,
        /// Units used so far.
        units: u32,
    },
    /// A granted request has ended.
    Done {
        /// Number of the request.
        seq: u64,
        /// Units used in total.
        units: u32,
        /// How it ended.
        completion: Completion,
    },
    /// An endpoint requested a rest from this router.
    Rest {
        /// The endpoint.
        endpoint: EndpointId,
        /// Milliseconds until the rest ends.
        time_ms: u32,
    },
    /// An endpoint announced to this router that it is leaving, or has returned since.
    Leaving {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it is leaving.
        is_leaving: bool,
    },
    /// A queued request was cancelled.
    Cancel {
        /// Number of the request.
        seq: u64,
        /// Its customer.
        customer: CustomerId,
    },
}

/// Why a request is refused for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefuseReason {
    /// The customer has the maximum number of requests queued.
    QueueFull,
    /// The request cannot start before its deadline.
    DeadlineUnmet,
    /// No reachable endpoint serves the request.
    NoEndpoint,
    /// Every reachable endpoint is resting until after the deadline of the request.
    EndpointsRest,
}

/// A message from a dispatcher to a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromDispatcher {
    /// The request may run now.
    Grant {
        /// Number of the request.
        seq: u64,
        /// The endpoint to run it on.
        endpoint: EndpointId,
        /// Units charged in advance.
        charged: u32,
        /// The customer's lead over the least served customer, in virtual units.
        lead: u64,
    },
    /// The request will not run.
    Refuse {
        /// Number of the request.
        seq: u64,
        /// The reason.
        reason: RefuseReason,
        /// Milliseconds after which the caller may retry.
        retry_after_ms: u32,
        /// Milliseconds for which the router refuses further requests of the customer without
        /// asking the dispatcher.
        hold_ms: u32,
    },
}
