//! Framing over TCP, with batching, byte counts and keep-alives.
//!
//! A connection may be dead without either end being notified: an end that only reads, or
//! only writes, would never find out. So the side that accepted a connection sends something
//! every [`KEEP_ALIVE_INTERVAL`], an empty frame if there is nothing else, and the side that
//! opened it gives it up after [`SILENCE_TIMEOUT`].

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

/// The largest payload of a frame that is accepted from a known peer, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
/// Bytes of IP and TCP headers counted for each frame.
pub const TCP_HEADER_BYTES: u64 = 40;
/// Bytes of IP and UDP headers counted for each datagram.
pub const UDP_HEADER_BYTES: u64 = 28;
/// The minimum time between two frames of one batch writer.
const BATCH_INTERVAL: Duration = Duration::from_millis(2);
/// The longest time for which the side that accepted a connection sends nothing. At 340
/// routers, the keep-alives of a control host amount to 15 KB/s while nothing changes.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The time without any frame after which the side that opened a connection gives it up.
/// One keep-alive may be lost and the next arrive 0.2 s late, because of a retransmission or
/// a busy processor. A dead connection is still replaced within the 3 s after which callers
/// rely on what was acknowledged.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_200);
const LENGTH_BYTES: usize = 4;

/// The purpose of bytes sent between hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Traffic {
    /// Heartbeats.
    Heartbeats,
    /// Messages of the agreement.
    Agreement,
    /// Routing tables and their versions, the leader, router counts, and all else in feeds.
    Routing,
    /// Changes of endpoints.
    Endpoints,
    /// Placement requests and their answers.
    Placement,
    /// Records of streams, and the directory of routers.
    Streams,
    /// Everything else.
    #[default]
    Other,
}

impl Traffic {
    /// All kinds, in the order of the counters.
    pub const ALL: [Traffic; 7] = [
        Traffic::Heartbeats,
        Traffic::Agreement,
        Traffic::Routing,
        Traffic::Endpoints,
        Traffic::Placement,
        Traffic::Streams,
        Traffic::Other,
    ];

    /// The name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Traffic::Heartbeats => "heartbeats",
            Traffic::Agreement => "agreement",
            Traffic::Routing => "routing",
            Traffic::Endpoints => "endpoints",
            Traffic::Placement => "placement",
            Traffic::Streams => "streams",
            Traffic::Other => "other",
        }
    }
}

/// Counts the bytes sent to peers, headers included, by purpose.
#[derive(Clone, Debug, Default)]
pub struct SentBytes {
    counters: Arc<[AtomicU64; Traffic::ALL.len()]>,
    traffic: Traffic,
}

impl SentBytes {
    /// A handle to the same counters that adds to the one of `traffic`.
    pub fn of(&self, traffic: Traffic) -> SentBytes {
        SentBytes { counters: self.counters.clone(), traffic }
    }

    /// Adds `bytes` to the counter of this handle's traffic.
    pub fn add(&self, bytes: u64) {
        self.counters[self.traffic as usize].fetch_add(bytes, Ordering::Relaxed);
    }

    /// The bytes counted so far, for all kinds of traffic.
    pub fn get(&self) -> u64 {
        self.counters.iter().map(|counter| counter.load(Ordering::Relaxed)).sum()
    }

    /// The bytes counted so far for this handle's traffic.
    pub fn get_for_traffic(&self) -> u64 {
        self.counters[self.traffic as usize].load(Ordering::Relaxed)
    }
}

/// Writes a value as one frame. Returns the bytes sent, headers included.
pub async fn write_frame<W, T>(writer: &mut W, value: &T) -> Result<u64>
where
    W: AsyncWrite + Unpin,
    T: Serialize + ?Sized,
{
    let payload = postcard::to_stdvec(value).map_err(|source| Error::Frame { source })?;
    write_payload(writer, &payload).await
}

/// Writes an encoded value as one frame. Returns the bytes sent, headers included.
pub async fn write_payload<W: AsyncWrite + Unpin>(writer: &mut W, payload: &[u8]) -> Result<u64> {
    let mut frame = Vec::with_capacity(LENGTH_BYTES + payload.len());
    frame.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    frame.extend_from_slice(payload);
    let written = writer.write_all(&frame).await;
    written.map_err(|source| net_error("write to a peer", source))?;
    Ok(frame.len() as u64 + TCP_HEADER_BYTES)
}

/// Writes a keep-alive, an empty frame. Returns the bytes sent, headers included.
pub async fn write_keep_alive<W: AsyncWrite + Unpin>(writer: &mut W) -> Result<u64> {
    write_payload(writer, &[]).await
}

/// Writes a keep-alive every [`KEEP_ALIVE_INTERVAL`] until the connection ends. For a
/// connection on which nothing else is written.
pub async fn keep_alive<W: AsyncWrite + Unpin>(mut writer: W, sent: SentBytes) -> Result<()> {
    loop {
        tokio::time::sleep(KEEP_ALIVE_INTERVAL).await;
        sent.add(write_keep_alive(&mut writer).await?);
    }
}

/// Reads frames from one connection.
#[derive(Debug)]
pub struct FrameReader<R> {
    inner: R,
    limit: usize,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// A reader that rejects frames of more than [`MAX_FRAME_BYTES`] bytes.
    pub fn new(inner: R) -> Self {
        Self::with_limit(inner, MAX_FRAME_BYTES)
    }

    /// A reader that rejects frames of more than `limit` bytes.
    pub fn with_limit(inner: R, limit: usize) -> Self {
        FrameReader { inner, limit }
    }

    /// Replaces the limit, in bytes, for the frames that follow.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// The same reader, whose reads fail with [`Error::SilenceTimeout`] once nothing has
    /// arrived for [`SILENCE_TIMEOUT`].
    pub fn with_silence_timeout(self) -> FrameReader<Pin<Box<TimeoutReader<R>>>> {
        let mut inner = TimeoutReader::new(self.inner);
        inner.set_timeout(Some(SILENCE_TIMEOUT));
        FrameReader { inner: Box::pin(inner), limit: self.limit }
    }

    /// The stream, positioned after the last frame that was read.
    pub fn into_inner(self) -> R {
        self.inner
    }

    /// Reads the next value, skipping keep-alives. Fails if the peer has closed the
    /// connection, exceeds the limit, or sends a value of another type. Not cancel-safe: own
    /// the reader in one task.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<T> {
        decode(&self.next_payload().await?)
    }

    /// Reads the next value, or `None` for a keep-alive. Errors and cancellation are as for
    /// [`FrameReader::next`].
    pub async fn next_or_keep_alive<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let payload = self.next_frame().await?;
        payload.map(|payload| decode(&payload)).transpose()
    }

    /// Reads the next value without decoding it. Errors and cancellation are as for
    /// [`FrameReader::next`].
    pub async fn next_payload(&mut self) -> Result<Vec<u8>> {
        loop {
            if let Some(payload) = self.next_frame().await? {
                return Ok(payload);
            }
        }
    }

    /// Reads the payload of the next frame; `None` for a keep-alive.
    async fn next_frame(&mut self) -> Result<Option<Vec<u8>>> {
        let mut length = [0; LENGTH_BYTES];
        let read = self.inner.read_exact(&mut length).await;
        read.map_err(read_error)?;
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
        body.map_err(read_error)?;
        Ok(Some(payload))
    }
}

fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T> {
    postcard::from_bytes(payload).map_err(|source| Error::Frame { source })
}

/// A message in the queue of a [`BatchWriter`].
#[derive(Clone, Debug)]
pub struct QueuedMessage<T> {
    /// The message.
    pub message: T,
    /// How long it may wait for other messages to share its frame; zero to be sent at once.
    pub max_delay: Duration,
}

impl<T> From<T> for QueuedMessage<T> {
    /// A message to be sent at once.
    fn from(message: T) -> Self {
        QueuedMessage { message, max_delay: Duration::ZERO }
    }
}

/// Queues messages for a [`BatchWriter`].
pub type BatchSender<T> = mpsc::UnboundedSender<QueuedMessage<T>>;

/// The next step of a [`BatchWriter`].
enum Next<T> {
    Message(QueuedMessage<T>),
    KeepAlive,
    Closed,
}

/// Writes messages in batches. A batch is sent once the maximum delay of any of its messages
/// has elapsed, and no sooner than the writer's interval after the previous frame.
#[derive(Debug)]
pub struct BatchWriter<T> {
    messages: mpsc::UnboundedReceiver<QueuedMessage<T>>,
    sent: Option<SentBytes>,
    interval: Duration,
    keeps_alive: bool,
}

impl<T: Serialize> BatchWriter<T> {
    /// A writer of the messages queued with the returned sender; `sent` counts its bytes.
    pub fn new(sent: Option<SentBytes>) -> (BatchSender<T>, Self) {
        let (sender, messages) = mpsc::unbounded_channel();
        let interval = BATCH_INTERVAL;
        (sender, BatchWriter { messages, sent, interval, keeps_alive: false })
    }

    /// A writer without a minimum time between frames.
    pub fn immediate(sent: Option<SentBytes>) -> (BatchSender<T>, Self) {
        let (sender, writer) = Self::new(sent);
        (sender, BatchWriter { interval: Duration::ZERO, ..writer })
    }

    /// The same writer, which also sends a keep-alive whenever no message was queued for
    /// [`KEEP_ALIVE_INTERVAL`]. For the side that accepted the connection.
    pub fn with_keep_alives(self) -> Self {
        BatchWriter { keeps_alive: true, ..self }
    }

    /// Writes until the sender is dropped or the connection breaks. Each frame waits for
    /// `wait_until_clear`, which blocks while a cut of the link is rehearsed.
    pub async fn run<W, F>(mut self, mut writer: W, wait_until_clear: impl Fn() -> F) -> Result<()>
    where
        W: AsyncWrite + Unpin,
        F: Future<Output = ()>,
    {
        loop {
            let bytes = match self.next().await {
                Next::Message(first) => {
                    let batch = self.collect_batch(first).await;
                    wait_until_clear().await;
                    write_frame(&mut writer, &batch).await?
                }
                Next::KeepAlive => {
                    wait_until_clear().await;
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
        closed.map_err(|source| net_error("close a connection", source))
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

    /// Collects the messages that share a frame with `first`.
    async fn collect_batch(&mut self, first: QueuedMessage<T>) -> Vec<T> {
        let mut send_at = Instant::now() + first.max_delay;
        let mut batch = vec![first.message];
        loop {
            while let Ok(more) = self.messages.try_recv() {
                send_at = send_at.min(Instant::now() + more.max_delay);
                batch.push(more.message);
            }
            if Instant::now() >= send_at {
                return batch;
            }
            match tokio::time::timeout_at(send_at, self.messages.recv()).await {
                Ok(Some(more)) => {
                    send_at = send_at.min(Instant::now() + more.max_delay);
                    batch.push(more.message);
                }
                Ok(None) | Err(_) => return batch,
            }
        }
    }
}

fn read_error(source: std::io::Error) -> Error {
    match source.kind() {
        std::io::ErrorKind::TimedOut => Error::SilenceTimeout,
        _ => net_error("read from a peer", source),
    }
}

fn net_error(what: &str, source: std::io::Error) -> Error {
    let what = what.to_string();
    Error::Net { what, source }
}
