//! Relays the events of a stream.
//!
//! A model's stream that ends early is resumed if the engine supports it; otherwise the caller gets
//! an explicit error event, and its connection is broken. The stream of a plain service is passed
//! on as it comes, and is not resumed. A truncated stream is never presented as complete.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::response::Parts;
use axum::http::{HeaderValue, Response};
use bytes::Bytes;
use serde_json::json;
use tokio::time::Instant;

use super::link::Ticket;
use super::run_once;
use super::serve::{Job, start_of};
use super::state::Router;
use crate::answer::{AnswerBody, BodyEnd, Completeness, Framing, Part};
use crate::caller_connection::EndsWithConnection;
use crate::claim::{Claim, Settlement};
use crate::config::{EndpointId, ServiceId, ServiceKind};
use crate::delivery::sse::{Chunk, DONE, Event, Splitter};
use crate::delivery::{Answer, Attempt, AttemptReport, Call, UnknownReason, header};
use crate::quarantine::RequestProfile;
use crate::telemetry::RequestId;
use crate::wire::Completion;

/// Time without data after which a stream counts as broken.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of times that one stream is resumed.
const MAX_RESUMES: u32 = 3;

/// The next item of a stream.
enum StreamItem {
    Event(Event),
    /// The event that ends the stream.
    Done(Event),
    /// The end of a plain service's stream, which no event ends.
    End(Completeness),
    /// The engine broke it off.
    Lost(BodyEnd),
    /// The engine stalled or sent an invalid event.
    Broken,
    /// The event belongs to another request.
    Crossed,
}

/// The engine that sends a stream.
pub(super) struct Engine {
    pub id: EndpointId,
    pub name: String,
    pub address: SocketAddr,
}

/// A stream in progress.
struct Relay {
    router: Arc<Router>,
    id: RequestId,
    call: Call,
    profile: RequestProfile,
    service: ServiceId,
    engine: Engine,
    started_at: Instant,
    body: AnswerBody,
    /// Splits a model's stream; that of a plain service is passed on as it comes.
    splitter: Option<Splitter>,
    /// The version of the engine's software that began the stream, where engines state theirs.
    version: Option<String>,
    ticket: Option<Ticket>,
    /// The claim of a run-once call, settled when the stream has ended.
    claim: Option<Claim>,
    /// Metric labels: names of the customer and the service.
    labels: [String; 2],
    /// Units per prompt token and per output token.
    weights: [u32; 2],
    prompt_tokens: u32,
    output_tokens: u32,
    resumes: u32,
    /// The first event, received before the response was returned.
    pending: Option<Event>,
    progress: Progress,
}

/// How far a stream has been relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Running,
    /// Its caller has everything.
    Ended,
    /// Its caller was told that it is broken; the connection is still to be broken.
    GivenUp,
}

/// A stream was broken off.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the stream was broken off"))]
struct BrokenOff;

/// Waits for the first event and returns the response that relays the rest.
pub(super) async fn relay(
    job: &Job,
    ticket: Ticket,
    claim: Option<Claim>,
    engine: Engine,
    mut head: Parts,
    mut body: AnswerBody,
) -> Result<Response<Body>, UnknownReason> {
    let version = header::text(&head.headers, header::VERSION).map(str::to_string);
    head.headers = crate::delivery::strip_hop_headers(&head.headers);
    // The stream may be resumed on the way, so intermediaries must not cache it.
    head.headers.insert("cache-control", HeaderValue::from_static("no-store"));
    let is_model = job.service.kind == ServiceKind::Model;
    if is_model {
        body.expect_final_event();
    }
    let ends_with_connection = !is_model && body.framing() == Framing::Connection;
    let mut relay = Relay {
        router: job.router.clone(),
        id: job.id,
        call: job.call.clone(),
        profile: job.profile.clone(),
        service: job.service_id,
        engine,
        started_at: Instant::now(),
        body,
        splitter: is_model.then(|| job.router.endpoint_client.splitter()),
        version,
        ticket: Some(ticket),
        claim,
        labels: [job.customer_name.clone(), job.service.name.clone()],
        weights: [job.service.input_weight, job.service.output_weight],
        prompt_tokens: job.prompt_tokens(),
        output_tokens: 0,
        resumes: 0,
        pending: None,
        progress: Progress::Running,
    };
    let first = tokio::time::timeout(job.deadline.remaining(), relay.next_item()).await;
    match first {
        Ok(StreamItem::Event(event)) => relay.pending = Some(event),
        Ok(StreamItem::Done(event)) => {
            relay.finish_complete(Completeness::Stated).await;
            relay.pending = Some(event);
        }
        Ok(StreamItem::End(completeness)) => relay.finish_complete(completeness).await,
        Ok(StreamItem::Lost(end)) => {
            relay.record_endpoint_loss(end);
            return Err(relay.fail(UnknownReason::Broken).await);
        }
        Ok(StreamItem::Broken) => return Err(relay.fail(UnknownReason::Broken).await),
        Ok(StreamItem::Crossed) => return Err(relay.fail(UnknownReason::Crossed).await),
        Err(_) => return Err(relay.fail(UnknownReason::TimedOut).await),
    }
    let events = futures_util::stream::unfold(relay, |mut relay| async move {
        let item = relay.next_bytes().await?;
        Some((item, relay))
    });
    let mut response = Response::from_parts(head, Body::from_stream(events));
    if ends_with_connection {
        response.extensions_mut().insert(EndsWithConnection);
    }
    Ok(response)
}

impl Relay {
    /// Returns the next bytes for the caller, or `None` at the end.
    async fn next_bytes(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        if let Some(event) = self.pending.take() {
            return Some(Ok(event.raw));
        }
        loop {
            match self.progress {
                Progress::Running => {}
                Progress::Ended => return None,
                Progress::GivenUp => {
                    self.progress = Progress::Ended;
                    // Lets the error event reach the caller first.
                    tokio::task::yield_now().await;
                    return Some(Err(BrokenOff));
                }
            }
            match self.next_item().await {
                StreamItem::Event(event) => return Some(Ok(event.raw)),
                StreamItem::Done(event) => {
                    self.finish_complete(Completeness::Stated).await;
                    return Some(Ok(event.raw));
                }
                StreamItem::End(completeness) => self.finish_complete(completeness).await,
                StreamItem::Lost(end) => {
                    self.router.metrics.cut_streams.inc();
                    if !self.resume().await {
                        self.record_endpoint_loss(end);
                        return Some(self.give_up("broken").await);
                    }
                }
                StreamItem::Broken => {
                    self.router.metrics.cut_streams.inc();
                    if !self.resume().await {
                        return Some(self.give_up("broken").await);
                    }
                }
                StreamItem::Crossed => {
                    self.router.metrics.crossed.inc();
                    return Some(self.give_up("crossed").await);
                }
            }
        }
    }

    async fn next_item(&mut self) -> StreamItem {
        loop {
            if let Some(splitter) = &mut self.splitter {
                match splitter.next() {
                    Ok(Some(event)) if event.data == DONE => return StreamItem::Done(event),
                    Ok(Some(event)) => return self.record_event(event),
                    Ok(None) => {}
                    Err(_) => return StreamItem::Broken,
                }
            }
            let part = tokio::time::timeout(STALL_TIMEOUT, self.body.next()).await;
            match (part, &mut self.splitter) {
                (Ok(Part::Data(bytes)), Some(splitter)) => splitter.push(&bytes),
                (Ok(Part::Data(bytes)), None) => {
                    return StreamItem::Event(Event { raw: bytes, data: String::new() });
                }
                (Ok(Part::End(end)), _) => {
                    return end.verdict().map_or(StreamItem::Lost(end), StreamItem::End);
                }
                (Err(_), _) => return StreamItem::Broken,
            }
        }
    }

    /// Checks that an event belongs to this request and counts its tokens.
    fn record_event(&mut self, event: Event) -> StreamItem {
        let chunk = serde_json::from_str::<Chunk>(&event.data).ok();
        let Some(chunk) = chunk else {
            return StreamItem::Event(event);
        };
        if chunk.id.is_some_and(|id| id != self.call.id && is_fleet_request_id(&id)) {
            return StreamItem::Crossed;
        }
        match chunk.usage {
            Some(usage) => {
                self.prompt_tokens = usage.prompt_tokens;
                self.output_tokens = usage.completion_tokens;
            }
            None => self.output_tokens += 1,
        }
        let units = self.units();
        if let Some(ticket) = &mut self.ticket {
            ticket.progress(units);
        }
        StreamItem::Event(event)
    }

    fn units(&self) -> u32 {
        if self.splitter.is_none() {
            return (self.started_at.elapsed().as_millis() as u32).max(1);
        }
        let prompt = self.prompt_tokens.saturating_mul(self.weights[0]);
        prompt.saturating_add(self.output_tokens.saturating_mul(self.weights[1]))
    }

    /// Requests the remaining tokens from the same engine; returns whether the stream
    /// is resumed.
    async fn resume(&mut self) -> bool {
        let rest =
            self.router.notices.remaining_rest(self.router.peers.clock.now(), self.engine.id);
        let is_resumable = self.splitter.is_some() && !self.call.run_once;
        let has_attempts = self.resumes < MAX_RESUMES && self.output_tokens > 0;
        let is_refused = self.router.crash_refusal_ms(&self.profile).is_some();
        if !is_resumable || !has_attempts || rest.is_some() || is_refused {
            return false;
        }
        self.resumes += 1;
        self.call.resume_after = Some(self.output_tokens);
        let AttemptReport { attempt, notice } = self
            .router
            .endpoint_client
            .attempt(self.engine.address, &self.call, STALL_TIMEOUT)
            .await;
        self.router.record_notice(self.service, self.engine.id, &self.engine.name, &notice);
        let Attempt::Answered(Answer::Stream(head, mut body)) = attempt else {
            return false;
        };
        let version = header::text(&head.headers, header::VERSION);
        if version != self.version.as_deref() {
            let text = format!("not resumed: began at {:?}, now {version:?}", self.version);
            self.router.trace.decide(self.id, "delivery", text);
            return false;
        }
        body.expect_final_event();
        self.body = body;
        self.splitter = Some(self.router.endpoint_client.splitter());
        self.router.metrics.resumed_streams.inc();
        let text = format!("resumed after {} tokens", self.output_tokens);
        self.router.trace.decide(self.id, "delivery", text);
        true
    }

    /// Finishes the request and returns what reports the truncated stream to the caller: an event
    /// if it is a model's.
    async fn give_up(&mut self, reason: &'static str) -> Result<Bytes, BrokenOff> {
        self.finish(Completion::Failed, Settlement::Unknown).await;
        self.count_outcome("unknown", reason);
        let text = format!("stream {reason} after {} tokens", self.output_tokens);
        self.router.trace.decide(self.id, "delivery", text);
        if self.splitter.is_none() {
            return Err(BrokenOff);
        }
        self.progress = Progress::GivenUp;
        let error = json!({"error": {"message": "the stream is not whole", "reason": reason},
            header::OUTCOME: "unknown"});
        Ok(Bytes::from(format!("event: error\ndata: {error}\n\n")))
    }

    /// Records that the engine broke the stream off. It crashed, or the connection to it broke, if
    /// its connection ended as well.
    fn record_endpoint_loss(&self, end: BodyEnd) {
        let (engine, fingerprint) = (&self.engine.name, &self.profile.fingerprint);
        let (framing, ending) = (end.framing.name(), end.name());
        let text = format!(
            "lost at {engine}, framed by {framing}, ended {ending}, fingerprint {fingerprint}"
        );
        self.router.trace.decide(self.id, "delivery", text);
        if end.verdict().is_err_and(|broken| broken.has_closed()) {
            let ran = self.started_at.elapsed();
            self.router.guard.record_loss(start_of(engine), &self.profile, ran);
        }
    }

    async fn finish_complete(&mut self, completeness: Completeness) {
        if completeness == Completeness::Stated {
            self.router.guard.record_served(&self.profile);
        }
        self.count_outcome("answered", "");
        // A resend is told that the call was answered, and that its answer is not kept.
        self.finish(Completion::Answered, Settlement::Answered(None)).await;
    }

    async fn fail(mut self, reason: UnknownReason) -> UnknownReason {
        self.finish(Completion::Failed, Settlement::Unknown).await;
        reason
    }

    async fn finish(&mut self, completion: Completion, settlement: Settlement) {
        self.progress = Progress::Ended;
        if let Some(ticket) = self.ticket.take() {
            ticket.finish(self.units(), completion);
            self.count_units();
        }
        if let Some(claim) = self.claim.take() {
            run_once::settle(&self.router, claim, settlement).await;
        }
    }

    /// Counts how a stream ended whose answer had begun.
    fn count_outcome(&self, outcome: &str, reason: &str) {
        let labels = [self.labels[1].as_str(), outcome, reason];
        self.router.metrics.requests.with_label_values(&labels).inc();
    }

    fn count_units(&self) {
        let labels = [self.labels[0].as_str(), self.labels[1].as_str()];
        let counter = self.router.metrics.served_units.with_label_values(&labels);
        counter.inc_by(self.units().into());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // The caller has disconnected: dropping the ticket releases the slot, and closing the
        // connection makes the engine cancel.
        if self.ticket.is_some() {
            self.count_units();
            self.count_outcome("caller-left", "");
            let text = format!("caller left after {} tokens", self.output_tokens);
            self.router.trace.decide(self.id, "delivery", text);
        }
        let claim = self.claim.take();
        if let (Some(claim), Ok(runtime)) = (claim, tokio::runtime::Handle::try_current()) {
            let router = self.router.clone();
            runtime.spawn(async move {
                run_once::settle(&router, claim, Settlement::Unknown).await;
            });
        }
    }
}

/// Whether `id` has the form of a request id of this fleet. Ids that an engine generates itself do
/// not indicate crossed answers.
fn is_fleet_request_id(id: &str) -> bool {
    id.parse::<RequestId>().is_ok()
}
