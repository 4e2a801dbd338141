//! An emulated replica, which can show the failures that the protocol defines.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

#[path = "answers.rs"]
mod answers;

/// Path of health checks in the tests' configurations. A health check runs no request.
const HEALTH_PATH: &str = "/healthz";

/// How a replica treats each request.
#[derive(Clone, Debug)]
pub enum Behaviour {
    /// Runs the request and answers 200.
    Answer,
    /// Runs the request and answers after this time.
    Slow(Duration),
    /// Runs the request and answers with this number of bytes if its path names `large`.
    Large(usize),
    /// Refuses the request as not run.
    Full,
    /// Runs the request and answers 500.
    Fail,
    /// Runs the request and resets the connection.
    RunAndReset,
    /// Runs the request and never answers.
    Hang,
    /// Runs the request and answers with the status that its path ends with.
    Status,
    /// Answers with another request's id.
    OtherId,
    /// Answers without its signature.
    Unsealed,
    /// Closes the connection in the middle of the answer.
    CutShort,
    /// Streams this number of events, with a pause before each.
    Stream { events: u32, pause: Duration },
    /// Sends two events of a stream and closes the connection in the middle of the third.
    BreakStream,
    /// Streams events that name the version of the software, up to this number, with a pause
    /// before each, from the event after the one that the request names.
    VersionedStream { events: u32, pause: Duration },
    /// Frames and ends its answers as the path of a request says. On paths of streams these are
    /// this number of events with a pause before each, from the event after the one that the
    /// request names; a run that resumes a stream is whole.
    Shaped { events: u32, pause: Duration },
    /// If the request has the trigger, begins a stream and crashes `after` this time; treats all
    /// other requests like `others`. The stream has no framing if the path names that.
    CrashOn { trigger: Trigger, after: Duration, others: Box<Behaviour> },
}

/// What in a request crashes a replica.
#[derive(Clone, Copy, Debug)]
pub enum Trigger {
    /// This text in its body.
    Body(&'static str),
    /// A part of its prompt with this id, other than the last.
    Part(&'static str),
}

impl Trigger {
    fn is_in(self, request: &Request) -> bool {
        match self {
            Trigger::Body(text) => request.body.contains(text),
            Trigger::Part(id) => {
                let parts = request.prompt_parts();
                parts.split_last().is_some_and(|(_, shared)| shared.contains(&id))
            }
        }
    }
}

/// A request as the replica received it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The ids of the prompt's parts.
    pub fn prompt_parts(&self) -> Vec<&str> {
        let parts = self.header("bramblecrank-prompt-prefix").unwrap_or_default().split(',');
        parts.filter_map(|part| Some(part.split_once(':')?.0)).collect()
    }

    pub fn id(&self) -> String {
        self.header("bramblecrank-attempt-id").unwrap_or_default().to_string()
    }
}

/// A request that reached the replica, whether it was run or refused.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    /// Number of restarts of the replica before the request.
    pub start: u32,
    /// Whether the answer announces that the replica is leaving.
    pub leaving: bool,
    /// Whether the request was refused because the replica requested a rest.
    pub turned_away: bool,
    /// When the requested rest ends.
    pub rests_until: Option<Instant>,
}

/// A rest of the replica, during which it refuses requests.
#[derive(Clone, Debug)]
struct Rest {
    until: Instant,
    /// Value of `Retry-After`; `None` for the remaining time.
    retry_after: Option<String>,
}

#[derive(Default)]
struct State {
    seen: Mutex<Vec<Request>>,
    arrivals: Mutex<Vec<Arrival>>,
    rest: Mutex<Option<Rest>>,
    /// Whether each answer announces that the replica is leaving.
    leaving: AtomicBool,
    /// Number of restarts so far.
    restarts: AtomicU32,
    /// Requests whose caller disconnected before the answer.
    abandoned: AtomicUsize,
    /// Number of health checks received.
    checks: AtomicUsize,
    /// Whether health checks are left unanswered.
    holds_checks: AtomicBool,
    /// Whether health checks are answered with 503.
    fails_checks: AtomicBool,
    /// Number of connections accepted.
    accepted: AtomicUsize,
    /// Number of the oldest connections on which no request is answered any more.
    silent: AtomicUsize,
    /// Cancelled when the replica has crashed.
    crashed: CancellationToken,
    /// The version of its software.
    software: Mutex<Software>,
}

/// One version of a replica's software.
#[derive(Clone, Default)]
struct Software {
    version: String,
    /// Cancelled when another version has taken its place.
    replaced: CancellationToken,
}

/// A running replica, which listens on a local port.
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
                let replaced = replica.state.software.lock().unwrap().replaced.clone();
                let serving = async move { replica.serve(stream, behaviour).await };
                let serving = replaced.run_until_cancelled_owned(serving);
                tokio::spawn(crashed.run_until_cancelled_owned(serving));
            }
        }));
        replica
    }

    /// Replaces the software in place: the id and the address stay, all connections are closed.
    pub fn set_version(&self, version: &str) {
        let software = Software { version: version.to_string(), ..Software::default() };
        let before = std::mem::replace(&mut *self.state.software.lock().unwrap(), software);
        before.replaced.cancel();
    }

    /// The version of the software.
    pub fn version(&self) -> String {
        self.state.software.lock().unwrap().version.clone()
    }

    /// Closes the listener and all connections without notice.
    pub fn crash(&self) {
        self.state.crashed.cancel();
    }

    pub fn has_crashed(&self) -> bool {
        self.state.crashed.is_cancelled()
    }

    /// Sets whether each further answer announces that the replica is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Simulates a restart: the replica is neither leaving nor resting any more.
    pub fn restart(&self) {
        self.set_leaving(false);
        *self.state.rest.lock().unwrap() = None;
        self.state.restarts.fetch_add(1, Ordering::SeqCst);
    }

    /// Refuses requests for this time, with the remaining time in `Retry-After`.
    pub fn rest(&self, time: Duration) {
        let until = Instant::now() + time;
        *self.state.rest.lock().unwrap() = Some(Rest { until, retry_after: None });
    }

    /// Refuses requests for this time, with this value of `Retry-After`.
    pub fn rest_with_header(&self, time: Duration, retry_after: &str) {
        let until = Instant::now() + time;
        *self.state.rest.lock().unwrap() =
            Some(Rest { until, retry_after: Some(retry_after.into()) });
    }

    /// All requests that reached the replica, without health checks.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.arrivals.lock().unwrap().clone()
    }

    /// Current value of `Retry-After`; `None` if the replica is not resting.
    fn retry_after(&self) -> Option<String> {
        let rest = self.state.rest.lock().unwrap().clone()?;
        let remaining = rest.until.checked_duration_since(Instant::now())?;
        let milliseconds = remaining.as_micros().div_ceil(1_000);
        Some(rest.retry_after.unwrap_or_else(|| format!("{:.3}", milliseconds as f64 / 1_000.0)))
    }

    /// Sets whether further health checks are left unanswered.
    pub fn hold_checks(&self, holds: bool) {
        self.state.holds_checks.store(holds, Ordering::SeqCst);
    }

    /// Sets whether further health checks are answered with 503.
    pub fn fail_checks(&self, fails: bool) {
        self.state.fails_checks.store(fails, Ordering::SeqCst);
    }

    /// Number of health checks received, answered or not.
    pub fn checks(&self) -> usize {
        self.state.checks.load(Ordering::SeqCst)
    }

    /// The requests that the replica ran.
    pub fn seen(&self) -> Vec<Request> {
        self.state.seen.lock().unwrap().clone()
    }

    /// Stops answering on all connections open now; new ones work.
    pub fn silence(&self) {
        let accepted = self.state.accepted.load(Ordering::SeqCst);
        self.state.silent.store(accepted, Ordering::SeqCst);
    }

    /// Number of requests whose caller disconnected before the answer.
    pub fn abandoned(&self) -> usize {
        self.state.abandoned.load(Ordering::Relaxed)
    }

    /// Waits until the condition holds. There is no time limit but the test runner's.
    pub async fn wait_for(&self, condition: impl Fn(&Replica) -> bool) {
        while !condition(self) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn serve(&self, mut stream: TcpStream, behaviour: Behaviour) {
        let number = self.state.accepted.fetch_add(1, Ordering::SeqCst);
        while let Some(request) = read_request(&mut stream).await {
            if number < self.state.silent.load(Ordering::SeqCst) {
                continue;
            }
            let expected = request.header("bramblecrank-expect-replica").map(str::to_string);
            if expected.is_some_and(|id| id != self.id) {
                write(&mut stream, &self.head(421, &request.id(), "Content-Length: 0\r\n")).await;
                continue;
            }
            let retry_after = self.retry_after();
            let is_check = request.path == HEALTH_PATH;
            if is_check {
                self.state.checks.fetch_add(1, Ordering::SeqCst);
                if self.state.holds_checks.load(Ordering::SeqCst) {
                    continue;
                }
            } else {
                self.record_arrival(&request, retry_after.is_some());
            }
            if let Some(time) = retry_after {
                let headers = format!(
                    "Bramblecrank-Not-Executed: 1\r\nRetry-After: {time}\r\nContent-Length: 0\r\n"
                );
                write(&mut stream, &self.head(503, &request.id(), &headers)).await;
                continue;
            }
            if is_check {
                let is_leaving = self.state.leaving.load(Ordering::SeqCst);
                let fails = is_leaving || self.state.fails_checks.load(Ordering::SeqCst);
                let status = if fails { 503 } else { 200 };
                write(&mut stream, &self.head(status, &request.id(), "Content-Length: 0\r\n"))
                    .await;
                continue;
            }
            if let Behaviour::Full = behaviour {
                let headers = "Bramblecrank-Not-Executed: 1\r\nContent-Length: 0\r\n";
                write(&mut stream, &self.head(503, &request.id(), headers)).await;
                continue;
            }
            self.state.seen.lock().unwrap().push(request.clone());
            if !self.answer(&mut stream, &request, &behaviour).await {
                return;
            }
        }
    }

    fn record_arrival(&self, request: &Request, turned_away: bool) {
        let rest = self.state.rest.lock().unwrap().clone();
        self.state.arrivals.lock().unwrap().push(Arrival {
            id: request.id(),
            at: Instant::now(),
            start: self.state.restarts.load(Ordering::SeqCst),
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
}

/// The body of a large answer.
pub fn large_body(id: &str, bytes: usize) -> String {
    id.chars().chain("0123456789".chars()).cycle().take(bytes).collect()
}

async fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

/// Reads one request; `None` if the connection ends before it is complete.
pub async fn read_request(stream: &mut TcpStream) -> Option<Request> {
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
    Some(Request { method, path, headers, body })
}
