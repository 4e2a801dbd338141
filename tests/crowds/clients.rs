//! Clients that send as much as they can, and keep their connections open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::http::read_answer;
use super::process::{Place, Queues};

/// How long clients may be held up by a process that does not read.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const LARGE_PIECE_BYTES: usize = 64 << 10;
const SMALL_PIECE_BYTES: usize = 4 << 10;

/// What one client sends before it stops and stays connected.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// A whole request that it sends first and whose answer it reads.
    pub first: Option<Arc<str>>,
    /// What it sends once.
    pub head: String,
    /// What it sends again and again after that.
    pub piece: Arc<[u8]>,
    /// Bytes of pieces that it sends.
    pub bytes: usize,
    /// Pause after each piece.
    pub pause: Duration,
}

impl Script {
    /// A head, as it stands.
    pub fn head_only(head: String) -> Script {
        Script { head, ..Script::default() }
    }

    /// A body of this length of which `sent` bytes are sent.
    pub fn with_length(head: &str, length: usize, sent: usize) -> Script {
        let head = format!("{head}Content-Length: {length}\r\n\r\n");
        let piece = vec![b'x'; LARGE_PIECE_BYTES].into();
        Script { head, piece, bytes: sent, ..Script::default() }
    }

    /// The same in small pieces with pauses.
    pub fn piece_by_piece(head: &str, length: usize, sent: usize) -> Script {
        let piece = vec![b'x'; SMALL_PIECE_BYTES].into();
        let pause = Duration::from_millis(1);
        Script { piece, pause, ..Script::with_length(head, length, sent) }
    }

    /// A body of this many chunks of `chunk` bytes each, without the last chunk.
    pub fn with_chunks(head: &str, chunk: usize, chunks: usize) -> Script {
        let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let framed = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
        let bytes = framed.len() * chunks;
        let piece = framed.repeat((LARGE_PIECE_BYTES / framed.len()).max(1));
        Script { head, piece: piece.into_bytes().into(), bytes, ..Script::default() }
    }
}

/// Clients that are connected until this is dropped.
pub struct Crowd {
    to: Place,
    clients: JoinSet<()>,
    settled: Arc<AtomicUsize>,
}

impl Crowd {
    /// Connects a client for each script.
    pub fn start(to: SocketAddr, scripts: impl IntoIterator<Item = Script>) -> Crowd {
        let settled = Arc::<AtomicUsize>::default();
        let mut clients = JoinSet::new();
        for script in scripts {
            let settled = settled.clone();
            clients.spawn(async move {
                let stream = TcpStream::connect(to).await;
                let _open = match stream {
                    Ok(mut stream) => {
                        // The other side may refuse or close the connection at any time.
                        let _ = send(&mut stream, &script).await;
                        Some(stream)
                    }
                    Err(_) => None,
                };
                settled.fetch_add(1, Ordering::Relaxed);
                // Neither reads nor closes.
                std::future::pending::<()>().await;
            });
        }
        Crowd { to: Place::port(to), clients, settled }
    }

    /// Waits until the other side has read what each client sent or has cut it off, or holds
    /// clients up.
    pub async fn settle(&self) {
        let settling = async {
            while self.settled.load(Ordering::Relaxed) < self.clients.len()
                || Queues::at(&self.to) != Queues::default()
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(SETTLE_TIMEOUT, settling).await;
    }
}

async fn send(stream: &mut TcpStream, script: &Script) -> std::io::Result<()> {
    if let Some(first) = &script.first {
        stream.write_all(first.as_bytes()).await?;
        read_answer(stream).await;
    }
    stream.write_all(script.head.as_bytes()).await?;
    let mut left = script.bytes;
    while left > 0 {
        let sent = left.min(script.piece.len());
        stream.write_all(&script.piece[..sent]).await?;
        left -= sent;
        if !script.pause.is_zero() {
            tokio::time::sleep(script.pause).await;
        }
    }
    Ok(())
}
