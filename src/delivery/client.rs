//! HTTP client for endpoints and the platform.

use std::io;
use std::pin::{Pin, pin};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use std::time::Duration;

use axum::body::Body;
use axum::http::{Extensions, Request, Response, Uri};
use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{
    CaptureConnection, Connected, Connection, HttpConnector, capture_connection,
};
use hyper_util::client::legacy::{Client, Error, ResponseFuture};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpStream;
use tower::Service;

use crate::answer::{AnswerLimits, ExceededLimit, GuardedIo, ReadGuard};

/// Time limit for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why no answer arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendError {
    /// Nothing was written.
    NotSent,
    /// The request may have run.
    Broken,
    /// The same; what came in place of an answer exceeded a limit.
    Exceeded(ExceededLimit),
}

/// The connection that a request was sent on.
#[derive(Debug)]
pub(super) struct SentOn(CaptureConnection);

impl SentOn {
    /// Has no further request sent on it.
    pub fn retire(&self) {
        if let Some(connected) = self.0.connection_metadata().as_ref() {
            connected.poison();
        }
    }
}

/// Opens connections that are read within limits.
#[derive(Clone, Debug)]
struct Connector {
    http: HttpConnector,
    limits: AnswerLimits,
}

impl Service<Uri> for Connector {
    type Response = GuardedConnection;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<GuardedConnection, Self::Error>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.http.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.http.call(uri);
        let guard = ReadGuard::new(self.limits);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(GuardedConnection { io: TokioIo::new(guard.wrap(stream)), guard })
        })
    }
}

/// A connection with its guard, which answers on it carry as an extension.
#[derive(Debug)]
struct GuardedConnection {
    io: TokioIo<GuardedIo<TcpStream>>,
    guard: ReadGuard,
}

impl Connection for GuardedConnection {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.guard.clone())
    }
}

impl Read for GuardedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl Write for GuardedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(context, slices)
    }
}

/// An HTTP client that never retries a call by itself.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pooled: Client<Connector, Body>,
    fresh: Client<Connector, Body>,
}

impl Default for HttpClient {
    fn default() -> Self {
        HttpClient::new(AnswerLimits::default())
    }
}

impl HttpClient {
    /// A client that reads answers within `limits`.
    pub fn new(limits: AnswerLimits) -> HttpClient {
        let connector = || {
            let mut http = HttpConnector::new();
            http.set_connect_timeout(Some(CONNECT_TIMEOUT));
            http.set_nodelay(true);
            Connector { http, limits }
        };
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        builder.pool_idle_timeout(IDLE_TIMEOUT);
        builder.pool_timer(hyper_util::rt::TokioTimer::new());
        builder.http1_max_buf_size(limits.head_bytes);
        let pooled = builder.build(connector());
        // On a connection of its own, a failure to connect proves that no byte was sent.
        builder.pool_max_idle_per_host(0);
        HttpClient { pooled, fresh: builder.build(connector()) }
    }

    /// Sends a request that may be repeated, on a pooled connection if there is one.
    pub fn send(&self, request: Request<Body>) -> ResponseFuture {
        self.pooled.request(request)
    }

    /// Sends a request on a new connection, which is not reused.
    pub fn send_fresh(&self, request: Request<Body>) -> ResponseFuture {
        self.fresh.request(request)
    }

    /// Sends a request, on a pooled connection if it may be repeated, and waits for the head of
    /// the answer within the limits. Also returns the connection that it arrived on.
    pub(super) async fn send_within_limits(
        &self,
        mut request: Request<Body>,
        may_repeat: bool,
    ) -> Result<(Response<Incoming>, SentOn), SendError> {
        let guard = Arc::new(OnceLock::new());
        let captured = capture_connection(&mut request);
        let connection = captured.clone();
        let counting = guard.clone();
        hyper::ext::on_informational(&mut request, move |_| {
            counting.get().into_iter().for_each(ReadGuard::record_interim_head);
        });
        let mut sending = pin!(match may_repeat {
            true => self.send(request),
            false => self.send_fresh(request),
        });
        let sent = tokio::select! {
            biased;
            () = begin_head(captured, &guard) => sending.await,
            sent = &mut sending => sent,
        };
        let exceeded = guard.get().and_then(ReadGuard::exceeded);
        match (sent, exceeded) {
            (Ok(response), _) => {
                guard.get().into_iter().for_each(ReadGuard::record_head);
                Ok((response, SentOn(connection)))
            }
            (Err(error), _) if error.is_connect() => Err(SendError::NotSent),
            (Err(_), Some(limit)) => Err(SendError::Exceeded(limit)),
            (Err(_), None) => Err(SendError::Broken),
        }
    }

    /// Sends a GET request for `uri`.
    pub async fn get(&self, uri: Uri) -> Result<Response<Incoming>, Error> {
        let mut request = Request::new(Body::empty());
        *request.uri_mut() = uri;
        self.pooled.request(request).await
    }
}

/// Has the guard of a request's connection wait for the head of its answer, as soon as the
/// connection is known.
async fn begin_head(mut captured: CaptureConnection, guard: &OnceLock<ReadGuard>) {
    let mut extensions = Extensions::new();
    if let Some(connected) = captured.wait_for_connection_metadata().await.as_ref() {
        connected.get_extras(&mut extensions);
    }
    match extensions.remove::<ReadGuard>() {
        Some(found) => guard.get_or_init(|| found).begin_head(),
        // There is no connection, which the answer tells.
        None => std::future::pending().await,
    }
}
