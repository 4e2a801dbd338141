//! The router process: callers' requests in, dispatch among peers, calls out.

mod dispatchers;
mod link;
mod notices;
mod once;
mod reach;
mod serve;

mod state;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use axum::serve::ListenerExt;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::caller;
use crate::error::{NetSnafu, Result};
use crate::peer::{Incoming, Peers};
use crate::settings::RouterSettings;
use crate::spread;
use crate::wire::{Open, Role};

pub use serve::Request;

pub use state::Router;

/// How long a starting router looks for the newest configuration in reach
/// before it takes requests.
const SETTLE: Duration = Duration::from_millis(1_200);

/// How long it waits for a control host after that: an election takes a second or two, on a
/// busy host some more.
const HEARING: Duration = Duration::from_secs(6);
/// How often it looks.
const POLL: Duration = Duration::from_millis(50);

/// Runs a router until `stop`, then lets every request in flight finish.
pub async fn run(settings: RouterSettings, stop: CancellationToken) -> Result<()> {
    settings.check()?;
    let (peers, incoming) = Peers::start(&settings.host, Role::Router, settings.operator).await?;
    let router = Router::new(settings, peers, stop.clone());
    router.start_tasks();
    tokio::spawn(take_connections(router.clone(), incoming));
    let operator = router.settings.operator;
    tokio::spawn(crate::operator::serve_router(router.clone(), operator));
    settle(&router, &stop).await;
    hear_control_hosts(&router, &stop).await;
    serve_callers(router, stop).await
}

/// Waits until the configuration is as new as any in reach, so that a router
/// back empty never serves an older one than it could have learned.
async fn settle(router: &Router, stop: &CancellationToken) {
    let mut version = router.configs.watch();
    tokio::time::sleep(SETTLE).await;
    while version.borrow_and_update().version == 0 {
        log::info!("router: waiting for a configuration");
        tokio::select! {
            changed = version.changed() => if changed.is_err() { return },
            () = stop.cancelled() => return,
        }
    }
}

/// Waits until a control host that has caught up with the leader is heard: before that a
/// router does not know which requests crash endpoints. Out of reach of them it serves
/// what it can.
async fn hear_control_hosts(router: &Router, stop: &CancellationToken) {
    let heard = async {
        while !router.feeds.is_current() {
            tokio::time::sleep(POLL).await;
        }
        // What they agreed on comes right behind who leads.
        tokio::time::sleep(POLL).await;
    };
    tokio::select! {
        heard = tokio::time::timeout(HEARING, heard) => if heard.is_err() {
            log::warn!("router: no control host has caught up with a leader, serves without");
        },
        () = stop.cancelled() => {}
    }
}

async fn serve_callers(router: Arc<Router>, stop: CancellationToken) -> Result<()> {
    let listen = router.settings.listen;
    let what = format!("listen for callers on {listen}");
    let listener = TcpListener::bind(listen).await;
    let listener = listener.context(NetSnafu { what: what.clone() })?.tap_io(set_nodelay);
    log::info!("router: host {} takes requests on {listen}", router.peers.me);
    let drain = Duration::from_millis(router.settings.drain_ms);
    let app = caller::app(router.clone());
    let stopping = stop.clone();
    let leaving = router.clone();
    let server = axum::serve(listener, app).with_graceful_shutdown(async move {
        stopping.cancelled().await;
        leaving.begin_stop();
    });
    let expired = async {
        stop.cancelled().await;
        tokio::time::sleep(drain).await;
    };
    tokio::select! {
        served = async { server.await } => served.context(NetSnafu { what })?,
        () = expired => log::warn!("router: requests still in flight at the drain limit"),
    }
    router.finish_runs().await;
    log::info!("router: stopped");
    Ok(())
}

/// Without it the end of a stream waits for the caller's delayed
/// acknowledgement of the event before.
pub(crate) fn set_nodelay(stream: &mut TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller: a connection stays slow: {error}");
    }
}

async fn take_connections(router: Arc<Router>, mut incoming: mpsc::Receiver<Incoming>) {
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
            | Open::Feed { .. }
            | Open::Place { .. }
            | Open::Claims { .. }
            | Open::Leaving { .. }
            | Open::Caller { .. } => {
                log::warn!("peer: a router takes no such connection");
            }
        }
    }
}
