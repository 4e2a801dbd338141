//! Serves connections that other hosts open to a control host: agreement messages, identity
//! requests and claims.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::task::AbortOnDropHandle;

use super::Control;
use super::documents::unexpected_reply;
use super::handle::NoLeader;
use super::state::{Command, Reply};
use crate::agree::{Envelope, StoreId};
use crate::claim::{Claim, ClaimDecision, Settlement};
use crate::clock::epoch_ms;
use crate::error::Error;
use crate::peer::PeerReader;
use crate::resumption::RouterDirectory;
use crate::wire::{BatchWriter, HostId, Traffic, keep_alive, write_frame};

/// Which store a control host holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The host.
    pub host: HostId,
    /// The address at which its peers reach it.
    pub peer: SocketAddr,
    /// The id of its store.
    pub store: StoreId,
    /// Whether the store belongs to a group.
    pub is_bootstrapped: bool,
}

/// What a router requests for the claim of a run-once call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAction {
    /// Look up the state of the key without claiming it. The answer may be out of date.
    Lookup,
    /// Claim the key.
    Claim,
    /// Settle the claim.
    Settle(Settlement),
}

/// A numbered request about a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Number of the request on its connection, repeated in the answer.
    pub number: u64,
    /// The claim.
    pub claim: Claim,
    /// What to do with it.
    pub action: ClaimAction,
}

/// The reply to a claim request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The decision on the claim or, for a lookup, the state of the key.
    Claimed(ClaimDecision),
    /// The key is not claimed.
    Free,
    /// The settlement is on the disks of a majority.
    Settled,
    /// This host does not lead. Holds the leader's host, where known.
    Elsewhere(Option<HostId>),
    /// Leadership was lost before the outcome was known: send the request again.
    Uncertain,
}

/// The reply to a `ClaimRequest`, with its number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// Number of the request.
    pub number: u64,
    /// The reply.
    pub reply: ClaimReply,
}

pub(super) async fn receive_envelopes(
    control: Arc<Control>,
    host: HostId,
    peer: SocketAddr,
    mut reader: PeerReader,
    writer: OwnedWriteHalf,
) {
    let sent = control.peers.sent.of(Traffic::Agreement);
    // The reader sees when the connection ends, and this task is then aborted.
    let _keep_alive = AbortOnDropHandle::new(tokio::spawn(keep_alive(writer, sent)));
    loop {
        match reader.next::<Vec<Envelope>>().await {
            Ok(_) if control.peers.links.is_cut_from(host) => {}
            Ok(batch) => {
                for envelope in batch {
                    control.handle.receive(envelope, host, peer).await;
                }
            }
            Err(error @ Error::FrameTooLarge { .. }) => {
                log::error!("control: messages of host {host} are refused: {error}");
                return;
            }
            Err(_) => return,
        }
    }
}

pub(super) async fn own_identity(control: &Control) -> Identity {
    let status = control.handle.status().await;
    Identity {
        host: control.peers.me,
        peer: control.settings.host.advertised(),
        store: control.handle.store,
        is_bootstrapped: status.is_some_and(|s| !s.replica.members.is_empty()),
    }
}

pub(super) async fn identify(control: Arc<Control>, mut writer: OwnedWriteHalf) {
    let identity = own_identity(&control).await;
    if let Err(error) = write_frame(&mut writer, &identity).await {
        log::debug!("control: an identity request ended early: {error}");
    }
}

/// Sends the directory of routers to a router that has one with this digest.
pub(super) async fn send_directory(control: Arc<Control>, digest: u64, mut writer: OwnedWriteHalf) {
    let answer = RouterDirectory::of(&control.peers.view()).answer(digest);
    match write_frame(&mut writer, &answer).await {
        Ok(bytes) => control.peers.sent.of(Traffic::Streams).add(bytes),
        Err(error) => log::debug!("control: cannot send the directory of routers: {error}"),
    }
}

pub(super) async fn serve_claims(
    control: Arc<Control>,
    router: HostId,
    mut reader: PeerReader,
    writer: OwnedWriteHalf,
) {
    let (answers, batch) = BatchWriter::new(Some(control.peers.sent.clone()));
    let links = control.peers.links.clone();
    tokio::spawn(batch.run(writer, move || {
        let links = links.clone();
        async move { links.wait_until_clear_to(router).await }
    }));
    while let Ok(requests) = reader.next::<Vec<ClaimRequest>>().await {
        control.peers.links.wait_until_clear_from(router).await;
        for request in requests {
            let control = control.clone();
            let answers = answers.clone();
            tokio::spawn(async move {
                let number = request.number;
                let reply = handle_claim(&control, request).await;
                // The router may have left.
                let _ = answers.send(ClaimAnswer { number, reply }.into());
            });
        }
    }
}

async fn handle_claim(control: &Control, request: ClaimRequest) -> ClaimReply {
    let at_ms = epoch_ms();
    let ClaimRequest { claim, action, .. } = request;
    let command = match action {
        ClaimAction::Lookup => {
            let found = control.handle.inspect(move |state| state.claims().lookup(&claim)).await;
            return match found {
                Ok(Some(claimed)) => ClaimReply::Claimed(claimed),
                Ok(None) => ClaimReply::Free,
                Err(no_leader) => no_leader_reply(no_leader),
            };
        }
        ClaimAction::Claim => Command::Claim { at_ms, claim },
        ClaimAction::Settle(settlement) => Command::Settle { at_ms, claim, settlement },
    };
    match control.handle.propose(command).await {
        Ok(Reply::Claimed(claimed)) => ClaimReply::Claimed(claimed),
        Ok(Reply::Settled) => ClaimReply::Settled,
        Ok(other) => {
            unexpected_reply(&other);
            ClaimReply::Uncertain
        }
        Err(no_leader) => no_leader_reply(no_leader),
    }
}

fn no_leader_reply(no_leader: NoLeader) -> ClaimReply {
    match no_leader {
        NoLeader::Elsewhere(host) => ClaimReply::Elsewhere(Some(host)),
        NoLeader::Unknown => ClaimReply::Elsewhere(None),
        NoLeader::Uncertain => ClaimReply::Uncertain,
    }
}
