//! A process's place among its peers: heartbeats by UDP, connections by TCP.

mod link;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use snafu::ResultExt;
use tokio::io::BufReader;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};

use crate::clock::{Clock, epoch_ms};
use crate::error::{Error, NetSnafu, Result};
use crate::member::{FIRST_HEARTBEAT_MS, HEARTBEAT_MS, MemberTable, View};
use crate::settings::HostSettings;
use crate::wire::{
    Beat, FrameReader, Heartbeat, HostId, Open, Role, SentBytes, Traffic, UDP_HEADER,
    decode_versioned, encode_versioned, write_payload,
};

pub use link::Links;

/// How long a connection to a peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a peer may take to say what its connection is for.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// The largest opening frame and the largest datagram, in bytes.
const MAX_OPEN: usize = 4_096;
/// Of the datagrams that cannot be read, one in so many is logged: some lines a minute
/// from a fleet in a rolling restart.
const UNREADABLE_LOGGED: u64 = 64;
/// How often the view is worked out anew.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);

/// The reading half of a connection between hosts.
pub type PeerReader = FrameReader<BufReader<OwnedReadHalf>>;

/// A connection that a peer opened.
#[derive(Debug)]
pub struct Incoming {
    /// What it is for.
    pub open: Open,
    /// What the peer sends.
    pub reader: PeerReader,
    /// Where answers go.
    pub writer: OwnedWriteHalf,
}

/// Access to the other hosts.
#[derive(Debug)]
pub struct Peers {
    /// This host's number.
    pub me: HostId,
    /// Where peers reach this host.
    pub address: SocketAddr,
    /// This start of the process, in milliseconds since the epoch.
    pub incarnation: u64,
    /// The clock of all decisions here.
    pub clock: Clock,
    /// Cuts rehearsed on this host's links.
    pub links: Links,
    /// Control bytes sent to other hosts.
    pub sent: SentBytes,
    table: Mutex<MemberTable>,
    view: watch::Sender<Arc<View>>,
    other_protocols: AtomicU64,
    unreadable: AtomicU64,
}

impl Peers {
    /// Opens the peer port and begins to exchange heartbeats. Connections that
    /// peers open come out of the receiver.
    pub async fn start(
        settings: &HostSettings,
        role: Role,
        operator: SocketAddr,
    ) -> Result<(Arc<Peers>, mpsc::Receiver<Incoming>)> {
        let (listen, address) = (settings.peer, settings.advertised());
        let what = || format!("open the peer port {listen}");
        let tcp = TcpListener::bind(listen).await.with_context(|_| NetSnafu { what: what() })?;
        let udp = UdpSocket::bind(listen).await.with_context(|_| NetSnafu { what: what() })?;
        let incarnation = epoch_ms();
        let beat = Heartbeat {
            host: settings.host_id(),
            incarnation,
            role,
            hall: settings.hall.clone(),
            peer: address,
            operator,
            version: 0,
            draining: false,
            also: None,
        };
        let table = MemberTable::new(beat, settings.seed_peers(), settings.heartbeats);
        let first = Arc::new(table.view(0));
        let peers = Arc::new(Peers {
            me: settings.host_id(),
            address,
            incarnation,
            clock: Clock::start(),
            links: Links::default(),
            sent: SentBytes::default(),
            table: Mutex::new(table),
            view: watch::Sender::new(first),
            other_protocols: AtomicU64::new(0),
            unreadable: AtomicU64::new(0),
        });
        let (sender, incoming) = mpsc::channel(64);
        let udp = Arc::new(udp);
        tokio::spawn(send_heartbeats(peers.clone(), udp.clone()));
        tokio::spawn(receive_heartbeats(peers.clone(), udp));
        tokio::spawn(refresh_view(peers.clone()));
        tokio::spawn(accept(peers.clone(), tcp, sender));
        Ok((peers, incoming))
    }

    /// The live hosts, now and as they change.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    /// The live hosts now.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// This host has another configuration in force.
    pub fn set_version(&self, version: u64) {
        self.with_table(|t| t.set_version(version));
    }

    /// This host is in a planned stop.
    pub fn set_draining(&self) {
        self.with_table(MemberTable::set_draining);
    }

    /// Brief heartbeats of hosts that have not said the whole, since the start.
    pub fn unknown_heartbeats(&self) -> u64 {
        self.table.lock().unwrap_or_else(PoisonError::into_inner).unknown_heartbeats()
    }

    /// Datagrams and connections of other versions of the protocol, since the start.
    pub fn other_protocols(&self) -> u64 {
        self.other_protocols.load(Ordering::Relaxed)
    }

    fn note_other_protocol(&self, error: &Error) {
        if matches!(error, Error::ProtocolMismatch { .. }) {
            self.other_protocols.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// A datagram could not be read. Hosts of another release send one every half
    /// second for as long as both run, so few of them are logged.
    fn note_unreadable(&self, from: SocketAddr, error: &Error) {
        self.note_other_protocol(error);
        let dropped = self.unreadable.fetch_add(1, Ordering::Relaxed);
        if dropped.is_multiple_of(UNREADABLE_LOGGED) {
            log::warn!(
                "member: dropped a malformed datagram from {from}: {error}, {dropped} before"
            );
        }
    }

    /// A connection to a host failed.
    pub fn record_connect_failure(&self, host: HostId) {
        let now = self.clock.now();
        self.with_table(|t| t.avoid(now, host));
    }

    /// Connects to a peer and says what for.
    pub async fn connect(
        &self,
        to: SocketAddr,
        open: &Open,
    ) -> Result<(PeerReader, OwnedWriteHalf)> {
        let what = || format!("connect to the peer {to}");
        let timeout = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
        let connected = timeout.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()));
        let stream = connected.with_context(|_| NetSnafu { what: what() })?;
        stream.set_nodelay(true).with_context(|_| NetSnafu { what: what() })?;
        let (read, mut write) = stream.into_split();
        let bytes = write_payload(&mut write, &encode_versioned(open)?).await?;
        self.sent.add(bytes);
        Ok((FrameReader::new(BufReader::new(read)), write))
    }

    fn with_table<T>(&self, f: impl FnOnce(&mut MemberTable) -> T) -> T {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let result = f(&mut table);
        drop(table);
        self.publish();
        result
    }

    fn publish(&self) {
        let now = self.clock.now();
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let next = table.view(now);
        drop(table);
        self.view.send_if_modified(|current| {
            let changed = **current != next;
            if changed {
                log_changes(current, &next);
                *current = Arc::new(next);
            }
            changed
        });
    }
}

fn log_changes(before: &View, after: &View) {
    let hosts = |v: &View| -> BTreeMap<HostId, u64> {
        v.live.iter().map(|m| (m.host, m.incarnation)).collect()
    };
    let (old, new) = (hosts(before), hosts(after));
    for (host, incarnation) in &new {
        if old.get(host) != Some(incarnation) {
            log::info!("member: host {host} is live, incarnation {incarnation}");
        }
    }
    for host in old.keys().filter(|h| !new.contains_key(h)) {
        log::warn!("member: host {host} is suspected");
    }
}

async fn send_heartbeats(peers: Arc<Peers>, udp: Arc<UdpSocket>) {
    let mut pause_ms = FIRST_HEARTBEAT_MS;
    loop {
        let now = peers.clock.now();
        let (beat, targets, alone) = peers.with_table(|t| {
            t.tick(now);
            let (beat, targets) = t.next_heartbeat();
            (beat, targets, t.is_alone())
        });
        let next = tokio::time::Instant::now() + Duration::from_millis(pause_ms);
        pause_ms = if alone { (pause_ms * 2).min(HEARTBEAT_MS) } else { HEARTBEAT_MS };
        send_beat(&peers, &udp, &beat, targets).await;
        tokio::time::sleep_until(next).await;
    }
}

async fn send_beat(peers: &Peers, udp: &UdpSocket, beat: &Beat, targets: Vec<SocketAddr>) {
    let datagram = match encode_versioned(beat) {
        Ok(datagram) => datagram,
        Err(error) => return log::error!("member: a heartbeat cannot be encoded: {error}"),
    };
    let view = peers.view();
    let known = view.live.iter().chain(&view.suspected);
    let cut = known.filter(|m| peers.links.is_cut_to(m.host)).map(|m| m.peer);
    let cut: HashSet<SocketAddr> = cut.collect();
    let heartbeats = peers.sent.of(Traffic::Heartbeats);
    for target in targets.into_iter().filter(|target| !cut.contains(target)) {
        // A lost heartbeat is made good by the next one.
        if udp.send_to(&datagram, target).await.is_ok() {
            heartbeats.add(datagram.len() as u64 + UDP_HEADER);
        }
    }
}

async fn receive_heartbeats(peers: Arc<Peers>, udp: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_OPEN];
    loop {
        let Ok((size, from)) = udp.recv_from(&mut buffer).await else {
            continue;
        };
        let beat = match decode_versioned::<Beat>(&buffer[..size]) {
            Ok(beat) => beat,
            Err(error) => {
                peers.note_unreadable(from, &error);
                continue;
            }
        };
        let sender = beat.host();
        if peers.links.is_cut_from(sender) {
            continue;
        }
        let now = peers.clock.now();
        let answer = peers.with_table(|t| t.on_heartbeat(now, from, beat));
        if let Some((to, answer)) = answer.filter(|_| !peers.links.is_cut_to(sender)) {
            log_answer(sender, &answer);
            send_beat(&peers, &udp, &answer, vec![to]).await;
        }
    }
}

fn log_answer(to: HostId, answer: &Beat) {
    match answer {
        Beat::RequestFull(_) => log::info!("member: host {to} is not known, asked for the whole"),
        Beat::Full(_) => log::info!("member: introduced to host {to}"),
        Beat::Brief { .. } => {}
    }
}

async fn refresh_view(peers: Arc<Peers>) {
    let mut interval = tokio::time::interval(VIEW_INTERVAL);
    loop {
        interval.tick().await;
        peers.publish();
    }
}

async fn accept(peers: Arc<Peers>, tcp: TcpListener, sender: mpsc::Sender<Incoming>) {
    loop {
        match tcp.accept().await {
            Ok((stream, from)) => {
                tokio::spawn(greet(peers.clone(), stream, from, sender.clone()));
            }
            Err(error) => {
                log::warn!("peer: accept failed: {error}");
                tokio::time::sleep(VIEW_INTERVAL).await;
            }
        }
    }
}

async fn greet(
    peers: Arc<Peers>,
    stream: TcpStream,
    from: SocketAddr,
    sender: mpsc::Sender<Incoming>,
) {
    // Without it answers wait for the peer's delayed acknowledgements.
    let _ = stream.set_nodelay(true);
    let (read, writer) = stream.into_split();
    let mut reader = FrameReader::with_limit(BufReader::new(read), MAX_OPEN);
    let opening = async { decode_versioned::<Open>(&reader.next_payload().await?) };
    let opened = tokio::time::timeout(OPEN_TIMEOUT, opening).await;
    match opened {
        Ok(Ok(open)) => {
            if open.sender().is_some_and(|host| peers.links.is_cut_from(host)) {
                return;
            }
            reader.set_limit(crate::wire::MAX_FRAME);
            // The process is stopping when nobody takes it.
            let _ = sender.send(Incoming { open, reader, writer }).await;
        }
        Ok(Err(error)) => {
            peers.note_other_protocol(&error);
            log::warn!("peer: refused a connection from {from}: {error}");
        }
        Err(_) => log::warn!("peer: closed a silent connection from {from}"),
    }
}
