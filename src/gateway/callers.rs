//! Requests that come on one caller's connection.

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

/// The smallest buffer that the HTTP library takes, in bytes.
const MIN_BUFFER_BYTES: usize = 16 << 10;

/// How many requests may come on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeepAlive {
    /// One; its answer says so.
    OneRequest,
    /// As many as come, until it has been idle for long.
    UntilIdle,
}

/// Serves what comes on a caller's connection, until it ends or `closing` says that it
/// should end once it is idle.
pub(super) async fn serve_requests(
    gateway: &Arc<Gateway>,
    io: impl AsyncRead + AsyncWrite + Unpin + Send,
    keep_alive: KeepAlive,
    closing: &CancellationToken,
) {
    let limits = gateway.documents.current().map(|r| r.table.limits.clone()).unwrap_or_default();
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
        log::debug!("gateway: a caller's connection: {error}");
    }
}
