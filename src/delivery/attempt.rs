//! One attempt to have an endpoint answer a call.

use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::client::HttpClient;
use super::header;
use super::outcome::UnknownReason;
use crate::notice::Notice;

/// The largest answer that is not streamed, in bytes.
pub const MAX_ANSWER: usize = 16 << 20;
/// Headers that concern one connection only, and are not passed on.
const HOP_HEADERS: [&str; 7] =
    ["connection", "keep-alive", "transfer-encoding", "content-length", "host", "te", "upgrade"];

/// A call as it is sent to an endpoint.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number of the request, echoed by endpoints.
    pub id: String,
    /// The HTTP method.
    pub method: Method,
    /// Path and query at the endpoint.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the call may run at most once.
    pub once: bool,
    /// Tokens already received, when a cut stream is resumed.
    pub resume: Option<u32>,
}

/// An endpoint's whole answer, or its stream.
#[derive(Debug)]
pub enum Answer {
    /// All of it.
    Whole(Response<Bytes>),
    /// Its head, with server-sent events to follow.
    Stream(Response<Incoming>),
}

/// The result of one attempt.
#[derive(Debug)]
pub enum Attempt {
    /// The endpoint answered.
    Answered(Answer),
    /// Nothing was sent: proof that the call did not run.
    NotSent,
    /// The endpoint says that it did not run the call.
    Refused,
    /// The call was sent; what became of it is not known.
    Unknown(UnknownReason),
}

/// What came of an attempt, and what the endpoint said of itself.
#[derive(Debug)]
pub struct Attempted {
    /// The result.
    pub attempt: Attempt,
    /// What the head of the answer said; nothing where there was none.
    pub notice: Notice,
}

impl From<Attempt> for Attempted {
    fn from(attempt: Attempt) -> Attempted {
        Attempted { attempt, notice: Notice::default() }
    }
}

/// Makes attempts.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    client: HttpClient,
}

impl Caller {
    /// Calls `address` and waits for the head of its answer, or for the whole
    /// when it is not streamed, but not longer than `limit`.
    pub async fn attempt(&self, address: SocketAddr, call: &Call, limit: Duration) -> Attempted {
        let Some(request) = call.request(address) else {
            return Attempt::NotSent.into();
        };
        match tokio::time::timeout(limit, self.exchange(call, request)).await {
            Ok(attempted) => attempted,
            Err(_) => Attempt::Unknown(UnknownReason::TimedOut).into(),
        }
    }

    async fn exchange(&self, call: &Call, request: Request<Body>) -> Attempted {
        let sent = match call.once {
            true => self.client.send_fresh(request).await,
            false => self.client.send(request).await,
        };
        let response = match sent {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Attempt::NotSent.into(),
            Err(_) => return Attempt::Unknown(UnknownReason::Broken).into(),
        };
        let leaving = HeaderName::from_static(header::LEAVING);
        let notice = Notice::read(response.status(), response.headers(), &leaving);
        Attempted { attempt: judge(call, response).await, notice }
    }
}

/// What an answer whose head has come says of the call.
async fn judge(call: &Call, response: Response<Incoming>) -> Attempt {
    if response.headers().contains_key(header::NOT_RUN) {
        return Attempt::Refused;
    }
    let echoed = header::text(response.headers(), header::REQUEST);
    if echoed.is_some_and(|id| id != call.id) {
        return Attempt::Unknown(UnknownReason::Crossed);
    }
    if is_stream(response.headers()) {
        return Attempt::Answered(Answer::Stream(response));
    }
    whole(response).await
}

async fn whole(response: Response<Incoming>) -> Attempt {
    let (head, body) = response.into_parts();
    match Limited::new(body, MAX_ANSWER).collect().await {
        Ok(body) => {
            let answer = Response::from_parts(head, body.to_bytes());
            Attempt::Answered(Answer::Whole(answer))
        }
        Err(_) => Attempt::Unknown(UnknownReason::Broken),
    }
}

fn is_stream(headers: &HeaderMap) -> bool {
    let kind = header::text(headers, "content-type");
    kind.is_some_and(|k| k.starts_with("text/event-stream"))
}

/// The headers of an answer that are passed on to the caller.
pub(crate) fn pass_on(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in HOP_HEADERS {
        kept.remove(name);
    }
    kept
}

impl Call {
    fn request(&self, address: SocketAddr) -> Option<Request<Body>> {
        let uri = format!("http://{address}{}", self.path);
        let mut request = Request::builder().method(self.method.clone()).uri(uri);
        *request.headers_mut()? = pass_on(&self.headers);
        let headers = request.headers_mut()?;
        headers.insert(header::REQUEST, HeaderValue::from_str(&self.id).ok()?);
        if let Some(tokens) = self.resume {
            headers.insert(header::RESUME, tokens.into());
        }
        request.body(Body::from(self.body.clone())).ok()
    }
}
