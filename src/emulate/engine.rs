//! An emulated model engine with slots, a prefix cache and streamed answers.
//!
//! It serves the chat completions API. The length of an output is the request's
//! `emulate.output_tokens`, which routers do not read.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use super::fault::{
    Fault, FaultKind, Faults, with_leaving_header, with_rest_request, without_framing,
};
use super::slot::{Slot, Slots};
use crate::delivery::header;
use crate::error::Result;
use crate::settings::EngineSettings;

/// Bytes of a prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Bytes of one block of the prefix cache.
const BLOCK_BYTES: usize = 1_024;
/// Maximum number of cut streams that are kept for resuming.
const MAX_RESUMABLE_STREAMS: usize = 1_024;
/// A message that crashes an engine when it begins to answer a prompt that has it anywhere but at
/// its end, if the engine's settings allow that.
pub const DEADLY_MESSAGE: &str = "Whoever begins to answer this crashes.";
/// Output tokens if the request does not specify them.
const DEFAULT_OUTPUT_TOKENS: u32 = 64;

/// The fields of a chat completion request that the engine reads.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Priority for a slot; lower values go first.
    #[serde(default)]
    pub priority: i32,
    /// Parameters of the emulation.
    #[serde(default)]
    pub emulate: Emulate,
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Its text.
    pub content: String,
}

/// Parameters of the emulation.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct Emulate {
    /// Tokens to generate.
    pub output_tokens: Option<u32>,
    /// Milliseconds after which the engine's process crashes, if its settings allow that.
    pub crash_after_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct PrefixCache {
    hashes: HashSet<u64>,
    insertion_order: VecDeque<u64>,
}

impl PrefixCache {
    /// Returns the length in bytes of the cached prefix of `prompt`, then caches all of its blocks.
    /// Keeps at most `limit` blocks.
    fn lookup(&mut self, prompt: &str, limit: usize) -> usize {
        let blocks = prompt.len() / BLOCK_BYTES;
        let mut cached = 0;
        for block in 1..=blocks {
            let end = block * BLOCK_BYTES;
            let hash = xxh3_64(&prompt.as_bytes()[..end]);
            if !self.hashes.insert(hash) {
                cached = end;
                continue;
            }
            self.insertion_order.push_back(hash);
        }
        while self.insertion_order.len() > limit {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.hashes.remove(&oldest);
            }
        }
        cached
    }
}

#[derive(Debug)]
struct Engine {
    settings: EngineSettings,
    slots: Slots,
    faults: Faults,
    /// The version of its software.
    version: AtomicU32,
    cache: Mutex<PrefixCache>,
    /// Total output tokens of cut streams that can be resumed, by request id.
    cut_streams: Mutex<HashMap<String, u32>>,
}

/// The work of one request.
#[derive(Clone, Debug)]
struct Job {
    id: String,
    prompt_tokens: u32,
    prefill: Duration,
    /// Output tokens already sent by the stream that is resumed.
    from: u32,
    /// Output tokens of the complete answer.
    total: u32,
    cut: Option<Cut>,
}

/// The injected end of a stream.
#[derive(Clone, Copy, Debug)]
struct Cut {
    /// After this number of output tokens.
    after: u32,
    kind: CutKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutKind {
    /// The connection breaks.
    Break,
    /// The connection breaks, and the engine runs another version afterwards.
    Upgrade,
    /// The stream ends inside an event as if it were whole.
    End,
}

/// Runs an engine until the task is dropped.
pub async fn run(settings: EngineSettings) -> Result<()> {
    let listen = settings.listen;
    let engine = Engine {
        slots: Slots::new(settings.slots),
        faults: Faults::default(),
        version: AtomicU32::new(1),
        cache: Mutex::default(),
        cut_streams: Mutex::default(),
        settings,
    };
    let app = Router::new()
        .route("/v1/chat/completions", post(complete))
        .route("/load", get(async |State(e): State<Arc<Engine>>| Json(e.slots.load())))
        .route(
            "/fault",
            post(async |State(e): State<Arc<Engine>>, Json(f): Json<Fault>| e.faults.add(f)),
        )
        .with_state(Arc::new(engine));
    super::serve(listen, app).await
}

async fn complete(
    State(engine): State<Arc<Engine>>,
    headers: HeaderMap,
    Json(request): Json<ChatRequest>,
) -> Response {
    let id = header::text(&headers, header::REQUEST).unwrap_or_default().to_string();
    let fault = engine.faults.next();
    let kind = fault.as_ref().map(|f| f.kind);
    if kind == Some(FaultKind::Refuse) {
        return refusal("told to refuse");
    }
    if let Some(rest) = fault.as_ref().filter(|f| f.kind == FaultKind::Rest) {
        return with_rest_request(refusal("told to rest"), rest);
    }
    if kind == Some(FaultKind::Late) {
        let amount = fault.as_ref().map_or(0, |f| f.amount);
        tokio::time::sleep(Duration::from_millis(amount)).await;
    }
    if kind == Some(FaultKind::Cross) {
        return crossed();
    }
    let cut = fault.as_ref().and_then(|fault| {
        let kind = match fault.kind {
            FaultKind::Cut => CutKind::Break,
            FaultKind::Upgrade => CutKind::Upgrade,
            FaultKind::Close => CutKind::End,
            _ => return None,
        };
        Some(Cut { after: fault.amount as u32, kind })
    });
    let resume = header::text(&headers, header::RESUME).and_then(|v| v.parse().ok());
    let Some(job) = engine.plan_job(id, &request, resume, cut) else {
        return refusal("no such stream to resume");
    };
    if let Some(after) = engine.crash_delay(&request, &job) {
        tokio::spawn(crash(after));
    }
    let answer = match request.stream {
        true => stream(engine, job, request.priority),
        false => complete_unstreamed(engine, job, request.priority).await,
    };
    match kind {
        Some(FaultKind::Leave) => with_leaving_header(answer),
        Some(FaultKind::Unframed | FaultKind::Close) => without_framing(answer),
        _ => answer,
    }
}

impl Engine {
    /// Plans the work of a request; `None` if it resumes an unknown stream.
    fn plan_job(
        &self,
        id: String,
        request: &ChatRequest,
        resume: Option<u32>,
        cut: Option<Cut>,
    ) -> Option<Job> {
        let prompt: String = request.messages.iter().map(|m| m.content.as_str()).collect();
        let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u32;
        if let Some(from) = resume {
            let mut cut_streams = self.cut_streams.lock().unwrap_or_else(PoisonError::into_inner);
            let total = cut_streams.remove(&id)?;
            let prefill = Duration::ZERO;
            return Some(Job { id, prompt_tokens, prefill, from, total, cut });
        }
        let limit = self.settings.cache_blocks;
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let cached = cache.lookup(&prompt, limit) / BYTES_PER_TOKEN;
        let fresh = u64::from(prompt_tokens) - cached as u64;
        let total = request.emulate.output_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        let prefill = Duration::from_micros(fresh * self.settings.prefill_us);
        Some(Job { id, prompt_tokens, prefill, from: 0, total, cut })
    }

    /// The time after which a request crashes the process; `None` if it does not.
    fn crash_delay(&self, request: &ChatRequest, job: &Job) -> Option<Duration> {
        if !self.settings.crashes {
            return None;
        }
        let (_, shared) = request.messages.split_last()?;
        if shared.iter().any(|message| message.content == DEADLY_MESSAGE) {
            let (_, first_event) = self.tokens_per_step();
            return Some(job.prefill + 2 * first_event);
        }
        request.emulate.crash_after_ms.map(Duration::from_millis)
    }

    fn record_cut(&self, job: &Job) {
        let mut cut_streams = self.cut_streams.lock().unwrap_or_else(PoisonError::into_inner);
        if cut_streams.len() < MAX_RESUMABLE_STREAMS {
            cut_streams.insert(job.id.clone(), job.total);
        }
    }

    /// Tokens per event, and the time to generate them.
    fn tokens_per_step(&self) -> (u32, Duration) {
        let tokens = self.settings.tokens_per_event.max(1);
        let time = Duration::from_micros(self.settings.token_us * u64::from(tokens));
        (tokens, time)
    }
}

async fn crash(after: Duration) {
    tokio::time::sleep(after).await;
    log::error!("emulate: process crashed as the request asks");
    std::process::exit(1);
}

fn refusal(reason: &str) -> Response {
    let body = json!({"error": {"message": reason}});
    (StatusCode::SERVICE_UNAVAILABLE, [(header::NOT_RUN, "1")], Json(body)).into_response()
}

fn crossed() -> Response {
    let body = json!({"choices": [{"message": {"content": "another request's answer"}}]});
    ([(header::REQUEST, "another-request")], Json(body)).into_response()
}

fn content(from: u32, to: u32) -> String {
    (from..to).map(|n| format!("t{n} ")).collect()
}

fn usage(job: &Job, completion: u32) -> serde_json::Value {
    json!({"prompt_tokens": job.prompt_tokens, "completion_tokens": completion})
}

async fn complete_unstreamed(engine: Arc<Engine>, job: Job, priority: i32) -> Response {
    let Some(_slot) = engine.slots.acquire(priority).await else {
        return refusal("stopping");
    };
    let generate = Duration::from_micros(engine.settings.token_us * u64::from(job.total));
    tokio::time::sleep(job.prefill + generate).await;
    let body = json!({
        "id": job.id,
        "object": "chat.completion",
        "choices": [{"index": 0, "message": {"role": "assistant", "content": content(0, job.total)}}],
        "usage": usage(&job, job.total),
    });
    ([(header::REQUEST, job.id)], Json(body)).into_response()
}

fn stream(engine: Arc<Engine>, job: Job, priority: i32) -> Response {
    let (sender, receiver) = mpsc::channel(16);
    let id = job.id.clone();
    let version = engine.version.load(Ordering::Relaxed);
    tokio::spawn(async move {
        tokio::select! {
            slot = engine.slots.acquire(priority) => {
                if let Some(slot) = slot {
                    generate(engine, job, slot, sender).await;
                }
            }
            () = sender.closed() => {}
        }
    });
    // Without an explicit end a stream breaks, so that it never looks whole when it is not.
    let frames = futures_util::stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(Frame::Event(bytes)) => Some((Ok(bytes), Some(receiver))),
            Some(Frame::End) => None,
            None => Some((Err(std::io::Error::other("the stream broke off")), None)),
        }
    });
    let headers = [
        ("content-type", "text/event-stream".to_string()),
        (header::REQUEST, id),
        (header::VERSION, version.to_string()),
    ];
    (headers, Body::from_stream(frames)).into_response()
}

/// What a stream sends.
enum Frame {
    Event(Bytes),
    End,
}

type FrameSender = mpsc::Sender<Frame>;

/// Streams events until the output is complete, the injected cut, or the caller's disconnect.
/// The slot is released in each case.
async fn generate(engine: Arc<Engine>, job: Job, slot: Slot, sender: FrameSender) {
    let (tokens, time) = engine.tokens_per_step();
    tokio::time::sleep(job.prefill).await;
    let mut next = tokio::time::Instant::now();
    let mut done = job.from;
    while done < job.total {
        let to = (done + tokens).min(job.total);
        next += time * (to - done) / tokens;
        tokio::select! {
            () = tokio::time::sleep_until(next) => {}
            () = sender.closed() => return,
        }
        let event = json!({
            "id": job.id,
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {"content": content(done, to)}}],
            "usage": usage(&job, to),
        });
        done = to;
        send_event(&sender, &event.to_string()).await;
        let Some(Cut { after, kind }) = job.cut else { continue };
        if done < after || done == job.total {
            continue;
        }
        engine.record_cut(&job);
        match kind {
            // Dropping the sender breaks the stream.
            CutKind::Break => {}
            CutKind::Upgrade => {
                engine.version.fetch_add(1, Ordering::Relaxed);
            }
            CutKind::End => {
                send(&sender, Frame::Event(Bytes::from_static(b"data: {\"id\": "))).await;
                send(&sender, Frame::End).await;
            }
        }
        return;
    }
    drop(slot);
    send_event(&sender, "[DONE]").await;
    send(&sender, Frame::End).await;
}

async fn send_event(sender: &FrameSender, data: &str) {
    send(sender, Frame::Event(Bytes::from(format!("data: {data}\n\n")))).await;
}

async fn send(sender: &FrameSender, frame: Frame) {
    // Fails if the caller has disconnected, which the next wait detects.
    let _ = sender.send(frame).await;
}
