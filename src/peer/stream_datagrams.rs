//! Datagrams about streams, which routers send each other on the socket of the heartbeats.

use std::net::SocketAddr;

use tokio::sync::mpsc;

use super::Peers;
use crate::error::Error;
use crate::resumption::RecordMessage;
use crate::wire::{HostId, Traffic, UDP_HEADER_BYTES, encode_stream_datagram};

/// Datagrams about streams that may wait to be processed.
const STREAM_DATAGRAMS_BUFFER: usize = 1_024;

/// A datagram about streams, from another router.
#[derive(Debug)]
pub struct StreamDatagram {
    /// The sender.
    pub host: HostId,
    /// The sender's address.
    pub from: SocketAddr,
    /// What it says.
    pub message: RecordMessage,
}

impl Peers {
    /// Receives the datagrams about streams from now on. Can be called once.
    pub fn receive_stream_datagrams(&self) -> mpsc::Receiver<StreamDatagram> {
        let (sender, receiver) = mpsc::channel(STREAM_DATAGRAMS_BUFFER);
        // A second receiver would get nothing.
        let _ = self.stream_datagrams.set(sender);
        receiver
    }

    /// Sends a datagram about streams. Datagrams may be lost.
    pub async fn send_stream_datagram(&self, to: (HostId, SocketAddr), message: &RecordMessage) {
        let (host, address) = to;
        if self.links.is_cut_to(host) {
            return;
        }
        let datagram = match encode_stream_datagram(&(self.me, message)) {
            Ok(datagram) => datagram,
            Err(error) => return log::error!("peer: cannot encode a datagram: {error}"),
        };
        if self.udp.send_to(&datagram, address).await.is_ok() {
            self.sent.of(Traffic::Streams).add(datagram.len() as u64 + UDP_HEADER_BYTES);
        }
    }

    pub(super) fn on_stream_datagram(&self, from: SocketAddr, encoded: &[u8]) {
        let Some(receiver) = self.stream_datagrams.get() else { return };
        match postcard::from_bytes::<(HostId, RecordMessage)>(encoded) {
            Ok((host, _)) if self.links.is_cut_from(host) => {}
            // A datagram that does not fit into the buffer is lost, as others are in the network.
            Ok((host, message)) => drop(receiver.try_send(StreamDatagram { host, from, message })),
            Err(source) => self.count_malformed(from, &Error::Frame { source }),
        }
    }
}
