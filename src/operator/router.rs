//! A router's implementation of operators' calls. Changes of the configuration are forwarded
//! to a control host; orders to control hosts are refused.

use std::net::SocketAddr;
use std::sync::Arc;

use tonic::{Request, Response, Status};

use super::proto::operator_server::{Operator, OperatorServer};
use super::{client, proto, view};
use crate::router::Router;
use crate::telemetry::RequestId;
use crate::wire::Role;

struct Service(Arc<Router>);

/// Serves operators' calls until the process stops.
pub(crate) async fn serve(router: Arc<Router>, listen: SocketAddr) {
    let server = tonic::transport::Server::builder();
    let service = OperatorServer::new(Service(router));
    if let Err(error) = { server }.add_service(service).serve(listen).await {
        log::error!("operator: cannot serve on {listen}: {error}");
    }
}

#[tonic::async_trait]
impl Operator for Service {
    async fn apply(
        &self,
        request: Request<proto::ApplyRequest>,
    ) -> Result<Response<proto::ApplyReply>, Status> {
        let view = self.0.peers.view();
        let control: Vec<_> = view.with_role(Role::Control).map(|m| m.operator).collect();
        client::apply_at_any(&control, request.into_inner()).await.map(Response::new)
    }

    async fn get(
        &self,
        _: Request<proto::GetRequest>,
    ) -> Result<Response<proto::GetReply>, Status> {
        let config = self.0.config();
        // A router returns the configuration in force on itself, and has none when it starts.
        if config.version == 0 {
            return Err(Status::unavailable("no configuration is in force here yet"));
        }
        view::get_reply(&config).map(Response::new)
    }

    async fn history(
        &self,
        request: Request<proto::HistoryRequest>,
    ) -> Result<Response<proto::HistoryReply>, Status> {
        let limit = view::history_limit(request.get_ref());
        Ok(Response::new(view::history_reply(self.0.configs.recent(limit))))
    }

    async fn status(
        &self,
        _: Request<proto::StatusRequest>,
    ) -> Result<Response<proto::StatusReply>, Status> {
        let router = &self.0;
        let config = router.config();
        let mut dispatchers = Vec::new();
        for (id, snapshot) in router.dispatchers.snapshots().await {
            let service = config.services.get(&id).map(|s| s.name.clone());
            dispatchers.push(proto::DispatcherStatus {
                service: service.unwrap_or_else(|| id.0.to_string()),
                waiting: snapshot.waiting.values().sum(),
                running: snapshot.running as u32,
                slots: snapshot.endpoints.iter().filter(|e| !e.leaving).map(|e| e.slots).sum(),
                backlogged_customers: snapshot.waiting.len() as u32,
                routers: snapshot.routers.iter().map(|r| r.0).collect(),
            });
        }
        Ok(Response::new(proto::StatusReply {
            host: router.peers.me.0,
            role: view::role_name(Role::Router).into(),
            hall: router.settings.host.hall.clone(),
            version: config.version,
            in_force_since_ms: router.configs.since_ms(),
            stale: router.is_stale(),
            hosts: view::hosts(&router.peers),
            group: None,
            dispatchers,
            drained_halls: Vec::new(),
            rollouts: Vec::new(),
            quarantined: Vec::new(),
        }))
    }

    async fn explain(
        &self,
        request: Request<proto::ExplainRequest>,
    ) -> Result<Response<proto::ExplainReply>, Status> {
        let id = request.into_inner().request.parse::<RequestId>();
        let id = id.map_err(Status::invalid_argument)?;
        let host = self.0.peers.me.0;
        let step = |s: crate::telemetry::Step| proto::Step {
            at_ms: s.at_ms,
            host,
            part: s.part.into(),
            text: s.text,
        };
        let steps = self.0.trace.explain(id).into_iter().map(step).collect();
        Ok(Response::new(proto::ExplainReply { steps }))
    }

    async fn replace_control(
        &self,
        _: Request<proto::ReplaceControlRequest>,
    ) -> Result<Response<proto::ReplaceControlReply>, Status> {
        Err(Status::failed_precondition("ask a control host"))
    }

    async fn order_hall(
        &self,
        _: Request<proto::OrderHallRequest>,
    ) -> Result<Response<proto::OrderHallReply>, Status> {
        Err(Status::failed_precondition("ask a control host"))
    }

    async fn order_rollout(
        &self,
        _: Request<proto::OrderRolloutRequest>,
    ) -> Result<Response<proto::OrderRolloutReply>, Status> {
        Err(Status::failed_precondition("ask a control host"))
    }

    async fn get_rollout(
        &self,
        _: Request<proto::GetRolloutRequest>,
    ) -> Result<Response<proto::GetRolloutReply>, Status> {
        Err(Status::failed_precondition("ask a control host"))
    }

    async fn release(
        &self,
        _: Request<proto::ReleaseRequest>,
    ) -> Result<Response<proto::ReleaseReply>, Status> {
        Err(Status::failed_precondition("ask a control host"))
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
