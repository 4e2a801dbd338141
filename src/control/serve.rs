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
use crate::claim::{Claim, ClaimDecision, Settlement};
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
    pub founded: bool,
}

/// What a router asks about a run-once call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// How the key stands, without claiming it; the answer may lag.
    Look,
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
    pub ask: Ask,
}

/// What a claim request gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Asked {
    /// The claim was decided, or how it stands.
    Claimed(ClaimDecision),
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
    pub asked: Asked,
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
        founded: status.is_some_and(|s| !s.replica.members.is_empty()),
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
        async move { links.wait_until_clear_to(router).await }
    }));
    while let Ok(requests) = reader.next::<Vec<ClaimRequest>>().await {
        control.peers.links.wait_until_clear_from(router).await;
        for request in requests {
            let control = control.clone();
            let answers = answers.clone();
            tokio::spawn(async move {
                let number = request.number;
                let asked = answer(&control, request).await;
                // The router may have left.
                let _ = answers.send(ClaimAnswer { number, asked }.into());
            });
        }
    }
}

async fn answer(control: &Control, request: ClaimRequest) -> Asked {
    let at_ms = epoch_ms();
    let ClaimRequest { claim, ask, .. } = request;
    let command = match ask {
        Ask::Look => {
            let look = control.handle.look(move |state| state.claims().lookup(&claim)).await;
            return match look {
                Ok(Some(claimed)) => Asked::Claimed(claimed),
                Ok(None) => Asked::Free,
                Err(no_leader) => elsewhere(no_leader),
            };
        }
        Ask::Claim => Command::Claim { at_ms, claim },
        Ask::Settle(settlement) => Command::Settle { at_ms, claim, settlement },
    };
    match control.handle.propose(command).await {
        Ok(Reply::Claimed(claimed)) => Asked::Claimed(claimed),
        Ok(Reply::Settled) => Asked::Settled,
        Ok(other) => {
            unexpected(&other);
            Asked::Uncertain
        }
        Err(no_leader) => elsewhere(no_leader),
    }
}

fn elsewhere(no_leader: NoLeader) -> Asked {
    match no_leader {
        NoLeader::Elsewhere(host) => Asked::Elsewhere(Some(host)),
        NoLeader::Unknown => Asked::Elsewhere(None),
        NoLeader::Uncertain => Asked::Uncertain,
    }
}
