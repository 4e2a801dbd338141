//! HTTP connections to endpoints and the platform.

use std::time::Duration;

use axum::body::Body;
use axum::http::{Request, Response, Uri};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error, ResponseFuture};
use hyper_util::rt::TokioExecutor;

/// How long a connection to an endpoint may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an unused connection is kept.
const IDLE: Duration = Duration::from_secs(20);

/// A client that never repeats a call by itself.
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
        builder.pool_idle_timeout(IDLE);
        builder.pool_timer(hyper_util::rt::TokioTimer::new());
        let pooled = builder.build(connector());
        // Without a pool, a failure to connect proves that nothing was sent.
        builder.pool_max_idle_per_host(0);
        HttpClient { pooled, fresh: builder.build(connector()) }
    }
}

impl HttpClient {
    /// Sends a request that may be repeated, on a kept connection if there is one.
    pub fn send(&self, request: Request<Body>) -> ResponseFuture {
        self.pooled.request(request)
    }

    /// Sends a request on a connection of its own.
    pub fn send_fresh(&self, request: Request<Body>) -> ResponseFuture {
        self.fresh.request(request)
    }

    /// Fetches a page.
    pub async fn get(&self, uri: Uri) -> Result<Response<Incoming>, Error> {
        let mut request = Request::new(Body::empty());
        *request.uri_mut() = uri;
        self.pooled.request(request).await
    }
}
