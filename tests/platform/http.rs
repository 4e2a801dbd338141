//! An HTTP client that sends requests as raw text, so that tests can send malformed ones.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// How an answer states where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunks,
    /// The body ends with the connection.
    Connection,
}

/// An HTTP answer, possibly truncated.
#[derive(Debug)]
pub struct Answer {
    pub version: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    pub framing: Framing,
    /// Whether the whole body was received, as far as its framing tells: one that ends with its
    /// connection counts as whole unless the connection was reset.
    pub complete: bool,
}

/// How a connection stands while an answer is read from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    Open,
    Closed,
    Reset,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// Opens a connection and writes `text`.
pub async fn open(to: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Sends a request and reads the answer.
pub async fn call(to: SocketAddr, text: &str) -> Answer {
    let mut stream = open(to, text).await;
    read_answer(&mut stream).await.expect("the connection ended without an answer")
}

/// Sends a request and closes the connection after this time; what has arrived by then of the
/// answer, if its head has.
pub async fn call_for(to: SocketAddr, text: &str, time: Duration) -> Option<Answer> {
    let deadline = tokio::time::Instant::now() + time;
    let mut stream = TcpStream::connect(to).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    let connection = loop {
        match tokio::time::timeout_at(deadline, stream.read(&mut buffer)).await {
            Ok(Ok(size @ 1..)) => bytes.extend_from_slice(&buffer[..size]),
            Ok(Ok(0)) => break Connection::Closed,
            _ => break Connection::Reset,
        }
    };
    parse(&bytes, connection)
}

/// Reads one answer; `None` if the connection ends before the head is complete.
pub async fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        if let Some(answer) = parse(&bytes, Connection::Open) {
            return Some(answer);
        }
        match stream.read(&mut buffer).await {
            Ok(0) => return parse(&bytes, Connection::Closed),
            Err(_) => return parse(&bytes, Connection::Reset),
            Ok(size) => bytes.extend_from_slice(&buffer[..size]),
        }
    }
}

/// Opens a connection whose kernel receives little ahead of its reader, and writes `text`.
pub async fn open_with_small_buffer(to: SocketAddr, text: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(64 << 10).unwrap();
    let mut stream = socket.connect(to).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Reads at a limited rate what comes until the connection ends; `None` if that is no answer.
pub async fn read_slowly(stream: &mut TcpStream, bytes_per_s: usize) -> Option<Answer> {
    let begun = tokio::time::Instant::now();
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    let connection = loop {
        match stream.read(&mut buffer).await {
            Ok(0) => break Connection::Closed,
            Err(_) => break Connection::Reset,
            Ok(size) => bytes.extend_from_slice(&buffer[..size]),
        }
        let due = Duration::from_secs_f64(bytes.len() as f64 / bytes_per_s as f64);
        tokio::time::sleep_until(begun + due).await;
    };
    parse(&bytes, connection)
}

/// Reads an answer until its body contains `text`, however long that takes, and not to its end.
pub async fn read_until(stream: &mut TcpStream, text: &str) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let size = stream.read(&mut buffer).await.unwrap();
        assert!(size > 0, "the connection ended before {text:?}");
        bytes.extend_from_slice(&buffer[..size]);
        if let Some(answer) = parse(&bytes, Connection::Reset)
            && answer.body.contains(text)
        {
            return answer;
        }
    }
}

/// Parses the answer in `bytes`; `None` while it is incomplete and the connection is open.
fn parse(bytes: &[u8], connection: Connection) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes);
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let mut words = lines.next()?.split(' ');
    let version = words.next()?.to_string();
    let status = words.next()?.parse().ok()?;
    let headers: Vec<_> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    let header = |name: &str| headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.clone());
    let framing = match (header("content-length"), header("transfer-encoding")) {
        (Some(_), _) => Framing::Length,
        (None, Some(_)) => Framing::Chunks,
        (None, None) => Framing::Connection,
    };
    let (body, complete) = match framing {
        Framing::Length => {
            let length: usize = header("content-length")?.parse().ok()?;
            (rest.chars().take(length).collect(), rest.len() >= length)
        }
        Framing::Chunks => decode_chunked(rest),
        Framing::Connection => (rest.to_string(), connection == Connection::Closed),
    };
    let is_over = complete || connection != Connection::Open;
    is_over.then_some(Answer { version, status, headers, body, framing, complete })
}

/// Decodes a chunked body; the flag says whether the last chunk was received.
fn decode_chunked(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..size) else { break };
        body.push_str(chunk);
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
