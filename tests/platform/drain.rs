//! A caller that reads an answer of any length without keeping it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest time for which an answer is read.
const PATIENCE: Duration = Duration::from_secs(10);

/// How an answer ended, as far as its framing tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    Whole,
    /// Early, or by a reset.
    Broken,
    /// Not while it was read.
    None,
}

/// What was seen of an answer.
#[derive(Clone, Debug)]
pub struct Drained {
    /// 0 if there was no head.
    pub status: u16,
    pub end: End,
    /// Length of the body as it was framed.
    pub bytes: u64,
    pub took: Duration,
}

enum Framing {
    Length(u64),
    Chunks,
    Connection,
}

/// Sends a request that closes its connection, and reads the answer to its end.
pub async fn drain(to: SocketAddr, text: &str) -> Drained {
    let begin = Instant::now();
    let mut drained = Drained { status: 0, end: End::None, bytes: 0, took: Duration::ZERO };
    // A timeout leaves what was seen until then.
    let _ = tokio::time::timeout(PATIENCE, read(to, text, &mut drained)).await;
    drained.took = begin.elapsed();
    drained
}

async fn read(to: SocketAddr, text: &str, drained: &mut Drained) {
    let Ok(mut stream) = TcpStream::connect(to).await else { return };
    if stream.write_all(text.as_bytes()).await.is_err() {
        return;
    }
    let mut buffer = vec![0; 64 << 10];
    let mut head = Vec::new();
    let body_at = loop {
        match stream.read(&mut buffer).await {
            Ok(size @ 1..) => head.extend_from_slice(&buffer[..size]),
            _ => return drained.end = End::Broken,
        }
        if let Some(at) = head.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
    };
    let rest = head.split_off(body_at);
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    drained.status = head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let framing = match (header("content-length: "), header("transfer-encoding: chunked")) {
        (Some(length), _) => Framing::Length(length.trim().parse().unwrap()),
        (_, Some(_)) => Framing::Chunks,
        _ => Framing::Connection,
    };
    drained.bytes = rest.len() as u64;
    let mut tail = rest;
    loop {
        let is_whole = match framing {
            Framing::Length(length) => drained.bytes >= length,
            Framing::Chunks => tail.ends_with(b"0\r\n\r\n") && has_last_chunk(&tail),
            Framing::Connection => false,
        };
        if is_whole {
            return drained.end = End::Whole;
        }
        match stream.read(&mut buffer).await {
            Ok(size @ 1..) => {
                drained.bytes += size as u64;
                tail.extend_from_slice(&buffer[..size]);
                tail.drain(..tail.len().saturating_sub(7));
            }
            Ok(0) if matches!(framing, Framing::Connection) => return drained.end = End::Whole,
            _ => return drained.end = End::Broken,
        }
    }
}

/// Whether a body that ends in a chunk of length zero does not only look like it.
fn has_last_chunk(tail: &[u8]) -> bool {
    tail.len() == 5 || tail.ends_with(b"\r\n0\r\n\r\n")
}
