//! Requests membership for a store without a group or one that its group has replaced, and
//! answers such requests.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;

use super::Control;
use super::handle::NoLeader;
use crate::agree::GroupMember;
use crate::error::Result;
use crate::wire::{HostId, Open, Role, write_frame};

/// How often a store checks whether it has a leader.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// How long a store goes without a leader before it asks to join.
const LEADER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long an empty store waits instead, which no leader can know yet.
const EMPTY_STORE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit of one join request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// The answer to a store that asks to join.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum JoinReply {
    /// The store is a member.
    Member,
    /// Ask again later: another change of the group is under way, or its outcome is unknown.
    Later,
    /// This host does not lead. Holds the leader's host, where known.
    Elsewhere(Option<HostId>),
}

/// Asks to join whenever no leader is known for `LEADER_TIMEOUT`, or at once with an empty store.
pub(super) async fn keep_joined(control: Arc<Control>) {
    let leadership = control.handle.leadership.clone();
    let mut last_leader_at = Instant::now();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let (is_led, has_group) = {
            let current = leadership.borrow();
            (current.leader.is_some(), current.is_bootstrapped)
        };
        // At the first start of the fleet there is no group to join yet.
        let may_have_leader = has_group || control.settings.found_with_seeds;
        let timeout = if may_have_leader { LEADER_TIMEOUT } else { EMPTY_STORE_TIMEOUT };
        if is_led {
            last_leader_at = Instant::now();
        } else if last_leader_at.elapsed() >= timeout {
            request_join(&control).await;
        }
    }
}

async fn request_join(control: &Control) {
    let view = control.peers.view();
    for member in view.with_role(Role::Control).filter(|m| m.host != control.peers.me) {
        let new_member = GroupMember {
            store: control.handle.store,
            host: control.peers.me,
            peer: control.peers.address,
            voter: false,
            replaces: None,
        };
        let reply = send_request(control, member.peer, new_member);
        if let Ok(Ok(JoinReply::Member)) = tokio::time::timeout(REQUEST_TIMEOUT, reply).await {
            log::info!("control: joined the group through host {}", member.host);
            return;
        }
    }
}

async fn send_request(
    control: &Control,
    address: std::net::SocketAddr,
    new_member: GroupMember,
) -> Result<JoinReply> {
    let (mut reader, _writer) = control.peers.connect(address, &Open::Join(new_member)).await?;
    reader.next().await
}

/// Answers a store that asks to join.
pub(super) async fn answer(
    control: Arc<Control>,
    new_member: GroupMember,
    mut writer: OwnedWriteHalf,
) {
    let reply = match control.handle.join(new_member.clone()).await {
        Ok(true) => JoinReply::Member,
        Ok(false) | Err(NoLeader::Uncertain) => JoinReply::Later,
        Err(NoLeader::Unknown) => JoinReply::Elsewhere(None),
        Err(NoLeader::Elsewhere(host)) => JoinReply::Elsewhere(Some(host)),
    };
    log::info!(
        "control: host {} asks to join with store {}: {reply:?}",
        new_member.host,
        new_member.store
    );
    if let Err(error) = write_frame(&mut writer, &reply).await {
        log::debug!("control: a join request ended early: {error}");
    }
}
