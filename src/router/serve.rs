//! One request from admission to answer.

mod request;

pub use request::Request;

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use axum::body::Body;
use axum::http::Response;
use bytes::Bytes;
use tokio::time::Instant;

use super::link::{Ticket, Verdict};
use super::state::Router;
use super::{once, stream};
use crate::admission::Denied;
use crate::clock::BootInstant;
use crate::config::{CustomerId, EndpointId, Service, ServiceId, ServiceKind};
use crate::delivery::{
    Answer, Attempt, AttemptReport, Call, NotRunReason, Outcome, UnknownReason, sse,
};
use crate::quarantine::Fingerprint;
use crate::registry::EndpointStart;
use crate::telemetry::RequestId;
use crate::wire::{Completion, GrantRequest, RefuseReason};

/// Time to come back after when nothing better is known, in milliseconds.
const RETRY_MS: u32 = 1_000;

/// Times that one request is tried in all.
const MAX_ATTEMPTS: u32 = 4;

/// A request that has found its customer and service.
pub(super) struct Job {
    pub router: Arc<Router>,
    pub id: RequestId,
    pub customer: CustomerId,
    pub customer_name: String,
    pub service_id: ServiceId,
    pub service: Service,
    pub call: Call,
    /// What it has in common with the same request when it comes again.
    pub fingerprint: Fingerprint,
    pub deadline: BootInstant,
    prompt_tokens: u32,
    prefix: Vec<u32>,
    wants: u32,
    /// Number of the newest want; names the attempt towards claims.
    pub want_seq: u64,
}

/// What follows from one attempt.
enum Next {
    Finish(Outcome),
    /// Try again; `free` when it costs nothing of the retry budget.
    Again {
        free: bool,
        otherwise: Outcome,
    },
}

impl Router {
    /// Serves a request and says what became of it.
    pub async fn serve(self: &Arc<Self>, request: Request) -> Response<Body> {
        let id = self.next_id();
        let service = request.service.clone();
        let outcome = match self.prepare(id, request) {
            Ok(job) => job.admit().await,
            Err(outcome) => outcome,
        };
        let (name, reason) = (outcome.name(), outcome.reason());
        let known = self.config().service_id(&service).is_some();
        let label = if known { service.as_str() } else { "unknown" };
        self.metrics.requests.with_label_values(&[label, name, reason]).inc();
        self.trace.decide(id, "delivery", format!("{name} {reason}").trim_end().to_string());
        outcome.into_response(&id.to_string())
    }
}

/// A request's place in its customer's bound; given back when it stops waiting.
struct Place {
    router: Arc<Router>,
    customer: CustomerId,
    bytes: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut admission = self.router.admission.lock().unwrap_or_else(PoisonError::into_inner);
        admission.release(self.customer, self.bytes);
    }
}

impl Job {
    fn decide(&self, part: &'static str, text: String) {
        self.router.trace.decide(self.id, part, text);
    }

    /// Enters the queue, or is refused at once.
    async fn admit(self) -> Outcome {
        if let Some(refused) = self.crashes_endpoints() {
            self.decide("admission", format!("refused, fingerprint {}", self.fingerprint));
            return refused;
        }
        match self.enter() {
            Ok(place) => {
                let (name, service) = (&self.customer_name, &self.service.name);
                let path = &self.call.path;
                self.decide("admission", format!("of {name} for {service} {path} admitted"));
                self.router.with_budget(self.customer, |b| b.earn());
                match self.call.run_once {
                    false => self.run(place).await,
                    true => self.run_to_the_end(place).await,
                }
            }
            Err(denied) => {
                self.decide("admission", format!("refused: {denied:?}"));
                let reason = match denied {
                    Denied::TooManyRequests => NotRunReason::Refused(RefuseReason::QueueFull),
                    Denied::TooManyBytes => NotRunReason::TooManyBytes,
                };
                Outcome::NotRun(reason, RETRY_MS)
            }
        }
    }

    fn enter(&self) -> Result<Place, Denied> {
        let config = self.router.config();
        let bytes = self.call.body.len() as u64;
        let Some(customer) = config.customers.get(&self.customer) else {
            return Err(Denied::TooManyRequests);
        };
        let mut admission = self.router.admission.lock().unwrap_or_else(PoisonError::into_inner);
        admission.admit(self.customer, customer, bytes)?;
        let (router, customer) = (self.router.clone(), self.customer);
        Ok(Place { router, customer, bytes })
    }

    /// Runs a call that may not be repeated even when its caller leaves, so
    /// that its answer is recorded.
    async fn run_to_the_end(self, place: Place) -> Outcome {
        let runs = self.router.runs.clone();
        let run = runs.spawn(async move {
            match once::earlier(&self).await {
                Some(outcome) => outcome,
                None => self.run(place).await,
            }
        });
        run.await.unwrap_or(Outcome::Unknown(UnknownReason::Broken))
    }

    async fn run(mut self, place: Place) -> Outcome {
        let mut place = Some(place);
        loop {
            let (ticket, endpoint) = match self.wait().await {
                Ok(granted) => granted,
                Err(outcome) => return outcome,
            };
            // It no longer waits.
            drop(place.take());
            let (free, otherwise) = match self.attempt(ticket, endpoint).await {
                Next::Finish(outcome) => return outcome,
                Next::Again { free, otherwise } => (free, otherwise),
            };
            let late = self.deadline.remaining().is_zero();
            if late
                || self.wants >= MAX_ATTEMPTS
                || !(free || self.router.with_budget(self.customer, |b| b.spend()))
            {
                return otherwise;
            }
            if self.crashes_endpoints().is_some() {
                return otherwise;
            }
            self.router.metrics.retries.inc();
            self.decide("delivery", format!("tries again after {}", otherwise.reason()));
        }
    }

    /// Waits for a grant, a refusal or the deadline.
    async fn wait(&mut self) -> Result<(Ticket, EndpointId), Outcome> {
        let left = self.deadline.remaining();
        self.wants += 1;
        let want_id = match self.wants {
            1 => self.id,
            _ => self.router.next_id(),
        };
        self.want_seq = want_id.seq;
        let want = GrantRequest {
            seq: want_id.seq,
            customer: self.customer,
            input: self.prompt_tokens * self.service.input_weight,
            start_within_ms: left.as_millis() as u32,
            prefix: self.prefix.clone(),
        };
        if want_id != self.id {
            // The dispatcher's decisions are found under the number of the want.
            self.decide("dispatch", format!("asks again as {want_id}"));
        }
        let (ticket, verdict) = self.router.link(self.service_id).submit(want);
        match tokio::time::timeout(self.deadline.remaining(), verdict).await {
            Ok(Ok(Verdict::Run(endpoint))) => Ok((ticket, endpoint)),
            Ok(Ok(Verdict::Refuse { reason, retry_after_ms })) => {
                Err(Outcome::NotRun(NotRunReason::Refused(reason), retry_after_ms))
            }
            Ok(Err(_)) | Err(_) => {
                let reason = NotRunReason::Refused(RefuseReason::DeadlineUnmet);
                Err(Outcome::NotRun(reason, RETRY_MS))
            }
        }
    }

    async fn attempt(&mut self, ticket: Ticket, endpoint: EndpointId) -> Next {
        let refused = || Outcome::NotRun(NotRunReason::EndpointsRefuse, RETRY_MS);
        let config = self.router.config();
        if self.wants == 1
            && let Some(refused) = self.crashes_endpoints()
        {
            ticket.finish(0, Completion::Unused);
            return Next::Finish(refused);
        }
        let declared = config.endpoints.get(&endpoint).filter(|_| self.router.takes_work(endpoint));
        let Some(declared) = declared else {
            ticket.finish(0, Completion::Unused);
            return Next::Again { free: true, otherwise: refused() };
        };
        let address = declared.address.parse::<SocketAddr>().ok();
        let address = address.filter(|_| !self.router.peers.links.is_hall_cut(&declared.hall));
        let Some(address) = address else {
            ticket.finish(0, Completion::Failed);
            return Next::Again { free: false, otherwise: refused() };
        };
        let claim = match once::claim(self).await {
            Ok(claim) => claim,
            Err(outcome) => {
                ticket.finish(0, Completion::Unused);
                return Next::Finish(outcome);
            }
        };
        // Until its key was claimed, the endpoint may have begun to leave or to rest.
        if !self.router.takes_work(endpoint) {
            if let Some(claim) = claim {
                once::settle(&self.router, claim, &Attempt::NotSent).await;
            }
            ticket.finish(0, Completion::Unused);
            return Next::Again { free: true, otherwise: refused() };
        }
        self.decide("delivery", format!("calls endpoint {}", declared.name));
        let started = Instant::now();
        let limit = self.deadline.remaining();
        let AttemptReport { attempt, notice } =
            self.router.endpoint_client.attempt(address, &self.call, limit).await;
        self.take_notice(endpoint, &declared.name, &notice);
        if let Some(claim) = claim {
            once::settle(&self.router, claim, &attempt).await;
        }
        if matches!(attempt, Attempt::Refused)
            && let Some(rest) = notice.rest.duration_ms()
        {
            // It gets the rest that it asked for, and is not taken to have failed besides.
            ticket.finish(0, Completion::Unused);
            let reason = NotRunReason::Refused(RefuseReason::EndpointsRest);
            return Next::Again { free: false, otherwise: Outcome::NotRun(reason, rest as u32) };
        }
        match attempt {
            Attempt::Answered(Answer::Complete(response)) => {
                self.router.guard.record_served(&self.fingerprint);
                let units = self.units_of(&response, started);
                self.count(units);
                ticket.finish(units, Completion::Answered);
                Next::Finish(Outcome::Answered(passed_on(response)))
            }
            Attempt::Answered(Answer::Stream(response)) => {
                let endpoint =
                    stream::Engine { id: endpoint, name: declared.name.clone(), address };
                match stream::relay(self, ticket, endpoint, response).await {
                    Ok(response) => Next::Finish(Outcome::Answered(response)),
                    Err(reason) => self.unknown(reason),
                }
            }
            Attempt::NotSent | Attempt::Refused => {
                ticket.finish(0, Completion::Failed);
                Next::Again { free: false, otherwise: refused() }
            }
            Attempt::Unknown(reason) => {
                if reason == UnknownReason::Broken {
                    self.lost_at(&declared.name, started.elapsed());
                }
                ticket.finish(0, Completion::Failed);
                self.unknown(reason)
            }
        }
    }

    /// The endpoint ended the connection before the whole answer: it crashed, or the
    /// connection broke.
    fn lost_at(&self, endpoint: &str, ran: Duration) {
        self.decide("delivery", format!("lost at {endpoint}, fingerprint {}", self.fingerprint));
        self.router.guard.record_loss(start_of(endpoint), &self.fingerprint, ran);
    }

    /// What its caller is told if it crashes endpoints.
    fn crashes_endpoints(&self) -> Option<Outcome> {
        let has_leader = || self.router.feeds.leader().is_some();
        let retry_ms = self.router.guard.refusal(&self.fingerprint, has_leader)?;
        Some(Outcome::NotRun(NotRunReason::CrashesEndpoints, retry_ms))
    }

    fn unknown(&self, reason: UnknownReason) -> Next {
        if reason == UnknownReason::Crossed {
            self.router.metrics.crossed.inc();
        }
        let outcome = Outcome::Unknown(reason);
        match self.call.run_once || reason == UnknownReason::TimedOut {
            true => Next::Finish(outcome),
            false => Next::Again { free: false, otherwise: outcome },
        }
    }

    /// Units used by a whole answer.
    fn units_of(&self, response: &Response<Bytes>, started: Instant) -> u32 {
        if self.service.kind == ServiceKind::Plain {
            return (started.elapsed().as_millis() as u32).max(1);
        }
        let chunk = serde_json::from_slice::<sse::Chunk>(response.body()).ok();
        match chunk.and_then(|c| c.usage) {
            Some(usage) => self.token_units(usage.prompt_tokens, usage.completion_tokens),
            None => self.token_units(self.prompt_tokens, 0),
        }
    }

    /// Units for tokens of prompt and output.
    pub(super) fn token_units(&self, prompt: u32, output: u32) -> u32 {
        let prompt = prompt.saturating_mul(self.service.input_weight);
        prompt.saturating_add(output.saturating_mul(self.service.output_weight))
    }

    /// Counts service received.
    pub(super) fn count(&self, units: u32) {
        let labels = [self.customer_name.as_str(), self.service.name.as_str()];
        let counter = self.router.metrics.served_units.with_label_values(&labels);
        counter.inc_by(units.into());
    }

    /// Tokens of the prompt, as estimated on entry.
    pub(super) fn prompt_tokens(&self) -> u32 {
        self.prompt_tokens
    }
}

/// Declared endpoints do not say when they started.
pub(super) fn start_of(endpoint: &str) -> EndpointStart {
    EndpointStart { id: endpoint.to_string(), started_at_ms: 0 }
}

/// The endpoint's answer as the caller gets it.
fn passed_on(response: Response<Bytes>) -> Response<Body> {
    let (mut head, body) = response.into_parts();
    head.headers = crate::delivery::strip_hop_headers(&head.headers);
    Response::from_parts(head, Body::from(body))
}
