//! Carries agreement messages to the other stores' hosts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::agree::{Envelope, GroupMember, StoreId};
use crate::peer::Peers;
use crate::wire::{HostId, Open, Traffic, write_frame};

/// Messages that may wait for one host; more are dropped, as by a network.
const OUTBOX: usize = 1_024;
/// How long to wait after a failed connection.
const PAUSE: Duration = Duration::from_millis(100);
/// How long one write may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// One task for each host that messages go to.
pub(super) struct Couriers {
    peers: Arc<Peers>,
    heard: HashMap<StoreId, (HostId, SocketAddr)>,
    outboxes: HashMap<(HostId, SocketAddr), mpsc::Sender<Envelope>>,
}

impl Couriers {
    pub fn new(peers: Arc<Peers>) -> Couriers {
        Couriers { peers, heard: HashMap::new(), outboxes: HashMap::new() }
    }

    /// A store was heard from. A store that belongs to no group yet finds the
    /// others only by this.
    pub fn learn(&mut self, store: StoreId, host: HostId, peer: SocketAddr) {
        self.heard.insert(store, (host, peer));
    }

    /// Sends messages; those for unknown stores are dropped.
    pub fn send(&mut self, members: &[GroupMember], messages: Vec<Envelope>) {
        for envelope in messages {
            let member = members.iter().find(|m| m.store == envelope.to);
            let member = member.map(|m| (m.host, m.peer));
            let Some(to) = member.or_else(|| self.heard.get(&envelope.to).copied()) else {
                continue;
            };
            let outbox = self.outboxes.entry(to).or_insert_with(|| {
                let (sender, messages) = mpsc::channel(OUTBOX);
                tokio::spawn(carry(self.peers.clone(), to.0, to.1, messages));
                sender
            });
            // A full outbox loses messages; the agreement repeats what matters.
            let _ = outbox.try_send(envelope);
        }
    }
}

async fn carry(
    peers: Arc<Peers>,
    host: HostId,
    address: SocketAddr,
    mut messages: mpsc::Receiver<Envelope>,
) {
    let mut connection = None;
    while let Some(first) = messages.recv().await {
        let mut batch = vec![first];
        while let Ok(more) = messages.try_recv() {
            batch.push(more);
        }
        if peers.links.is_cut(host) {
            continue;
        }
        if connection.is_none() {
            let open = Open::Agree { host: peers.me, peer: peers.address };
            connection = peers.connect(address, &open).await.ok().map(|(_, writer)| writer);
        }
        let Some(writer) = &mut connection else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let written = tokio::time::timeout(WRITE_TIMEOUT, write_frame(writer, &batch)).await;
        match written {
            Ok(Ok(bytes)) => peers.sent.of(Traffic::Agreement).add(bytes),
            Ok(Err(_)) | Err(_) => connection = None,
        }
    }
}
