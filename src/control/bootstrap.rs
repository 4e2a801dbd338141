//! Bootstraps the control group, once, when every founder is up and has an empty store.
//!
//! A founder that restarts without its disk finds that other founders already belong to a
//! group. It then does not bootstrap a second group, but waits until it is added to that one.

use std::sync::Arc;
use std::time::Duration;

use super::Control;
use super::serve::Identity;
use crate::agree::GroupMember;
use crate::error::Result;
use crate::wire::{HostId, Open};

/// Pause between two attempts to reach all founders.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Bootstraps the group if this host is the founder with the lowest id and no founder belongs
/// to a group yet.
pub(super) async fn bootstrap(control: Arc<Control>) {
    let (founders, addresses) = control.settings.bootstrap_hosts();
    if founders.iter().min() != Some(&control.peers.me) {
        return;
    }
    loop {
        match control.handle.status().await {
            Some(status) if !status.replica.members.is_empty() => return,
            Some(_) => {}
            None => return,
        }
        let identities = identify_all(&control, &addresses).await;
        if identities.iter().any(|i| i.is_bootstrapped) {
            log::warn!("control: the group exists already; this store waits to be let in");
            return;
        }
        if let Some(members) = members_of(&founders, &identities) {
            control.handle.bootstrap(members).await;
            return;
        }
        log::info!("control: {} of {} founders are up", identities.len(), founders.len());
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// The first members of the group; none while a founder is missing.
fn members_of(founders: &[HostId], identities: &[Identity]) -> Option<Vec<GroupMember>> {
    let member = |host: &HostId| {
        let identity = identities.iter().find(|i| i.host == *host)?;
        Some(GroupMember {
            store: identity.store,
            host: *host,
            peer: identity.peer,
            voter: true,
            replaces: None,
        })
    };
    founders.iter().map(member).collect()
}

async fn identify_all(control: &Control, addresses: &[std::net::SocketAddr]) -> Vec<Identity> {
    let mut identities = vec![super::serve::own_identity(control).await];
    for address in addresses {
        if *address == control.settings.host.advertised() {
            continue;
        }
        if let Ok(identity) = identify(control, *address).await {
            identities.push(identity);
        }
    }
    identities
}

/// Asks the control host at `address` which store it holds.
pub(crate) async fn identify(control: &Control, address: std::net::SocketAddr) -> Result<Identity> {
    let (mut reader, _writer) = control.peers.connect(address, &Open::Identify).await?;
    let limit = Duration::from_secs(1);
    match tokio::time::timeout(limit, reader.next()).await {
        Ok(result) => result,
        Err(_) => crate::error::RpcSnafu { message: "timed out" }.fail(),
    }
}
