//! Hosts of two releases in one fleet.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::net::{TcpStream, UdpSocket};

use crate::testing::{peer_address, start_peers, wait_until};
use crate::wire::{Heartbeat, HeartbeatMessage, HostId, Open, PROTOCOL, Role, write_payload};

fn heartbeat(from: SocketAddr) -> HeartbeatMessage {
    HeartbeatMessage::Full(Heartbeat {
        host: HostId(999),
        incarnation: 1,
        role: Role::Control,
        hall: "a".into(),
        peer: from,
        operator: from,
        version: 7,
        draining: false,
        also: None,
    })
}

/// During a rolling restart, hosts of the previous release still send messages in its
/// encoding. Decoded by the new release they would mean something else, so they are rejected.
#[tokio::test]
async fn heartbeats_and_connections_of_another_protocol_version_are_rejected() {
    let (peers, _incoming) = start_peers(Role::Control, 71, vec![]).await;
    let older = UdpSocket::bind(peer_address(72)).await.unwrap();
    let unversioned = postcard::to_stdvec(&heartbeat(peer_address(72))).unwrap();
    let newer = [&[PROTOCOL + 1][..], &unversioned].concat();
    for datagram in [&unversioned, &newer] {
        older.send_to(datagram, peers.address).await.unwrap();
    }
    wait_until(|| peers.other_protocols() == 2).await;
    assert!(peers.view().known(HostId(999)).is_none());

    let open = postcard::to_stdvec(&Open::Identify).unwrap();
    let mut connection = TcpStream::connect(peers.address).await.unwrap();
    write_payload(&mut connection, &open).await.unwrap();
    assert_eq!(connection.read(&mut [0; 1]).await.unwrap(), 0, "closed without an answer");
    assert_eq!(peers.other_protocols(), 3);
}
