//! A relay in front of a host's peer port, which simulates network faults. The host advertises
//! the relay's address, so that everything that other hosts send passes through it.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use bramblecrank::wire::{FrameReader, Open, decode_versioned, write_payload};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Size of the buffers, in bytes; no datagram between hosts is larger.
const MAX_DATAGRAM_BYTES: usize = 4_096;
/// How often a held connection checks whether it was released.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// One connection through the relay.
struct Link {
    /// Purpose of the connection, from its opening message.
    open: Open,
    /// Bytes are read and dropped, and neither end is notified.
    is_silent: AtomicBool,
    /// Bytes are held back.
    is_held: Arc<AtomicBool>,
    /// Ends the connection with a reset.
    reset: CancellationToken,
}

/// A relay in front of one host; dropping it ends the relay.
pub struct Proxy {
    links: Arc<Mutex<Vec<Weak<Link>>>>,
    is_held: Arc<AtomicBool>,
    _tasks: JoinSet<()>,
}

impl Proxy {
    /// Relays TCP connections and UDP datagrams from `listen` to `host`.
    pub fn start(listen: SocketAddr, host: SocketAddr) -> Proxy {
        let links = Arc::new(Mutex::new(Vec::new()));
        let is_held = Arc::new(AtomicBool::new(false));
        let tcp = std::net::TcpListener::bind(listen).unwrap();
        tcp.set_nonblocking(true).unwrap();
        let udp = std::net::UdpSocket::bind(listen).unwrap();
        udp.set_nonblocking(true).unwrap();
        let mut tasks = JoinSet::new();
        let tcp = TcpListener::from_std(tcp).unwrap();
        tasks.spawn(accept(tcp, host, links.clone(), is_held.clone()));
        tasks.spawn(relay_datagrams(Arc::new(UdpSocket::from_std(udp).unwrap()), host));
        Proxy { links, is_held, _tasks: tasks }
    }

    /// Silences the selected open connections for good; new ones work. Returns their number.
    pub fn silence(&self, is_selected: impl Fn(&Open) -> bool) -> usize {
        let links = self.open_links(is_selected);
        links.iter().for_each(|link| link.is_silent.store(true, Ordering::SeqCst));
        links.len()
    }

    /// Resets the selected open connections; returns their number.
    pub fn reset(&self, is_selected: impl Fn(&Open) -> bool) -> usize {
        let links = self.open_links(is_selected);
        links.iter().for_each(|link| link.reset.cancel());
        links.len()
    }

    /// Holds back, or releases, all bytes sent on connections.
    pub fn hold(&self, is_held: bool) {
        self.is_held.store(is_held, Ordering::SeqCst);
    }

    fn open_links(&self, is_selected: impl Fn(&Open) -> bool) -> Vec<Arc<Link>> {
        let mut links = self.links.lock().unwrap();
        links.retain(|link| link.strong_count() > 0);
        links.iter().filter_map(Weak::upgrade).filter(|link| is_selected(&link.open)).collect()
    }
}

async fn accept(
    listener: TcpListener,
    host: SocketAddr,
    links: Arc<Mutex<Vec<Weak<Link>>>>,
    is_held: Arc<AtomicBool>,
) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(relay(stream, host, links.clone(), is_held.clone()));
        while connections.try_join_next().is_some() {}
    }
}

/// Relays one connection; `None` if its opening message cannot be decoded or the host does
/// not accept the connection.
async fn relay(
    opener: TcpStream,
    host: SocketAddr,
    links: Arc<Mutex<Vec<Weak<Link>>>>,
    is_held: Arc<AtomicBool>,
) -> Option<()> {
    opener.set_nodelay(true).ok()?;
    let (read, to_opener) = opener.into_split();
    let mut reader = FrameReader::new(BufReader::new(read));
    let opening = reader.next_payload().await.ok()?;
    let open = decode_versioned(&opening).ok()?;
    let target = TcpStream::connect(host).await.ok()?;
    target.set_nodelay(true).ok()?;
    let (answers, mut to_host) = target.into_split();
    write_payload(&mut to_host, &opening).await.ok()?;
    let (is_silent, reset) = (AtomicBool::new(false), CancellationToken::new());
    let link = Arc::new(Link { open, is_silent, is_held, reset });
    links.lock().unwrap().push(Arc::downgrade(&link));
    tokio::join!(
        relay_bytes(&link, reader.into_inner(), to_host),
        relay_bytes(&link, BufReader::new(answers), to_opener),
    );
    Some(())
}

/// Relays one direction until it ends.
async fn relay_bytes(link: &Link, from: BufReader<OwnedReadHalf>, mut to: OwnedWriteHalf) {
    tokio::select! {
        () = copy(link, from, &mut to) => {}
        () = link.reset.cancelled() => {
            // Peers see a reset, as when a process is killed.
            let _ = to.as_ref().set_zero_linger();
        }
    }
}

async fn copy(link: &Link, mut from: BufReader<OwnedReadHalf>, to: &mut OwnedWriteHalf) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let size = from.read(&mut buffer).await.unwrap_or(0);
        while link.is_held.load(Ordering::SeqCst) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if link.is_silent.load(Ordering::SeqCst) {
            if size == 0 {
                // The end of the connection is not passed on either.
                return std::future::pending().await;
            }
            continue;
        }
        if size == 0 || to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}

/// Relays datagrams to the host, and its answers back to their senders.
async fn relay_datagrams(outside: Arc<UdpSocket>, host: SocketAddr) {
    let mut inside: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut answers = JoinSet::new();
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((size, from)) = outside.recv_from(&mut buffer).await else { continue };
        let socket = match inside.entry(from) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => {
                let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
                answers.spawn(relay_answers(socket.clone(), outside.clone(), from));
                new.insert(socket)
            }
        };
        // Datagrams may be lost.
        let _ = socket.send_to(&buffer[..size], host).await;
    }
}

async fn relay_answers(inside: Arc<UdpSocket>, outside: Arc<UdpSocket>, to: SocketAddr) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        if let Ok(size) = inside.recv(&mut buffer).await {
            let _ = outside.send_to(&buffer[..size], to).await;
        }
    }
}
