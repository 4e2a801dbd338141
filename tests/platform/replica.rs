//! A stand-in for a replica, which can misbehave in the ways the protocol names.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Where health checks go, as the configurations of the tests say. They run nothing.
const HEALTH_PATH: &str = "/healthz";

/// What a replica does with every request.
#[derive(Clone, Debug)]
pub enum Behaviour {
    /// Runs and answers it.
    Answer,
    /// Runs it, and answers after a while.
    Slow(Duration),
    /// Rejects it as not run.
    Full,
    /// Runs it and answers with an error.
    Fail,
    /// Runs it and resets the connection.
    RunAndReset,
    /// Runs it and never answers.
    Hang,
    /// Answers with another request's id.
    OtherId,
    /// Answers without its signature.
    Unsealed,
    /// Closes in the middle of the answer.
    CutShort,
    /// Streams so many events, with a pause before each.
    Stream { events: u32, pause: Duration },
    /// Breaks a stream off behind its second event, in the middle of the next.
    BreakStream,
    /// Begins a stream, and crashes after a while if the body says so; all else is answered
    /// as by another replica.
    CrashOn { body: &'static str, after: Duration, others: Box<Behaviour> },
}

/// A request as the replica got it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> String {
        self.header("bramblecrank-attempt-id").unwrap_or_default().to_string()
    }
}

/// A request that reached the replica, whether it ran or was turned away.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    /// Counts the starts of the replica.
    pub start: u32,
    /// Whether the answer says that the replica leaves.
    pub leaving: bool,
    /// Whether it was turned away with a request for rest.
    pub turned_away: bool,
    /// When that rest is over.
    pub rests_until: Option<Instant>,
}

/// Requests are turned away until then.
#[derive(Clone, Debug)]
struct Rest {
    until: Instant,
    /// What `Retry-After` says; none for the time that is left.
    says: Option<String>,
}

#[derive(Default)]
struct State {
    seen: Mutex<Vec<Seen>>,
    arrivals: Mutex<Vec<Arrival>>,
    rest: Mutex<Option<Rest>>,
    /// Each answer says that it leaves.
    leaving: AtomicBool,
    /// Counts its starts under its id.
    starts: AtomicU32,
    left: AtomicUsize,
    /// Health checks that reached it.
    checks: AtomicUsize,
    /// Health checks are not answered.
    holds_checks: AtomicBool,
    /// Connections that were taken.
    taken: AtomicUsize,
    /// On the first so many connections nothing is answered any more.
    silent: AtomicUsize,
    /// It has ended without notice, with all its connections.
    crashed: CancellationToken,
}

/// A replica that listens.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Replica {
    pub async fn start(id: &str, behaviour: Behaviour) -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let replica = Replica { id: id.into(), address, state: Arc::default() };
        let serving = replica.clone();
        tokio::spawn(serving.state.crashed.clone().run_until_cancelled_owned(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let replica = serving.clone();
                let behaviour = behaviour.clone();
                let crashed = replica.state.crashed.clone();
                let serving = async move { replica.serve(stream, behaviour).await };
                tokio::spawn(crashed.run_until_cancelled_owned(serving));
            }
        }));
        replica
    }

    /// Ends without notice, with all its connections.
    pub fn crash(&self) {
        self.state.crashed.cancel();
    }

    pub fn has_crashed(&self) -> bool {
        self.state.crashed.is_cancelled()
    }

    /// From now on each answer says that it leaves, or none does.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.leaving.store(leaving, Ordering::SeqCst);
    }

    /// It starts again, and takes work.
    pub fn restart(&self) {
        self.set_leaving(false);
        *self.state.rest.lock().unwrap() = None;
        self.state.starts.fetch_add(1, Ordering::SeqCst);
    }

    /// From now on it turns requests away, and asks each sender to let it rest until then.
    pub fn rest(&self, time: Duration) {
        let until = Instant::now() + time;
        *self.state.rest.lock().unwrap() = Some(Rest { until, says: None });
    }

    /// From now on it turns requests away, with these words in place of a time.
    pub fn rest_saying(&self, time: Duration, says: &str) {
        let until = Instant::now() + time;
        *self.state.rest.lock().unwrap() = Some(Rest { until, says: Some(says.into()) });
    }

    /// The requests that reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.arrivals.lock().unwrap().clone()
    }

    /// What `Retry-After` says now; none where it takes requests.
    fn asks_for_rest(&self) -> Option<String> {
        let rest = self.state.rest.lock().unwrap().clone()?;
        let left = rest.until.checked_duration_since(Instant::now())?;
        let milliseconds = left.as_micros().div_ceil(1_000);
        Some(rest.says.unwrap_or_else(|| format!("{:.3}", milliseconds as f64 / 1_000.0)))
    }

    /// From now on it answers no health checks, or all.
    pub fn hold_checks(&self, holds: bool) {
        self.state.holds_checks.store(holds, Ordering::SeqCst);
    }

    /// Health checks that reached it, answered or not.
    pub fn checks(&self) -> usize {
        self.state.checks.load(Ordering::SeqCst)
    }

    /// The requests that it ran.
    pub fn seen(&self) -> Vec<Seen> {
        self.state.seen.lock().unwrap().clone()
    }

    /// Connections that are open now fall silent for good; new ones work.
    pub fn silence(&self) {
        let taken = self.state.taken.load(Ordering::SeqCst);
        self.state.silent.store(taken, Ordering::SeqCst);
    }

    /// Requests whose caller left before the answer.
    pub fn left(&self) -> usize {
        self.state.left.load(Ordering::Relaxed)
    }

    /// Waits until something is so; a test that waits in vain hangs no longer
    /// than its runner allows.
    pub async fn wait_for(&self, is_so: impl Fn(&Replica) -> bool) {
        while !is_so(self) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn serve(&self, mut stream: TcpStream, behaviour: Behaviour) {
        let number = self.state.taken.fetch_add(1, Ordering::SeqCst);
        while let Some(seen) = read_request(&mut stream).await {
            if number < self.state.silent.load(Ordering::SeqCst) {
                continue;
            }
            let expected = seen.header("bramblecrank-expect-replica").map(str::to_string);
            if expected.is_some_and(|id| id != self.id) {
                write(&mut stream, &self.head(421, &seen.id(), "Content-Length: 0\r\n")).await;
                continue;
            }
            let asks_for_rest = self.asks_for_rest();
            let is_check = seen.path == HEALTH_PATH;
            if is_check {
                self.state.checks.fetch_add(1, Ordering::SeqCst);
                if self.state.holds_checks.load(Ordering::SeqCst) {
                    continue;
                }
            } else {
                self.note_arrival(&seen, asks_for_rest.is_some());
            }
            if let Some(time) = asks_for_rest {
                let headers = format!(
                    "Bramblecrank-Not-Executed: 1\r\nRetry-After: {time}\r\nContent-Length: 0\r\n"
                );
                write(&mut stream, &self.head(503, &seen.id(), &headers)).await;
                continue;
            }
            if is_check {
                let status = if self.state.leaving.load(Ordering::SeqCst) { 503 } else { 200 };
                write(&mut stream, &self.head(status, &seen.id(), "Content-Length: 0\r\n")).await;
                continue;
            }
            if let Behaviour::Full = behaviour {
                let headers = "Bramblecrank-Not-Executed: 1\r\nContent-Length: 0\r\n";
                write(&mut stream, &self.head(503, &seen.id(), headers)).await;
                continue;
            }
            self.state.seen.lock().unwrap().push(seen.clone());
            if !self.answer(&mut stream, &seen, &behaviour).await {
                return;
            }
        }
    }

    fn note_arrival(&self, seen: &Seen, turned_away: bool) {
        let rest = self.state.rest.lock().unwrap().clone();
        self.state.arrivals.lock().unwrap().push(Arrival {
            id: seen.id(),
            at: Instant::now(),
            start: self.state.starts.load(Ordering::SeqCst),
            leaving: self.state.leaving.load(Ordering::SeqCst),
            turned_away,
            rests_until: rest.filter(|_| turned_away).map(|rest| rest.until),
        });
    }

    fn head(&self, status: u16, id: &str, headers: &str) -> String {
        let leaving = match self.state.leaving.load(Ordering::SeqCst) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        format!(
            "HTTP/1.1 {status} X\r\nBramblecrank-Attempt-Id: {id}\r\n\
             Bramblecrank-Replica-Seal: seal-{}\r\n{leaving}{headers}\r\n",
            self.id
        )
    }

    /// Answers; false when the connection is over.
    async fn answer(&self, stream: &mut TcpStream, seen: &Seen, behaviour: &Behaviour) -> bool {
        let Behaviour::CrashOn { body, after, others } = behaviour else {
            return self.answer_as(stream, seen, behaviour).await;
        };
        if !seen.body.contains(body) {
            return self.answer_as(stream, seen, others).await;
        }
        let headers = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        let begun = self.head(200, &seen.id(), headers) + &chunk("id: 1\ndata: x\n\n");
        write(stream, &begun).await;
        tokio::time::sleep(*after).await;
        self.crash();
        false
    }

    async fn answer_as(&self, stream: &mut TcpStream, seen: &Seen, behaviour: &Behaviour) -> bool {
        let id = seen.id();
        let body = format!("answer to {id}");
        let length = format!("Content-Length: {}\r\n", body.len());
        match behaviour {
            Behaviour::Answer => write(stream, &(self.head(200, &id, &length) + &body)).await,
            Behaviour::Slow(time) => {
                tokio::time::sleep(*time).await;
                write(stream, &(self.head(200, &id, &length) + &body)).await
            }
            Behaviour::Fail => write(stream, &self.head(500, &id, "Content-Length: 0\r\n")).await,
            Behaviour::OtherId => {
                write(stream, &(self.head(200, "another", &length) + &body)).await
            }
            Behaviour::Unsealed => {
                let head = self.head(200, &id, &length).replace("Replica-Seal", "Replica-Sort");
                write(stream, &(head + &body)).await
            }
            Behaviour::CutShort => {
                write(stream, &(self.head(200, &id, "Content-Length: 99\r\n") + &body)).await;
                false
            }
            Behaviour::RunAndReset | Behaviour::Full => {
                let _ = stream.set_zero_linger();
                false
            }
            Behaviour::Hang => {
                let mut byte = [0];
                // Only the caller's leaving ends it.
                let _ = stream.read(&mut byte).await;
                self.state.left.fetch_add(1, Ordering::Relaxed);
                false
            }
            Behaviour::Stream { events, pause } => {
                let headers = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
                let mut open = write(stream, &self.head(200, &id, headers)).await;
                for event in 1..=*events {
                    tokio::time::sleep(*pause).await;
                    open &= write(stream, &chunk(&format!("id: {event}\ndata: x\n\n"))).await;
                }
                open && write(stream, "0\r\n\r\n").await
            }
            Behaviour::BreakStream => {
                let after: u32 =
                    seen.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
                let headers = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
                let mut text = self.head(200, &id, headers);
                for event in [after + 1, after + 2] {
                    text += &chunk(&format!("id: {event}\ndata: x\n\n"));
                }
                text += &chunk(&format!("id: {}\nda", after + 3));
                write(stream, &text).await;
                false
            }
            Behaviour::CrashOn { .. } => unreachable!("taken apart before"),
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

async fn read_request(stream: &mut TcpStream) -> Option<Seen> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(size) => bytes.extend_from_slice(&buffer[..size]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.lines();
    let mut words = lines.next()?.split(' ');
    let (method, path) = (words.next()?.to_string(), words.next()?.to_string());
    let headers: Vec<_> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    while bytes.len() < head_end + 4 + length {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(size) => bytes.extend_from_slice(&buffer[..size]),
        }
    }
    let body = String::from_utf8_lossy(&bytes[head_end + 4..]).into_owned();
    Some(Seen { method, path, headers, body })
}
