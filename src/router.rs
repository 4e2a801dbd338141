//! The router process: accepts requests of callers, gets grants from dispatchers and calls
//! endpoints.

mod dispatchers;
mod link;
mod notices;
mod reach;
mod run_once;
mod serve;

mod state;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower::ServiceExt;

use crate::caller;
use crate::caller_connection::{self, ConnectionLimits, KeepAlive, OpenAnswers, serve_connection};
use crate::error::{NetSnafu, Result};
use crate::peer::{Incoming, Peers};
use crate::settings::RouterSettings;
use crate::spread;
use crate::wire::{Open, Role};

pub use serve::Request;

pub use state::Router;

/// Time for which a starting router collects configurations from reachable hosts before it accepts
/// requests, so that it starts with the newest of them.
const CONFIG_DISCOVERY_TIME: Duration = Duration::from_millis(1_200);

/// Maximum time for which it then waits for a control host. An election takes one or two seconds,
/// longer on a busy host.
const CONTROL_WAIT_TIMEOUT: Duration = Duration::from_secs(6);
/// Largest head of a request in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Interval at which it checks for a control host.
const CONTROL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a router until `stop` is cancelled, then waits up to the drain limit for requests in flight
/// to finish.
pub async fn run(settings: RouterSettings, stop: CancellationToken) -> Result<()> {
    settings.check()?;
    let (peers, incoming) = Peers::start(&settings.host, Role::Router, settings.operator).await?;
    let router = Router::new(settings, peers, stop.clone());
    router.start_tasks();
    tokio::spawn(accept_connections(router.clone(), incoming));
    let operator = router.settings.operator;
    tokio::spawn(crate::operator::serve_router(router.clone(), operator));
    wait_for_config(&router, &stop).await;
    wait_for_control_host(&router, &stop).await;
    serve_callers(router, stop).await
}

/// Waits until the configuration is as new as any in reach, so that a router that restarts without
/// stored state never serves an older configuration than one it could have received.
async fn wait_for_config(router: &Router, stop: &CancellationToken) {
    let mut version = router.configs.watch();
    tokio::time::sleep(CONFIG_DISCOVERY_TIME).await;
    while version.borrow_and_update().version == 0 {
        log::info!("router: waiting for a configuration");
        tokio::select! {
            changed = version.changed() => if changed.is_err() { return },
            () = stop.cancelled() => return,
        }
    }
}

/// Waits for a feed from a control host that has caught up with the leader: before that, a router
/// has no list of the requests that crash endpoints. If no such host is in reach, it serves
/// requests without that list after [`CONTROL_WAIT_TIMEOUT`].
async fn wait_for_control_host(router: &Router, stop: &CancellationToken) {
    let caught_up = async {
        while !router.feeds.is_current() {
            tokio::time::sleep(CONTROL_POLL_INTERVAL).await;
        }
        // The agreed state arrives right after the name of the leader.
        tokio::time::sleep(CONTROL_POLL_INTERVAL).await;
    };
    tokio::select! {
        waited = tokio::time::timeout(CONTROL_WAIT_TIMEOUT, caught_up) => if waited.is_err() {
            log::warn!("router: no control host has caught up with a leader; serving without one");
        },
        () = stop.cancelled() => {}
    }
}

async fn serve_callers(router: Arc<Router>, stop: CancellationToken) -> Result<()> {
    let listen = router.settings.listen;
    let what = format!("listen for callers on {listen}");
    let listener = caller_connection::listen(listen).context(NetSnafu { what })?;
    log::info!("router: host {} accepts requests on {listen}", router.peers.me);
    let drain = Duration::from_millis(router.settings.drain_ms);
    let app = caller::app(router.clone());
    let connections = TaskTracker::new();
    let answers = Arc::<OpenAnswers>::default();
    tokio::select! {
        () = accept_callers(listener, app, &connections, &answers, &stop) => {}
        () = stop.cancelled() => {}
    }
    log::info!("router: planned stop begins, {} answers not yet written", answers.count());
    router.begin_stop();
    connections.close();
    if tokio::time::timeout(drain, connections.wait()).await.is_err() {
        log::warn!("router: drain limit reached, {} answers cut off", answers.count());
    }
    router.finish_run_once_calls().await;
    log::info!("router: stopped");
    Ok(())
}

/// Accepts callers' connections. Once `stop` is cancelled, each is closed as soon as it is idle.
async fn accept_callers(
    listener: TcpListener,
    app: axum::Router,
    connections: &TaskTracker,
    answers: &Arc<OpenAnswers>,
    stop: &CancellationToken,
) {
    let limits = ConnectionLimits {
        keep_alive: KeepAlive::UntilClosed,
        head_timeout: None,
        max_buffer: Some(MAX_HEAD_BYTES),
    };
    loop {
        let mut stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("router: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        set_nodelay(&mut stream);
        let (app, answers, stop) = (app.clone(), answers.clone(), stop.clone());
        connections.spawn(async move {
            let serve = |request: axum::http::Request<hyper::body::Incoming>| {
                let serving = app.clone().oneshot(request.map(Body::new));
                async { serving.await.unwrap_or_else(|never| match never {}) }
            };
            serve_connection(stream, limits, serve, stop.cancelled(), &answers).await;
        });
    }
}

/// Sets `TCP_NODELAY`. Without it, the end of a stream waits until the caller has acknowledged the
/// event before, which TCP delays.
pub(crate) fn set_nodelay(stream: &mut TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller: cannot set TCP_NODELAY on a connection: {error}");
    }
}

async fn accept_connections(router: Arc<Router>, mut incoming: mpsc::Receiver<Incoming>) {
    while let Some(Incoming { open, reader, writer }) = incoming.recv().await {
        match open {
            Open::Dispatch { router: from, service, session } => {
                router.dispatchers.attach(from, service, session, reader, writer);
            }
            Open::Pull { held_version, .. } => {
                tokio::spawn(spread::answer_pull(
                    router.configs.clone(),
                    router.peers.sent.clone(),
                    held_version,
                    writer,
                ));
            }
            Open::Agree { .. }
            | Open::Identify
            | Open::Join(_)
            | Open::Leave(_)
            | Open::Feed { .. }
            | Open::Place { .. }
            | Open::Claims { .. }
            | Open::Leaving { .. }
            | Open::Directory { .. }
            | Open::Caller { .. } => {
                log::warn!("peer: a router does not accept this kind of connection");
            }
        }
    }
}
