//! Typed messages between processes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::agree::GroupMember;
use crate::config::{Config, CustomerId, Delta, EndpointId, HallSet, ServiceId};

/// Number of a host: from its settings, or from its IPv4 address.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HostId(pub u32);

impl HostId {
    /// The number of a host that is known by its address alone.
    pub fn of(address: std::net::Ipv4Addr) -> HostId {
        HostId(u32::from(address))
    }

    /// The address of a host that is known by it.
    pub fn address(self) -> std::net::Ipv4Addr {
        self.0.into()
    }
}

impl std::fmt::Display for HostId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What a process of the fleet does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Takes requests from callers.
    Router,
    /// Keeps the agreed configuration.
    Control,
}

/// What a host says of itself in every heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The host.
    pub host: HostId,
    /// Grows with every start of the process (milliseconds since the epoch).
    pub incarnation: u64,
    /// What it does.
    pub role: Role,
    /// Its data hall's name.
    pub hall: String,
    /// Where peers reach it.
    pub peer: SocketAddr,
    /// Where operators reach it.
    pub operator: SocketAddr,
    /// The configuration version in force there.
    pub version: u64,
    /// Whether it is in a planned stop.
    pub draining: bool,
    /// Another member's address, so that newcomers spread.
    pub also: Option<SocketAddr>,
}

/// A heartbeat datagram. Most are brief; the whole is said to newcomers, now and
/// then, and to whoever asks for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Beat {
    /// All that a host says of itself.
    Full(Heartbeat),
    /// What changes.
    Brief {
        /// The host.
        host: HostId,
        /// Its incarnation.
        incarnation: u64,
        /// The configuration version in force there.
        version: u64,
        /// Whether it is in a planned stop.
        draining: bool,
    },
    /// The answer to a brief heartbeat that says nothing to its receiver, which has
    /// not heard the whole from that start of the sender: who asks for it.
    RequestFull(Heartbeat),
}

impl Beat {
    /// Who sent it.
    pub fn host(&self) -> HostId {
        match self {
            Beat::Full(beat) | Beat::RequestFull(beat) => beat.host,
            Beat::Brief { host, .. } => *host,
        }
    }
}

/// The first frame on a TCP connection between hosts: what it is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Open {
    /// A router attaches to the dispatcher of one service.
    Dispatch {
        /// The router.
        router: HostId,
        /// The service.
        service: ServiceId,
        /// Grows with every connection of this router.
        session: u64,
    },
    /// Asks once for the configuration after `held_version`.
    Pull {
        /// Who asks.
        host: HostId,
        /// What it has; 0 for nothing.
        held_version: u64,
    },
    /// A control host sends agreement messages.
    Agree {
        /// Who sends.
        host: HostId,
        /// Where answers go, also from stores that know no group yet.
        peer: SocketAddr,
    },
    /// Asks which store a control host holds, before the group is founded.
    Identify,
    /// A store asks to belong to the group.
    Join(GroupMember),
    /// A router asks the placer of a control host where requests go.
    Place {
        /// The router.
        router: HostId,
        /// Grows with every connection of this router.
        session: u64,
    },
    /// A router or control host wants to be told of changes.
    Feed {
        /// Who asks.
        host: HostId,
    },
    /// A router behind its work hands a caller's connection over; its bytes follow the
    /// answer.
    Caller {
        /// The router.
        router: HostId,
        /// The version of its routing; the other must hold one at least as new.
        version: u64,
    },
    /// A router that passed an answer on asks the one that served it which endpoints leave.
    Leaving {
        /// The router.
        router: HostId,
    },
    /// A router sends run-once claims; answers come back on the connection.
    Claims {
        /// The router.
        router: HostId,
    },
}

impl Open {
    /// The host that opened the connection, where it says so.
    pub fn sender(&self) -> Option<HostId> {
        match self {
            Open::Dispatch { router, .. } | Open::Claims { router } => Some(*router),
            Open::Pull { host, .. } | Open::Agree { host, .. } => Some(*host),
            Open::Feed { host } => Some(*host),
            Open::Place { router, .. } | Open::Caller { router, .. } => Some(*router),
            Open::Leaving { router } => Some(*router),
            Open::Join(newcomer) => Some(newcomer.host),
            Open::Identify => None,
        }
    }
}

/// The answer to [`Open::Pull`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PullResponse {
    /// The asker has the newest version known here.
    Current,
    /// The steps from the asker's version on.
    Deltas(Vec<Delta>),
    /// The whole, when the asker is too far behind for deltas.
    Snapshot(Box<Config>),
}

/// A request waiting at a router, as its dispatcher sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Number of the request at its router.
    pub seq: u64,
    /// Whose it is.
    pub customer: CustomerId,
    /// Units already certain, such as those of the prompt.
    pub input: u32,
    /// Milliseconds within which it must start.
    pub start_within_ms: u32,
    /// Hashes of ever longer prefixes of the prompt.
    pub prefix: Vec<u32>,
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Completion {
    /// The endpoint answered.
    Answered,
    /// The endpoint could not be reached or broke off.
    Failed,
    /// The grant was not used.
    Unused,
}

/// What a router tells a dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToDispatcher {
    /// Starts a session; replaces all that earlier sessions of the router said.
    Join {
        /// Data halls whose endpoints the router can reach.
        reach: HallSet,
        /// Whether another dispatcher served these requests before.
        takeover: bool,
        /// Customers' last known leads over the least served, in virtual units.
        leads: Vec<(CustomerId, u64)>,
    },
    /// The data halls in reach have changed.
    Reach(HallSet),
    /// A request wants to run.
    GrantRequest(GrantRequest),
    /// A request granted by an earlier dispatcher is running.
    Running {
        /// Number of the request.
        seq: u64,
        /// Whose it is.
        customer: CustomerId,
        /// Where it runs.
        endpoint: EndpointId,
        /// Units used so far.
        units: u32,
    },
    /// A running request has used more than was predicted.
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
        /// Units used in all.
        units: u32,
        /// How it ended.
        completion: Completion,
    },
    /// An endpoint asked this router for rest.
    Rest {
        /// The endpoint.
        endpoint: EndpointId,
        /// Milliseconds that are left of it.
        time_ms: u32,
    },
    /// An endpoint told this router that it leaves, or is back after that.
    Leaving {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it leaves.
        is_leaving: bool,
    },
    /// A waiting request was given up.
    Cancel {
        /// Number of the request.
        seq: u64,
        /// Whose it is.
        customer: CustomerId,
    },
}

/// Why a request will not be served now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefuseReason {
    /// The customer has as many requests waiting as it may.
    QueueFull,
    /// It could not start before its deadline.
    DeadlineUnmet,
    /// No endpoint in reach serves it.
    NoEndpoint,
    /// Each endpoint in reach has asked for rest until after its deadline.
    EndpointsRest,
}

/// What a dispatcher tells a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromDispatcher {
    /// The request may run now.
    Grant {
        /// Number of the request.
        seq: u64,
        /// Where to run it.
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
        /// Why.
        reason: RefuseReason,
        /// Milliseconds after which to come back.
        retry_after_ms: u32,
        /// Milliseconds during which the router refuses the customer by itself.
        hold_ms: u32,
    },
}
