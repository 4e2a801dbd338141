//! HTTP servers for the metrics and readiness pages of the gateway and the interface of control
//! hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::Request;
use hyper::body::Incoming;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tower::ServiceExt;

use crate::caller_connection::{
    ConnectionLimits, KeepAlive, OpenAnswers, listen, serve_connection,
};
use crate::error::{NetSnafu, Result};
use crate::router::set_nodelay;

/// Largest head of a request in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Binds `address` and serves `app` in a background task until `stop` is cancelled, on up to
/// `max_connections` connections. Beyond that the one that has waited longest for a request is
/// closed for a new one. Returns the answers that are not yet written in full.
pub async fn serve(
    address: SocketAddr,
    app: axum::Router,
    max_connections: usize,
    stop: &CancellationToken,
) -> Result<Arc<OpenAnswers>> {
    let listener = listen(address);
    let listener = listener.with_context(|_| NetSnafu { what: format!("listen on {address}") })?;
    let answers = Arc::<OpenAnswers>::default();
    let server = Server {
        app,
        places: Arc::new(Semaphore::new(max_connections)),
        answers: answers.clone(),
        stop: stop.clone(),
    };
    tokio::spawn(server.run(listener));
    Ok(answers)
}

struct Server {
    app: axum::Router,
    /// One for each connection that may be open.
    places: Arc<Semaphore>,
    answers: Arc<OpenAnswers>,
    stop: CancellationToken,
}

impl Server {
    async fn run(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.stop.cancelled() => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    if let Some(place) = self.find_place().await {
                        self.serve(stream, place);
                    }
                }
                Err(error) => {
                    log::warn!("http: accept failed: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// A place for a new connection; `None` if all others are serving requests.
    async fn find_place(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(place) = self.places.clone().try_acquire_owned() {
            return Some(place);
        }
        match self.answers.close_longest_waiting() {
            true => self.places.clone().acquire_owned().await.ok(),
            false => None,
        }
    }

    fn serve(&self, mut stream: TcpStream, place: OwnedSemaphorePermit) {
        set_nodelay(&mut stream);
        let limits = ConnectionLimits {
            keep_alive: KeepAlive::UntilClosed,
            head_timeout: None,
            max_buffer: Some(MAX_HEAD_BYTES),
        };
        let (app, answers, stop) = (self.app.clone(), self.answers.clone(), self.stop.clone());
        tokio::spawn(async move {
            let _place = place;
            let serve = |request: Request<Incoming>| {
                let serving = app.clone().oneshot(request.map(Body::new));
                async { serving.await.unwrap_or_else(|never| match never {}) }
            };
            serve_connection(stream, limits, serve, stop.cancelled(), &answers).await;
        });
    }
}
