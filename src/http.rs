//! HTTP servers for the metrics and readiness pages of the gateway and the interface of control
//! hosts.

use std::net::SocketAddr;

use axum::serve::ListenerExt;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::error::{NetSnafu, Result};
use crate::router::set_nodelay;

/// Binds `listen` and serves `app` in a background task until `stop` is cancelled.
pub async fn serve(listen: SocketAddr, app: axum::Router, stop: &CancellationToken) -> Result<()> {
    let listener = TcpListener::bind(listen).await;
    let listener = listener.with_context(|_| NetSnafu { what: format!("listen on {listen}") })?;
    let listener = listener.tap_io(set_nodelay);
    let stop = stop.clone();
    tokio::spawn(async move {
        let server = axum::serve(listener, app);
        let served = server.with_graceful_shutdown(stop.cancelled_owned()).await;
        if let Err(error) = served {
            log::error!("http: {listen}: {error}");
        }
    });
    Ok(())
}
