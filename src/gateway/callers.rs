//! Serving the requests on one caller's connection.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::request;
use super::state::Gateway;
use crate::caller_connection::{CallerIo, ConnectionLimits, KeepAlive, serve_connection};

/// The smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 16 << 10;

/// Serves the requests on a caller's connection until it closes. Once `closing` is cancelled,
/// the connection is closed as soon as it is idle.
pub(super) async fn serve_requests(
    gateway: &Arc<Gateway>,
    io: impl CallerIo,
    keep_alive: KeepAlive,
    closing: &CancellationToken,
) {
    let limits = gateway.routing.current().map(|r| r.table.limits.clone()).unwrap_or_default();
    let limits = ConnectionLimits {
        keep_alive,
        head_timeout: Some(Duration::from_millis(limits.idle_timeout_ms)),
        max_buffer: Some(limits.max_header_bytes.max(MIN_BUFFER_BYTES)),
    };
    let is_refusing = gateway.planned_stop.is_refusing();
    let closing = async {
        match is_refusing {
            true => std::future::pending().await,
            false => closing.cancelled().await,
        }
    };
    let serve = |request| request::serve(gateway.clone(), request);
    serve_connection(io, limits, serve, closing, &gateway.answers).await;
}
