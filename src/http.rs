//! Serving HTTP to operators and endpoints.

use std::net::SocketAddr;

use axum::serve::ListenerExt;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::error::{NetSnafu, Result};
use crate::router::set_nodelay;

/// Listens on `listen` and serves `app` beside everything else until `stop`.
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
