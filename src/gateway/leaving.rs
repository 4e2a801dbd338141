//! What a router that hands requests over learns of endpoints that leave.
//!
//! It passes answers on unread, so it looks at their heads only, and asks the router that
//! served a request which endpoints it knows to leave.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::http::HeaderName;
use serde::{Deserialize, Serialize};
use tokio::net::tcp::OwnedWriteHalf;

use super::state::Gateway;
use crate::error::{Result, RpcSnafu};
use crate::feed::Neighbour;
use crate::notice::{Notice, StartAddress};
use crate::registry::{EndpointStart, Hearing};
use crate::wire::{Open, write_frame};

/// Bytes of a head that are looked at.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Lines of a head that are looked at.
const MAX_HEADERS: usize = 96;
/// Endpoints that a router tells another of at most: more than a fleet has.
const MAX_LEAVING_STARTS: usize = 2_048;
/// How long the other router may take to tell.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Looks at the head of an answer as its bytes pass.
pub(super) struct LeavingHeaderScanner<F> {
    leaving: HeaderName,
    on_leaving: F,
    /// The bytes so far; none once the head was whole, or is too long.
    head: Option<Vec<u8>>,
}

impl<F: Fn()> LeavingHeaderScanner<F> {
    /// Calls `on_leaving` once a head says by the header `leaving` that its endpoint leaves.
    pub fn new(leaving: HeaderName, on_leaving: F) -> LeavingHeaderScanner<F> {
        LeavingHeaderScanner { leaving, on_leaving, head: Some(Vec::new()) }
    }

    /// More bytes passed.
    pub fn scan(&mut self, bytes: &[u8]) {
        let Some(head) = &mut self.head else { return };
        head.extend_from_slice(bytes);
        match parse_leaving(head, &self.leaving) {
            Some(leaves) => {
                if leaves {
                    (self.on_leaving)();
                }
                self.head = None;
            }
            None if head.len() > MAX_HEAD_BYTES => self.head = None,
            None => {}
        }
    }
}

/// Whether a head says that its endpoint leaves; none while it is not whole.
fn parse_leaving(head: &[u8], leaving: &HeaderName) -> Option<bool> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(head) {
        Ok(httparse::Status::Partial) => None,
        Ok(httparse::Status::Complete(_)) => Some(response.headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case(leaving.as_str())
                && header.value.trim_ascii() == crate::notice::LEAVING_VALUE
        })),
        // What is no head says nothing.
        Err(_) => Some(false),
    }
}

/// What a router knows of endpoints that leave.
#[derive(Debug, Default, Serialize, Deserialize)]
struct LeavingReport {
    /// Starts that leave.
    starts: Vec<EndpointStart>,
    /// Starts that were known when an answer said so, and where that came from: it may have
    /// been a later start's.
    unattributed: Vec<(EndpointStart, SocketAddr)>,
}

/// Asks the router that served a request which endpoints leave.
pub(super) async fn fetch_leaving_report(gateway: Arc<Gateway>, neighbour: Neighbour) {
    let asked =
        tokio::time::timeout(REPORT_TIMEOUT, request_leaving_report(&gateway, neighbour)).await;
    let report = asked.unwrap_or_else(|_| RpcSnafu { message: "it says nothing" }.fail());
    match report {
        Ok(report) => apply_leaving_report(&gateway, &report),
        Err(error) => {
            let host = neighbour.host;
            log::info!("gateway: router {host} does not tell which endpoints leave: {error}");
        }
    }
}

fn apply_leaving_report(gateway: &Arc<Gateway>, report: &LeavingReport) {
    gateway.registry.leave(&report.starts, Hearing::SecondHand);
    let now = gateway.now();
    let leaves = Notice { leaves: true, ..Notice::default() };
    for (start, address) in &report.unattributed {
        let (id, started_at_ms) = (start.id.as_str(), start.started_at_ms);
        let start = StartAddress { id, started_at_ms, address: *address };
        gateway.with_endpoints(|seen| seen.unattributed().record(now, start, &leaves));
        gateway.check_if_uncertain(id);
    }
}

async fn request_leaving_report(gateway: &Gateway, neighbour: Neighbour) -> Result<LeavingReport> {
    let open = Open::Leaving { router: gateway.peers.me };
    let (mut reader, _writer) = gateway.peers.connect(neighbour.peer, &open).await?;
    reader.next().await
}

/// Tells another router which endpoints leave.
pub(super) async fn send_leaving_report(gateway: Arc<Gateway>, mut writer: OwnedWriteHalf) {
    let starts = gateway.registry.read(|registry| registry.leaving(MAX_LEAVING_STARTS));
    let unattributed = gateway.with_endpoints(|seen| {
        let leaving = seen.unattributed().leaving(MAX_LEAVING_STARTS);
        leaving.map(|start| (EndpointStart::from(start), start.address)).collect()
    });
    if let Err(error) = write_frame(&mut writer, &LeavingReport { starts, unattributed }).await {
        log::debug!("gateway: a router that asked which endpoints leave has left: {error}");
    }
}
