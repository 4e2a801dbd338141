//! Handing callers' connections over between routers of a data hall.
//!
//! The platform may send one large customer's connections through one router, while the
//! others have time to spare. A router behind its work passes the bytes of a new
//! connection on to another router, unread, which serves one request on it: that costs
//! a fraction of serving it. The other router must hold a routing at least as new, so
//! that callers never see an older one than before.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::callers::{KeepAlive, serve_requests};
use super::leaving::{LeavingHeaderScanner, fetch_leaving_report, send_leaving_report};
use super::overload::Overload;
use super::state::Gateway;
use crate::error::{Result, RpcSnafu};
use crate::feed::Neighbour;
use crate::peer::Incoming;
use crate::wire::{Open, write_frame};

/// Routers that are asked before a connection is served here.
const MAX_ROUTERS_ASKED: usize = 2;
/// How long a caller that connects may send nothing before its connection is served
/// here, with the bounds that hold here.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the other router may take to begin an answer: it ends requests by itself
/// when their time is over, so this bounds only a router that hangs. Chosen.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// How long bytes for the other router may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Bytes that are passed on at once, at most.
const BUFFER_BYTES: usize = 4 << 10;
/// What a caller gets whose request may have run at a router that was lost.
const ANSWER_LOST_RESPONSE: &[u8] =
    b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// Whether a router takes a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverAnswer {
    /// It serves one request on it.
    Taken,
    /// It has no time to spare.
    Busy,
    /// It is in a planned stop.
    Stopping,
    /// Its routing is older than the asker's.
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

/// A connection to the router that takes a caller.
type PeerStream = (BufReader<OwnedReadHalf>, OwnedWriteHalf);

/// Hands a new connection over where this router is behind its work. Returns it if it
/// is to be served here.
pub(super) async fn hand_over(
    gateway: &Arc<Gateway>,
    caller: TcpStream,
    closing: &CancellationToken,
) -> Option<TcpStream> {
    if !gateway.should_hand_over() || gateway.is_refusing() {
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
                log::debug!("gateway: router {} try_accept no connection: {error}", neighbour.host);
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
        gateway.feeds.ask_for_neighbours(&gateway.settings.host.hall);
    }
    let known = gateway.feeds.neighbours();
    let random = rand::rng().random();
    gateway.with_neighbours(|neighbours| neighbours.choose(now, &known, random))
}

async fn request_handover(gateway: &Gateway, neighbour: Neighbour) -> Result<PeerStream> {
    let open = Open::Caller { router: gateway.peers.me, version: gateway.routing_version() };
    let asking = async {
        let (mut reader, writer) = gateway.peers.connect(neighbour.peer, &open).await?;
        let answer = reader.next::<HandoverAnswer>().await?;
        Ok::<_, crate::error::Error>((answer, reader, writer))
    };
    let timeout = Duration::from_millis(gateway.rules.overload.hand_over_answer_ms);
    let Ok(asked) = tokio::time::timeout(timeout, asking).await else {
        gateway.metrics.handed_over.with_label_values(&["silent"]).inc();
        return RpcSnafu { message: "it says nothing" }.fail();
    };
    let (answer, reader, writer) = asked?;
    gateway.metrics.handed_over.with_label_values(&[answer.name()]).inc();
    match answer {
        HandoverAnswer::Taken => Ok((reader.into_inner(), writer)),
        refused => RpcSnafu { message: format!("it is {}", refused.name()) }.fail(),
    }
}

/// Passes bytes both ways until the answer is whole or either side leaves.
async fn relay_connection(
    gateway: &Arc<Gateway>,
    caller: TcpStream,
    peer: PeerStream,
    neighbour: Neighbour,
) {
    let (answers, requests) = peer;
    // Without it a router that falls silent is noticed later.
    let socket = socket2::SockRef::from(requests.as_ref());
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let (read, mut write) = caller.into_split();
    // Its caller learns by this answer that the endpoint leaves, and this router has to.
    let on_leaving = || drop(tokio::spawn(fetch_leaving_report(gateway.clone(), neighbour)));
    let mut scanner = LeavingHeaderScanner::new(gateway.header_names.leaving.clone(), on_leaving);
    let relayed = tokio::select! {
        relayed = relay_answer(answers, &mut write, &mut scanner) => relayed,
        () = relay_request(read, requests) => return,
    };
    if relayed == 0 {
        log::info!("gateway: an answer was lost at router {}", neighbour.host);
        gateway.metrics.handed_over.with_label_values(&["lost"]).inc();
        // A caller that has left needs none.
        let _ = write.write_all(ANSWER_LOST_RESPONSE).await;
    }
}

/// Returns once the caller has left.
async fn relay_request(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(read) => read,
        };
        if to.write_all(&buffer[..read]).await.is_err() {
            // The other direction notices that the router has left.
            return std::future::pending().await;
        }
    }
}

/// Returns the bytes passed on until the router has closed, or the caller has left.
async fn relay_answer(
    mut from: BufReader<OwnedReadHalf>,
    to: &mut OwnedWriteHalf,
    scanner: &mut LeavingHeaderScanner<impl Fn()>,
) -> usize {
    let mut relayed = 0;
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let reading = from.read(&mut buffer);
        let read = match relayed {
            0 => tokio::time::timeout(FIRST_ANSWER_TIMEOUT, reading).await.unwrap_or(Ok(0)),
            _ => reading.await,
        };
        let read = match read {
            Ok(0) | Err(_) => return relayed,
            Ok(read) => read,
        };
        relayed += read;
        scanner.scan(&buffer[..read]);
        if to.write_all(&buffer[..read]).await.is_err() {
            return relayed;
        }
    }
}

/// Takes connections that other routers hand over.
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
            open => log::warn!("peer: a gateway try_accept no connection {open:?}"),
        }
    }
}

async fn serve_handover(gateway: Arc<Gateway>, connection: Incoming, version: u64) {
    let Incoming { reader, mut writer, .. } = connection;
    let answer = decide_handover(&gateway, version);
    if let Err(error) = write_frame(&mut writer, &answer).await {
        log::debug!("gateway: a router that hands over has left: {error}");
    } else if answer == HandoverAnswer::Taken {
        let io = tokio::io::join(reader.into_inner(), writer);
        let never = CancellationToken::new();
        serve_requests(&gateway, io, KeepAlive::OneRequest, &never).await;
    }
    if answer == HandoverAnswer::Taken {
        gateway.with_overload(Overload::remove_connection);
    }
}

/// Where it is taken, the connection counts from here on.
fn decide_handover(gateway: &Gateway, version: u64) -> HandoverAnswer {
    if gateway.stop.is_cancelled() {
        return HandoverAnswer::Stopping;
    }
    if gateway.routing_version() < version {
        return HandoverAnswer::Behind;
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
