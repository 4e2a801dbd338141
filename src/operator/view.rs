//! Replies that routers and control hosts build in the same way.

use tonic::Status;

use super::proto;
use crate::config::{Change, Config, Delta, Document};
use crate::peer::Peers;
use crate::quarantine::{self, Quarantine, Suspect};
use crate::registry::SharedRegistry;
use crate::rollout::{Rollout, Stage};
use crate::wire::{Heartbeat, Role};

/// Maximum number of history entries in one reply.
const MAX_HISTORY_ENTRIES: u32 = 1_000;

pub(super) fn role_name(role: Role) -> &'static str {
    match role {
        Role::Router => "router",
        Role::Control => "control",
    }
}

pub(super) fn hosts(peers: &Peers) -> Vec<proto::HostStatus> {
    let view = peers.view();
    let status = |m: &Heartbeat, live| proto::HostStatus {
        host: m.host.0,
        role: role_name(m.role).into(),
        hall: m.hall.clone(),
        operator: m.operator.to_string(),
        version: m.version,
        live,
        draining: m.draining,
    };
    let live = view.live.iter().map(|m| status(m, true));
    live.chain(view.suspected.iter().map(|m| status(m, false))).collect()
}

/// The data halls that are drained.
pub(super) fn drained_halls(registry: &SharedRegistry) -> Vec<String> {
    registry.read(|registry| registry.drained().names().map(str::to_string).collect())
}

/// The status of a rollout for operators.
pub(super) fn rollout(rollout: &Rollout) -> proto::RolloutStatus {
    use proto::rollout_status::Stage as ProtoStage;
    let stage = match rollout.stage {
        Stage::Canary => ProtoStage::Canary,
        Stage::Shifting => ProtoStage::Shifting,
        Stage::Done => ProtoStage::Done,
        Stage::RolledBack => ProtoStage::RolledBack,
    };
    proto::RolloutStatus {
        service: rollout.order.service.clone(),
        version: rollout.order.version.clone(),
        stage: stage.into(),
        ordered_at_ms: rollout.order.at_ms,
        within_ms: rollout.order.duration_ms,
    }
}

/// The status of what crashed endpoints, for operators.
pub(super) fn quarantined(
    (suspect, quarantine): (&Suspect, &Quarantine),
) -> proto::QuarantineStatus {
    proto::QuarantineStatus {
        suspect: suspect.to_string(),
        refused: quarantine.stage == quarantine::Stage::Refused,
        crashes: quarantine.crashes,
        times: quarantine.times,
        until_ms: quarantine.until_ms,
    }
}

pub(super) fn get_reply(config: &Config) -> Result<proto::GetReply, Status> {
    let document = serde_saphyr::to_string(&Document::of(config));
    let document = document.map_err(|e| Status::internal(e.to_string()))?;
    Ok(proto::GetReply { version: config.version, document })
}

pub(super) fn history_limit(request: &proto::HistoryRequest) -> usize {
    match request.most {
        0 => 20,
        limit => limit.min(MAX_HISTORY_ENTRIES) as usize,
    }
}

pub(super) fn history_reply(deltas: Vec<Delta>) -> proto::HistoryReply {
    let entry = |delta: Delta| proto::HistoryEntry {
        version: delta.version,
        changes: delta.changes.iter().map(describe).collect(),
    };
    proto::HistoryReply { entries: deltas.into_iter().map(entry).collect() }
}

/// A short description of a change.
fn describe(change: &Change) -> String {
    match change {
        Change::AddHall(name) => format!("data hall {name} declared"),
        Change::PutService(service) => format!("service {} declared", service.name),
        Change::PutCustomer(c) => format!("customer {} declared, share {}", c.name, c.share),
        Change::PutEndpoint(e) => format!("endpoint {} declared at {}", e.name, e.address),
        Change::RemoveCustomer(name) => format!("customer {name} removed"),
        Change::RemoveEndpoint(name) => format!("endpoint {name} removed"),
        Change::SetLeaving { endpoint, leaving: true } => format!("endpoint {endpoint} leaving"),
        Change::SetLeaving { endpoint, leaving: false } => format!("endpoint {endpoint} back"),
    }
}

/// Cuts the given links to simulate faults, if the host's settings allow it. Returns whether
/// they do.
pub(super) fn rehearse(peers: &Peers, allowed: bool, request: proto::RehearseRequest) -> bool {
    if !allowed {
        return false;
    }
    let hosts = |ids: Vec<u32>| ids.into_iter().map(crate::wire::HostId).collect();
    log::warn!(
        "peer: rehearsal: cut to {:?}, from {:?}, halls {:?}",
        request.cut_to,
        request.cut_from,
        request.cut_halls
    );
    peers.links.set(hosts(request.cut_to), hosts(request.cut_from), request.cut_halls);
    true
}
