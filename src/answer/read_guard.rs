//! Bounding what is read from an endpoint's connection beside the content of its answers: a head,
//! or framing of a body, that has no end.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use axum::http::Request;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

use super::limits::AnswerLimits;

/// Maximum number of interim heads before that of an answer.
const MAX_INTERIM_HEADS: u32 = 8;

/// A limit that an answer exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum ExceededLimit {
    /// Its head has too many bytes.
    #[snafu(display("its head is too long"))]
    HeadBytes,
    /// Its head did not end in time.
    #[snafu(display("its head did not end in time"))]
    HeadTime,
    /// Too many interim heads came before its own.
    #[snafu(display("too many interim heads came before its own"))]
    InterimHeads,
    /// Its body brought too many bytes without content.
    #[snafu(display("its body has too many bytes without content"))]
    Framing,
}

impl ExceededLimit {
    /// The name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            ExceededLimit::HeadBytes => "head_bytes",
            ExceededLimit::HeadTime => "head_time",
            ExceededLimit::InterimHeads => "interim_heads",
            ExceededLimit::Framing => "framing",
        }
    }
}

/// Which part of an answer is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// Nobody has asked for an answer.
    None,
    Head,
    Body,
}

#[derive(Debug)]
struct State {
    part: Part,
    /// Bytes read since the last content, or since the head began.
    overhead: usize,
    /// When the head in progress began.
    head_began: Option<Instant>,
    interim_heads: u32,
    exceeded: Option<ExceededLimit>,
}

/// Follows the answers on one connection.
#[derive(Clone, Debug)]
pub struct ReadGuard {
    limits: AnswerLimits,
    state: Arc<Mutex<State>>,
}

impl ReadGuard {
    /// A guard for a new connection.
    pub fn new(limits: AnswerLimits) -> ReadGuard {
        let state = State {
            part: Part::None,
            overhead: 0,
            head_began: None,
            interim_heads: 0,
            exceeded: None,
        };
        ReadGuard { limits, state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The limits.
    pub fn limits(&self) -> &AnswerLimits {
        &self.limits
    }

    /// Reads a connection within the limits; reading fails once one is exceeded.
    pub fn wrap<T>(&self, io: T) -> GuardedIo<T> {
        GuardedIo { io, guard: self.clone(), timeout: None }
    }

    /// Begins to wait for the head of the answer to a request that is about to be sent.
    pub fn expect_head<B>(&self, request: &mut Request<B>) {
        self.begin_head();
        let guard = self.clone();
        hyper::ext::on_informational(request, move |_| guard.record_interim_head());
    }

    /// Begins to wait for the head of an answer.
    pub fn begin_head(&self) {
        let mut state = self.lock();
        let exceeded = state.exceeded;
        *state =
            State { part: Part::Head, overhead: 0, head_began: None, interim_heads: 0, exceeded };
    }

    /// Records that an interim head has ended.
    pub fn record_interim_head(&self) {
        let mut state = self.lock();
        state.head_began = None;
        state.interim_heads += 1;
        if state.interim_heads > MAX_INTERIM_HEADS {
            state.exceeded.get_or_insert(ExceededLimit::InterimHeads);
        }
    }

    /// Records that the head is complete; its body follows.
    pub fn record_head(&self) {
        let mut state = self.lock();
        state.part = Part::Body;
        state.overhead = 0;
        state.head_began = None;
    }

    /// Records content of the body.
    pub fn record_content(&self) {
        self.lock().overhead = 0;
    }

    /// The limit that was exceeded, if one was.
    pub fn exceeded(&self) -> Option<ExceededLimit> {
        self.lock().exceeded
    }

    /// The limit by which a request got no answer, if that is why.
    pub fn exceeded_by(&self, error: &hyper::Error) -> Option<ExceededLimit> {
        self.exceeded().or(error.is_parse_too_large().then_some(ExceededLimit::HeadBytes))
    }

    /// Records bytes that were read. Returns when the head in progress began.
    fn record_read(&self, bytes: usize) -> Result<Option<Instant>, ExceededLimit> {
        let mut state = self.lock();
        if state.part == Part::Head && bytes > 0 {
            state.head_began.get_or_insert_with(Instant::now);
        }
        if state.part != Part::None {
            state.overhead = state.overhead.saturating_add(bytes);
            if state.overhead > self.limits.overhead_bytes() {
                let limit = match state.part {
                    Part::Body => ExceededLimit::Framing,
                    Part::Head | Part::None => ExceededLimit::HeadBytes,
                };
                state.exceeded.get_or_insert(limit);
            }
        }
        state.exceeded.map_or(Ok(state.head_began), Err)
    }
}

/// A connection that is read within limits.
#[derive(Debug)]
pub struct GuardedIo<T> {
    io: T,
    guard: ReadGuard,
    /// When the head in progress began, and the end of its time.
    timeout: Option<(Instant, Pin<Box<Sleep>>)>,
}

impl<T> GuardedIo<T> {
    /// The connection.
    pub fn get_ref(&self) -> &T {
        &self.io
    }

    /// Fails once the head in progress has taken too long.
    fn poll_head_timeout(
        &mut self,
        context: &mut Context<'_>,
        began: Option<Instant>,
    ) -> io::Result<()> {
        let Some(began) = began else {
            self.timeout = None;
            return Ok(());
        };
        if self.timeout.as_ref().is_none_or(|(at, _)| *at != began) {
            let end = began + self.guard.limits.head_timeout();
            self.timeout = Some((began, Box::pin(tokio::time::sleep_until(end))));
        }
        let Some((_, sleep)) = &mut self.timeout else { return Ok(()) };
        if sleep.as_mut().poll(context).is_ready() {
            self.guard.lock().exceeded = Some(ExceededLimit::HeadTime);
            return Err(error(ExceededLimit::HeadTime));
        }
        Ok(())
    }
}

fn error(limit: ExceededLimit) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, limit)
}

impl<T: AsyncRead + Unpin> AsyncRead for GuardedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.io).poll_read(context, buffer);
        let began = self.guard.record_read(buffer.filled().len() - before).map_err(error)?;
        if read.is_pending() {
            self.poll_head_timeout(context, began)?;
        }
        ready!(read)?;
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for GuardedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}
