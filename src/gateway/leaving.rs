//! Detecting leaving endpoints in the answers of requests that were handed over.
//!
//! This router relays such answers without parsing them. It scans only their heads, and when
//! one has the leaving header, requests the list of leaving endpoints from the router that
//! served the request.

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
use crate::registry::{EndpointStart, Origin};
use crate::wire::{Open, write_frame};

/// Maximum number of bytes of a head that are scanned.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of header lines of a head that are parsed.
const MAX_HEADERS: usize = 96;
/// Maximum number of starts in one report: more than a fleet has endpoints.
const MAX_LEAVING_STARTS: usize = 2_048;
/// How long to wait for the report of another router.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Scans the head of an answer for the leaving header while its bytes are relayed.
pub(super) struct LeavingHeaderScanner<F> {
    leaving: HeaderName,
    on_leaving: F,
    /// The bytes so far; `None` once the head is complete or too long.
    head: Option<Vec<u8>>,
}

impl<F: Fn()> LeavingHeaderScanner<F> {
    /// Calls `on_leaving` once a head has the header `leaving`.
    pub fn new(leaving: HeaderName, on_leaving: F) -> LeavingHeaderScanner<F> {
        LeavingHeaderScanner { leaving, on_leaving, head: Some(Vec::new()) }
    }

    /// Scans the next bytes of the answer.
    pub fn scan(&mut self, bytes: &[u8]) {
        let Some(head) = &mut self.head else { return };
        head.extend_from_slice(bytes);
        match parse_leaving(head, &self.leaving) {
            Some(is_leaving) => {
                if is_leaving {
                    (self.on_leaving)();
                }
                self.head = None;
            }
            None if head.len() > MAX_HEAD_BYTES => self.head = None,
            None => {}
        }
    }
}

/// Whether a head has the leaving header; `None` while the head is incomplete.
fn parse_leaving(head: &[u8], leaving: &HeaderName) -> Option<bool> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(head) {
        Ok(httparse::Status::Partial) => None,
        Ok(httparse::Status::Complete(_)) => Some(response.headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case(leaving.as_str())
                && header.value.trim_ascii() == crate::notice::LEAVING_VALUE
        })),
        // Bytes that are no valid head contain no notice.
        Err(_) => Some(false),
    }
}

/// Leaving endpoints as reported by one router to another.
#[derive(Debug, Default, Serialize, Deserialize)]
struct LeavingReport {
    /// Starts that are leaving.
    starts: Vec<EndpointStart>,
    /// Starts that were the latest known when an answer reported leaving, and the addresses it
    /// came from: the answer may have been a later start's.
    unattributed: Vec<(EndpointStart, SocketAddr)>,
}

/// Requests the report from the router that served a request, and applies it.
pub(super) async fn fetch_leaving_report(gateway: Arc<Gateway>, neighbour: Neighbour) {
    let result =
        tokio::time::timeout(REPORT_TIMEOUT, request_leaving_report(&gateway, neighbour)).await;
    let report = result.unwrap_or_else(|_| RpcSnafu { message: "no report in time" }.fail());
    match report {
        Ok(report) => apply_leaving_report(&gateway, &report),
        Err(error) => {
            let host = neighbour.host;
            log::info!("gateway: router {host} did not report leaving endpoints: {error}");
        }
    }
}

fn apply_leaving_report(gateway: &Arc<Gateway>, report: &LeavingReport) {
    gateway.registry.record_leaving(&report.starts, Origin::Relayed);
    let now = gateway.now();
    let leaving_notice = Notice { is_leaving: true, ..Notice::default() };
    for (start, address) in &report.unattributed {
        let (id, started_at_ms) = (start.id.as_str(), start.started_at_ms);
        let start = StartAddress { id, started_at_ms, address: *address };
        gateway.with_endpoints(|endpoints| {
            endpoints.unattributed().record(now, start, &leaving_notice)
        });
        gateway.check_if_uncertain(id);
    }
}

async fn request_leaving_report(gateway: &Gateway, neighbour: Neighbour) -> Result<LeavingReport> {
    let open = Open::Leaving { router: gateway.peers.me };
    let (mut reader, _writer) = gateway.peers.connect(neighbour.peer, &open).await?;
    reader.next().await
}

/// Sends the leaving endpoints to another router.
pub(super) async fn send_leaving_report(gateway: Arc<Gateway>, mut writer: OwnedWriteHalf) {
    let starts = gateway.registry.read(|registry| registry.leaving(MAX_LEAVING_STARTS));
    let unattributed = gateway.with_endpoints(|endpoints| {
        let leaving = endpoints.unattributed().leaving(MAX_LEAVING_STARTS);
        leaving.map(|start| (EndpointStart::from(start), start.address)).collect()
    });
    if let Err(error) = write_frame(&mut writer, &LeavingReport { starts, unattributed }).await {
        log::debug!("gateway: cannot send the report of leaving endpoints: {error}");
    }
}
