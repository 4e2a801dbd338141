//! Pool of connections to endpoints, each for one request at a time.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use axum::http::{Request, Response};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::open_connections::{OpenConnection, OpenConnections};
use crate::answer::{AnswerLimits, ExceededLimit, ReadGuard, keeps_connection};
use crate::clock::BootInstant;

/// How long opening a connection to an endpoint may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long bytes may stay unacknowledged before a connection counts as dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long an idle connection is kept if the endpoint does not state a time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 12;
/// Subtracted from the keep-alive time that an endpoint states.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_000);

/// Why no answer arrived.
#[derive(Debug)]
pub enum SendError {
    /// Nothing was written: the request has not run.
    NotSent(String),
    /// The request may no longer be sent there: nothing was written.
    NotAllowed,
    /// The request may have run.
    Unknown(String),
    /// The request may have run; what came in place of an answer exceeded a limit.
    Exceeded(ExceededLimit),
}

/// The start of an endpoint that a connection is opened to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// The latest start known when the connection is opened, in milliseconds since the epoch: no
    /// earlier start answers on it.
    pub started_at_ms: u64,
}

/// One connection; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    target: Target,
    sender: SendRequest<Full<Bytes>>,
    guard: ReadGuard,
    idle_timeout: Duration,
    idle_since: BootInstant,
    /// When either side closed it.
    closed_at: Arc<OnceLock<BootInstant>>,
    open: OpenConnection,
}

impl Connection {
    async fn open(
        target: Target,
        limits: AnswerLimits,
        open: &Arc<OpenConnections>,
    ) -> Result<Connection, SendError> {
        let address = target.address;
        let not_sent = |error: &dyn std::fmt::Display| SendError::NotSent(error.to_string());
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = match connect {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_sent(&error)),
            Err(elapsed) => return Err(not_sent(&elapsed)),
        };
        // Without these a connection is only slower, or is given up later.
        let _ = stream.set_nodelay(true);
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        let guard = ReadGuard::new(limits);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(limits.head_bytes);
        let handshake = builder.handshake(TokioIo::new(guard.wrap(stream))).await;
        let (sender, driver) = handshake.map_err(|error| not_sent(&error))?;
        let closed_at = Arc::new(OnceLock::new());
        let closing = closed_at.clone();
        let task = tokio::spawn(async move {
            let ended = driver.await;
            closing.get_or_init(BootInstant::now);
            if let Err(error) = ended {
                log::debug!("gateway: connection to {address} failed: {error}");
            }
        });
        Ok(Connection {
            target,
            sender,
            guard,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            idle_since: BootInstant::now(),
            closed_at,
            open: OpenConnections::add(open, target, task.abort_handle()),
        })
    }

    /// The time since it was opened.
    pub fn age(&self) -> Duration {
        self.open.age()
    }

    /// Age of the oldest connection to the same start of the endpoint that is still open.
    pub fn oldest_age(&self) -> Duration {
        self.open.oldest_age()
    }

    /// Sends a request and waits for the head of the answer.
    async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, (SendError, Option<Request<Full<Bytes>>>)> {
        self.guard.expect_head(&mut request);
        match self.sender.try_send_request(request).await {
            Ok(mut response) => {
                self.guard.record_head();
                response.extensions_mut().insert(self.guard.clone());
                Ok(response)
            }
            Err(mut failed) => {
                let text = failed.error().to_string();
                let exceeded = self.guard.exceeded_by(failed.error());
                match (failed.take_message(), exceeded) {
                    (Some(unsent), _) => Err((SendError::NotSent(text), Some(unsent))),
                    (None, Some(limit)) => Err((SendError::Exceeded(limit), None)),
                    (None, None) => Err((SendError::Unknown(text), None)),
                }
            }
        }
    }

    /// Reads in an answer to the request that was sent how long the endpoint keeps the connection.
    pub fn read_keep_alive(&mut self, response: &Response<Incoming>) {
        let value = response.headers().get("keep-alive").and_then(|v| v.to_str().ok());
        let mut words = value.into_iter().flat_map(|text| text.split(','));
        let seconds = words.find_map(|word| word.trim().strip_prefix("timeout=")?.parse().ok());
        if let Some(seconds) = seconds {
            self.idle_timeout = Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN);
        }
        if !keeps_connection(response) {
            self.idle_timeout = Duration::ZERO;
        }
    }

    /// Whether the endpoint closed it while it was idle, before the time for which it keeps
    /// connections.
    fn is_closed_early(&self) -> bool {
        let closed_at = match self.closed_at.get() {
            Some(closed_at) => *closed_at,
            None if self.sender.is_closed() => BootInstant::now(),
            None => return false,
        };
        closed_at < self.idle_since + self.idle_timeout
    }

    fn is_usable(&self) -> bool {
        self.is_kept() && self.sender.is_ready()
    }

    /// Whether it is open, and has not been idle for too long.
    fn is_kept(&self) -> bool {
        !self.sender.is_closed() && self.idle_since.elapsed() < self.idle_timeout
    }
}

/// Idle connections by endpoint.
pub struct Connections {
    /// Connections that may be open; beyond that no idle one is kept.
    max_open: usize,
    limits: AnswerLimits,
    open: Arc<OpenConnections>,
    idle: Mutex<HashMap<String, Vec<Connection>>>,
    /// Called with an endpoint that closed an idle connection before its time.
    on_early_close: Box<dyn Fn(&str) + Send + Sync>,
}

impl Connections {
    /// An empty pool that keeps idle connections while fewer than `max_open` are open, and reads
    /// answers within `limits`. `on_early_close` is called with an endpoint that closed one before its time.
    pub fn new(
        max_open: usize,
        limits: AnswerLimits,
        on_early_close: impl Fn(&str) + Send + Sync + 'static,
    ) -> Connections {
        let on_early_close = Box::new(on_early_close);
        Connections {
            max_open,
            limits,
            open: Arc::default(),
            idle: Mutex::default(),
            on_early_close,
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The starts of endpoints to which a connection has been open for this time.
    pub fn open_for(&self, age: Duration) -> HashSet<Target> {
        self.open.open_for(age)
    }

    fn is_full(&self) -> bool {
        self.open.count() >= self.max_open
    }

    /// Sends a request to an endpoint, on an idle connection where one is usable. Opening a new
    /// one takes a while, so `is_allowed` is evaluated again right before sending on it.
    pub async fn send(
        &self,
        endpoint: &str,
        target: Target,
        mut request: Request<Full<Bytes>>,
        is_allowed: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        if !is_allowed() {
            return Err(SendError::NotAllowed);
        }
        while let Some(mut kept) = self.pop_idle(endpoint, target) {
            match kept.send(request).await {
                Ok(response) => return Ok((response, kept)),
                // The endpoint had closed it before anything was written.
                Err((SendError::NotSent(_), Some(unsent))) => {
                    (self.on_early_close)(endpoint);
                    request = unsent;
                }
                Err((error, _)) => return Err(error),
            }
        }
        if self.is_full() {
            self.lock().clear();
        }
        let mut fresh = Connection::open(target, self.limits, &self.open).await?;
        if !is_allowed() {
            return Err(SendError::NotAllowed);
        }
        match fresh.send(request).await {
            Ok(response) => Ok((response, fresh)),
            Err((error, _)) => Err(error),
        }
    }

    /// Sends a request on a new connection and waits for the head of the answer.
    pub async fn send_on_new(
        &self,
        target: Target,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let mut fresh = Connection::open(target, self.limits, &self.open).await?;
        fresh.send(request).await.map_err(|(error, _)| error)
    }

    /// Takes an idle connection to this start of an endpoint. Connections opened for other
    /// starts are dropped, since an earlier start may have answered on them.
    fn pop_idle(&self, endpoint: &str, target: Target) -> Option<Connection> {
        let mut idle = self.lock();
        let kept = idle.get_mut(endpoint)?;
        while let Some(connection) = kept.pop() {
            if connection.target == target && connection.is_usable() {
                return Some(connection);
            }
            if connection.is_closed_early() {
                (self.on_early_close)(endpoint);
            }
        }
        None
    }

    /// Keeps a connection whose answer has been read to its end.
    pub fn keep_idle(&self, endpoint: &str, mut connection: Connection) {
        if connection.idle_timeout.is_zero() || self.is_full() {
            return;
        }
        if connection.sender.is_closed() {
            (self.on_early_close)(endpoint);
            return;
        }
        connection.idle_since = BootInstant::now();
        let mut idle = self.lock();
        let kept = match idle.get_mut(endpoint) {
            Some(kept) => kept,
            None => idle.entry(endpoint.to_string()).or_default(),
        };
        let dropped = kept.extract_if(.., |c| !c.is_kept());
        if dropped.filter(Connection::is_closed_early).count() > 0 {
            (self.on_early_close)(endpoint);
        }
        if kept.len() < MAX_IDLE_PER_ENDPOINT {
            kept.push(connection);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: &str) {
        self.lock().remove(endpoint);
    }
}
