//! Sends agreement messages to the hosts of the other stores.

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

/// Maximum number of messages queued for one host. Further ones are dropped: the agreement
/// tolerates lost messages.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Pause after a failed attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Time limit of one write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Queues and sends messages, with one task for each destination host.
pub(super) struct Transport {
    peers: Arc<Peers>,
    /// Host and peer address of each store that sent a message to this one.
    addresses: HashMap<StoreId, (HostId, SocketAddr)>,
    queues: HashMap<(HostId, SocketAddr), mpsc::Sender<Envelope>>,
}

impl Transport {
    pub fn new(peers: Arc<Peers>) -> Transport {
        Transport { peers, addresses: HashMap::new(), queues: HashMap::new() }
    }

    /// Records the address of a store that sent a message. A store that belongs to no group
    /// yet has no member list and learns the addresses of the others only from this.
    pub fn record_address(&mut self, store: StoreId, host: HostId, peer: SocketAddr) {
        self.addresses.insert(store, (host, peer));
    }

    /// Queues messages for sending. Those for stores with no known address are dropped.
    pub fn send(&mut self, members: &[GroupMember], messages: Vec<Envelope>) {
        for envelope in messages {
            let member = members.iter().find(|m| m.store == envelope.to);
            let member = member.map(|m| (m.host, m.peer));
            let Some(to) = member.or_else(|| self.addresses.get(&envelope.to).copied()) else {
                continue;
            };
            let queue = self.queues.entry(to).or_insert_with(|| {
                let (sender, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
                tokio::spawn(send_queued(self.peers.clone(), to.0, to.1, messages));
                sender
            });
            // A full queue drops the message; the agreement resends what is still needed.
            let _ = queue.try_send(envelope);
        }
    }
}

/// A connection to the host of another store. This side only writes; it notices a broken
/// connection by the absence of the keep-alives that the other host sends.
struct Connection {
    writer: OwnedWriteHalf,
    /// Finishes when the connection ends, with the reason.
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

/// Reads keep-alives until none arrives in time or the connection ends, and returns why.
async fn read_to_end(reader: PeerReader) -> Error {
    let mut reader = reader.with_silence_timeout();
    loop {
        if let Err(error) = reader.next_payload().await {
            return error;
        }
    }
}

async fn send_queued(
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
            let reason = ended.reading.await;
            let reason = reason.map_or_else(|panic| panic.to_string(), |error| error.to_string());
            log::info!("control: connection to host {host} ended: {reason}");
        }
        if connection.is_none() {
            connection = Connection::open(&peers, host, address).await;
        }
        let Some(Connection { writer, .. }) = &mut connection else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        let written = tokio::time::timeout(WRITE_TIMEOUT, write_frame(writer, &batch)).await;
        match written {
            Ok(Ok(bytes)) => peers.sent.of(Traffic::Agreement).add(bytes),
            Ok(Err(_)) | Err(_) => connection = None,
        }
    }
}
