//! Feeds: control hosts publish changes of the fleet's state, such as the routing in force,
//! endpoints and the leader, to every router and to each other.
//!
//! A subscriber keeps one connection to each known control host. Updates merge in any
//! order, so a lost connection only delays them. Large updates come from few hosts: every
//! control host announces the version of its routing table, and a subscriber requests the
//! table from one of them. Endpoints are sent by the control hosts from which the subscriber
//! has requested them: two send all that they have, and control hosts send each other the
//! endpoints that registered with themselves ([`sources`]).

mod cursor;
mod feed_plan;
mod host_reports;
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

/// The state of the fleet that feeds replicate from control hosts to other processes.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    /// The routing in force.
    pub routing: Arc<CurrentRouting>,
    /// The endpoints.
    pub registry: Arc<SharedRegistry>,
    /// The rollouts.
    pub rollouts: Arc<SharedRollouts>,
    /// The requests that crash endpoints.
    pub quarantine: Arc<SharedQuarantine>,
}

/// A message from a control host to a subscriber.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FeedMessage {
    /// The version of the routing table that the sender holds.
    RoutingVersion(u64),
    /// An agreed routing table, for a subscriber that requested it.
    Routing {
        /// Its version, so that a subscriber that holds it need not decode it.
        version: u64,
        /// The encoded table, shared by all subscribers.
        encoded: Arc<[u8]>,
    },
    /// Endpoints that changed, for a subscriber that requested them.
    Endpoints {
        /// The start of the sender that numbered the changes; `upto` is valid for it only.
        numbering: u64,
        /// Number of the last change that is contained.
        upto: u64,
        /// Which of the changes up to it are contained.
        scope: Scope,
        /// The current state of the endpoints.
        endpoints: Vec<Registration>,
    },
    /// Endpoints that accepted requests before the sender restarted and have not registered
    /// with it since.
    Remembered(Vec<Registration>),
    /// The number of live routers that the sender receives heartbeats from.
    Routers(u32),
    /// The routers of one data hall, for a subscriber that requested them.
    Neighbours(Vec<Neighbour>),
    /// The leader of the agreement, as known to the sender.
    Leader(LeaderUpdate),
    /// The data halls that operators have drained.
    DrainedHalls(DrainedHalls),
    /// The rollouts that operators have ordered.
    Rollouts(Rollouts),
    /// Time-limited grants of what routers may send to releases that are rolled out; sent by
    /// the leader only.
    Grants(Grants),
    /// Changes of the requests that are refused because they crash endpoints.
    Quarantine(QuarantineUpdate),
    /// The answer to [`FeedRequest::Probe`].
    ProbeAnswer {
        /// The number from the probe.
        stall: u64,
    },
}

/// The leader of the agreement, as known to a control host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderUpdate {
    /// The current term.
    pub term: u64,
    /// The leader of the term, where known.
    pub leader: Option<HostId>,
    /// Whether the sender has applied everything that was accepted before that term; until
    /// then its routing may be older than an acknowledged one.
    pub has_caught_up: bool,
}

/// A message from a subscriber to a control host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedRequest {
    /// Requests the newest routing table.
    Routing,
    /// Requests the routers of a data hall.
    Neighbours {
        /// The data hall.
        hall: String,
    },
    /// Starts the updates of endpoints.
    Endpoints(EndpointsAfter),
    /// Stops the updates of endpoints.
    NoEndpoints,
    /// What a router observed of releases that are rolled out; for the leader.
    RolloutReport(Report),
    /// What a router observed of crashes; for the leader.
    CrashReport(CrashReport),
    /// Endpoints that announced to the subscriber, in answers, that they are leaving.
    LeavingEndpoints(Vec<EndpointStart>),
    /// Requests an answer at once: the subscriber was stalled, so the messages that it now
    /// reads may have been sent long before.
    Probe {
        /// Number of the stall; distinguishes the answer from that to an earlier probe.
        stall: u64,
    },
}

/// The changes of endpoints that a subscriber requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointsAfter {
    /// The start of the control host that numbered the changes; `change` is valid for it
    /// only.
    pub numbering: u64,
    /// Number of the last change that it received; 0 for none.
    pub change: u64,
    /// Which changes are requested.
    pub scope: Scope,
}

/// A router of the same data hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Neighbour {
    /// The router.
    pub host: HostId,
    /// Its address for peers.
    pub peer: SocketAddr,
}
