//! A replica that sends without end, in a shape that the path of a request names.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use super::replica::{Request, read_request};

/// Time between two pieces of a trickle.
const TRICKLE_PAUSE: Duration = Duration::from_millis(100);
/// Bytes written at once when they are sent as fast as the socket takes them.
const FAST_BYTES: usize = 64 << 10;
const HEAD_END: &str = "\r\n";

/// How fast a replica sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    Fast,
    Trickle,
}

/// Where an answer has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Head,
    Body,
}

/// An answer without end: what it begins with, and what is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape(&'static str, Place, Start, &'static str);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// These bytes.
    Raw(&'static str),
    /// A status line and the headers of a proper answer.
    Headers(&'static str),
    /// The whole head of a proper answer with these headers, then these bytes.
    Answer(&'static str, &'static str),
}

const CHUNKS: &str = "Transfer-Encoding: chunked\r\n";
const EVENTS: &str = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
const SHAPES: [Shape; 21] = [
    Shape("status-line", Place::Head, Start::Raw("HTTP/1.1 200 "), "OK"),
    Shape("header-lines", Place::Head, Start::Headers(""), "X-More: and more\r\n"),
    Shape("same-header", Place::Head, Start::Headers(""), "A: b\r\n"),
    Shape("header-value", Place::Head, Start::Headers("X-Long: "), "value"),
    Shape("header-name", Place::Head, Start::Headers(""), "X-Name"),
    Shape("continue", Place::Head, Start::Raw(""), "HTTP/1.1 100 Continue\r\n\r\n"),
    Shape("interim", Place::Head, Start::Raw(""), "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
    Shape("empty-lines", Place::Head, Start::Raw(""), "\r\n"),
    Shape("garbage", Place::Head, Start::Raw(""), "\u{1}\u{2}no answer"),
    Shape("length", Place::Body, Start::Answer("Content-Length: 1099511627776\r\n", ""), "body"),
    Shape("chunks", Place::Body, Start::Answer(CHUNKS, ""), "4\r\nbody\r\n"),
    Shape("chunk-size", Place::Body, Start::Answer(CHUNKS, ""), "0"),
    Shape("chunk-space", Place::Body, Start::Answer(CHUNKS, "4"), " "),
    Shape("chunk-extension", Place::Body, Start::Answer(CHUNKS, "4"), ";a=b"),
    Shape("trailers", Place::Body, Start::Answer(CHUNKS, "4\r\nbody\r\n0\r\n"), "X-After: a\r\n"),
    Shape("unframed", Place::Body, Start::Answer("", ""), "body"),
    Shape(
        "encoded",
        Place::Body,
        Start::Answer(
            "Content-Encoding: gzip\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
            "",
        ),
        "4\r\nbody\r\n",
    ),
    Shape("event", Place::Body, Start::Answer(EVENTS, "9\r\nid: 1\ndat\r\n"), "1\r\na\r\n"),
    Shape("event-lines", Place::Body, Start::Answer(EVENTS, ""), "8\r\ndata: x\n\r\n"),
    Shape("comments", Place::Body, Start::Answer(EVENTS, ""), "8\r\n: alive\n\r\n"),
    Shape("same-event", Place::Body, Start::Answer(EVENTS, ""), "f\r\nid: 1\ndata: x\n\n\r\n"),
];

impl Shape {
    pub fn all_in(place: Place) -> Vec<Shape> {
        SHAPES.into_iter().filter(|shape| shape.1 == place).collect()
    }

    pub fn named(name: &str) -> Option<Shape> {
        SHAPES.into_iter().find(|shape| shape.0 == name)
    }

    pub fn name(self) -> &'static str {
        self.0
    }

    pub fn place(self) -> Place {
        self.1
    }

    /// Whether what is repeated belongs to the framing and is no content.
    pub fn is_without_content(self) -> bool {
        ["chunk-size", "chunk-space", "chunk-extension", "trailers"].contains(&self.0)
    }

    /// Whether it is a stream of events that each end.
    pub fn has_whole_events(self) -> bool {
        ["comments", "same-event"].contains(&self.0)
    }

    /// Whether it is one event.
    pub fn is_event(self) -> bool {
        ["event", "event-lines"].contains(&self.0)
    }

    fn start(self, head: &str) -> String {
        match self.2 {
            Start::Raw(text) => text.to_string(),
            Start::Headers(headers) => format!("{head}{headers}"),
            Start::Answer(headers, text) => format!("{head}{headers}{HEAD_END}{text}"),
        }
    }
}

/// What was sent without end on one connection.
#[derive(Clone, Debug)]
pub struct Sent {
    pub shape: Shape,
    pub path: String,
    pub bytes: u64,
    /// Time until the router had closed the connection.
    pub closed_after: Option<Duration>,
}

impl Sent {
    /// Whether the answer is one of a route for streams.
    pub fn is_stream(&self) -> bool {
        ["/stream", "/resumable"].iter().any(|route| self.path.starts_with(route))
    }
}

/// A running replica, which listens on a local port. Requests whose path names no shape are
/// answered as they should be.
#[derive(Clone)]
pub struct EndlessReplica {
    pub id: String,
    pub address: SocketAddr,
    pace: Pace,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl EndlessReplica {
    pub async fn start(id: &str, pace: Pace) -> EndlessReplica {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let replica = EndlessReplica { id: id.into(), address, pace, sent: Arc::default() };
        let accepting = replica.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let replica = accepting.clone();
                tokio::spawn(async move { replica.serve(stream).await });
            }
        });
        replica
    }

    /// What was sent without end so far.
    pub fn sent(&self) -> Vec<Sent> {
        self.sent.lock().unwrap().clone()
    }

    async fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream).await {
            let name = request.path.rsplit('/').next().unwrap_or_default().to_string();
            let head = format!(
                "HTTP/1.1 200 OK\r\nBramblecrank-Attempt-Id: {}\r\n\
                 Bramblecrank-Replica-Seal: seal-{}\r\n",
                request.id(),
                self.id
            );
            if let Some(shape) = Shape::named(&name) {
                return self.send(&mut stream, &request, shape, &shape.start(&head)).await;
            }
            let body = format!("answer to {}", request.id());
            let whole = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            let text = match name.as_str() {
                "long-answer" => long_answer(&head),
                "long-stream" => long_stream(&head),
                _ => whole.clone(),
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            let garbage = Shape::named("garbage").unwrap();
            match name.as_str() {
                "after-answer" => return self.send(&mut stream, &request, garbage, "").await,
                "before-request" => {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    return self.send(&mut stream, &request, garbage, &whole).await;
                }
                _ => {}
            }
        }
    }

    async fn send(&self, stream: &mut TcpStream, request: &Request, shape: Shape, start: &str) {
        let begin = Instant::now();
        let number = {
            let mut sent = self.sent.lock().unwrap();
            let path = request.path.clone();
            sent.push(Sent { shape, path, bytes: 0, closed_after: None });
            sent.len() - 1
        };
        let unit = shape.3;
        let piece = match self.pace {
            Pace::Fast => unit.repeat(FAST_BYTES / unit.len()),
            Pace::Trickle => unit.to_string(),
        };
        let mut is_open = stream.write_all(start.as_bytes()).await.is_ok();
        while is_open {
            is_open = stream.write_all(piece.as_bytes()).await.is_ok();
            self.sent.lock().unwrap()[number].bytes += piece.len() as u64;
            if self.pace == Pace::Trickle && is_open {
                is_open = !is_closed_within(stream, TRICKLE_PAUSE).await;
            }
        }
        self.sent.lock().unwrap()[number].closed_after = Some(begin.elapsed());
    }
}

/// Waits this time; returns early if the router closes the connection.
async fn is_closed_within(stream: &mut TcpStream, time: Duration) -> bool {
    use tokio::io::AsyncReadExt;
    let mut byte = [0];
    let read = tokio::time::timeout(time, stream.read(&mut byte)).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}

fn long_answer(head: &str) -> String {
    let body = "x".repeat(12 << 20);
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn long_stream(head: &str) -> String {
    let mut text = format!("{head}{EVENTS}\r\n");
    let data = "x".repeat(48 << 10);
    for number in 0..1_024 {
        let event = format!("id: {number}\ndata: {data}\n\n");
        text += &format!("{:x}\r\n{event}\r\n", event.len());
    }
    text + "0\r\n\r\n"
}
