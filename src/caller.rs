//! HTTP interface for callers: plain HTTP requests for plain services, chat completions for models.
//!
//! Only this module depends on the formats of callers' requests.

use std::sync::Arc;
use std::time::Duration;

use axum::Router as App;
use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, Method, Response, StatusCode, Uri};
use axum::routing::{any, get, post};
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::delivery::{NotRunReason, Outcome, header};
use crate::request_body::{HeldBody, ReadError, read_body};
use crate::router::{Request, Router};

/// Longest time that the body of a request may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which a caller may retry whose request finds no room, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;
/// Number of bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Lengths of the prompt prefixes that are hashed for cache affinity, in bytes.
const PREFIX_BYTES: [usize; 4] = [1_024, 2_048, 4_096, 8_192];

/// The fields of a chat completion request that a router reads.
#[derive(Debug, Deserialize)]
struct Chat {
    model: String,
    messages: Vec<Message>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: serde_json::Value,
}

impl Message {
    /// A hash of its content.
    fn hash(&self) -> u64 {
        match self.content.as_str() {
            Some(text) => xxh3_64(text.as_bytes()),
            None => xxh3_64(self.content.to_string().as_bytes()),
        }
    }
}

/// Returns the HTTP application for callers.
pub fn app(router: Arc<Router>) -> App {
    App::new()
        .route("/metrics", get(async |State(r): State<Arc<Router>>| r.metrics.render()))
        .route("/ready", get(ready))
        .route("/v1/chat/completions", post(chat))
        .route("/{service}/{*path}", any(plain))
        .with_state(router)
}

async fn ready(State(router): State<Arc<Router>>) -> StatusCode {
    match router.is_stopping() || router.config().version == 0 {
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::OK,
    }
}

async fn chat(State(router): State<Arc<Router>>, headers: HeaderMap, body: Body) -> Response<Body> {
    let (customer, body) = match read_request(&router, &headers, body).await {
        Ok(read) => read,
        Err(response) => return response,
    };
    let chat: Chat = match serde_json::from_slice(&body) {
        Ok(chat) => chat,
        Err(error) => {
            return error_response(
                StatusCode::BAD_REQUEST,
                format!("not a chat completion: {error}"),
            );
        }
    };
    let prompt: String = chat.messages.iter().filter_map(|m| m.content.as_str()).collect();
    let request = Request {
        customer,
        service: chat.model,
        method: Method::POST,
        path: "/v1/chat/completions".to_string(),
        headers,
        body,
        prompt_tokens: prompt.len().div_ceil(BYTES_PER_TOKEN) as u32,
        prefix: prefix_hashes(&prompt),
        prompt_parts: chat.messages.iter().map(Message::hash).collect(),
    };
    router.serve(request).await
}

async fn plain(
    State(router): State<Arc<Router>>,
    Path((service, path)): Path<(String, String)>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Body,
) -> Response<Body> {
    let (customer, body) = match read_request(&router, &headers, body).await {
        Ok(read) => read,
        Err(response) => return response,
    };
    let query = uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    let request = Request {
        customer,
        service,
        method,
        path: format!("/{path}{query}"),
        headers,
        body,
        prompt_tokens: 0,
        prefix: Vec::new(),
        prompt_parts: Vec::new(),
    };
    router.serve(request).await
}

async fn read_request(
    router: &Router,
    headers: &HeaderMap,
    body: Body,
) -> Result<(String, HeldBody), Response<Body>> {
    let Some(customer) = header::text(headers, header::CUSTOMER) else {
        let message = format!("name the customer in {}", header::CUSTOMER);
        return Err(error_response(StatusCode::UNAUTHORIZED, message));
    };
    // Invented names share one part of the memory.
    let holder = if router.config().customer_id(customer).is_some() { customer } else { "" };
    let held = router.request_memory.hold(holder).ok_or(ReadError::NoMemory);
    let held = held.map_err(unread_response)?;
    let max_bytes = router.settings.max_body;
    let body = read_body(body, max_bytes, BODY_TIMEOUT, held).await.map_err(unread_response)?;
    Ok((customer.to_string(), body))
}

/// The answer to a request whose body was not read to its end.
fn unread_response(error: ReadError) -> Response<Body> {
    match error {
        ReadError::NoMemory => {
            Outcome::NotRun(NotRunReason::TooManyBytes, RETRY_AFTER_MS).into_response("")
        }
        error => error_response(error.status(), error.to_string()),
    }
}

fn error_response(status: StatusCode, message: String) -> Response<Body> {
    Outcome::BadRequest(status, message).into_response("")
}

fn prefix_hashes(prompt: &str) -> Vec<u32> {
    let lengths = PREFIX_BYTES.iter().filter(|n| prompt.len() >= **n);
    lengths.map(|n| xxh3_64(&prompt.as_bytes()[..*n]) as u32).collect()
}
