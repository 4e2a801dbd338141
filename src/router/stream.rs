//! A model's stream, relayed event by event.
//!
//! A stream that breaks is resumed where the engine can; otherwise the caller
//! gets an explicit error event. A cut stream is never passed off as whole.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderValue, Response};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::Instant;

use super::link::Ticket;
use super::serve::{Job, start_of};
use super::state::Router;
use crate::config::{EndpointId, ServiceId};
use crate::delivery::sse::{Chunk, DONE, Event, Splitter};
use crate::delivery::{Answer, Attempt, AttemptReport, Call, UnknownReason, header};
use crate::quarantine::Fingerprint;
use crate::telemetry::RequestId;
use crate::wire::Completion;

/// Silence after which a stream counts as broken.
const STALL: Duration = Duration::from_secs(30);
/// Times that one stream is resumed.
const MAX_RESUMES: u32 = 3;

/// What came next of a stream.
enum Item {
    Event(Event),
    Done(Event),
    /// The engine ended the connection.
    Lost,
    /// It fell silent, or says what cannot be read.
    Broken,
    Crossed,
}

/// The engine that a stream comes from.
pub(super) struct Engine {
    pub id: EndpointId,
    pub name: String,
    pub address: SocketAddr,
}

/// A stream under way.
struct Relay {
    router: Arc<Router>,
    id: RequestId,
    call: Call,
    fingerprint: Fingerprint,
    service: ServiceId,
    engine: Engine,
    began: Instant,
    body: Incoming,
    splitter: Splitter,
    ticket: Option<Ticket>,
    labels: [String; 2],
    weights: [u32; 2],
    prompt: u32,
    output: u32,
    resumes: u32,
    held: Option<Event>,
    ended: bool,
}

/// Waits for the first event and returns the response that relays the rest.
pub(super) async fn relay(
    job: &Job,
    ticket: Ticket,
    engine: Engine,
    response: Response<Incoming>,
) -> Result<Response<Body>, UnknownReason> {
    let (mut head, body) = response.into_parts();
    head.headers = crate::delivery::strip_hop_headers(&head.headers);
    // A stream may have been resumed: nobody in between may keep it.
    head.headers.insert("cache-control", HeaderValue::from_static("no-store"));
    let mut relay = Relay {
        router: job.router.clone(),
        id: job.id,
        call: job.call.clone(),
        fingerprint: job.fingerprint.clone(),
        service: job.service_id,
        engine,
        began: Instant::now(),
        body,
        splitter: Splitter::default(),
        ticket: Some(ticket),
        labels: [job.customer_name.clone(), job.service.name.clone()],
        weights: [job.service.input_weight, job.service.output_weight],
        prompt: job.prompt_tokens(),
        output: 0,
        resumes: 0,
        held: None,
        ended: false,
    };
    let first = tokio::time::timeout(job.deadline.remaining(), relay.next_item()).await;
    let event = match first {
        Ok(Item::Event(event)) => event,
        Ok(Item::Done(event)) => {
            relay.finish_whole();
            event
        }
        Ok(Item::Lost) => {
            relay.note_lost();
            return Err(relay.fail(UnknownReason::Broken));
        }
        Ok(Item::Broken) => return Err(relay.fail(UnknownReason::Broken)),
        Ok(Item::Crossed) => return Err(relay.fail(UnknownReason::Crossed)),
        Err(_) => return Err(relay.fail(UnknownReason::TimedOut)),
    };
    relay.held = Some(event);
    let events = futures_util::stream::unfold(relay, |mut relay| async move {
        let bytes = relay.next_bytes().await?;
        Some((Ok::<_, std::io::Error>(bytes), relay))
    });
    Ok(Response::from_parts(head, Body::from_stream(events)))
}

impl Relay {
    /// What the caller gets next; none at the end.
    async fn next_bytes(&mut self) -> Option<Bytes> {
        if let Some(event) = self.held.take() {
            return Some(event.raw);
        }
        loop {
            if self.ended {
                return None;
            }
            match self.next_item().await {
                Item::Event(event) => return Some(event.raw),
                Item::Done(event) => {
                    self.finish_whole();
                    return Some(event.raw);
                }
                Item::Lost => {
                    self.router.metrics.cut_streams.inc();
                    if !self.resume().await {
                        self.note_lost();
                        return Some(self.give_up("broken"));
                    }
                }
                Item::Broken => {
                    self.router.metrics.cut_streams.inc();
                    if !self.resume().await {
                        return Some(self.give_up("broken"));
                    }
                }
                Item::Crossed => {
                    self.router.metrics.crossed.inc();
                    return Some(self.give_up("crossed"));
                }
            }
        }
    }

    async fn next_item(&mut self) -> Item {
        loop {
            match self.splitter.next() {
                Ok(Some(event)) if event.data == DONE => return Item::Done(event),
                Ok(Some(event)) => return self.take(event),
                Ok(None) => {}
                Err(_) => return Item::Broken,
            }
            let frame = tokio::time::timeout(STALL, self.body.frame()).await;
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_)) | None) => return Item::Lost,
                Err(_) => return Item::Broken,
            };
            if let Some(data) = frame.data_ref() {
                self.splitter.push(data);
            }
        }
    }

    /// Checks whose event it is and counts its tokens.
    fn take(&mut self, event: Event) -> Item {
        let chunk = serde_json::from_str::<Chunk>(&event.data).ok();
        let Some(chunk) = chunk else {
            return Item::Event(event);
        };
        if chunk.id.is_some_and(|id| id != self.call.id && foreign(&id)) {
            return Item::Crossed;
        }
        match chunk.usage {
            Some(usage) => {
                self.prompt = usage.prompt_tokens;
                self.output = usage.completion_tokens;
            }
            None => self.output += 1,
        }
        let units = self.units();
        if let Some(ticket) = &mut self.ticket {
            ticket.progress(units);
        }
        Item::Event(event)
    }

    fn units(&self) -> u32 {
        let prompt = self.prompt.saturating_mul(self.weights[0]);
        prompt.saturating_add(self.output.saturating_mul(self.weights[1]))
    }

    /// Asks the same engine for the rest.
    async fn resume(&mut self) -> bool {
        let rests = self.router.heard.rest_left(self.router.peers.clock.now(), self.engine.id);
        if self.resumes >= MAX_RESUMES || self.output == 0 || rests.is_some() {
            return false;
        }
        self.resumes += 1;
        self.call.resume_after = Some(self.output);
        let AttemptReport { attempt, notice } =
            self.router.endpoint_client.attempt(self.engine.address, &self.call, STALL).await;
        self.router.take_notice(self.service, self.engine.id, &self.engine.name, &notice);
        let Attempt::Answered(Answer::Stream(response)) = attempt else {
            return false;
        };
        self.body = response.into_body();
        self.splitter = Splitter::default();
        self.router.metrics.resumed_streams.inc();
        let text = format!("resumed after {} tokens", self.output);
        self.router.trace.decide(self.id, "delivery", text);
        true
    }

    /// The event that tells the caller that the stream is not whole.
    fn give_up(&mut self, reason: &'static str) -> Bytes {
        self.finish(Completion::Failed);
        let text = format!("stream {reason} after {} tokens", self.output);
        self.router.trace.decide(self.id, "delivery", text);
        let error = json!({"error": {"message": "the stream is not whole", "reason": reason},
            header::OUTCOME: "unknown"});
        Bytes::from(format!("event: error\ndata: {error}\n\n"))
    }

    /// The engine is gone, or the connection to it is.
    fn note_lost(&self) {
        let (engine, fingerprint) = (&self.engine.name, &self.fingerprint);
        let text = format!("lost at {engine}, fingerprint {fingerprint}");
        self.router.trace.decide(self.id, "delivery", text);
        self.router.guard.record_loss(start_of(engine), fingerprint, self.began.elapsed());
    }

    fn finish_whole(&mut self) {
        self.router.guard.record_served(&self.fingerprint);
        self.finish(Completion::Answered);
    }

    fn fail(mut self, reason: UnknownReason) -> UnknownReason {
        self.finish(Completion::Failed);
        reason
    }

    fn finish(&mut self, completion: Completion) {
        self.ended = true;
        if let Some(ticket) = self.ticket.take() {
            ticket.finish(self.units(), completion);
            self.count();
        }
    }

    fn count(&self) {
        let labels = [self.labels[0].as_str(), self.labels[1].as_str()];
        let counter = self.router.metrics.served_units.with_label_values(&labels);
        counter.inc_by(self.units().into());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // The caller has left: its ticket gives the slot back, the connection
        // closes, and the engine cancels.
        if self.ticket.is_some() {
            self.count();
            let text = format!("caller left after {} tokens", self.output);
            self.router.trace.decide(self.id, "delivery", text);
        }
    }
}

/// Whether an id has the form of another request of the fleet; engines that use
/// numbers of their own are not taken to have crossed answers.
fn foreign(id: &str) -> bool {
    id.parse::<RequestId>().is_ok()
}
