//! Hosts of two releases in one fleet.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::net::{TcpStream, UdpSocket};

use crate::testing::{peer_address, start_peers, wait_until};
use crate::wire::{
    Heartbeat, HeartbeatMessage, HostId, Open, PROTOCOL, Role, encode_versioned, write_payload,
};

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

/// A view takes time in proportion to the hosts, and the heartbeats of a fleet arrive in
/// proportion to them as well: a view for each heartbeat would cost their square.
#[tokio::test]
async fn heartbeats_that_change_nothing_need_no_view() {
    for (port, heartbeats) in [(73, 100), (75, 400)] {
        let (peers, _incoming) = start_peers(Role::Control, port, vec![]).await;
        let router = UdpSocket::bind(peer_address(port + 1)).await.unwrap();
        let send = async |heartbeat: HeartbeatMessage| {
            let datagram = encode_versioned(&heartbeat).unwrap();
            router.send_to(&datagram, peers.address).await.unwrap();
        };
        let brief = |version| {
            let (host, incarnation, draining) = (HostId(999), 1, false);
            HeartbeatMessage::Brief { host, incarnation, version, draining }
        };
        let shows =
            |version: u64| peers.view().get(HostId(999)).is_some_and(|m| m.version == version);
        send(heartbeat(peer_address(port + 1))).await;
        wait_until(|| shows(7)).await;
        let (before, started) = (peers.views_computed(), tokio::time::Instant::now());
        for _ in 0..heartbeats {
            send(brief(7)).await;
        }
        // Shows that those before it have been received.
        send(brief(8)).await;
        wait_until(|| shows(8)).await;
        let periodic = started.elapsed().as_millis() as u64 / 20 + 5;
        let computed = peers.views_computed() - before;
        assert!(computed <= periodic, "{computed} views for {heartbeats} heartbeats");
    }
}
