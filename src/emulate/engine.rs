//! An emulated model engine: continuous batching, prefix cache, streams.
//!
//! It speaks chat completions. The length of its output comes from the
//! request's `emulate.output_tokens`, which routers do not read.

use std::collections::{HashMap, HashSet, VecDeque};
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

use super::fault::{Fault, FaultKind, Faults, asking_for_rest, saying_that_it_leaves};
use super::slot::{Slot, Slots};
use crate::delivery::header;
use crate::error::Result;
use crate::settings::EngineSettings;

/// Characters taken for one token of a prompt.
pub const CHARS_PER_TOKEN: usize = 4;
/// Characters of one block of the prefix cache.
const BLOCK_CHARS: usize = 1_024;
/// Cut streams that can still be resumed.
const RESUMABLE: usize = 1_024;
/// Output when a request does not say.
const DEFAULT_OUTPUT: u32 = 64;

/// A chat completion request, as far as the engine reads it.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Lower goes first.
    #[serde(default)]
    pub priority: i32,
    /// Instructions to the emulator.
    #[serde(default)]
    pub emulate: Emulate,
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Its text.
    pub content: String,
}

/// Instructions to the emulator.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct Emulate {
    /// Tokens to generate.
    pub output_tokens: Option<u32>,
    /// Milliseconds after which the engine's process ends without notice, where its
    /// settings allow that.
    pub crash_after_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct PrefixCache {
    known: HashSet<u64>,
    order: VecDeque<u64>,
}

impl PrefixCache {
    /// Characters of `prompt` found in the cache; then caches all of it.
    fn lookup(&mut self, prompt: &str, limit: usize) -> usize {
        let blocks = prompt.len() / BLOCK_CHARS;
        let mut cached = 0;
        for block in 1..=blocks {
            let end = block * BLOCK_CHARS;
            let hash = xxh3_64(&prompt.as_bytes()[..end]);
            if !self.known.insert(hash) {
                cached = end;
                continue;
            }
            self.order.push_back(hash);
        }
        while self.order.len() > limit {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
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
    cache: Mutex<PrefixCache>,
    cut: Mutex<HashMap<String, u32>>,
}

/// What one request asks of the engine.
#[derive(Clone, Debug)]
struct Job {
    id: String,
    prompt_tokens: u32,
    prefill: Duration,
    from: u32,
    total: u32,
    cut_after: Option<u32>,
}

/// Runs an engine until the task is dropped.
pub async fn run(settings: EngineSettings) -> Result<()> {
    let listen = settings.listen;
    let engine = Engine {
        slots: Slots::new(settings.slots),
        faults: Faults::default(),
        cache: Mutex::default(),
        cut: Mutex::default(),
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
        return asking_for_rest(refusal("told to rest"), rest);
    }
    if kind == Some(FaultKind::Late) {
        let amount = fault.as_ref().map_or(0, |f| f.amount);
        tokio::time::sleep(Duration::from_millis(amount)).await;
    }
    if kind == Some(FaultKind::Cross) {
        return crossed();
    }
    let cut_after = fault.filter(|f| f.kind == FaultKind::Cut).map(|f| f.amount as u32);
    let resume = header::text(&headers, header::RESUME).and_then(|v| v.parse().ok());
    let Some(job) = engine.job(id, &request, resume, cut_after) else {
        return refusal("no such stream to resume");
    };
    if let Some(ms) = request.emulate.crash_after_ms.filter(|_| engine.settings.crashes) {
        tokio::spawn(crash(Duration::from_millis(ms)));
    }
    let answer = match request.stream {
        true => stream(engine, job, request.priority),
        false => whole(engine, job, request.priority).await,
    };
    match kind {
        Some(FaultKind::Leave) => saying_that_it_leaves(answer),
        _ => answer,
    }
}

impl Engine {
    fn job(
        &self,
        id: String,
        request: &ChatRequest,
        resume: Option<u32>,
        cut_after: Option<u32>,
    ) -> Option<Job> {
        let prompt: String = request.messages.iter().map(|m| m.content.as_str()).collect();
        let prompt_tokens = prompt.len().div_ceil(CHARS_PER_TOKEN) as u32;
        if let Some(from) = resume {
            let mut cut = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
            let total = cut.remove(&id)?;
            let prefill = Duration::ZERO;
            return Some(Job { id, prompt_tokens, prefill, from, total, cut_after });
        }
        let limit = self.settings.cache_blocks;
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let cached = cache.lookup(&prompt, limit) / CHARS_PER_TOKEN;
        let fresh = u64::from(prompt_tokens) - cached as u64;
        let total = request.emulate.output_tokens.unwrap_or(DEFAULT_OUTPUT);
        let prefill = Duration::from_micros(fresh * self.settings.prefill_us);
        Some(Job { id, prompt_tokens, prefill, from: 0, total, cut_after })
    }

    fn remember_cut(&self, job: &Job) {
        let mut cut = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        if cut.len() < RESUMABLE {
            cut.insert(job.id.clone(), job.total);
        }
    }

    fn step(&self) -> (u32, Duration) {
        let tokens = self.settings.tokens_per_event.max(1);
        let time = Duration::from_micros(self.settings.token_us * u64::from(tokens));
        (tokens, time)
    }
}

async fn crash(after: Duration) {
    tokio::time::sleep(after).await;
    log::error!("emulate: ended by a request");
    std::process::exit(1);
}

fn refusal(why: &str) -> Response {
    let body = json!({"error": {"message": why}});
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

async fn whole(engine: Arc<Engine>, job: Job, priority: i32) -> Response {
    let Some(_slot) = engine.slots.take(priority).await else {
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
    tokio::spawn(async move {
        tokio::select! {
            slot = engine.slots.take(priority) => {
                if let Some(slot) = slot {
                    generate(engine, job, slot, sender).await;
                }
            }
            () = sender.closed() => {}
        }
    });
    let frames = futures_util::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|frame: Result<Bytes, std::io::Error>| (frame, receiver))
    });
    let headers = [("content-type", "text/event-stream".to_string()), (header::REQUEST, id)];
    (headers, Body::from_stream(frames)).into_response()
}

type FrameSender = mpsc::Sender<Result<Bytes, std::io::Error>>;

/// Generates until the end, a cut, or the caller's leaving, which frees the slot.
async fn generate(engine: Arc<Engine>, job: Job, slot: Slot, sender: FrameSender) {
    let (tokens, time) = engine.step();
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
        if job.cut_after.is_some_and(|after| done >= after) && done < job.total {
            engine.remember_cut(&job);
            let broken = std::io::Error::other("told to cut");
            // The caller may have gone already.
            let _ = sender.send(Err(broken)).await;
            return;
        }
    }
    drop(slot);
    send_event(&sender, "[DONE]").await;
}

async fn send_event(sender: &FrameSender, data: &str) {
    // A caller that has gone is noticed by the next wait.
    let _ = sender.send(Ok(Bytes::from(format!("data: {data}\n\n")))).await;
}
