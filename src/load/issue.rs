//! Sends one request and observes its answer.

use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, Method, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::Instant;

use super::file::{LoadCustomer, LoadFile};
use super::observe::{Observations, add, record};
use crate::delivery::sse::{Chunk, DONE, Splitter};
use crate::delivery::{HttpClient, header};
use crate::emulate::engine::CHARS_PER_TOKEN;

/// Units of a call to a plain service, in milliseconds of a slot.
const PLAIN_UNITS: u64 = 20;
/// How long a request is under way before it counts as waiting.
const WAITS_AFTER: Duration = Duration::from_millis(400);
/// How long any answer may take before the request counts as lost.
const LOST_AFTER: Duration = Duration::from_secs(300);

/// One request to send.
#[derive(Clone, Debug)]
pub struct Issue {
    /// Place of its customer in the file.
    pub customer: usize,
    /// Place of its router in the file.
    pub router: usize,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the output.
    pub output: u32,
    /// Its idempotency key.
    pub key: Option<String>,
}

/// How it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Answered whole, or broken off with an explicit error.
    Answered,
    /// To come back after so long.
    ComeBack(Duration),
    /// Anything else.
    Other,
}

/// Counts a request as waiting from [`WAITS_AFTER`] until its first byte,
/// however it ends. Before that it may just be under way.
struct Waiting<'a> {
    seen: &'a Observations,
    customer: usize,
    counted: bool,
}

impl Waiting<'_> {
    fn begin(&mut self) {
        self.counted = true;
        add(&self.seen.customers[self.customer].waiting, 1);
    }

    fn end(&mut self) {
        if std::mem::take(&mut self.counted) {
            self.seen.customers[self.customer].waiting.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Passes a future on, and begins to count when it takes long.
    async fn during<T>(&mut self, future: impl Future<Output = T>) -> T {
        tokio::pin!(future);
        if !self.counted {
            match tokio::time::timeout(WAITS_AFTER, &mut future).await {
                Ok(done) => return done,
                Err(_) => self.begin(),
            }
        }
        future.await
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.end();
    }
}

/// Sends a request through its router and observes the answer.
pub async fn issue(
    client: &HttpClient,
    file: &LoadFile,
    issue: &Issue,
    seen: &Observations,
) -> Ended {
    let counters = &seen.customers[issue.customer];
    add(&counters.sent, 1);
    let mut waiting = Waiting { seen, customer: issue.customer, counted: false };
    let sent = Instant::now();
    let request = request(file, issue);
    let answer = waiting.during(tokio::time::timeout(LOST_AFTER, client.send(request))).await;
    let Ok(Ok(response)) = answer else {
        add(&seen.lost, 1);
        if let Some(key) = &issue.key {
            seen.tell(key, |told| told.other += 1);
        }
        return Ended::Other;
    };
    let unsaid = if file.direct { "answered" } else { "none" };
    let outcome = header::text(response.headers(), header::OUTCOME).unwrap_or(unsaid).to_string();
    if let Some(key) = &issue.key {
        seen.tell(key, |told| match outcome.as_str() {
            "answered" => told.answered += 1,
            "not-run" => told.not_run += 1,
            _ => told.other += 1,
        });
    }
    match outcome.as_str() {
        "answered" => {
            let whole = observe(file, issue, response, seen, &mut waiting, sent).await;
            if whole {
                add(&counters.answered, 1);
                record(&seen.whole, sent.elapsed().as_micros() as u64);
            }
            Ended::Answered
        }
        "not-run" => {
            add(&counters.refused, 1);
            come_back(response.headers(), seen)
        }
        "running" => {
            add(&seen.running, 1);
            come_back(response.headers(), seen)
        }
        _ => {
            add(&seen.unknown, 1);
            Ended::Other
        }
    }
}

fn come_back(headers: &HeaderMap, seen: &Observations) -> Ended {
    let after = header::text(headers, header::RETRY_AFTER_MS).and_then(|v| v.parse().ok());
    match after {
        Some(ms) => Ended::ComeBack(Duration::from_millis(ms)),
        None => {
            add(&seen.no_retry_after, 1);
            Ended::Other
        }
    }
}

fn request(file: &LoadFile, issue: &Issue) -> Request<Body> {
    let customer = &file.customers[issue.customer];
    let router = file.routers[issue.router];
    let (path, body) = match &customer.path {
        Some(path) if file.direct => (path.clone(), json!({"seat": issue.key})),
        Some(path) => (format!("/{}{path}", customer.service), json!({"seat": issue.key})),
        None => ("/v1/chat/completions".to_string(), chat(customer, issue)),
    };
    let mut request = Request::new(Body::from(body.to_string()));
    *request.method_mut() = Method::POST;
    // An address and a checked path always make a URI.
    *request.uri_mut() = format!("http://{router}{path}").parse().unwrap_or_default();
    let headers = request.headers_mut();
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = value.parse() {
            headers.insert(name, value);
        }
    };
    set("content-type", "application/json".into());
    set(header::CUSTOMER, customer.name.clone());
    if let Some(key) = &issue.key {
        set(header::KEY, key.clone());
    }
    if let Some(deadline) = customer.deadline_ms {
        set(header::DEADLINE, deadline.to_string());
    }
    request
}

fn chat(customer: &LoadCustomer, issue: &Issue) -> serde_json::Value {
    let shared = customer.shared_prefix.min(issue.prompt) as usize * CHARS_PER_TOKEN;
    let total = issue.prompt as usize * CHARS_PER_TOKEN;
    let mut prompt = customer.name.repeat(shared / customer.name.len().max(1) + 1);
    prompt.truncate(shared);
    let own = format!("{}-{}-{} ", issue.customer, issue.prompt, issue.output);
    while prompt.len() < total {
        prompt.push_str(&own);
    }
    prompt.truncate(total);
    json!({
        "model": customer.service,
        "stream": true,
        "messages": [{"role": "user", "content": prompt}],
        "emulate": {"output_tokens": issue.output},
    })
}

/// Reads the answer; says whether it was whole and the request's own.
async fn observe(
    file: &LoadFile,
    issue: &Issue,
    response: Response<Incoming>,
    seen: &Observations,
    waiting: &mut Waiting<'_>,
    sent: Instant,
) -> bool {
    let replayed = response.headers().contains_key(header::REPLAYED);
    let trace = header::text(response.headers(), header::TRACE).map(String::from);
    let echoed = header::text(response.headers(), header::REQUEST).map(String::from);
    if !replayed && !file.direct && echoed.is_some() && echoed != trace {
        add(&seen.crossed, 1);
        return false;
    }
    let counters = &seen.customers[issue.customer];
    if file.customers[issue.customer].path.is_some() {
        return observe_plain(issue, response, seen, waiting, sent).await;
    }
    let prompt_units = u64::from(issue.prompt * file.input_weight);
    let all_units = prompt_units + u64::from(issue.output * file.output_weight);
    seen.largest.fetch_max(all_units, Ordering::Relaxed);
    let mut body = response.into_body();
    let mut splitter = Splitter::default();
    let mut tokens = 0;
    let mut last = Instant::now();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            // The connection broke: the caller knows that it has not all.
            add(&seen.lost, 1);
            return false;
        };
        if let Some(data) = frame.data_ref() {
            splitter.push(data);
        }
        while let Ok(Some(event)) = splitter.next() {
            if event.data == DONE {
                return check_whole(tokens == issue.output, seen);
            }
            let chunk = serde_json::from_str::<Chunk>(&event.data);
            let usage = chunk.ok().and_then(|c| c.usage);
            let Some(usage) = usage else {
                add(&seen.broken, 1);
                return false;
            };
            if !event.data.contains(&format!("t{tokens} ")) {
                add(&seen.crossed, 1);
                return false;
            }
            let fresh = usage.completion_tokens - tokens;
            if tokens == 0 {
                let wait = sent.elapsed();
                waiting.end();
                record(&seen.first_byte, wait.as_micros() as u64);
                add(&counters.wait_ms, wait.as_millis() as u64);
                add(&counters.received, prompt_units);
            } else {
                let each = last.elapsed().as_micros() as u64 / u64::from(fresh.max(1));
                record(&seen.between_tokens, each);
            }
            last = Instant::now();
            tokens = usage.completion_tokens;
            add(&counters.received, u64::from(fresh * file.output_weight));
        }
    }
    check_whole(false, seen)
}

fn check_whole(whole: bool, seen: &Observations) -> bool {
    if !whole {
        add(&seen.truncated, 1);
    }
    whole
}

async fn observe_plain(
    issue: &Issue,
    response: Response<Incoming>,
    seen: &Observations,
    waiting: &mut Waiting<'_>,
    sent: Instant,
) -> bool {
    let wait = sent.elapsed();
    waiting.end();
    record(&seen.first_byte, wait.as_micros() as u64);
    let counters = &seen.customers[issue.customer];
    add(&counters.wait_ms, wait.as_millis() as u64);
    add(&counters.received, PLAIN_UNITS);
    seen.largest.fetch_max(PLAIN_UNITS, Ordering::Relaxed);
    let Ok(body) = response.into_body().collect().await else {
        add(&seen.lost, 1);
        return false;
    };
    let Ok(answer) = serde_json::from_slice::<serde_json::Value>(&body.to_bytes()) else {
        return check_whole(false, seen);
    };
    let key = issue.key.as_deref();
    if answer.get("key").and_then(|k| k.as_str()) != key {
        add(&seen.crossed, 1);
        return false;
    }
    true
}
