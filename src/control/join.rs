//! How a store without a group, or one that its group has replaced, asks to be
//! let in.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;

use super::Control;
use super::handle::NoLeader;
use crate::agree::GroupMember;
use crate::error::Result;
use crate::wire::{HostId, Open, Role, write_frame};

/// How often a store looks whether it has a leader.
const PAUSE: Duration = Duration::from_millis(300);
/// How long a store waits for a leader before it asks to be let in.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// What a store that asks to join is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Joined {
    /// It is a member.
    Member,
    /// Ask again.
    Later,
    /// Ask the leader; the host, where known.
    Elsewhere(Option<HostId>),
}

/// Asks to be let in whenever no leader has been heard of for a while.
pub(super) async fn keep_joined(control: Arc<Control>) {
    let leadership = control.handle.leadership.clone();
    let mut since = Instant::now();
    loop {
        tokio::time::sleep(PAUSE).await;
        if leadership.borrow().leader.is_some() {
            since = Instant::now();
        } else if since.elapsed() >= PATIENCE {
            ask(&control).await;
        }
    }
}

async fn ask(control: &Control) {
    let view = control.peers.view();
    for member in view.with_role(Role::Control).filter(|m| m.host != control.peers.me) {
        let newcomer = GroupMember {
            store: control.handle.store,
            host: control.peers.me,
            peer: control.peers.address,
            voter: false,
            replaces: None,
        };
        let call = call(control, member.peer, newcomer);
        if let Ok(Ok(Joined::Member)) = tokio::time::timeout(CALL_TIMEOUT, call).await {
            log::info!("control: let in by host {}", member.host);
            return;
        }
    }
}

async fn call(
    control: &Control,
    address: std::net::SocketAddr,
    newcomer: GroupMember,
) -> Result<Joined> {
    let (mut reader, _writer) = control.peers.connect(address, &Open::Join(newcomer)).await?;
    reader.next().await
}

/// Answers a store that asks.
pub(super) async fn answer(
    control: Arc<Control>,
    newcomer: GroupMember,
    mut writer: OwnedWriteHalf,
) {
    let joined = match control.handle.join(newcomer.clone()).await {
        Ok(true) => Joined::Member,
        Ok(false) | Err(NoLeader::Uncertain) => Joined::Later,
        Err(NoLeader::Unknown) => Joined::Elsewhere(None),
        Err(NoLeader::Elsewhere(host)) => Joined::Elsewhere(Some(host)),
    };
    log::info!(
        "control: host {} asks to join with store {}: {joined:?}",
        newcomer.host,
        newcomer.store
    );
    if let Err(error) = write_frame(&mut writer, &joined).await {
        log::debug!("control: a join call broke off: {error}");
    }
}
