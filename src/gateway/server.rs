//! The gateway's process: connections of callers, readiness, planned stop.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::callers::serve_requests;
use super::directory;
use super::handover::{accept_handovers, hand_over};
use super::header_names::HeaderNames;
use super::overload::Overload;
use super::rollouts;
use super::state::{Gateway, follow_registry};
use super::version_checks;
use crate::caller_connection::{self, KeepAlive};
use crate::clock::BootInstant;
use crate::error::{NetSnafu, Result};
use crate::peer::Peers;
use crate::quarantine::report_crashes;
use crate::settings::{GatewaySettings, RouterSettings};
use crate::wire::Role;

/// How often a planned stop checks whether all answers are written.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time by which a planned stop ends before the limit at which the process is killed.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of a planned stop in which requests without an answer are answered by the
/// gateway itself.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(300);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections for readiness and metrics that may be open.
const MAX_READY_CONNECTIONS: usize = 256;

/// Runs a gateway until `stop` is cancelled, then lets requests in flight finish.
pub async fn run(
    settings: RouterSettings,
    rules: GatewaySettings,
    header_names: Arc<HeaderNames>,
    stop: CancellationToken,
) -> Result<()> {
    settings.check()?;
    let (peers, incoming) = Peers::start(&settings.host, Role::Router, settings.operator).await?;
    let gateway = Gateway::new(settings, rules, peers, header_names, stop.clone());
    tokio::spawn(accept_handovers(gateway.clone(), incoming));
    let datagrams = gateway.peers.receive_stream_datagrams();
    tokio::spawn(gateway.records.clone().receive(datagrams));
    tokio::spawn(directory::follow(gateway.clone()));
    tokio::spawn(version_checks::watch_feeds(gateway.clone()));
    tokio::spawn(follow_registry(gateway.clone()));
    tokio::spawn(rollouts::report(gateway.clone()));
    tokio::spawn(report_crashes(gateway.guard.clone(), gateway.feeds.clone()));
    serve_readiness(&gateway).await?;
    let listen = gateway.settings.listen;
    let listener = caller_connection::listen(listen);
    let listener =
        listener.context(NetSnafu { what: format!("listen for callers on {listen}") })?;
    log::info!("gateway: host {} accepts requests on {listen}", gateway.peers.me);
    let closing = CancellationToken::new();
    tokio::spawn(accept(gateway.clone(), listener, closing.clone()));
    stop.cancelled().await;
    stop_gracefully(&gateway, &closing).await;
    Ok(())
}

/// Accepts requests for a while longer, since the platform still sends some; then closes
/// connections as they fall idle, and waits for the remaining answers to be written. Requests that
/// have no answer shortly before the limit get one from the gateway.
async fn stop_gracefully(gateway: &Gateway, closing: &CancellationToken) {
    log::info!("gateway: planned stop begins, {}", open_work(gateway));
    gateway.peers.set_draining();
    let limit = Duration::from_secs_f64(gateway.rules.stop_within_s).saturating_sub(STOP_MARGIN);
    let accept_time = Duration::from_millis(gateway.rules.stop_takes_ms).min(limit / 2);
    let deadline = Instant::now() + limit;
    let answers_time = limit.saturating_sub(LAST_ANSWERS_TIME);
    gateway.planned_stop.begin(BootInstant::now() + answers_time);
    let answers_until = Instant::now() + answers_time;
    tokio::time::sleep(accept_time).await;
    gateway.planned_stop.stop_accepting();
    closing.cancel();
    log::info!("gateway: no new requests are taken, {}", open_work(gateway));
    wait_until_written(gateway, answers_until).await;
    gateway.planned_stop.end_answers();
    gateway.records.hand_over().await;
    wait_until_written(gateway, deadline).await;
    match gateway.unfinished() {
        0 => log::info!("gateway: stopped, all answers written"),
        _ => log::warn!("gateway: stopped at its limit, cutting off {}", open_work(gateway)),
    }
}

/// Waits until every answer is with its caller's kernel, or its caller gone.
async fn wait_until_written(gateway: &Gateway, deadline: Instant) {
    while gateway.unfinished() > 0 && Instant::now() < deadline {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}

/// What a planned stop waits for, for the log.
fn open_work(gateway: &Gateway) -> String {
    let in_flight = gateway.in_flight();
    let written = gateway.unfinished().saturating_sub(in_flight);
    format!("{in_flight} requests in flight, {written} answers still being written")
}

async fn serve_readiness(gateway: &Arc<Gateway>) -> Result<()> {
    let app = axum::Router::new()
        .route("/ready", get(ready))
        .route("/metrics", get(async |State(g): State<Arc<Gateway>>| g.render_metrics()))
        .with_state(gateway.clone());
    let never = CancellationToken::new();
    let max = MAX_READY_CONNECTIONS;
    crate::http::serve(gateway.rules.ready, app.clone(), max, &never).await?;
    if let Some(metrics) = gateway.rules.metrics {
        crate::http::serve(metrics, app, max, &never).await?;
    }
    Ok(())
}

async fn ready(State(gateway): State<Arc<Gateway>>) -> StatusCode {
    let has_routing = gateway.routing.current().is_some();
    let has_capacity = gateway.with_overload(|overload| overload.is_ready());
    let ready = !gateway.stop.is_cancelled() && has_routing && has_capacity;
    match ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn accept(gateway: Arc<Gateway>, listener: TcpListener, closing: CancellationToken) {
    loop {
        match listener.accept().await {
            // Closed before any request is read, so the caller may safely retry at another router.
            Ok((stream, _)) if !add_connection(&gateway) => drop(stream),
            Ok((stream, _)) => {
                tokio::spawn(serve_caller(gateway.clone(), stream, closing.clone()));
            }
            Err(error) => {
                log::warn!("gateway: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts a new connection, in place of one that waits for a request where no more can be held.
/// Returns false if there is none.
fn add_connection(gateway: &Gateway) -> bool {
    if gateway.with_overload(Overload::try_add_connection) {
        return true;
    }
    let makes_way = gateway.answers.close_longest_waiting();
    if makes_way {
        gateway.with_overload(Overload::add_connection);
    }
    makes_way
}

async fn serve_caller(gateway: Arc<Gateway>, stream: TcpStream, closing: CancellationToken) {
    // Without it, events are delayed until the caller's delayed acknowledgements arrive.
    let _ = stream.set_nodelay(true);
    if let Some(stream) = hand_over(&gateway, stream, &closing).await {
        serve_requests(&gateway, stream, KeepAlive::UntilClosed, &closing).await;
    }
    gateway.with_overload(Overload::remove_connection);
}
