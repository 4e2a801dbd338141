//! A control host's implementation of operators' calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tonic::metadata::MetadataValue;
use tonic::transport::Channel;
use tonic::{Request, Response, Status};

use super::apply::{changes, reply, uncertain};
use super::proto::operator_client::OperatorClient;
use super::proto::operator_server::{Operator, OperatorServer};
use super::{client, proto, view};
use crate::agree::{GroupMember, StoreId};
use crate::control::{CallError, Command, Control, HallOrder, NoLeader, Reply};
use crate::quarantine::{InvalidSuspect, Suspect};
use crate::wire::{HostId, Role};

/// How long a proposal may take before its outcome is reported as uncertain.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Metadata key of a call that another control host has forwarded. It is not forwarded
/// again, so that two hosts that take each other for the leader do not loop.
const FORWARDED: &str = "forwarded";

struct Service(Arc<Control>);

/// Serves operators' calls until the process stops.
pub(crate) async fn serve(control: Arc<Control>) {
    let listen = control.settings.operator;
    let server = tonic::transport::Server::builder();
    let service = OperatorServer::new(Service(control));
    if let Err(error) = { server }.add_service(service).serve(listen).await {
        log::error!("operator: cannot serve on {listen}: {error}");
    }
}

/// The host whose accepted configuration is confirmed to be the newest.
enum Newest {
    /// This host: it is the leader, and a majority has confirmed it.
    Local,
    /// The leader, at this operator port.
    Leader(SocketAddr),
}

/// Marks a call as forwarded, so that it is forwarded only once.
fn mark_forwarded<T>(request: Request<T>) -> Request<T> {
    let mut forwarded = Request::new(request.into_inner());
    forwarded.metadata_mut().insert(FORWARDED, MetadataValue::from_static("1"));
    forwarded
}

fn leader_unreachable(error: crate::error::Error) -> Status {
    Status::unavailable(format!("the leader does not answer: {error}"))
}

fn no_decision() -> Status {
    Status::unavailable("no control host decided; send the order again")
}

/// The gRPC status of a failed call about a rollout.
fn rollout_error(error: &CallError, service: &str) -> Status {
    match error {
        CallError::Invalid(refusal) => Status::invalid_argument(refusal.to_string()),
        CallError::UnknownService => Status::not_found(format!("no service is called '{service}'")),
        CallError::NoRollout => Status::not_found(format!("service '{service}' had no roll-out")),
        CallError::RolloutInProgress => Status::failed_precondition(format!(
            "another roll-out of service '{service}' is under way"
        )),
        _ => no_decision(),
    }
}

impl Service {
    /// Finds the host that may answer a read. Other hosts than the leader lag behind, and one
    /// that has just started holds only its last snapshot; without a confirmed leader the
    /// read fails, and the operator has to retry.
    async fn find_newest<T>(&self, request: &Request<T>) -> Result<Newest, Status> {
        let no_majority = || Status::unavailable("no majority of control hosts is in reach");
        let read = tokio::time::timeout(PROPOSE_TIMEOUT, self.0.handle.read()).await;
        match read {
            Ok(Ok(())) => Ok(Newest::Local),
            Ok(Err(NoLeader::Elsewhere(host))) if !request.metadata().contains_key(FORWARDED) => {
                let view = self.0.peers.view();
                let leader = view.get(host).filter(|m| m.host != self.0.peers.me);
                leader.map(|m| Newest::Leader(m.operator)).ok_or_else(no_majority)
            }
            Ok(Err(_)) | Err(_) => Err(no_majority()),
        }
    }

    /// Connects to the operator port of `host`, the leader.
    async fn leader(&self, host: HostId) -> Result<OperatorClient<Channel>, Status> {
        let leader = self.0.peers.view().get(host).ok_or_else(no_decision)?.operator;
        client::connect(leader).await.map_err(leader_unreachable)
    }

    async fn apply_locally(
        &self,
        request: &proto::ApplyRequest,
    ) -> Result<proto::ApplyReply, NoLeader> {
        let changes = match changes(request) {
            Ok(changes) => changes,
            Err(reply) => return Ok(reply),
        };
        let operation = request.operation.clone();
        let base = request.base;
        let propose = self.0.handle.propose(Command::Change { operation, base, changes });
        match tokio::time::timeout(PROPOSE_TIMEOUT, propose).await {
            Ok(Ok(Reply::Changed(changed))) => Ok(reply(changed)),
            Ok(Ok(_)) => Ok(uncertain()),
            Ok(Err(no_leader)) => Err(no_leader),
            Err(_) => Err(NoLeader::Uncertain),
        }
    }

    async fn group(&self) -> Option<proto::GroupStatus> {
        let status = self.0.handle.status().await?;
        let replica = status.replica;
        let member = |m: &GroupMember| proto::GroupMember {
            store: m.store.to_string(),
            host: m.host.0,
            peer: m.peer.to_string(),
            voter: m.voter,
            matched: status.matched.get(&m.store).copied().unwrap_or(0),
        };
        Some(proto::GroupStatus {
            store: replica.store.to_string(),
            state: format!("{:?}", replica.role).to_lowercase(),
            term: replica.term,
            leader: replica.leader.map(|l| l.to_string()).unwrap_or_default(),
            commit: replica.commit,
            last: replica.last,
            members: replica.members.iter().map(member).collect(),
            claims: status.claims as u64,
        })
    }
}

#[tonic::async_trait]
impl Operator for Service {
    async fn apply(
        &self,
        request: Request<proto::ApplyRequest>,
    ) -> Result<Response<proto::ApplyReply>, Status> {
        let request = request.into_inner();
        match self.apply_locally(&request).await {
            Ok(reply) => Ok(Response::new(reply)),
            Err(NoLeader::Elsewhere(host)) => {
                let view = self.0.peers.view();
                let leader = view.get(host).map(|m| m.operator);
                let forwarded = client::apply_once(leader, request).await;
                Ok(Response::new(forwarded.unwrap_or_else(uncertain)))
            }
            Err(NoLeader::Unknown | NoLeader::Uncertain) => Ok(Response::new(uncertain())),
        }
    }

    async fn get(
        &self,
        request: Request<proto::GetRequest>,
    ) -> Result<Response<proto::GetReply>, Status> {
        match self.find_newest(&request).await? {
            Newest::Local => view::get_reply(&self.0.configs.current()).map(Response::new),
            Newest::Leader(leader) => {
                let mut client = client::connect(leader).await.map_err(leader_unreachable)?;
                client.get(mark_forwarded(request)).await
            }
        }
    }

    async fn history(
        &self,
        request: Request<proto::HistoryRequest>,
    ) -> Result<Response<proto::HistoryReply>, Status> {
        match self.find_newest(&request).await? {
            Newest::Local => {
                let limit = view::history_limit(request.get_ref());
                Ok(Response::new(view::history_reply(self.0.configs.recent(limit))))
            }
            Newest::Leader(leader) => {
                let mut client = client::connect(leader).await.map_err(leader_unreachable)?;
                client.history(mark_forwarded(request)).await
            }
        }
    }

    async fn status(
        &self,
        _: Request<proto::StatusRequest>,
    ) -> Result<Response<proto::StatusReply>, Status> {
        let control = &self.0;
        let group = self.group().await;
        let stale = group.as_ref().is_none_or(|g| g.leader.is_empty());
        Ok(Response::new(proto::StatusReply {
            host: control.peers.me.0,
            role: view::role_name(Role::Control).into(),
            hall: control.settings.host.hall.clone(),
            version: control.configs.current().version,
            in_force_since_ms: control.configs.since_ms(),
            stale,
            hosts: view::hosts(&control.peers),
            group,
            dispatchers: Vec::new(),
            drained_halls: view::drained_halls(&control.registry),
            rollouts: control.rollouts.table().all().map(view::rollout).collect(),
            quarantined: control.quarantine.agreed().all().map(view::quarantined).collect(),
        }))
    }

    async fn explain(
        &self,
        _: Request<proto::ExplainRequest>,
    ) -> Result<Response<proto::ExplainReply>, Status> {
        Ok(Response::new(proto::ExplainReply::default()))
    }

    async fn replace_control(
        &self,
        request: Request<proto::ReplaceControlRequest>,
    ) -> Result<Response<proto::ReplaceControlReply>, Status> {
        let request = request.into_inner();
        let host = HostId(request.host);
        let replaces = match request.old_store.as_str() {
            "" => None,
            text => match u64::from_str_radix(text, 16) {
                Ok(id) => Some(StoreId(id)),
                Err(_) => return Err(Status::invalid_argument("old_store is not a store number")),
            },
        };
        let view = self.0.peers.view();
        let Some(member) = view.get(host).filter(|m| m.role == Role::Control) else {
            return Err(Status::not_found(format!("no live control host {host}")));
        };
        let identity = crate::control::bootstrap::identify(&self.0, member.peer).await;
        let identity = identity.map_err(|e| Status::unavailable(e.to_string()))?;
        let new_member = GroupMember {
            store: identity.store,
            host,
            peer: identity.peer,
            voter: false,
            replaces,
        };
        let (accepted, message) = match self.0.handle.add_member(new_member).await {
            Ok(true) => (true, format!("store {} counts once it has caught up", identity.store)),
            Ok(false) => (false, "another change of the group is under way".to_string()),
            Err(NoLeader::Elsewhere(host)) => (false, format!("ask host {host}, which leads")),
            Err(_) => (false, "no leader is known".to_string()),
        };
        Ok(Response::new(proto::ReplaceControlReply { accepted, message }))
    }

    async fn order_hall(
        &self,
        request: Request<proto::OrderHallRequest>,
    ) -> Result<Response<proto::OrderHallReply>, Status> {
        let proto::OrderHallRequest { hall, drained } = request.get_ref().clone();
        let order = if drained { HallOrder::Drain } else { HallOrder::Restore };
        match self.0.order_hall(order, &hall).await {
            Ok(halls) => {
                let drained_halls = halls.names().map(str::to_string).collect();
                Ok(Response::new(proto::OrderHallReply { drained_halls }))
            }
            Err(CallError::Elsewhere(host)) if !request.metadata().contains_key(FORWARDED) => {
                let mut client = self.leader(host).await?;
                client.order_hall(mark_forwarded(request)).await
            }
            Err(CallError::UnknownHall) => {
                Err(Status::not_found(format!("no data hall is called '{hall}'")))
            }
            Err(_) => Err(no_decision()),
        }
    }

    async fn order_rollout(
        &self,
        request: Request<proto::OrderRolloutRequest>,
    ) -> Result<Response<proto::OrderRolloutReply>, Status> {
        let proto::OrderRolloutRequest { service, version, within_ms } = request.get_ref().clone();
        let within = Duration::from_millis(within_ms);
        match self.0.order_rollout(&service, &version, within).await {
            Ok(()) => Ok(Response::new(proto::OrderRolloutReply {})),
            Err(CallError::Elsewhere(host)) if !request.metadata().contains_key(FORWARDED) => {
                let mut client = self.leader(host).await?;
                client.order_rollout(mark_forwarded(request)).await
            }
            Err(error) => Err(rollout_error(&error, &service)),
        }
    }

    async fn get_rollout(
        &self,
        request: Request<proto::GetRolloutRequest>,
    ) -> Result<Response<proto::GetRolloutReply>, Status> {
        let service = request.get_ref().service.clone();
        match self.0.read_rollout(&service).await {
            Ok(rollout) => {
                let rollout = Some(view::rollout(&rollout));
                Ok(Response::new(proto::GetRolloutReply { rollout }))
            }
            Err(CallError::Elsewhere(host)) if !request.metadata().contains_key(FORWARDED) => {
                let mut client = self.leader(host).await?;
                client.get_rollout(mark_forwarded(request)).await
            }
            Err(error) => Err(rollout_error(&error, &service)),
        }
    }

    async fn release(
        &self,
        request: Request<proto::ReleaseRequest>,
    ) -> Result<Response<proto::ReleaseReply>, Status> {
        let suspect: Suspect = request
            .get_ref()
            .suspect
            .parse()
            .map_err(|error: InvalidSuspect| Status::invalid_argument(error.to_string()))?;
        match self.0.release(suspect).await {
            Ok(()) => Ok(Response::new(proto::ReleaseReply {})),
            Err(CallError::Elsewhere(host)) if !request.metadata().contains_key(FORWARDED) => {
                let mut client = self.leader(host).await?;
                client.release(mark_forwarded(request)).await
            }
            Err(_) => Err(no_decision()),
        }
    }

    async fn stop(
        &self,
        _: Request<proto::StopRequest>,
    ) -> Result<Response<proto::StopReply>, Status> {
        self.0.stop.cancel();
        Ok(Response::new(proto::StopReply {}))
    }

    async fn rehearse(
        &self,
        request: Request<proto::RehearseRequest>,
    ) -> Result<Response<proto::RehearseReply>, Status> {
        let allowed = self.0.settings.rehearsal;
        let accepted = view::rehearse(&self.0.peers, allowed, request.into_inner());
        Ok(Response::new(proto::RehearseReply { accepted }))
    }
}
