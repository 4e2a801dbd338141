//! Reports of leaving endpoints between routers. A router that relays an answer whose head has
//! the leaving header requests the report from the router that served the request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::tcp::OwnedWriteHalf;

use super::state::Gateway;
use crate::error::{Result, RpcSnafu};
use crate::feed::Neighbour;
use crate::notice::{Notice, StartAddress};
use crate::registry::{EndpointStart, Origin};
use crate::wire::{Open, write_frame};

/// Maximum number of starts in one report: more than a fleet has endpoints.
const MAX_LEAVING_STARTS: usize = 2_048;
/// How long to wait for the report of another router.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

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
