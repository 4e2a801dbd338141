//! Serving the requests on a caller's connection.
//!
//! The HTTP library frames every answer of unknown length in chunks. That states more than an
//! endpoint did whose answer ended with its connection, so such answers are written here, and end
//! with the caller's connection too.

mod answers;
mod close_delimited;
mod closing;
mod listen;
mod waiting;

use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use axum::body::Body;
use axum::http::{Request, Response, Version, header};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, BufReader, Join, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use answers::{ConnectionAnswers, CountedBody};

pub use answers::OpenAnswers;

pub(crate) use closing::close_connection;
pub(crate) use listen::{limit_receive_buffer, listen};

/// Marks an answer whose body ends with the caller's connection, as that of its endpoint did.
#[derive(Clone, Copy, Debug)]
pub struct EndsWithConnection;

/// How many requests may be sent on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// One; its answer closes the connection.
    OneRequest,
    /// Any number.
    UntilClosed,
}

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// How many requests may be sent on it.
    pub keep_alive: KeepAlive,
    /// How long the head of a request may take, from when the connection was idle.
    pub head_timeout: Option<Duration>,
    /// Size of the buffer for heads in bytes; the library's own if `None`.
    pub max_buffer: Option<usize>,
}

/// A caller's connection, or one on which another router relays it.
pub trait CallerIo: AsyncRead + AsyncWrite + Unpin + Send + 'static {
    /// The socket that it writes to.
    fn socket(&self) -> socket2::SockRef<'_>;

    /// Closes it without an orderly end of what was written, if its socket is reset when closed.
    fn abort(self);
}

impl CallerIo for TcpStream {
    fn socket(&self) -> socket2::SockRef<'_> {
        socket2::SockRef::from(self)
    }

    fn abort(self) {}
}

impl CallerIo for Join<BufReader<OwnedReadHalf>, OwnedWriteHalf> {
    fn socket(&self) -> socket2::SockRef<'_> {
        socket2::SockRef::from(self.writer().as_ref())
    }

    fn abort(self) {
        let (_, writer) = self.into_inner();
        // Dropped, it would end what was written in an orderly way.
        writer.forget();
    }
}

/// Sets whether a socket is reset when it is closed, by this process or by its end.
pub(crate) fn set_reset_on_close(socket: socket2::SockRef<'_>, resets: bool) {
    if let Err(error) = socket.set_linger(resets.then_some(Duration::ZERO)) {
        log::warn!("caller: cannot set how a connection is closed: {error}");
    }
}

/// The service has put its answer aside, to be written without the HTTP library.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the answer ends with the connection"))]
struct PutAside;

/// Serves the requests on a connection until it closes. Once `closing` is ready, the connection is
/// closed as soon as it is idle. The answers count as open until they are written, the last ones
/// until the connection is closed. While it waits for a request, it may be closed to make way for
/// another ([`OpenAnswers::close_longest_waiting`]).
pub async fn serve_connection<I, S, F>(
    io: I,
    limits: ConnectionLimits,
    serve: S,
    closing: impl Future<Output = ()>,
    open_answers: &Arc<OpenAnswers>,
) where
    I: CallerIo,
    S: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let answers = ConnectionAnswers::new(open_answers);
    if limits.keep_alive == KeepAlive::OneRequest {
        answers.set_closing();
    }
    let aside: Arc<Mutex<Option<Response<CountedBody>>>> = Arc::default();
    let service = service_fn(|request: Request<Incoming>| {
        let caller_version = request.version();
        let begun = answers.begin().map(|open| (open, serve(request)));
        let (aside, answers) = (aside.clone(), answers.clone());
        async move {
            let Some((open, answering)) = begun else { return std::future::pending().await };
            let mut answer = answering.await.map(|body| CountedBody { body, _answer: open });
            *answer.version_mut() = Version::HTTP_11;
            if !ends_with_connection(&answer, caller_version) {
                if answer.headers().get(header::CONNECTION).is_some_and(|value| value == "close") {
                    answers.set_closing();
                }
                return Ok(answer);
            }
            *aside.lock().unwrap_or_else(PoisonError::into_inner) = Some(answer);
            Err(PutAside)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).keep_alive(limits.keep_alive == KeepAlive::UntilClosed);
    builder.header_read_timeout(limits.head_timeout);
    if let Some(bytes) = limits.max_buffer {
        builder.max_buf_size(bytes);
    }
    let io = TokioIo::new(WriteTracker { io, is_blocked: false, answers: answers.clone() });
    let mut connection = builder.serve_connection(io, service);
    let served = {
        let mut closing = pin!(closing);
        let serving = async {
            tokio::select! {
                served = &mut connection => served,
                () = &mut closing => {
                    answers.set_closing();
                    Pin::new(&mut connection).graceful_shutdown();
                    (&mut connection).await
                }
            }
        };
        tokio::select! {
            biased;
            () = answers.displaced() => return,
            served = serving => served,
        }
    };
    answers.stop_waiting();
    let parts = connection.into_parts();
    let has_input = !parts.read_buf.is_empty();
    let WriteTracker { io, is_blocked, .. } = parts.io.into_inner();
    let close = async |io| {
        answers.wait_for_close();
        tokio::select! {
            () = close_connection(io, has_input) => {}
            () = answers.displaced() => {}
        }
    };
    let Err(error) = served else { return close(io).await };
    let answer = aside.lock().unwrap_or_else(PoisonError::into_inner).take();
    let Some(answer) = answer else {
        log::debug!("caller: a connection failed: {error}");
        if error.is_parse() {
            // It has been answered, and the rest of the request is still arriving.
            close(io).await;
        }
        return;
    };
    if is_blocked {
        log::info!("caller: a connection is closed, since an answer before is still unsent");
        return;
    }
    match close_delimited::write_answer(io, answer).await {
        Ok(io) => close(io).await,
        Err(error) => {
            log::debug!("caller: an answer that ends with its connection was broken off: {error}");
        }
    }
}

/// Whether an answer can only be ended by the end of the caller's connection: chunks are unknown
/// to callers of HTTP/1.0.
fn ends_with_connection(answer: &Response<CountedBody>, caller_version: Version) -> bool {
    let has_length = answer.body().size_hint().exact().is_some();
    answer.extensions().get::<EndsWithConnection>().is_some()
        || caller_version < Version::HTTP_11 && !has_length
}

/// Tracks whether bytes that were to be written are still waiting for the other side.
struct WriteTracker<T> {
    io: T,
    is_blocked: bool,
    answers: Arc<ConnectionAnswers>,
}

impl<T: AsyncRead + Unpin> AsyncRead for WriteTracker<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for WriteTracker<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(context, bytes);
        self.is_blocked = written.is_pending();
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(context, slices);
        self.is_blocked = written.is_pending();
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        let flushed = Pin::new(&mut self.io).poll_flush(context);
        // The HTTP library flushes its connection only once it has written all that it buffers.
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.answers.record_flush();
        }
        flushed
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}
