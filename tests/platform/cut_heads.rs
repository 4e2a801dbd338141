//! Replicas that stop in the middle of an answer's head and close the connection.
//!
//! Guards against an answer with an empty or short body, framed as whole, that is made of a head
//! cut at any byte: in the first attempt, in a repeated one and where a stream is resumed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::fleet::{Fleet, configuration};
use crate::get;
use crate::handover::hand_over_all;
use crate::http::{Answer, open, read_answer};
use crate::replica::{Request, read_request};

const BODY: &str = "the whole body";
/// Two events of a stream that goes on.
const FIRST_EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
const LAST_EVENTS: &str = "id: 3\ndata: three\n\ndata: [DONE]\n\n";

/// What a proper answer looks like.
#[derive(Clone, Copy, Debug)]
enum Shape {
    Length,
    Empty,
    Chunks,
    Unframed,
    AfterInterim,
}

const SHAPES: [Shape; 5] =
    [Shape::Length, Shape::Empty, Shape::Chunks, Shape::Unframed, Shape::AfterInterim];

impl Shape {
    fn name(self) -> String {
        format!("{self:?}").to_lowercase()
    }

    fn named_in(path: &str) -> Shape {
        let is_named = |shape: &Shape| path.contains(&shape.name());
        SHAPES.into_iter().find(is_named).unwrap_or(Shape::Length)
    }

    fn body(self) -> &'static str {
        if matches!(self, Shape::Empty) { "" } else { BODY }
    }

    /// The head and the framed body of the answer to a request.
    fn answer(self, id: &str) -> (String, String) {
        let length = |body: &str| format!("Content-Length: {}\r\n", body.len());
        let (interim, framing, body) = match self {
            Shape::Length | Shape::Empty => ("", length(self.body()), self.body().to_string()),
            Shape::Chunks => ("", CHUNKED.to_string(), chunks(BODY)),
            Shape::Unframed => ("", String::new(), BODY.to_string()),
            Shape::AfterInterim => ("HTTP/1.1 103 X\r\nLink: x\r\n\r\n", length(BODY), BODY.into()),
        };
        (format!("{interim}{}", head(id, &framing)), body)
    }
}

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

fn head(id: &str, headers: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nBramblecrank-Attempt-Id: {id}\r\n\
         Bramblecrank-Replica-Seal: seal\r\n{headers}\r\n"
    )
}

/// One chunk with this text, and the end of the chunks.
fn chunks(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n0\r\n\r\n", text.len())
}

/// Attempts so far for each request, at all replicas.
type Attempts = Arc<Mutex<HashMap<String, usize>>>;

/// Starts a replica that cuts the head of the answers to the attempts whose numbers a path names, at
/// the byte that it names: `/safe/length-cut-0-17` cuts the first attempt after 17 bytes.
async fn start_replica(attempts: &Attempts) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let attempts = attempts.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, attempts.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, attempts: Attempts) {
    while let Some(request) = read_request(&mut stream).await {
        let id = request.id();
        let attempt = {
            let mut attempts = attempts.lock().unwrap();
            let so_far = attempts.entry(id.clone()).or_default();
            *so_far += 1;
            *so_far - 1
        };
        let (text, stays_open) = answer(&request, &id, attempt);
        if stream.write_all(text.as_bytes()).await.is_err() || !stays_open {
            return;
        }
    }
}

/// The bytes of an attempt's answer, and whether the connection stays open after them.
fn answer(request: &Request, id: &str, attempt: usize) -> (String, bool) {
    let path = &request.path;
    let (head, body) = match (path.contains("events"), attempt) {
        (false, _) => Shape::named_in(path).answer(id),
        (true, 0) => {
            // Breaks off after two events.
            let body = format!("{:x}\r\n{FIRST_EVENTS}\r\n", FIRST_EVENTS.len());
            return (events_head(id) + &body, false);
        }
        (true, _) => (events_head(id), chunks(LAST_EVENTS)),
    };
    let mut cuts = path.split("-cut-").skip(1).filter_map(|cut| cut.split_once('-'));
    let cut = cuts.find(|(number, _)| number.parse() == Ok(attempt));
    match cut.and_then(|(_, bytes)| bytes.parse::<usize>().ok()) {
        Some(bytes) => (head[..bytes].to_string(), false),
        None => (head + &body, !matches!(Shape::named_in(path), Shape::Unframed)),
    }
}

fn events_head(id: &str) -> String {
    head(id, &format!("Content-Type: text/event-stream\r\n{CHUNKED}"))
}

/// Starts a fleet with two such replicas.
async fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start().await;
    let attempts = Attempts::default();
    fleet.configure(&configuration(1)).await;
    fleet.restart_router_retrying().await;
    for number in 0..2 {
        let address = start_replica(&attempts).await;
        let body = format!(
            r#"{{"service":"app","address":"{address}","zone":"a","version":"v1","slots":6,"state":"ready","warmupLeftMs":0,"callSeq":1}}"#
        );
        assert_eq!(fleet.heartbeat(&format!("i-{number}"), &body).await, 200);
    }
    fleet.settle().await;
    fleet
}

/// Sends a request; `None` if the connection ends without an answer.
async fn call(fleet: &Fleet, path: &str) -> Option<Answer> {
    read_answer(&mut open(fleet.front, &get(path, &id_of(path))).await).await
}

fn id_of(path: &str) -> String {
    path.replace('/', "-")
}

/// Calls with each of the paths for each byte of the head of `shape`, or of an answer with events;
/// returns what `problem` says of the answers.
async fn problems_at_every_byte(
    fleet: &Fleet,
    shape: Option<Shape>,
    paths: impl Fn(usize) -> Vec<String>,
    problem: impl Fn(&str, Option<Answer>) -> Option<String>,
) -> Vec<String> {
    let mut problems = Vec::new();
    for bytes in 0.. {
        let head_bytes = |path: &String| match shape {
            Some(shape) => shape.answer(&id_of(path)).0.len(),
            None => events_head(&id_of(path)).len(),
        };
        let paths: Vec<_> = paths(bytes).into_iter().filter(|p| bytes < head_bytes(p)).collect();
        if paths.is_empty() {
            return problems;
        }
        for path in paths {
            problems.extend(problem(&path, call(fleet, &path).await));
        }
    }
    problems
}

#[tokio::test]
async fn a_head_cut_at_any_byte_becomes_no_answer_that_looks_whole() {
    for is_handed_over in [false, true] {
        let mut fleet = start_fleet().await;
        if is_handed_over {
            hand_over_all(&mut fleet).await;
        }
        for shape in SHAPES {
            let paths = |bytes: usize| {
                let cut = format!("{}-cut-0-{bytes}", shape.name());
                // All attempts of an idempotent request are cut, at different bytes.
                let both = format!("{cut}-cut-1-{}", bytes / 2);
                vec![format!("/once/{cut}"), format!("/stream/{cut}"), format!("/safe/{both}")]
            };
            let problem = |path: &str, answer: Option<Answer>| {
                let is_lost = answer.as_ref().is_some_and(|a| a.status == 502 && a.complete);
                (!is_lost).then(|| format!("{path}: {answer:?}"))
            };
            let problems = problems_at_every_byte(&fleet, Some(shape), paths, problem).await;
            assert_eq!(problems, [""; 0]);
        }
    }
}

#[tokio::test]
async fn a_repeated_request_gets_the_whole_answer_of_the_second_attempt() {
    let fleet = start_fleet().await;
    for shape in SHAPES {
        let paths = |bytes: usize| vec![format!("/safe/{}-cut-0-{bytes}", shape.name())];
        let problem = |path: &str, answer: Option<Answer>| {
            let is_whole = answer
                .as_ref()
                .is_some_and(|a| a.status == 200 && a.complete && a.body == shape.body());
            (!is_whole).then(|| format!("{path}: {answer:?}"))
        };
        let problems = problems_at_every_byte(&fleet, Some(shape), paths, problem).await;
        assert_eq!(problems, [""; 0]);
    }
}

#[tokio::test]
async fn a_stream_resumed_with_a_cut_head_does_not_look_whole() {
    let fleet = start_fleet().await;
    let paths = |bytes: usize| vec![format!("/resumable/events-cut-1-{bytes}")];
    let problem = |path: &str, answer: Option<Answer>| {
        let is_begun = |a: &Answer| a.status == 200 && !a.complete && a.body.contains("two");
        let is_broken_off = answer.as_ref().is_some_and(is_begun);
        (!is_broken_off).then(|| format!("{path}: {answer:?}"))
    };
    let problems = problems_at_every_byte(&fleet, None, paths, problem).await;
    assert_eq!(problems, [""; 0]);
}
