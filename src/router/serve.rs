//! Handles one request from admission to answer.

mod request;

pub use request::Request;

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use axum::body::Body;
use axum::http::Response;
use bytes::Bytes;
use tokio::time::Instant;

use super::link::{GrantReply, Ticket};
use super::state::Router;
use super::{run_once, stream};
use crate::admission::Denied;
use crate::answer::Completeness;
use crate::caller_connection::EndsWithConnection;
use crate::claim::Settlement;
use crate::clock::BootInstant;
use crate::config::{CustomerId, EndpointId, Service, ServiceId, ServiceKind};
use crate::delivery::{
    Answer, Attempt, AttemptReport, Call, NotRunReason, Outcome, UnknownReason, sse,
};
use crate::quarantine::RequestProfile;
use crate::registry::EndpointStart;
use crate::telemetry::RequestId;
use crate::wire::{Completion, GrantRequest, RefuseReason};

/// Time after which callers may retry if no better estimate is known, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;

/// Maximum number of attempts for one request, including the first.
const MAX_ATTEMPTS: u32 = 4;

/// A request whose customer and service have been resolved.
pub(super) struct Job {
    pub router: Arc<Router>,
    pub id: RequestId,
    pub customer: CustomerId,
    pub customer_name: String,
    pub service_id: ServiceId,
    pub service: Service,
    pub call: Call,
    /// What of it can be blamed if it crashes endpoints.
    pub profile: RequestProfile,
    pub deadline: BootInstant,
    prompt_tokens: u32,
    prefix: Vec<u32>,
    /// Number of grant requests so far.
    grant_requests: u32,
    /// Sequence number of the latest grant request; identifies the attempt in claims.
    pub grant_seq: u64,
}

/// What to do after an attempt.
enum NextStep {
    Finish(Outcome),
    /// Finish with this outcome, or that of an earlier attempt: the request crashes endpoints, and
    /// this attempt did not run it.
    Refuse(Outcome),
    /// Retry, or finish with `fallback` if no retry is left. A retry that `is_free` is not charged
    /// to the retry budget.
    Retry {
        is_free: bool,
        fallback: Outcome,
    },
}

impl Router {
    /// The milliseconds after which a caller may retry, if its request is refused because it
    /// crashes endpoints.
    pub(super) fn crash_refusal_ms(&self, request: &RequestProfile) -> Option<u32> {
        let has_leader = || self.feeds.leader().is_some();
        self.guard.refusal(request, has_leader)
    }

    /// Handles a request and returns the response that reports its outcome.
    pub async fn serve(self: &Arc<Self>, request: Request) -> Response<Body> {
        let id = self.next_id();
        let service = request.service.clone();
        let outcome = match self.prepare(id, request) {
            Ok(job) => job.admit().await,
            Err(outcome) => outcome,
        };
        let (name, reason) = (outcome.name(), outcome.reason());
        // A stream is counted when it ends.
        if !matches!(outcome, Outcome::Streams(_)) {
            let is_known = self.config().service_id(&service).is_some();
            let label = if is_known { service.as_str() } else { "unknown" };
            self.metrics.requests.with_label_values(&[label, name, reason]).inc();
        }
        self.trace.decide(id, "delivery", format!("{name} {reason}").trim_end().to_string());
        outcome.into_response(&id.to_string())
    }
}

/// A waiting request counted against its customer's limits; released on drop.
struct AdmissionPermit {
    router: Arc<Router>,
    customer: CustomerId,
    bytes: u64,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let mut admission = self.router.admission.lock().unwrap_or_else(PoisonError::into_inner);
        admission.release(self.customer, self.bytes);
    }
}

impl Job {
    fn decide(&self, part: &'static str, text: String) {
        self.router.trace.decide(self.id, part, text);
    }

    /// Admits and runs the request, or refuses it at once.
    async fn admit(self) -> Outcome {
        if let Some(refused) = self.crash_refusal() {
            self.decide("admission", format!("refused, fingerprint {}", self.profile.fingerprint));
            return refused;
        }
        match self.acquire_permit() {
            Ok(permit) => {
                let (name, service) = (&self.customer_name, &self.service.name);
                let path = &self.call.path;
                self.decide("admission", format!("of {name} for {service} {path} admitted"));
                self.router.with_budget(self.customer, |b| b.earn());
                match self.call.run_once {
                    false => self.run(permit).await,
                    true => self.run_to_completion(permit).await,
                }
            }
            Err(denied) => {
                self.decide("admission", format!("refused: {denied:?}"));
                let reason = match denied {
                    Denied::TooManyRequests => NotRunReason::Refused(RefuseReason::QueueFull),
                    Denied::TooManyBytes => NotRunReason::TooManyBytes,
                };
                Outcome::NotRun(reason, RETRY_AFTER_MS)
            }
        }
    }

    fn acquire_permit(&self) -> Result<AdmissionPermit, Denied> {
        let config = self.router.config();
        let bytes = self.call.body.len() as u64;
        let Some(customer) = config.customers.get(&self.customer) else {
            return Err(Denied::TooManyRequests);
        };
        let mut admission = self.router.admission.lock().unwrap_or_else(PoisonError::into_inner);
        admission.admit(self.customer, customer, bytes)?;
        let (router, customer) = (self.router.clone(), self.customer);
        Ok(AdmissionPermit { router, customer, bytes })
    }

    /// Runs a run-once call in a task of its own, so that its answer is recorded even if its caller
    /// disconnects.
    async fn run_to_completion(self, permit: AdmissionPermit) -> Outcome {
        let calls = self.router.run_once_calls.clone();
        let run = calls.spawn(async move {
            match run_once::earlier_outcome(&self).await {
                Some(outcome) => outcome,
                None => self.run(permit).await,
            }
        });
        run.await.unwrap_or(Outcome::Unknown(UnknownReason::Broken))
    }

    async fn run(mut self, permit: AdmissionPermit) -> Outcome {
        let mut permit = Some(permit);
        let mut earlier = None;
        loop {
            let (ticket, endpoint) = match self.wait_for_grant().await {
                Ok(granted) => granted,
                Err(outcome) => return outcome,
            };
            // The request has been granted and no longer counts as waiting.
            drop(permit.take());
            let (is_free, fallback) = match self.attempt(ticket, endpoint).await {
                NextStep::Finish(outcome) => return outcome,
                NextStep::Refuse(outcome) => return earlier.unwrap_or(outcome),
                NextStep::Retry { is_free, fallback } => (is_free, fallback),
            };
            let is_expired = self.deadline.remaining().is_zero();
            if is_expired
                || self.grant_requests >= MAX_ATTEMPTS
                || !(is_free || self.router.with_budget(self.customer, |b| b.spend()))
            {
                return fallback;
            }
            if self.crash_refusal().is_some() {
                return fallback;
            }
            self.router.metrics.retries.inc();
            self.decide("delivery", format!("tries again after {}", fallback.reason()));
            earlier = Some(fallback);
        }
    }

    /// Waits for a grant, a refusal or the deadline.
    async fn wait_for_grant(&mut self) -> Result<(Ticket, EndpointId), Outcome> {
        let remaining = self.deadline.remaining();
        self.grant_requests += 1;
        let grant_id = match self.grant_requests {
            1 => self.id,
            _ => self.router.next_id(),
        };
        self.grant_seq = grant_id.seq;
        let request = GrantRequest {
            seq: grant_id.seq,
            customer: self.customer,
            input: self.prompt_tokens * self.service.input_weight,
            start_within_ms: remaining.as_millis() as u32,
            prefix: self.prefix.clone(),
        };
        if grant_id != self.id {
            // The dispatcher records its decisions under the id of the grant request.
            self.decide("dispatch", format!("asks again as {grant_id}"));
        }
        let (ticket, reply) = self.router.link(self.service_id).submit(request);
        match tokio::time::timeout(self.deadline.remaining(), reply).await {
            Ok(Ok(GrantReply::Run(endpoint))) => Ok((ticket, endpoint)),
            Ok(Ok(GrantReply::Refuse { reason, retry_after_ms })) => {
                Err(Outcome::NotRun(NotRunReason::Refused(reason), retry_after_ms))
            }
            Ok(Err(_)) | Err(_) => {
                let reason = NotRunReason::Refused(RefuseReason::DeadlineUnmet);
                Err(Outcome::NotRun(reason, RETRY_AFTER_MS))
            }
        }
    }

    async fn attempt(&mut self, ticket: Ticket, endpoint: EndpointId) -> NextStep {
        let endpoints_refuse = || Outcome::NotRun(NotRunReason::EndpointsRefuse, RETRY_AFTER_MS);
        let config = self.router.config();
        // It may have become known while the request was waiting.
        if let Some(refused) = self.crash_refusal() {
            ticket.finish(0, Completion::Unused);
            return NextStep::Refuse(refused);
        }
        let declared =
            config.endpoints.get(&endpoint).filter(|_| self.router.accepts_requests(endpoint));
        let Some(declared) = declared else {
            ticket.finish(0, Completion::Unused);
            return NextStep::Retry { is_free: true, fallback: endpoints_refuse() };
        };
        let address = declared.address.parse::<SocketAddr>().ok();
        let address = address.filter(|_| !self.router.peers.links.is_hall_cut(&declared.hall));
        let Some(address) = address else {
            ticket.finish(0, Completion::Failed);
            return NextStep::Retry { is_free: false, fallback: endpoints_refuse() };
        };
        let claim = match run_once::claim(self).await {
            Ok(claim) => claim,
            Err(outcome) => {
                ticket.finish(0, Completion::Unused);
                return NextStep::Finish(outcome);
            }
        };
        // The endpoint may have begun to leave or to rest while the key was being claimed, and the
        // request may have become known to crash endpoints.
        let refused = self.crash_refusal();
        if refused.is_some() || !self.router.accepts_requests(endpoint) {
            if let Some(claim) = claim {
                run_once::settle(&self.router, claim, Settlement::NotRun).await;
            }
            ticket.finish(0, Completion::Unused);
            return match refused {
                Some(refused) => NextStep::Refuse(refused),
                None => NextStep::Retry { is_free: true, fallback: endpoints_refuse() },
            };
        }
        self.decide("delivery", format!("calls endpoint {}", declared.name));
        let started = Instant::now();
        let limit = self.deadline.remaining();
        let AttemptReport { attempt, notice } =
            self.router.endpoint_client.attempt(address, &self.call, limit).await;
        self.record_notice(endpoint, &declared.name, &notice);
        let mut claim = claim;
        if let Some(settlement) = run_once::settlement_of(&attempt)
            && let Some(claim) = claim.take()
        {
            run_once::settle(&self.router, claim, settlement).await;
        }
        if matches!(attempt, Attempt::Refused)
            && let Some(rest) = notice.rest.duration_ms()
        {
            // The endpoint requested a rest; the refusal does not count as a failure as well.
            ticket.finish(0, Completion::Unused);
            let reason = NotRunReason::Refused(RefuseReason::EndpointsRest);
            return NextStep::Retry {
                is_free: false,
                fallback: Outcome::NotRun(reason, rest as u32),
            };
        }
        match attempt {
            Attempt::Answered(Answer::Complete(response, completeness)) => {
                if response.status().is_success() && completeness == Completeness::Stated {
                    self.router.guard.record_served(&self.profile);
                }
                let units = self.units_used(&response, started);
                self.count_units(units);
                ticket.finish(units, Completion::Answered);
                NextStep::Finish(Outcome::Answered(into_caller_response(response, completeness)))
            }
            Attempt::Answered(Answer::Stream(head, body)) => {
                let engine = stream::Engine { id: endpoint, name: declared.name.clone(), address };
                match stream::relay(self, ticket, claim, engine, *head, body).await {
                    Ok(response) => NextStep::Finish(Outcome::Streams(response)),
                    Err(reason) => self.after_unknown(reason),
                }
            }
            Attempt::NotSent | Attempt::Refused => {
                ticket.finish(0, Completion::Failed);
                NextStep::Retry { is_free: false, fallback: endpoints_refuse() }
            }
            Attempt::Unknown(reason) => {
                if reason == UnknownReason::Broken {
                    self.record_endpoint_loss(&declared.name, started.elapsed());
                }
                ticket.finish(0, Completion::Failed);
                self.after_unknown(reason)
            }
        }
    }

    /// Records that the endpoint closed the connection before the answer was complete, because it
    /// crashed or the connection broke.
    fn record_endpoint_loss(&self, endpoint: &str, ran: Duration) {
        let fingerprint = &self.profile.fingerprint;
        self.decide("delivery", format!("lost at {endpoint}, fingerprint {fingerprint}"));
        self.router.guard.record_loss(start_of(endpoint), &self.profile, ran);
    }

    /// The outcome if the request is refused because it crashes endpoints.
    fn crash_refusal(&self) -> Option<Outcome> {
        let retry_ms = self.router.crash_refusal_ms(&self.profile)?;
        Some(Outcome::NotRun(NotRunReason::CrashesEndpoints, retry_ms))
    }

    fn after_unknown(&self, reason: UnknownReason) -> NextStep {
        if reason == UnknownReason::Crossed {
            self.router.metrics.crossed.inc();
        }
        let outcome = Outcome::Unknown(reason);
        match self.call.run_once || reason == UnknownReason::TimedOut {
            true => NextStep::Finish(outcome),
            false => NextStep::Retry { is_free: false, fallback: outcome },
        }
    }

    /// Units used by a complete answer: tokens by weight for models, milliseconds for plain
    /// services.
    fn units_used(&self, response: &Response<Bytes>, started: Instant) -> u32 {
        if self.service.kind == ServiceKind::Plain {
            return (started.elapsed().as_millis() as u32).max(1);
        }
        let chunk = serde_json::from_slice::<sse::Chunk>(response.body()).ok();
        match chunk.and_then(|c| c.usage) {
            Some(usage) => self.token_units(usage.prompt_tokens, usage.completion_tokens),
            None => self.token_units(self.prompt_tokens, 0),
        }
    }

    /// Converts numbers of prompt and output tokens to units.
    pub(super) fn token_units(&self, prompt: u32, output: u32) -> u32 {
        let prompt = prompt.saturating_mul(self.service.input_weight);
        prompt.saturating_add(output.saturating_mul(self.service.output_weight))
    }

    /// Adds served units to the metrics.
    pub(super) fn count_units(&self, units: u32) {
        let labels = [self.customer_name.as_str(), self.service.name.as_str()];
        let counter = self.router.metrics.served_units.with_label_values(&labels);
        counter.inc_by(units.into());
    }

    /// Estimated number of prompt tokens.
    pub(super) fn prompt_tokens(&self) -> u32 {
        self.prompt_tokens
    }
}

/// The start of a declared endpoint. Declared endpoints do not report when they started, so all
/// starts of an endpoint count as one.
pub(super) fn start_of(endpoint: &str) -> EndpointStart {
    EndpointStart { id: endpoint.to_string(), started_at_ms: 0 }
}

/// Converts an endpoint's answer to the response for the caller.
fn into_caller_response(response: Response<Bytes>, completeness: Completeness) -> Response<Body> {
    let (mut head, body) = response.into_parts();
    head.headers = crate::delivery::strip_hop_headers(&head.headers);
    if completeness == Completeness::Unstated {
        head.extensions.insert(EndsWithConnection);
    }
    Response::from_parts(head, Body::from(body))
}
