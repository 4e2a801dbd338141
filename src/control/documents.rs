//! Replaces and reads the routing document, and renders the host's metrics.

use std::sync::Arc;

use super::Control;
use super::handle::NoLeader;
use super::state::{Command, Reply};
use crate::config::Refusal;
use crate::routing::Document;
use crate::wire::{HostId, Role, Traffic};

/// Why an operator's call cannot be answered here now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The document is invalid.
    Invalid(Refusal),
    /// There is no such data hall.
    UnknownHall,
    /// There is no such service.
    UnknownService,
    /// No rollout of the service was ever ordered.
    NoRollout,
    /// Another rollout of the service is under way.
    RolloutInProgress,
    /// Another host leads.
    Elsewhere(HostId),
    /// The outcome or state is not known for certain; the call may be sent again.
    Uncertain,
}

/// The error for a reply that belongs to another kind of command.
pub(super) fn unexpected_reply(reply: &Reply) -> CallError {
    log::error!("control: a command got a reply of another kind: {reply:?}");
    CallError::Uncertain
}

impl From<NoLeader> for CallError {
    fn from(no_leader: NoLeader) -> Self {
        match no_leader {
            NoLeader::Elsewhere(host) => CallError::Elsewhere(host),
            NoLeader::Unknown | NoLeader::Uncertain => CallError::Uncertain,
        }
    }
}

impl Control {
    /// Puts a document in force, unless one of the same or a higher version already is.
    /// Returns the version in force, which is then on the disks of a majority.
    pub async fn replace_document(&self, document: Document) -> Result<u64, CallError> {
        document.table.check().map_err(CallError::Invalid)?;
        let version = document.table.version;
        let current = self.documents.current().map(|routing| routing.table.version);
        if let Some(current) = current.filter(|current| *current >= version) {
            self.handle.read().await?;
            return Ok(current);
        }
        match self.handle.propose(Command::Replace(Box::new(document))).await? {
            Reply::Replaced(in_force) => {
                let routers = self.live_routers();
                log::info!(
                    "control: document {version} accepted, {in_force} is in force, \
                     {routers} routers are live"
                );
                Ok(in_force)
            }
            other => Err(unexpected_reply(&other)),
        }
    }

    /// The document in force; none before the first.
    pub async fn read_document(&self) -> Result<Option<Arc<Document>>, CallError> {
        self.handle.read().await?;
        let document = self.handle.inspect(|state| state.document().cloned()).await?;
        Ok(document)
    }

    /// Number of routers that this host receives heartbeats from.
    fn live_routers(&self) -> usize {
        self.peers.view().with_role(Role::Router).count()
    }

    /// The metrics of this host, in the Prometheus text format.
    pub fn render_metrics(&self) -> String {
        let version = self.documents.current().map_or(0, |routing| routing.table.version);
        let leadership = self.handle.leadership.borrow().clone();
        let (endpoints, drained) =
            self.registry.read(|r| (r.all().count(), r.drained().names().count()));
        let figures = [
            ("routing_version", version),
            ("term", leadership.term),
            ("leads", u64::from(leadership.leads)),
            ("members", leadership.hosts.len() as u64),
            ("endpoints", endpoints as u64),
            ("drained_halls", drained as u64),
            ("live_routers", self.live_routers() as u64),
            ("followers", self.subscribers.count() as u64),
            ("followers_told", self.subscribers.count_sent(version) as u64),
            ("unknown_heartbeats", self.peers.unknown_heartbeats()),
            ("other_protocols", self.peers.other_protocols()),
            ("sent_bytes", self.peers.sent.get()),
        ];
        let sent = Traffic::ALL.map(|traffic| (traffic.name(), self.sent_for(traffic)));
        crate::telemetry::render_gauges("bramblecrank_control", &figures)
            + &crate::telemetry::render_gauges("bramblecrank_control_sent_bytes", &sent)
            + &self.render_rollout_metrics()
            + &self.render_quarantine_metrics()
    }

    /// Bytes that this host has sent for one kind of traffic.
    fn sent_for(&self, traffic: Traffic) -> u64 {
        self.peers.sent.of(traffic).get_for_traffic()
    }
}
