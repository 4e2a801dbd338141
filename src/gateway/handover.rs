//! Handing over callers' connections between routers of a data hall.
//!
//! The platform may send all connections of a large customer through one router while others
//! are idle. An overloaded router relays the bytes of a new connection to another router
//! without parsing them, and the other router serves one request on it: that costs a fraction
//! of serving the request. The other router's routing must be at least as new, so that callers
//! never see an older routing than before.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf, ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::callers::serve_requests;
use super::leaving::{fetch_leaving_report, send_leaving_report};
use super::overload::Overload;
use super::relayed_head::{HeadScanner, RelayedHead};
use super::state::Gateway;
use crate::caller_connection::{
    CallerIo, KeepAlive, close_connection, limit_receive_buffer, set_reset_on_close,
};
use crate::error::{Result, RpcSnafu};
use crate::feed::Neighbour;
use crate::peer::Incoming;
use crate::wire::{Open, write_frame};

/// Maximum number of routers that are asked before a connection is served here.
const MAX_ROUTERS_ASKED: usize = 2;
/// How long a caller may send nothing after connecting before its connection is served here,
/// under the limits of this router.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_secs(1);
/// How long to wait for the first bytes of the other router's answer. That router ends
/// requests at their own deadline, so this only limits the wait for one that hangs.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// How long bytes for the other router may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Size of the buffer for relayed bytes.
const BUFFER_BYTES: usize = 4 << 10;
/// Answer to a caller whose request may have run at a router that was lost.
const ANSWER_LOST_RESPONSE: &[u8] =
    b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// Whether a router accepts a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverAnswer {
    /// It serves one request on it.
    Taken,
    /// It has no spare capacity.
    Busy,
    /// It is in a planned stop.
    Stopping,
    /// Its routing is older than that of the router that asks.
    Behind,
}

impl HandoverAnswer {
    fn name(self) -> &'static str {
        match self {
            HandoverAnswer::Taken => "taken",
            HandoverAnswer::Busy => "busy",
            HandoverAnswer::Stopping => "stopping",
            HandoverAnswer::Behind => "behind",
        }
    }
}

/// A connection to the router that accepted a caller.
type PeerStream = (BufReader<OwnedReadHalf>, OwnedWriteHalf);

/// Hands a new connection over if this router is overloaded. Returns it if it is to be
/// served here.
pub(super) async fn hand_over(
    gateway: &Arc<Gateway>,
    caller: TcpStream,
    closing: &CancellationToken,
) -> Option<TcpStream> {
    if !gateway.should_hand_over() || gateway.planned_stop.is_refusing() {
        return Some(caller);
    }
    let has_sent = tokio::time::timeout(FIRST_BYTES_TIMEOUT, caller.readable());
    let has_sent = tokio::select! {
        sent = has_sent => matches!(sent, Ok(Ok(()))),
        () = closing.cancelled() => false,
    };
    if !has_sent {
        return Some(caller);
    }
    let _in_flight = gateway.track_handover();
    for _ in 0..MAX_ROUTERS_ASKED {
        let Some(neighbour) = choose_neighbour(gateway) else { break };
        match request_handover(gateway, neighbour).await {
            Ok(peer) => {
                relay_connection(gateway, caller, peer, neighbour).await;
                return None;
            }
            Err(error) => {
                log::debug!(
                    "gateway: router {} did not accept a connection: {error}",
                    neighbour.host
                );
                let now = gateway.now();
                gateway
                    .with_neighbours(|neighbours| neighbours.record_refusal(now, neighbour.host));
            }
        }
    }
    Some(caller)
}

fn choose_neighbour(gateway: &Gateway) -> Option<Neighbour> {
    let now = gateway.now();
    if gateway.with_neighbours(|neighbours| neighbours.start_refresh_if_due(now)) {
        gateway.feeds.request_neighbours(&gateway.settings.host.hall);
    }
    let known = gateway.feeds.neighbours();
    let random = rand::rng().random();
    gateway.with_neighbours(|neighbours| neighbours.choose(now, &known, random))
}

async fn request_handover(gateway: &Gateway, neighbour: Neighbour) -> Result<PeerStream> {
    let open = Open::Caller { router: gateway.peers.me, version: gateway.routing_version() };
    let exchange = async {
        let (mut reader, writer) = gateway.peers.connect(neighbour.peer, &open).await?;
        let answer = reader.next::<HandoverAnswer>().await?;
        Ok::<_, crate::error::Error>((answer, reader, writer))
    };
    let timeout = Duration::from_millis(gateway.rules.overload.hand_over_answer_ms);
    let Ok(result) = tokio::time::timeout(timeout, exchange).await else {
        gateway.metrics.handed_over.with_label_values(&["silent"]).inc();
        return RpcSnafu { message: "no answer in time" }.fail();
    };
    let (answer, reader, writer) = result?;
    gateway.metrics.handed_over.with_label_values(&[answer.name()]).inc();
    match answer {
        HandoverAnswer::Taken => Ok((reader.into_inner(), writer)),
        refused => RpcSnafu { message: format!("it answered {}", refused.name()) }.fail(),
    }
}

/// How a relayed answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    /// No byte of it came.
    NoAnswer,
    /// The other router closed the connection.
    Closed,
    /// The connection to the other router failed, or the caller has left.
    Failed,
}

/// Relays bytes both ways until the answer is complete or either side closes.
async fn relay_connection(
    gateway: &Arc<Gateway>,
    mut caller: TcpStream,
    peer: PeerStream,
    neighbour: Neighbour,
) {
    let (answers, requests) = peer;
    // Without it an unresponsive router is detected later.
    let socket = socket2::SockRef::from(requests.as_ref());
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let mut head = RelayedHead::default();
    let (read, write) = caller.split();
    let on_head = |relayed: RelayedHead, caller: &WriteHalf<'_>| {
        head = relayed;
        if head.ends_with_connection {
            // Until the other router has closed the connection, the answer may still break off.
            set_reset_on_close(socket2::SockRef::from(caller.as_ref()), true);
        }
        if head.is_leaving {
            // This router has to record it too.
            tokio::spawn(fetch_leaving_report(gateway.clone(), neighbour));
        }
    };
    let scanner = HeadScanner::new(gateway.header_names.leaving.clone());
    let end = tokio::select! {
        end = relay_answer(gateway, answers, write, scanner, on_head) => end,
        () = relay_request(read, requests) => return,
    };
    match end {
        RelayEnd::NoAnswer => {
            log::info!("gateway: answer lost at router {}", neighbour.host);
            gateway.metrics.handed_over.with_label_values(&["lost"]).inc();
            // Fails when the caller has closed its connection, which needs no answer.
            let _ = caller.write_all(ANSWER_LOST_RESPONSE).await;
        }
        RelayEnd::Closed if head.ends_with_connection => {
            set_reset_on_close(caller.socket(), false);
        }
        RelayEnd::Failed if head.ends_with_connection => {
            log::info!("gateway: answer broken off at router {}", neighbour.host);
            gateway.metrics.handed_over.with_label_values(&["broken"]).inc();
            return;
        }
        // The framing of the answer tells the caller whether it is complete.
        RelayEnd::Closed | RelayEnd::Failed => {}
    }
    close_connection(caller, false).await;
}

/// Returns once the caller has closed its connection.
async fn relay_request(mut from: ReadHalf<'_>, mut to: OwnedWriteHalf) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(read) => read,
        };
        if to.write_all(&buffer[..read]).await.is_err() {
            // The other direction detects that the router has closed.
            return std::future::pending().await;
        }
    }
}

/// Relays an answer to the caller until either side has closed its connection. `on_head` is called
/// with its head before that is passed on. An answer that has not begun at the end of a planned
/// stop is not waited for.
async fn relay_answer(
    gateway: &Gateway,
    mut from: BufReader<OwnedReadHalf>,
    mut to: WriteHalf<'_>,
    mut scanner: HeadScanner,
    mut on_head: impl FnMut(RelayedHead, &WriteHalf<'_>),
) -> RelayEnd {
    let mut has_begun = false;
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let reading = from.read(&mut buffer);
        let read = match has_begun {
            false => tokio::select! {
                read = tokio::time::timeout(FIRST_ANSWER_TIMEOUT, reading) => read.unwrap_or(Ok(0)),
                () = gateway.planned_stop.answers_ended() => Ok(0),
            },
            true => reading.await,
        };
        let read = match read {
            Ok(0) | Err(_) if !has_begun => return RelayEnd::NoAnswer,
            Ok(0) => return RelayEnd::Closed,
            Err(_) => return RelayEnd::Failed,
            Ok(read) => read,
        };
        has_begun = true;
        if let Some(head) = scanner.scan(&buffer[..read]) {
            on_head(head, &to);
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return RelayEnd::Failed;
        }
    }
}

/// Accepts connections that other routers hand over.
pub(super) async fn accept_handovers(
    gateway: Arc<Gateway>,
    mut incoming: mpsc::Receiver<Incoming>,
) {
    while let Some(connection) = incoming.recv().await {
        match connection.open {
            Open::Caller { version, .. } => {
                tokio::spawn(serve_handover(gateway.clone(), connection, version));
            }
            Open::Leaving { .. } => {
                tokio::spawn(send_leaving_report(gateway.clone(), connection.writer));
            }
            open => log::warn!("peer: a gateway accepts no connection {open:?}"),
        }
    }
}

async fn serve_handover(gateway: Arc<Gateway>, connection: Incoming, version: u64) {
    let Incoming { reader, mut writer, .. } = connection;
    let answer = decide_handover(&gateway, version);
    if let Err(error) = write_frame(&mut writer, &answer).await {
        log::debug!("gateway: cannot answer a router that hands over: {error}");
    } else if answer == HandoverAnswer::Taken {
        limit_receive_buffer(socket2::SockRef::from(writer.as_ref()));
        let io = tokio::io::join(reader.into_inner(), writer);
        let never = CancellationToken::new();
        serve_requests(&gateway, io, KeepAlive::OneRequest, &never).await;
    }
    if answer == HandoverAnswer::Taken {
        gateway.with_overload(Overload::remove_connection);
    }
}

/// Decides on a connection; an accepted one is counted from here on.
fn decide_handover(gateway: &Gateway, version: u64) -> HandoverAnswer {
    if gateway.stop.is_cancelled() {
        return HandoverAnswer::Stopping;
    }
    if gateway.routing_version() < version {
        return HandoverAnswer::Behind;
    }
    if gateway.request_memory.is_scarce() {
        return HandoverAnswer::Busy;
    }
    let serving = gateway.serving();
    let try_accept = |overload: &mut Overload| {
        overload.accepts_handover(serving) && overload.try_add_connection()
    };
    match gateway.with_overload(try_accept) {
        true => HandoverAnswer::Taken,
        false => HandoverAnswer::Busy,
    }
}
