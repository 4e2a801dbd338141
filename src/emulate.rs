//! Emulators of what the fleet works with: model engines, plain services and the platform's
//! list of hosts. Demos, tests and benchmarks use them.

pub mod engine;
pub mod fault;
pub mod platform;
pub mod service;
mod slot;
#[cfg(test)]
mod tests;

use axum::Router;
use axum::serve::ListenerExt;
use snafu::ResultExt;
use tokio::net::TcpListener;

use crate::error::{NetSnafu, Result};

/// Serves `app` on `listen` until the task is dropped.
async fn serve(listen: std::net::SocketAddr, app: Router) -> Result<()> {
    let what = format!("listen on {listen}");
    let listener = TcpListener::bind(listen).await.context(NetSnafu { what: what.clone() })?;
    let listener = listener.tap_io(crate::router::set_nodelay);
    axum::serve(listener, app).await.context(NetSnafu { what })
}
