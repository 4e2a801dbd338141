//! Connections that other hosts open to a control host.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::task::AbortOnDropHandle;

use super::Control;
use super::documents::unexpected;
use super::handle::NoLeader;
use super::state::{Command, Reply};
use crate::agree::{Envelope, StoreId};
use crate::claim::{Claim, Claimed, Settlement};
use crate::clock::epoch_ms;
use crate::peer::PeerReader;
use crate::wire::{BatchWriter, HostId, Traffic, keep_alive, write_frame};

/// Which store a control host holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The host.
    pub host: HostId,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// Its store.
    pub store: StoreId,
    /// Whether the store belongs to a group.
    pub is_bootstrapped: bool,
}

/// What a router asks about a run-once call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAction {
    /// How the key stands, without claiming it; the answer may lag.
    Lookup,
    /// To claim it.
    Claim,
    /// To settle it.
    Settle(Settlement),
}

/// A numbered request about a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Number, echoed in the answer.
    pub number: u64,
    /// The claim.
    pub claim: Claim,
    /// What is asked.
    pub action: ClaimAction,
}

/// What a claim request gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claim was decided, or how it stands.
    Claimed(Claimed),
    /// Nobody holds the key.
    Free,
    /// The settlement is on a majority's disks.
    Settled,
    /// This host does not lead; the leader, where known.
    Elsewhere(Option<HostId>),
    /// The leader was lost on the way: ask again.
    Uncertain,
}

/// A numbered answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// The request's number.
    pub number: u64,
    /// The answer.
    pub outcome: ClaimOutcome,
}

pub(super) async fn take_envelopes(
    control: Arc<Control>,
    host: HostId,
    peer: SocketAddr,
    mut reader: PeerReader,
    writer: OwnedWriteHalf,
) {
    let sent = control.peers.sent.of(Traffic::Agreement);
    // Its end is the connection's, which the reader sees.
    let _keeping = AbortOnDropHandle::new(tokio::spawn(keep_alive(writer, sent)));
    while let Ok(batch) = reader.next::<Vec<Envelope>>().await {
        if control.peers.links.is_cut_from(host) {
            continue;
        }
        for envelope in batch {
            control.handle.receive(envelope, host, peer).await;
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
        log::debug!("control: an identify call broke off: {error}");
    }
}

pub(super) async fn take_claims(
    control: Arc<Control>,
    router: HostId,
    mut reader: PeerReader,
    writer: OwnedWriteHalf,
) {
    let (answers, batch) = BatchWriter::new(Some(control.peers.sent.clone()));
    let links = control.peers.links.clone();
    tokio::spawn(batch.run(writer, move || {
        let links = links.clone();
        async move { links.clear_to(router).await }
    }));
    while let Ok(requests) = reader.next::<Vec<ClaimRequest>>().await {
        control.peers.links.clear_from(router).await;
        for request in requests {
            let control = control.clone();
            let answers = answers.clone();
            tokio::spawn(async move {
                let number = request.number;
                let outcome = answer(&control, request).await;
                // The router may have left.
                let _ = answers.send(ClaimAnswer { number, outcome }.into());
            });
        }
    }
}

async fn answer(control: &Control, request: ClaimRequest) -> ClaimOutcome {
    let at_ms = epoch_ms();
    let ClaimRequest { claim, action, .. } = request;
    let command = match action {
        ClaimAction::Lookup => {
            let look = control.handle.look(move |state| state.claims().look(&claim)).await;
            return match look {
                Ok(Some(claimed)) => ClaimOutcome::Claimed(claimed),
                Ok(None) => ClaimOutcome::Free,
                Err(no_leader) => elsewhere(no_leader),
            };
        }
        ClaimAction::Claim => Command::Claim { at_ms, claim },
        ClaimAction::Settle(settlement) => Command::Settle { at_ms, claim, settlement },
    };
    match control.handle.propose(command).await {
        Ok(Reply::Claimed(claimed)) => ClaimOutcome::Claimed(claimed),
        Ok(Reply::Settled) => ClaimOutcome::Settled,
        Ok(other) => {
            unexpected(&other);
            ClaimOutcome::Uncertain
        }
        Err(no_leader) => elsewhere(no_leader),
    }
}

fn elsewhere(no_leader: NoLeader) -> ClaimOutcome {
    match no_leader {
        NoLeader::Elsewhere(host) => ClaimOutcome::Elsewhere(Some(host)),
        NoLeader::Unknown => ClaimOutcome::Elsewhere(None),
        NoLeader::Uncertain => ClaimOutcome::Uncertain,
    }
}
