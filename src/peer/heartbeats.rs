//! Sending heartbeats.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::Peers;
use crate::member::{FIRST_HEARTBEAT_MS, HEARTBEAT_MS};
use crate::wire::{HeartbeatMessage, HostId, Traffic, UDP_HEADER_BYTES, encode_versioned};

/// Sends heartbeats periodically.
pub(super) async fn send_heartbeats(peers: Arc<Peers>, udp: Arc<UdpSocket>) {
    let mut pause_ms = FIRST_HEARTBEAT_MS;
    loop {
        let now = peers.clock.now();
        let (heartbeat, targets, alone) = peers.with_table(|t| {
            t.tick(now);
            let (heartbeat, targets) = t.next_heartbeat();
            (heartbeat, targets, t.is_alone())
        });
        let next = tokio::time::Instant::now() + Duration::from_millis(pause_ms);
        pause_ms = if alone { (pause_ms * 2).min(HEARTBEAT_MS) } else { HEARTBEAT_MS };
        send_heartbeat(&peers, &udp, &heartbeat, targets).await;
        tokio::time::sleep_until(next).await;
    }
}

pub(super) async fn send_heartbeat(
    peers: &Peers,
    udp: &UdpSocket,
    heartbeat: &HeartbeatMessage,
    targets: Vec<SocketAddr>,
) {
    let datagram = match encode_versioned(heartbeat) {
        Ok(datagram) => datagram,
        Err(error) => return log::error!("member: cannot encode a heartbeat: {error}"),
    };
    let view = peers.view();
    let known = view.live.iter().chain(&view.suspected);
    let cut = known.filter(|m| peers.links.is_cut_to(m.host)).map(|m| m.peer);
    let cut: HashSet<SocketAddr> = cut.collect();
    let heartbeats = peers.sent.of(Traffic::Heartbeats);
    for target in targets.into_iter().filter(|target| !cut.contains(target)) {
        // The next heartbeat makes up for one that is not sent.
        if udp.send_to(&datagram, target).await.is_ok() {
            heartbeats.add(datagram.len() as u64 + UDP_HEADER_BYTES);
        }
    }
}

pub(super) fn log_answer(to: HostId, answer: &HeartbeatMessage) {
    match answer {
        HeartbeatMessage::RequestFull(_) => {
            log::info!("member: unknown host {to}, requested a full heartbeat")
        }
        HeartbeatMessage::Full(_) => log::info!("member: introduced to host {to}"),
        HeartbeatMessage::Brief { .. } => {}
    }
}
