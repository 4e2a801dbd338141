//! Hands the vote of a store that is stopped as planned over to a store that waits for one.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

use super::Control;
use super::handle::NoLeader;
use crate::agree::{Departure, StoreId};
use crate::error::Result;
use crate::wire::{HostId, Open, write_frame};

/// Time limit of a departure. The group replaces a store that stops before it is complete once
/// the store has been silent for long enough.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two requests.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The answer to a store that asks to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum LeaveReply {
    /// The store does not vote any more.
    Left,
    /// Ask again later: it is being replaced, or the outcome is unknown.
    Later,
    /// There is no store to replace it.
    Kept,
    /// This host does not lead. Holds the leader's host, where known.
    Elsewhere(Option<HostId>),
}

impl LeaveReply {
    fn of(departure: std::result::Result<Departure, NoLeader>) -> LeaveReply {
        match departure {
            Ok(Departure::Left) => LeaveReply::Left,
            Ok(Departure::Kept) => LeaveReply::Kept,
            Ok(Departure::Pending) | Err(NoLeader::Uncertain) => LeaveReply::Later,
            Err(NoLeader::Elsewhere(host)) => LeaveReply::Elsewhere(Some(host)),
            Err(NoLeader::Unknown) => LeaveReply::Elsewhere(None),
        }
    }
}

/// Waits until this store does not vote any more, if another one can take its place in time.
pub(super) async fn leave(control: &Control) {
    match timeout(LEAVE_TIMEOUT, ask_to_leave(control)).await {
        Ok(reply) => log::info!("control: this store leaves the group: {reply:?}"),
        Err(_) => log::warn!("control: this store stops before another one has replaced it"),
    }
}

async fn ask_to_leave(control: &Control) -> LeaveReply {
    let store = control.handle.store;
    loop {
        let mut reply = LeaveReply::of(control.handle.leave(store).await);
        if let LeaveReply::Elsewhere(Some(leader)) = reply {
            let asked = timeout(REQUEST_TIMEOUT, send_request(control, leader)).await;
            reply = asked.ok().and_then(|r| r.ok()).unwrap_or(LeaveReply::Later);
        }
        match reply {
            LeaveReply::Left | LeaveReply::Kept => return reply,
            LeaveReply::Later | LeaveReply::Elsewhere(_) => {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn send_request(control: &Control, leader: HostId) -> Result<LeaveReply> {
    let hosts = control.handle.leadership.borrow().hosts.clone();
    let Some((_, address)) = hosts.into_iter().find(|(host, _)| *host == leader) else {
        return Ok(LeaveReply::Elsewhere(None));
    };
    let open = Open::Leave(control.handle.store);
    let (mut reader, _writer) = control.peers.connect(address, &open).await?;
    reader.next().await
}

/// Answers a store that asks to leave.
pub(super) async fn answer(control: Arc<Control>, store: StoreId, mut writer: OwnedWriteHalf) {
    let reply = LeaveReply::of(control.handle.leave(store).await);
    log::info!("control: store {store} asks to leave: {reply:?}");
    if let Err(error) = write_frame(&mut writer, &reply).await {
        log::debug!("control: a request to leave ended early: {error}");
    }
}
