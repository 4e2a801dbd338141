//! What control hosts tell every router, and each other, as it changes: the
//! routing in force, endpoints, and who leads.
//!
//! A subscriber keeps one connection to each control host that it knows. What it
//! learns merges in any order, so a lost connection costs nothing but time. What is
//! large is told by few: of a routing table every control host tells the version only,
//! and a subscriber asks one of them for the table; endpoints are told by the control
//! hosts that a subscriber has asked: two tell it all that they know, and every control
//! host tells the others what endpoints said to itself ([`sources`]).

mod cursor;
mod following;
mod news;
mod publish;
mod sources;
mod subscribe;
mod subscribers;
mod table_fetch;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::quarantine::{CrashReport, QuarantineUpdate, SharedQuarantine};
use crate::registry::{DrainedHalls, EndpointStart, Registration, Scope, SharedRegistry};
use crate::rollout::{Grants, Report, Rollouts, SharedRollouts};
use crate::routing::CurrentRouting;
use crate::wire::HostId;

pub use publish::{Publication, publish};
pub use subscribe::Subscriptions;
pub use subscribers::Subscribers;

/// What a process keeps in step with what control hosts tell.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    /// The routing in force.
    pub documents: Arc<CurrentRouting>,
    /// The endpoints.
    pub registry: Arc<SharedRegistry>,
    /// Releases that are rolled out.
    pub rollouts: Arc<SharedRollouts>,
    /// Requests that crash endpoints.
    pub quarantine: Arc<SharedQuarantine>,
}

/// One message of a feed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FeedMessage {
    /// The version of the routing table that the sender holds.
    RoutingVersion(u64),
    /// A routing table that was agreed on, for a subscriber that asked.
    Routing {
        /// Its version, so that who has it need not decode it again.
        version: u64,
        /// The table, encoded once for all subscribers.
        encoded: Arc<[u8]>,
    },
    /// Endpoints that changed, for a subscriber that asked to be told.
    Endpoints {
        /// Whose numbers `upto` is one of: the sender's start.
        numbering: u64,
        /// Number of the last change contained.
        upto: u64,
        /// Which changes up to it were told.
        scope: Scope,
        /// The endpoints as they are now.
        endpoints: Vec<Registration>,
    },
    /// Endpoints that took work before the sender restarted and that it has not heard
    /// since.
    Remembered(Vec<Registration>),
    /// How many routers the sender hears of.
    Routers(u32),
    /// Routers of one data hall, for a subscriber that asked.
    Neighbours(Vec<Neighbour>),
    /// Who leads the agreement, as the sender knows it.
    Leader(LeaderNews),
    /// The data halls that operators have drained.
    DrainedHalls(DrainedHalls),
    /// The roll-outs that operators have ordered.
    Rollouts(Rollouts),
    /// What routers may send to releases that are rolled out, for a while; from the
    /// leader only.
    Grants(Grants),
    /// Requests that are refused because they crash endpoints, as it changed.
    Quarantine(QuarantineUpdate),
    /// The answer to [`FeedRequest::Speak`].
    Speaks {
        /// What was asked.
        waking: u64,
    },
}

/// Who leads the agreement, as a control host knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderNews {
    /// The term.
    pub term: u64,
    /// The leader's host, where known.
    pub leader: Option<HostId>,
    /// Whether the sender has applied all that was accepted before that term; until then
    /// its routing may be older than an acknowledged one.
    pub has_caught_up: bool,
}

/// What a subscriber asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedRequest {
    /// The newest routing table.
    Routing,
    /// The routers of a data hall.
    Neighbours {
        /// The data hall.
        hall: String,
    },
    /// To be told of endpoints that changed, from now on.
    Endpoints(EndpointsAfter),
    /// To be told of endpoints no more.
    NoEndpoints,
    /// What a router saw of releases that are rolled out; for the leader.
    RolloutReport(Report),
    /// What a router saw of crashes; for the leader.
    CrashReport(CrashReport),
    /// Endpoints told the subscriber in answers that they leave.
    EndpointsLeave(Vec<EndpointStart>),
    /// To say something: the subscriber stood still, and what it reads was said before.
    Speak {
        /// Tells the answer from one to an earlier question.
        waking: u64,
    },
}

/// Which changes of endpoints a subscriber wants to be told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointsAfter {
    /// Whose numbers `change` is one of.
    pub numbering: u64,
    /// The last change that it was told; 0 for none.
    pub change: u64,
    /// Which changes it wants.
    pub scope: Scope,
    /// Whether it wants to know of endpoints that had gone before.
    pub with_gone: bool,
}

/// A router of the same data hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Neighbour {
    /// The router.
    pub host: HostId,
    /// Where peers reach it.
    pub peer: SocketAddr,
}
