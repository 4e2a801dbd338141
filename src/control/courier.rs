//! Carries agreement messages to the other stores' hosts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

use crate::agree::{Envelope, GroupMember, StoreId};
use crate::error::Error;
use crate::peer::{PeerReader, Peers};
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

/// A connection to another store's host. It only writes; the keep-alives that the host
/// sends back say whether it still works.
struct Connection {
    writer: OwnedWriteHalf,
    /// Ends with the connection.
    reading: AbortOnDropHandle<Error>,
}

impl Connection {
    async fn open(peers: &Peers, host: HostId, address: SocketAddr) -> Option<Connection> {
        let open = Open::Agree { host: peers.me, peer: peers.address };
        match peers.connect(address, &open).await {
            Ok((reader, writer)) => {
                let reading = AbortOnDropHandle::new(tokio::spawn(read_to_end(reader)));
                Some(Connection { writer, reading })
            }
            Err(error) => {
                log::debug!("control: host {host} cannot be reached: {error}");
                None
            }
        }
    }

    fn has_ended(&self) -> bool {
        self.reading.is_finished()
    }
}

/// Reads keep-alives until they stay away or the connection ends; why.
async fn read_to_end(reader: PeerReader) -> Error {
    let mut reader = reader.with_silence_timeout();
    loop {
        if let Err(error) = reader.next_payload().await {
            return error;
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
        if peers.links.is_cut_to(host) {
            continue;
        }
        if let Some(ended) = connection.take_if(|c: &mut Connection| c.has_ended()) {
            let why = ended.reading.await;
            let why = why.map_or_else(|panic| panic.to_string(), |error| error.to_string());
            log::info!("control: connection to host {host} has ended: {why}");
        }
        if connection.is_none() {
            connection = Connection::open(&peers, host, address).await;
        }
        let Some(Connection { writer, .. }) = &mut connection else {
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
