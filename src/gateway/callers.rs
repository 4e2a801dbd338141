//! Serving the requests on one caller's connection.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::sync::CancellationToken;

use super::request;
use super::state::Gateway;

/// The smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 16 << 10;

/// How many requests may be sent on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeepAlive {
    /// One; its answer closes the connection.
    OneRequest,
    /// Any number, until the connection has been idle for the idle timeout.
    UntilIdle,
}

/// Serves the requests on a caller's connection until it closes. Once `closing` is cancelled,
/// the connection is closed as soon as it is idle.
pub(super) async fn serve_requests(
    gateway: &Arc<Gateway>,
    io: impl AsyncRead + AsyncWrite + Unpin + Send,
    keep_alive: KeepAlive,
    closing: &CancellationToken,
) {
    let limits = gateway.routing.current().map(|r| r.table.limits.clone()).unwrap_or_default();
    let service = service_fn(|call| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(request::serve(gateway, call).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(keep_alive == KeepAlive::UntilIdle)
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(io), service);
    tokio::pin!(connection);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = closing.cancelled(), if !gateway.is_refusing() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!("gateway: connection of a caller failed: {error}");
    }
}
