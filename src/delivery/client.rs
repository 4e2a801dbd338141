//! HTTP client for endpoints and the platform.

use std::time::Duration;

use axum::body::Body;
use axum::http::{Request, Response, Uri};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error, ResponseFuture};
use hyper_util::rt::TokioExecutor;

/// Time limit for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// An HTTP client that never retries a call by itself.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pooled: Client<HttpConnector, Body>,
    fresh: Client<HttpConnector, Body>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let connector = || {
            let mut connector = HttpConnector::new();
            connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
            connector.set_nodelay(true);
            connector
        };
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        builder.pool_idle_timeout(IDLE_TIMEOUT);
        builder.pool_timer(hyper_util::rt::TokioTimer::new());
        let pooled = builder.build(connector());
        // On a connection of its own, a failure to connect proves that no byte was sent.
        builder.pool_max_idle_per_host(0);
        HttpClient { pooled, fresh: builder.build(connector()) }
    }
}

impl HttpClient {
    /// Sends a request that may be repeated, on a pooled connection if there is one.
    pub fn send(&self, request: Request<Body>) -> ResponseFuture {
        self.pooled.request(request)
    }

    /// Sends a request on a new connection, which is not reused.
    pub fn send_fresh(&self, request: Request<Body>) -> ResponseFuture {
        self.fresh.request(request)
    }

    /// Sends a GET request for `uri`.
    pub async fn get(&self, uri: Uri) -> Result<Response<Incoming>, Error> {
        let mut request = Request::new(Body::empty());
        *request.uri_mut() = uri;
        self.pooled.request(request).await
    }
}
