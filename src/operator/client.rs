//! The operators' side of their calls.

use std::net::SocketAddr;
use std::time::Duration;

use tonic::Status;
use tonic::transport::{Channel, Endpoint};

use super::proto;
use super::proto::operator_client::OperatorClient;
use crate::error::{Error, Result};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_MESSAGE: usize = 64 << 20;
/// Times that a change with an uncertain answer is sent again.
const RESENDS: u32 = 40;
const RESEND_PAUSE: Duration = Duration::from_millis(250);

/// Connects to a host's operator port.
pub async fn connect(to: SocketAddr) -> Result<OperatorClient<Channel>> {
    let wrong = |e: tonic::transport::Error| Error::Rpc { message: format!("{to}: {e}") };
    let endpoint = Endpoint::from_shared(format!("http://{to}")).map_err(wrong)?;
    let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT);
    let channel = endpoint.connect().await.map_err(wrong)?;
    Ok(OperatorClient::new(channel).max_decoding_message_size(MAX_MESSAGE))
}

/// Sends a change to one host, once.
pub(super) async fn apply_once(
    to: Option<SocketAddr>,
    request: proto::ApplyRequest,
) -> Option<proto::ApplyReply> {
    let mut client = connect(to?).await.ok()?;
    client.apply(request).await.ok().map(tonic::Response::into_inner)
}

/// Sends a change to whichever of the hosts answers for certain.
pub(super) async fn apply_at_any(
    hosts: &[SocketAddr],
    request: proto::ApplyRequest,
) -> Result<proto::ApplyReply, Status> {
    for host in hosts {
        let reply = apply_once(Some(*host), request.clone()).await;
        let certain = reply.filter(|r| r.result() != proto::apply_reply::Result::Uncertain);
        if let Some(reply) = certain {
            return Ok(reply);
        }
    }
    let result = proto::apply_reply::Result::Uncertain.into();
    Ok(proto::ApplyReply { result, ..Default::default() })
}

/// Applies a change at any of `hosts`, sending the same operation again while
/// its answer is uncertain.
pub async fn apply_document(
    hosts: &[SocketAddr],
    request: proto::ApplyRequest,
) -> Result<proto::ApplyReply> {
    for _ in 0..RESENDS {
        let reply = apply_at_any(hosts, request.clone()).await;
        let reply = reply.map_err(|s| Error::Rpc { message: s.to_string() })?;
        if reply.result() != proto::apply_reply::Result::Uncertain {
            return Ok(reply);
        }
        tokio::time::sleep(RESEND_PAUSE).await;
    }
    let operation = request.operation;
    let message = format!("no control host decided; send operation '{operation}' again");
    Err(Error::Rpc { message })
}

/// The status of every live host that the asked one knows, itself included.
pub async fn fleet_status(ask: SocketAddr) -> Result<Vec<proto::StatusReply>> {
    let first = status(ask).await?;
    let live = first.hosts.iter().filter(|h| h.live);
    let others: Vec<_> = live.filter_map(|h| h.operator.parse().ok()).collect();
    let mut all = Vec::new();
    for other in others {
        // A host that does not answer is left out; the list still names it.
        if let Ok(status) = status(other).await {
            all.push(status);
        }
    }
    all.sort_by_key(|s| s.host);
    Ok(all)
}

async fn status(of: SocketAddr) -> Result<proto::StatusReply> {
    let mut client = connect(of).await?;
    let reply = client.status(proto::StatusRequest {}).await;
    let reply = reply.map_err(|s| Error::Rpc { message: format!("{of}: {}", s.message()) })?;
    Ok(reply.into_inner())
}

/// What all live hosts decided about a request, in order of time.
pub async fn explain(ask: SocketAddr, request: &str) -> Result<Vec<proto::Step>> {
    let mut steps = Vec::new();
    for host in status(ask).await?.hosts {
        if let Ok(address) = host.operator.parse() {
            steps.extend(explain_at(address, request).await?);
        }
    }
    steps.sort_by_key(|s: &proto::Step| s.at_ms);
    Ok(steps)
}

async fn explain_at(host: SocketAddr, request: &str) -> Result<Vec<proto::Step>> {
    let Ok(mut client) = connect(host).await else {
        return Ok(Vec::new());
    };
    let asked = proto::ExplainRequest { request: request.to_string() };
    let reply = client.explain(asked).await;
    let reply = reply.map_err(|s| Error::Rpc { message: s.message().to_string() })?;
    Ok(reply.into_inner().steps)
}
