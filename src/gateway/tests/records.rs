//! Finding what other routers know of a stream.

use std::sync::Arc;

use tokio::net::UdpSocket;

use super::super::records::{Search, StreamRecords};
use crate::peer::Peers;
use crate::resumption::{
    Certainty, KnownStream, ListedRouter, RecordMessage, RouterDirectory, StreamKey, StreamRecord,
};
use crate::testing::{peer_address, start_peers};
use crate::wire::{HostId, Role, encode_stream_datagram, stream_datagram};

const OTHER: HostId = HostId(999);

/// Another router, which answers as the test says.
struct OtherRouter {
    socket: UdpSocket,
    peers: Arc<Peers>,
}

impl OtherRouter {
    /// Receives a search; returns its number and the stream that it is for.
    async fn receive(&self) -> (u32, StreamKey) {
        let mut buffer = [0; 1_500];
        loop {
            let size = self.socket.recv(&mut buffer).await.unwrap();
            // Heartbeats come on the same socket.
            let Some(encoded) = stream_datagram(&buffer[..size]) else { continue };
            let (_, message): (HostId, RecordMessage) = postcard::from_bytes(encoded).unwrap();
            match message {
                RecordMessage::Find { number, key } => return (number, key),
                other => panic!("{other:?}"),
            }
        }
    }

    async fn answer(&self, number: u32, stream: Option<KnownStream>) {
        let message = RecordMessage::Found { number, stream };
        let datagram = encode_stream_datagram(&(OTHER, message)).unwrap();
        self.socket.send_to(&datagram, self.peers.address).await.unwrap();
    }
}

/// The records of a router that has just started, and whose fleet has one other.
fn records_after_start(peers: &Arc<Peers>, other: &UdpSocket) -> Arc<StreamRecords> {
    let records = StreamRecords::new(peers.clone(), "a".into());
    let peer = other.local_addr().unwrap();
    let routers = vec![ListedRouter { host: OTHER, peer, hall: 0 }];
    records.set_directory(RouterDirectory { halls: vec!["a".into()], routers });
    records
}

fn stream_of(version: &str) -> KnownStream {
    let record = StreamRecord {
        service: "app".into(),
        version: version.into(),
        endpoint: "i-1".into(),
        certainty: Certainty::Confirmed,
    };
    KnownStream { record, age_ms: 0, loss: None }
}

#[tokio::test]
async fn an_answer_to_a_router_before_its_restart_resolves_no_stream_after_it() {
    let (peers, _incoming) = start_peers(Role::Router, 81, vec![]).await;
    let socket = UdpSocket::bind(peer_address(82)).await.unwrap();
    let other = OtherRouter { socket, peers: peers.clone() };

    let before = records_after_start(&peers, &other.socket);
    let mut asked_before = Vec::new();
    for attempt in ["a", "b", "c"] {
        let search = before.find(StreamKey::of(None, attempt));
        tokio::select! {
            _ = search => panic!("nobody answered"),
            asked = other.receive() => asked_before.push(asked.0),
        }
    }
    drop(before);

    let after = records_after_start(&peers, &other.socket);
    tokio::spawn(after.clone().receive(peers.receive_stream_datagrams()));
    for attempt in ["d", "e", "f"] {
        let key = StreamKey::of(None, attempt);
        let answering = async {
            let (number, asked) = other.receive().await;
            assert_eq!(asked, key);
            for late in &asked_before {
                other.answer(*late, Some(stream_of("v1"))).await;
            }
            other.answer(number, Some(stream_of("v2"))).await;
        };
        let (search, ()) = tokio::join!(after.find(key), answering);
        let Search::Found(stream) = search else { panic!("not found: {search:?}") };
        assert_eq!(&*stream.record.version, "v2", "the stream of {attempt}");
    }
}
