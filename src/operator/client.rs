//! The client side of operators' calls, also used by hosts that forward a call.

use std::net::SocketAddr;
use std::time::Duration;

use tonic::Status;
use tonic::transport::{Channel, Endpoint};

use super::proto;
use super::proto::operator_client::OperatorClient;
use crate::error::{Error, Result};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Maximum number of times that a change is sent while its outcome is uncertain.
const MAX_SENDS: u32 = 40;
/// Pause between two sends of a change.
const SEND_PAUSE: Duration = Duration::from_millis(250);

/// Connects to a host's operator port.
pub async fn connect(to: SocketAddr) -> Result<OperatorClient<Channel>> {
    let rpc_error = |e: tonic::transport::Error| Error::Rpc { message: format!("{to}: {e}") };
    let endpoint = Endpoint::from_shared(format!("http://{to}")).map_err(rpc_error)?;
    let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT);
    let channel = endpoint.connect().await.map_err(rpc_error)?;
    Ok(OperatorClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES))
}

/// Sends a change to one host, once.
pub(super) async fn apply_once(
    to: Option<SocketAddr>,
    request: proto::ApplyRequest,
) -> Option<proto::ApplyReply> {
    let mut client = connect(to?).await.ok()?;
    client.apply(request).await.ok().map(tonic::Response::into_inner)
}

/// Sends a change to each of `hosts` in turn until one replies with a certain outcome.
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

/// Applies a change through any of `hosts`, sending the same operation again while
/// its outcome is uncertain.
pub async fn apply_document(
    hosts: &[SocketAddr],
    request: proto::ApplyRequest,
) -> Result<proto::ApplyReply> {
    for _ in 0..MAX_SENDS {
        let reply = apply_at_any(hosts, request.clone()).await;
        let reply = reply.map_err(|s| Error::Rpc { message: s.to_string() })?;
        if reply.result() != proto::apply_reply::Result::Uncertain {
            return Ok(reply);
        }
        tokio::time::sleep(SEND_PAUSE).await;
    }
    let operation = request.operation;
    let message = format!("no control host decided; send operation '{operation}' again");
    Err(Error::Rpc { message })
}

/// The status of every live host that the host at `contact` lists, itself included.
pub async fn fleet_status(contact: SocketAddr) -> Result<Vec<proto::StatusReply>> {
    let first = status(contact).await?;
    let live = first.hosts.iter().filter(|h| h.live);
    let others: Vec<_> = live.filter_map(|h| h.operator.parse().ok()).collect();
    let mut all = Vec::new();
    for other in others {
        // A host that does not answer is omitted; the list in `first` still includes it.
        if let Ok(status) = status(other).await {
            all.push(status);
        }
    }
    all.sort_by_key(|s| s.host);
    Ok(all)
}

async fn status(address: SocketAddr) -> Result<proto::StatusReply> {
    let mut client = connect(address).await?;
    let reply = client.status(proto::StatusRequest {}).await;
    let reply = reply.map_err(|s| Error::Rpc { message: format!("{address}: {}", s.message()) })?;
    Ok(reply.into_inner())
}

/// The decisions that all reachable hosts recorded about a request, ordered by time.
pub async fn explain(contact: SocketAddr, request: &str) -> Result<Vec<proto::Step>> {
    let mut steps = Vec::new();
    for host in status(contact).await?.hosts {
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
    let explain_request = proto::ExplainRequest { request: request.to_string() };
    let reply = client.explain(explain_request).await;
    let reply = reply.map_err(|s| Error::Rpc { message: s.message().to_string() })?;
    Ok(reply.into_inner().steps)
}
