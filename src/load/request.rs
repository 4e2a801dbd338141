//! Sending one request and recording its answer.

use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, Method, Request, Response};
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::Instant;

use super::file::{LoadCustomer, LoadFile};
use super::observe::{Observations, add, record};
use crate::answer::{AnswerBody, AnswerLimits, BodyEnd, Ending, Part};
use crate::delivery::sse::{Chunk, DONE, Splitter};
use crate::delivery::{HttpClient, header};
use crate::emulate::engine::{BYTES_PER_TOKEN, DEADLY_MESSAGE};

/// Units charged for a call to a plain service: milliseconds of a slot.
const PLAIN_CALL_UNITS: u64 = 20;
/// How long a request is pending before it counts as waiting.
const WAITING_THRESHOLD: Duration = Duration::from_millis(400);
/// How long to wait for an answer before the request counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(300);

/// One request to send.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Index of its customer in the load file.
    pub customer: usize,
    /// Index of its router in the load file.
    pub router: usize,
    /// Length of the prompt in tokens.
    pub prompt: u32,
    /// Length of the output in tokens.
    pub output: u32,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Whether its prompt has a part that crashes emulated engines.
    pub is_deadly: bool,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer began; it may have been truncated or wrong.
    Answered,
    /// Refused, or still running at an earlier attempt; retry after this time.
    RetryAfter(Duration),
    /// No answer, an unknown outcome, or a refusal without a retry time.
    Other,
}

/// Counts a request as waiting once it has been pending for [`WAITING_THRESHOLD`], until its first
/// byte or its end. Before that time it may just be in transit.
struct WaitingCounter<'a> {
    observations: &'a Observations,
    customer: usize,
    counted: bool,
}

impl WaitingCounter<'_> {
    fn begin(&mut self) {
        self.counted = true;
        add(&self.observations.customers[self.customer].waiting, 1);
    }

    fn end(&mut self) {
        if std::mem::take(&mut self.counted) {
            self.observations.customers[self.customer].waiting.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Awaits a future, and begins to count the request if that takes too long.
    async fn count_while<T>(&mut self, future: impl Future<Output = T>) -> T {
        tokio::pin!(future);
        if !self.counted {
            match tokio::time::timeout(WAITING_THRESHOLD, &mut future).await {
                Ok(done) => return done,
                Err(_) => self.begin(),
            }
        }
        future.await
    }
}

impl Drop for WaitingCounter<'_> {
    fn drop(&mut self) {
        self.end();
    }
}

/// Sends a request to its router and records the answer.
pub async fn send_request(
    client: &HttpClient,
    file: &LoadFile,
    planned: &PlannedRequest,
    observations: &Observations,
) -> Outcome {
    let counters = &observations.customers[planned.customer];
    add(&counters.sent, 1);
    let mut waiting = WaitingCounter { observations, customer: planned.customer, counted: false };
    let sent = Instant::now();
    if !planned.is_deadly {
        observations.record_sound_request(sent);
    }
    let http_request = build_request(file, planned);
    let answer =
        waiting.count_while(tokio::time::timeout(ANSWER_TIMEOUT, client.send(http_request))).await;
    let Ok(Ok(response)) = answer else {
        add(&observations.lost, 1);
        if planned.is_deadly {
            observations.record_deadly_run(sent);
        }
        if let Some(key) = &planned.key {
            observations.record_outcome(key, |outcomes| outcomes.other += 1);
        }
        return Outcome::Other;
    };
    let default_outcome = if file.direct { "answered" } else { "none" };
    let outcome =
        header::text(response.headers(), header::OUTCOME).unwrap_or(default_outcome).to_string();
    if planned.is_deadly && outcome != "not-run" {
        observations.record_deadly_run(sent);
    }
    if let Some(key) = &planned.key {
        observations.record_outcome(key, |outcomes| match outcome.as_str() {
            "answered" => outcomes.answered += 1,
            "not-run" => outcomes.not_run += 1,
            _ => outcomes.other += 1,
        });
    }
    match outcome.as_str() {
        "answered" => {
            let complete =
                read_answer(file, planned, response, observations, &mut waiting, sent).await;
            if complete {
                add(&counters.answered, 1);
                observations.record_sound_answer(sent);
                record(&observations.completion, sent.elapsed().as_micros() as u64);
            }
            Outcome::Answered
        }
        "not-run" => {
            add(&counters.refused, 1);
            retry_outcome(response.headers(), observations)
        }
        "running" => {
            add(&observations.running, 1);
            retry_outcome(response.headers(), observations)
        }
        _ => {
            add(&observations.unknown, 1);
            Outcome::Other
        }
    }
}

fn retry_outcome(headers: &HeaderMap, observations: &Observations) -> Outcome {
    let after = header::text(headers, header::RETRY_AFTER_MS).and_then(|v| v.parse().ok());
    match after {
        Some(ms) => Outcome::RetryAfter(Duration::from_millis(ms)),
        None => {
            add(&observations.no_retry_after, 1);
            Outcome::Other
        }
    }
}

fn build_request(file: &LoadFile, planned: &PlannedRequest) -> Request<Body> {
    let customer = &file.customers[planned.customer];
    let router = file.routers[planned.router];
    let (path, body) = match &customer.path {
        Some(path) if file.direct => (path.clone(), json!({"seat": planned.key})),
        Some(path) => (format!("/{}{path}", customer.service), json!({"seat": planned.key})),
        None => ("/v1/chat/completions".to_string(), chat(customer, planned)),
    };
    let mut request = Request::new(Body::from(body.to_string()));
    *request.method_mut() = Method::POST;
    // An address and a checked path always form a valid URI.
    *request.uri_mut() = format!("http://{router}{path}").parse().unwrap_or_default();
    let headers = request.headers_mut();
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = value.parse() {
            headers.insert(name, value);
        }
    };
    set("content-type", "application/json".into());
    set(header::CUSTOMER, customer.name.clone());
    if let Some(key) = &planned.key {
        set(header::KEY, key.clone());
    }
    if let Some(deadline) = customer.deadline_ms {
        set(header::DEADLINE, deadline.to_string());
    }
    request
}

fn chat(customer: &LoadCustomer, planned: &PlannedRequest) -> serde_json::Value {
    let shared = customer.shared_prefix.min(planned.prompt) as usize * BYTES_PER_TOKEN;
    let total = planned.prompt as usize * BYTES_PER_TOKEN;
    let mut beginning = customer.name.repeat(shared / customer.name.len().max(1) + 1);
    beginning.truncate(shared);
    let own = format!("{}-{}-{} ", planned.customer, planned.prompt, planned.output);
    let mut rest = own.repeat((total - shared).div_ceil(own.len()));
    rest.truncate(total - shared);
    let mut messages = vec![json!({"role": "system", "content": beginning})];
    if planned.is_deadly {
        messages.push(json!({"role": "user", "content": DEADLY_MESSAGE}));
    }
    messages.push(json!({"role": "user", "content": rest}));
    json!({
        "model": customer.service,
        "stream": true,
        "messages": messages,
        "emulate": {"output_tokens": planned.output},
    })
}

/// Reads an answer; returns whether it is complete and belongs to the request.
async fn read_answer(
    file: &LoadFile,
    planned: &PlannedRequest,
    response: Response<Incoming>,
    observations: &Observations,
    waiting: &mut WaitingCounter<'_>,
    sent: Instant,
) -> bool {
    let replayed = response.headers().contains_key(header::REPLAYED);
    let trace = header::text(response.headers(), header::TRACE).map(String::from);
    let echoed = header::text(response.headers(), header::REQUEST).map(String::from);
    if !replayed && !file.direct && echoed.is_some() && echoed != trace {
        add(&observations.crossed, 1);
        return false;
    }
    let counters = &observations.customers[planned.customer];
    if file.customers[planned.customer].path.is_some() {
        return read_plain_answer(planned, response, observations, waiting, sent).await;
    }
    let prompt_units = u64::from(planned.prompt * file.input_weight);
    let all_units = prompt_units + u64::from(planned.output * file.output_weight);
    observations.largest_units.fetch_max(all_units, Ordering::Relaxed);
    let (_, mut body) = AnswerBody::split(response, true);
    let mut splitter = Splitter::default();
    let mut tokens = 0;
    let mut last_event = Instant::now();
    loop {
        match body.next().await {
            Part::Data(bytes) => splitter.push(&bytes),
            Part::End(end) => return record_short(end, observations),
        }
        while let Ok(Some(event)) = splitter.next() {
            if event.data == DONE {
                return check_complete(tokens == planned.output, observations);
            }
            let chunk = serde_json::from_str::<Chunk>(&event.data);
            let usage = chunk.ok().and_then(|c| c.usage);
            let Some(usage) = usage else {
                add(&observations.broken, 1);
                return false;
            };
            if !event.data.contains(&format!("t{tokens} ")) {
                add(&observations.crossed, 1);
                return false;
            }
            let new_tokens = usage.completion_tokens - tokens;
            if tokens == 0 {
                let wait = sent.elapsed();
                waiting.end();
                record(&observations.first_byte, wait.as_micros() as u64);
                add(&counters.wait_ms, wait.as_millis() as u64);
                add(&counters.received, prompt_units);
            } else {
                let each = last_event.elapsed().as_micros() as u64 / u64::from(new_tokens.max(1));
                record(&observations.between_tokens, each);
            }
            last_event = Instant::now();
            tokens = usage.completion_tokens;
            add(&counters.received, u64::from(new_tokens * file.output_weight));
        }
    }
}

/// Records an answer that is not whole; returns false. Unless its connection failed or was closed
/// early, the caller was not told so.
fn record_short(end: BodyEnd, observations: &Observations) -> bool {
    match end.ending {
        Ending::Clean => add(&observations.truncated, 1),
        _ => add(&observations.lost, 1),
    }
    false
}

fn check_complete(complete: bool, observations: &Observations) -> bool {
    if !complete {
        add(&observations.truncated, 1);
    }
    complete
}

async fn read_plain_answer(
    planned: &PlannedRequest,
    response: Response<Incoming>,
    observations: &Observations,
    waiting: &mut WaitingCounter<'_>,
    sent: Instant,
) -> bool {
    let wait = sent.elapsed();
    waiting.end();
    record(&observations.first_byte, wait.as_micros() as u64);
    let counters = &observations.customers[planned.customer];
    add(&counters.wait_ms, wait.as_millis() as u64);
    add(&counters.received, PLAIN_CALL_UNITS);
    observations.largest_units.fetch_max(PLAIN_CALL_UNITS, Ordering::Relaxed);
    let (body, end) =
        AnswerBody::split(response, false).1.read(AnswerLimits::default().answer_bytes).await;
    if end.verdict().is_err() {
        return record_short(end, observations);
    }
    let Ok(answer) = serde_json::from_slice::<serde_json::Value>(&body) else {
        return record_short(end, observations);
    };
    let key = planned.key.as_deref();
    if answer.get("key").and_then(|k| k.as_str()) != key {
        add(&observations.crossed, 1);
        return false;
    }
    true
}
