//! Framing over TCP, with batching, byte counts and keep-alives.
//!
//! A connection may be dead without either end being told: whoever only reads on it, or
//! only writes, would go on for ever. So the side that took a connection says something
//! every [`KEEP_ALIVE_INTERVAL`], an empty frame if there is nothing else, and the side that opened
//! it gives it up after [`SILENCE_TIMEOUT`].

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_io_timeout::TimeoutReader;

use crate::error::{Error, Result};

/// The largest frame a peer may send, in bytes.
pub const MAX_FRAME: usize = 64 << 20;
/// Bytes of IP and TCP header counted for each frame.
pub const TCP_HEADER: u64 = 40;
/// Bytes of IP and UDP header counted for each datagram.
pub const UDP_HEADER: u64 = 28;
/// The shortest time between two frames of one batch writer.
const BATCH_INTERVAL: Duration = Duration::from_millis(2);
/// The longest time for which the side that took a connection says nothing. At 340
/// routers a control host sends 15 KB/s for it while nothing changes.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Silence after which the side that opened a connection gives it up: one keep-alive may
/// be missed and the next come 0.2 s late, by a retransmission or a busy processor. A dead connection is replaced
/// before the 3 s are over after which callers count on what is acknowledged.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_200);
const LENGTH_BYTES: usize = 4;

/// What bytes between hosts are sent for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Traffic {
    /// Heartbeats.
    Heartbeats,
    /// Messages of the agreement.
    Agreement,
    /// Routing tables and their versions, who leads, and the numbers of routers.
    Routing,
    /// Endpoints that changed.
    Endpoints,
    /// Requests for places, and places.
    Placement,
    /// All else.
    #[default]
    Other,
}

impl Traffic {
    /// Every kind, in the order of the counters.
    pub const ALL: [Traffic; 6] = [
        Traffic::Heartbeats,
        Traffic::Agreement,
        Traffic::Routing,
        Traffic::Endpoints,
        Traffic::Placement,
        Traffic::Other,
    ];

    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Traffic::Heartbeats => "heartbeats",
            Traffic::Agreement => "agreement",
            Traffic::Routing => "routing",
            Traffic::Endpoints => "endpoints",
            Traffic::Placement => "placement",
            Traffic::Other => "other",
        }
    }
}

/// Counts bytes sent to peers, headers included, by what they are sent for.
#[derive(Clone, Debug, Default)]
pub struct SentBytes {
    counters: Arc<[AtomicU64; Traffic::ALL.len()]>,
    traffic: Traffic,
}

impl SentBytes {
    /// The same counters, for bytes that are sent for `traffic`.
    pub fn of(&self, traffic: Traffic) -> SentBytes {
        SentBytes { counters: self.counters.clone(), traffic }
    }

    /// Adds `bytes`.
    pub fn add(&self, bytes: u64) {
        self.counters[self.traffic as usize].fetch_add(bytes, Ordering::Relaxed);
    }

    /// The bytes counted so far.
    pub fn get(&self) -> u64 {
        self.counters.iter().map(|counter| counter.load(Ordering::Relaxed)).sum()
    }

    /// The bytes counted so far for this traffic alone.
    pub fn get_for_traffic(&self) -> u64 {
        self.counters[self.traffic as usize].load(Ordering::Relaxed)
    }
}

/// Writes one value as one frame and returns the bytes written.
pub async fn write_frame<W, T>(writer: &mut W, value: &T) -> Result<u64>
where
    W: AsyncWrite + Unpin,
    T: Serialize + ?Sized,
{
    let payload = postcard::to_stdvec(value).map_err(|source| Error::Frame { source })?;
    write_payload(writer, &payload).await
}

/// Writes an encoded value as one frame and returns the bytes written.
pub async fn write_payload<W: AsyncWrite + Unpin>(writer: &mut W, payload: &[u8]) -> Result<u64> {
    let mut frame = Vec::with_capacity(LENGTH_BYTES + payload.len());
    frame.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    frame.extend_from_slice(payload);
    let written = writer.write_all(&frame).await;
    written.map_err(|source| net("write to a peer", source))?;
    Ok(frame.len() as u64 + TCP_HEADER)
}

/// Says that the connection works, where there is nothing else to say.
pub async fn write_keep_alive<W: AsyncWrite + Unpin>(writer: &mut W) -> Result<u64> {
    write_payload(writer, &[]).await
}

/// Writes a keep-alive every [`KEEP_ALIVE_INTERVAL`], on a connection on which nothing else is
/// written, until it ends.
pub async fn keep_alive<W: AsyncWrite + Unpin>(mut writer: W, sent: SentBytes) -> Result<()> {
    loop {
        tokio::time::sleep(KEEP_ALIVE_INTERVAL).await;
        sent.add(write_keep_alive(&mut writer).await?);
    }
}

/// Reads frames from one connection; keep-alives are passed over.
#[derive(Debug)]
pub struct FrameReader<R> {
    inner: R,
    limit: usize,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// A reader that refuses frames above [`MAX_FRAME`].
    pub fn new(inner: R) -> Self {
        Self::with_limit(inner, MAX_FRAME)
    }

    /// A reader that refuses frames above `limit` bytes.
    pub fn with_limit(inner: R, limit: usize) -> Self {
        FrameReader { inner, limit }
    }

    /// Raises or lowers the limit once the peer is known.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// From now on a read fails with [`Error::SilenceTimeout`] once nothing has come for
    /// [`SILENCE_TIMEOUT`].
    pub fn with_silence_timeout(self) -> FrameReader<Pin<Box<TimeoutReader<R>>>> {
        let mut inner = TimeoutReader::new(self.inner);
        inner.set_timeout(Some(SILENCE_TIMEOUT));
        FrameReader { inner: Box::pin(inner), limit: self.limit }
    }

    /// The stream behind the last value that was read.
    pub fn into_inner(self) -> R {
        self.inner
    }

    /// The next value. Fails when the peer has closed, or sends too much or
    /// something else. Not cancel-safe: own the reader in one task.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<T> {
        decode(&self.next_payload().await?)
    }

    /// The next value, or none for a keep-alive; the same holds as for
    /// [`FrameReader::next`].
    pub async fn next_or_keep_alive<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let payload = self.next_frame().await?;
        payload.map(|payload| decode(&payload)).transpose()
    }

    /// The next value in its encoded form; the same holds as for [`FrameReader::next`].
    pub async fn next_payload(&mut self) -> Result<Vec<u8>> {
        loop {
            if let Some(payload) = self.next_frame().await? {
                return Ok(payload);
            }
        }
    }

    /// The next frame; none for a keep-alive.
    async fn next_frame(&mut self) -> Result<Option<Vec<u8>>> {
        let mut length = [0; LENGTH_BYTES];
        let read = self.inner.read_exact(&mut length).await;
        read.map_err(not_read)?;
        let size = u32::from_be_bytes(length) as usize;
        if size == 0 {
            return Ok(None);
        }
        if size > self.limit {
            let limit = self.limit;
            return Err(Error::FrameTooLarge { size, limit });
        }
        let mut payload = Vec::new();
        let body = (&mut self.inner).take(size as u64).read_to_end(&mut payload).await;
        body.map_err(not_read)?;
        Ok(Some(payload))
    }
}

fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T> {
    postcard::from_bytes(payload).map_err(|source| Error::Frame { source })
}

/// A message and how long it may wait for others to share its frame.
#[derive(Clone, Debug)]
pub struct QueuedMessage<T> {
    /// The message.
    pub message: T,
    /// Its max_delay; zero to go at once.
    pub max_delay: Duration,
}

impl<T> From<T> for QueuedMessage<T> {
    /// A message that goes at once.
    fn from(message: T) -> Self {
        QueuedMessage { message, max_delay: Duration::ZERO }
    }
}

/// Where messages for a [`BatchWriter`] go.
pub type BatchSender<T> = mpsc::UnboundedSender<QueuedMessage<T>>;

/// What a [`BatchWriter`] writes next.
enum Next<T> {
    Message(QueuedMessage<T>),
    KeepAlive,
    Closed,
}

/// Sends messages in batches: a message waits as long as the least patient one
/// with it, and after a frame the next waits a moment.
#[derive(Debug)]
pub struct BatchWriter<T> {
    messages: mpsc::UnboundedReceiver<QueuedMessage<T>>,
    sent: Option<SentBytes>,
    interval: Duration,
    keeps_alive: bool,
}

impl<T: Serialize> BatchWriter<T> {
    /// A writer fed through the returned sender; `sent` counts its bytes.
    pub fn new(sent: Option<SentBytes>) -> (BatchSender<T>, Self) {
        let (sender, messages) = mpsc::unbounded_channel();
        let interval = BATCH_INTERVAL;
        (sender, BatchWriter { messages, sent, interval, keeps_alive: false })
    }

    /// A writer that sends whatever there is at once, without a pause between
    /// frames.
    pub fn immediate(sent: Option<SentBytes>) -> (BatchSender<T>, Self) {
        let (sender, writer) = Self::new(sent);
        (sender, BatchWriter { interval: Duration::ZERO, ..writer })
    }

    /// The same writer, which says something every [`KEEP_ALIVE_INTERVAL`]: for the side that took
    /// the connection.
    pub fn with_keep_alives(self) -> Self {
        BatchWriter { keeps_alive: true, ..self }
    }

    /// Writes until the sender is dropped or the connection breaks. Each frame
    /// waits for `clear`, with which a cut link is rehearsed.
    pub async fn run<W, F>(mut self, mut writer: W, clear: impl Fn() -> F) -> Result<()>
    where
        W: AsyncWrite + Unpin,
        F: Future<Output = ()>,
    {
        loop {
            let bytes = match self.next().await {
                Next::Message(first) => {
                    let batch = self.gather(first).await;
                    clear().await;
                    write_frame(&mut writer, &batch).await?
                }
                Next::KeepAlive => {
                    clear().await;
                    write_keep_alive(&mut writer).await?
                }
                Next::Closed => break,
            };
            if let Some(sent) = &self.sent {
                sent.add(bytes);
            }
            if !self.interval.is_zero() {
                tokio::time::sleep(self.interval).await;
            }
        }
        let closed = writer.shutdown().await;
        closed.map_err(|source| net("close a connection", source))
    }

    async fn next(&mut self) -> Next<T> {
        let message = match self.keeps_alive {
            true => tokio::time::timeout(KEEP_ALIVE_INTERVAL, self.messages.recv()).await,
            false => Ok(self.messages.recv().await),
        };
        match message {
            Ok(Some(message)) => Next::Message(message),
            Ok(None) => Next::Closed,
            Err(_) => Next::KeepAlive,
        }
    }

    /// What goes into one frame with `first`.
    async fn gather(&mut self, first: QueuedMessage<T>) -> Vec<T> {
        let mut until = Instant::now() + first.max_delay;
        let mut batch = vec![first.message];
        loop {
            while let Ok(more) = self.messages.try_recv() {
                until = until.min(Instant::now() + more.max_delay);
                batch.push(more.message);
            }
            if Instant::now() >= until {
                return batch;
            }
            match tokio::time::timeout_at(until, self.messages.recv()).await {
                Ok(Some(more)) => {
                    until = until.min(Instant::now() + more.max_delay);
                    batch.push(more.message);
                }
                Ok(None) | Err(_) => return batch,
            }
        }
    }
}

fn not_read(source: std::io::Error) -> Error {
    match source.kind() {
        std::io::ErrorKind::TimedOut => Error::SilenceTimeout,
        _ => net("read from a peer", source),
    }
}

fn net(what: &str, source: std::io::Error) -> Error {
    let what = what.to_string();
    Error::Net { what, source }
}
