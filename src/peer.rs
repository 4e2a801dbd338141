//! Communication with the other hosts: heartbeats over UDP, connections over TCP.

mod heartbeats;
mod link;
mod seed_file;
mod stream_datagrams;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use snafu::ResultExt;
use tokio::io::BufReader;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Notify, mpsc, watch};

use crate::clock::{Clock, epoch_ms};
use crate::error::{Error, NetSnafu, Result};
use crate::member::{MemberTable, View};
use crate::settings::HostSettings;
use crate::wire::{
    FrameReader, Heartbeat, HeartbeatMessage, HostId, Open, Role, SentBytes, decode_versioned,
    encode_versioned, stream_datagram, write_payload,
};

use heartbeats::{log_answer, send_heartbeat, send_heartbeats};
pub use link::Links;
pub use stream_datagrams::StreamDatagram;

/// The time-out for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time-out for reading the opening frame of a connection that a peer opened.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// The largest opening frame and the largest datagram, in bytes.
const MAX_OPEN_BYTES: usize = 4_096;
/// One in this many malformed datagrams is logged, which gives a few lines a minute during
/// a rolling restart of a fleet.
const MALFORMED_PER_LOG_LINE: u64 = 64;
/// The interval at which the view is recomputed, and the pause after a failed accept.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);
/// The minimum time between two views. Each costs time in proportion to the hosts, and all of
/// them announce a new configuration within a second.
const MIN_VIEW_INTERVAL: Duration = Duration::from_millis(20);

/// The reading half of a connection between hosts.
pub type PeerReader = FrameReader<BufReader<OwnedReadHalf>>;

/// A connection that a peer opened.
#[derive(Debug)]
pub struct Incoming {
    /// The opening frame, which names the purpose of the connection.
    pub open: Open,
    /// Reads what the peer sends.
    pub reader: PeerReader,
    /// Writes answers to the peer.
    pub writer: OwnedWriteHalf,
}

/// The other hosts: their view, and connections to them.
#[derive(Debug)]
pub struct Peers {
    /// This host's number.
    pub me: HostId,
    /// The address for peers of this host.
    pub address: SocketAddr,
    /// When this process started, in milliseconds since the epoch.
    pub incarnation: u64,
    /// The clock of this process.
    pub clock: Clock,
    /// The cuts rehearsed on this host's links.
    pub links: Links,
    /// Control bytes sent to other hosts.
    pub sent: SentBytes,
    udp: Arc<UdpSocket>,
    /// Receives datagrams about streams; none on hosts that are no gateways.
    stream_datagrams: OnceLock<mpsc::Sender<StreamDatagram>>,
    table: Mutex<MemberTable>,
    view: watch::Sender<Arc<View>>,
    /// The number of live routers.
    router_count: watch::Sender<u32>,
    /// Notified when a heartbeat has changed the view.
    view_changed: Notify,
    views_computed: AtomicU64,
    other_protocols: AtomicU64,
    malformed: AtomicU64,
}

impl Peers {
    /// Opens the peer port and starts to exchange heartbeats. Connections opened by peers are
    /// delivered by the receiver.
    pub async fn start(
        settings: &HostSettings,
        role: Role,
        operator: SocketAddr,
    ) -> Result<(Arc<Peers>, mpsc::Receiver<Incoming>)> {
        let (listen, address) = (settings.peer, settings.advertised());
        let what = || format!("open the peer port {listen}");
        let tcp = TcpListener::bind(listen).await.with_context(|_| NetSnafu { what: what() })?;
        let udp = UdpSocket::bind(listen).await.with_context(|_| NetSnafu { what: what() })?;
        let udp = Arc::new(udp);
        let incarnation = epoch_ms();
        let heartbeat = Heartbeat {
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
        let table = MemberTable::new(heartbeat, settings.seed_peers(), settings.heartbeats);
        let first = Arc::new(table.view(0));
        let peers = Arc::new(Peers {
            me: settings.host_id(),
            address,
            incarnation,
            clock: Clock::start(),
            links: Links::default(),
            sent: SentBytes::default(),
            udp: udp.clone(),
            stream_datagrams: OnceLock::new(),
            table: Mutex::new(table),
            view: watch::Sender::new(first),
            router_count: watch::Sender::new(0),
            view_changed: Notify::new(),
            views_computed: AtomicU64::new(0),
            other_protocols: AtomicU64::new(0),
            malformed: AtomicU64::new(0),
        });
        let (sender, incoming) = mpsc::channel(64);
        tokio::spawn(send_heartbeats(peers.clone(), udp.clone()));
        tokio::spawn(receive_datagrams(peers.clone(), udp));
        tokio::spawn(refresh_view(peers.clone()));
        if let Some(file) = &settings.file {
            tokio::spawn(seed_file::follow(peers.clone(), file.clone()));
        }
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

    /// The number of live routers, now and as it changes.
    pub fn watch_router_count(&self) -> watch::Receiver<u32> {
        self.router_count.subscribe()
    }

    /// The number of views computed since the start.
    pub fn views_computed(&self) -> u64 {
        self.views_computed.load(Ordering::Relaxed)
    }

    /// Sets the configuration version that heartbeats report as in force on this host.
    pub fn set_version(&self, version: u64) {
        self.with_table(|t| t.set_version(version));
    }

    /// Makes heartbeats report that this host is draining for a planned stop.
    pub fn set_draining(&self) {
        self.with_table(MemberTable::set_draining);
    }

    /// Sends heartbeats to these addresses from now on; returns how many of them are new.
    pub fn add_seeds(&self, addresses: impl IntoIterator<Item = SocketAddr>) -> usize {
        let mut table = self.table();
        addresses.into_iter().filter(|address| table.add_seed(*address)).count()
    }

    /// The number of brief heartbeats, since the start, from hosts that sent no full one.
    pub fn unknown_heartbeats(&self) -> u64 {
        self.table().unknown_heartbeats()
    }

    /// The number of datagrams and connections with another protocol version, since the
    /// start.
    pub fn other_protocols(&self) -> u64 {
        self.other_protocols.load(Ordering::Relaxed)
    }

    fn count_other_protocol(&self, error: &Error) {
        if matches!(error, Error::ProtocolMismatch { .. }) {
            self.other_protocols.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a datagram that could not be decoded, and logs a few of them: hosts of another
    /// release send one every half second for as long as both run.
    fn count_malformed(&self, from: SocketAddr, error: &Error) {
        self.count_other_protocol(error);
        let dropped = self.malformed.fetch_add(1, Ordering::Relaxed);
        if dropped.is_multiple_of(MALFORMED_PER_LOG_LINE) {
            log::warn!(
                "member: dropped a malformed datagram from {from}: {error}, {dropped} before"
            );
        }
    }

    /// Records that a connection to a host failed; the host is avoided for a while.
    pub fn record_connect_failure(&self, host: HostId) {
        let now = self.clock.now();
        self.with_table(|t| t.avoid(now, host));
    }

    /// Connects to a peer and sends the opening frame.
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

    fn table(&self) -> MutexGuard<'_, MemberTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the table and publishes the view at once.
    fn with_table<T>(&self, f: impl FnOnce(&mut MemberTable) -> T) -> T {
        let result = f(&mut self.table());
        self.publish();
        result
    }

    /// Records a heartbeat; returns the answer to send, and its address. Most heartbeats only
    /// show that their senders are live, and need no new view.
    fn on_heartbeat(
        &self,
        from: SocketAddr,
        heartbeat: HeartbeatMessage,
    ) -> Option<(SocketAddr, HeartbeatMessage)> {
        let mut table = self.table();
        let answer = table.on_heartbeat(self.clock.now(), from, heartbeat);
        if table.take_view_change() {
            self.view_changed.notify_one();
        }
        answer
    }

    fn publish(&self) {
        let next = self.table().view(self.clock.now());
        self.views_computed.fetch_add(1, Ordering::Relaxed);
        let routers = next.with_role(Role::Router).count() as u32;
        self.view.send_if_modified(|current| {
            let changed = **current != next;
            if changed {
                log_changes(current, &next);
                *current = Arc::new(next);
            }
            changed
        });
        self.router_count.send_if_modified(|before| std::mem::replace(before, routers) != routers);
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

async fn receive_datagrams(peers: Arc<Peers>, udp: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_OPEN_BYTES];
    loop {
        let Ok((size, from)) = udp.recv_from(&mut buffer).await else {
            continue;
        };
        if let Some(encoded) = stream_datagram(&buffer[..size]) {
            peers.on_stream_datagram(from, encoded);
            continue;
        }
        let heartbeat = match decode_versioned::<HeartbeatMessage>(&buffer[..size]) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                peers.count_malformed(from, &error);
                continue;
            }
        };
        let sender = heartbeat.host();
        if peers.links.is_cut_from(sender) {
            continue;
        }
        let answer = peers.on_heartbeat(from, heartbeat);
        if let Some((to, answer)) = answer.filter(|_| !peers.links.is_cut_to(sender)) {
            log_answer(sender, &answer);
            send_heartbeat(&peers, &udp, &answer, vec![to]).await;
        }
    }
}

async fn refresh_view(peers: Arc<Peers>) {
    loop {
        // Hosts that fall silent leave the view without a heartbeat.
        let _ = tokio::time::timeout(VIEW_INTERVAL, peers.view_changed.notified()).await;
        peers.publish();
        tokio::time::sleep(MIN_VIEW_INTERVAL).await;
    }
}

async fn accept(peers: Arc<Peers>, tcp: TcpListener, sender: mpsc::Sender<Incoming>) {
    loop {
        match tcp.accept().await {
            Ok((stream, from)) => {
                tokio::spawn(read_open_frame(peers.clone(), stream, from, sender.clone()));
            }
            Err(error) => {
                log::warn!("peer: accept failed: {error}");
                tokio::time::sleep(VIEW_INTERVAL).await;
            }
        }
    }
}

async fn read_open_frame(
    peers: Arc<Peers>,
    stream: TcpStream,
    from: SocketAddr,
    sender: mpsc::Sender<Incoming>,
) {
    // Otherwise answers are held back until the peer's delayed acknowledgements arrive.
    let _ = stream.set_nodelay(true);
    let (read, writer) = stream.into_split();
    let mut reader = FrameReader::with_limit(BufReader::new(read), MAX_OPEN_BYTES);
    let reading = async { decode_versioned::<Open>(&reader.next_payload().await?) };
    let result = tokio::time::timeout(OPEN_TIMEOUT, reading).await;
    match result {
        Ok(Ok(open)) => {
            if open.sender().is_some_and(|host| peers.links.is_cut_from(host)) {
                return;
            }
            reader.set_limit(crate::wire::MAX_FRAME_BYTES);
            // Sending fails only while the process is stopping.
            let _ = sender.send(Incoming { open, reader, writer }).await;
        }
        Ok(Err(error)) => {
            peers.count_other_protocol(&error);
            log::warn!("peer: refused a connection from {from}: {error}");
        }
        Err(_) => log::warn!("peer: closed a connection from {from} without an opening frame"),
    }
}
