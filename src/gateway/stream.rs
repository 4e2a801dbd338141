//! Relaying streams of events as they arrive. A truncated stream is resumed on another
//! endpoint where its route allows that.

use std::sync::Arc;

use axum::body::Body;
use axum::http::{Response, StatusCode, header};
use bytes::Bytes;

use super::assignment::Assignment;
use super::connections::Connection;
use super::destination::Destination;
use super::endpoints::Failure;
use super::events::ResumableEvents;
use super::exchange::{self, PendingAnswer, strip_connection_headers};
use super::request::Call;
use super::stream_keeper::StreamKeeper;
use crate::answer::{AnswerBody, BrokenAnswer, Completeness, Framing, Part};
use crate::caller_connection::EndsWithConnection;
use crate::placement::Completion;

/// A stream being relayed. Dropping it closes the endpoint's connection, which ends the run
/// there.
struct Relay {
    call: Arc<Call>,
    source: Option<Source>,
    tried: Vec<String>,
    /// Set if the stream may be resumed on another endpoint: it is then relayed event by event.
    events: Option<ResumableEvents>,
    /// The status of the answer.
    status: StatusCode,
    /// Whether the caller's answer ends with its connection.
    ends_with_connection: bool,
    /// Keeps the record of a stream that may be resumed.
    keeper: Option<StreamKeeper>,
    /// Whether its outcome has been counted.
    has_outcome: bool,
}

/// The endpoint that a stream is read from.
struct Source {
    body: AnswerBody,
    connection: Connection,
    assignment: Assignment,
}

/// Why a stream is truncated; the caller's connection is closed.
#[derive(Debug, snafu::Snafu)]
enum StreamError {
    #[snafu(display("the endpoint broke it off"))]
    Truncated,
    #[snafu(display("it went on in an answer whose end tells nothing"))]
    Unstated,
    #[snafu(display("the deadline has passed"))]
    TimedOut,
}

/// The answer for the caller: the endpoint's head, and its events as they arrive.
pub(super) fn relay(call: &Arc<Call>, pending: PendingAnswer) -> Response<Body> {
    let PendingAnswer { mut head, body, connection, mut assignment } = pending;
    assignment.set_completion(Completion::Abandoned);
    strip_connection_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    call.bind(&assignment.observation.version);
    if call.route.resumable {
        record_stream(call, &assignment);
    }
    let keeper = StreamKeeper::start(call, &assignment, &connection);
    let is_resumable = call.route.resumable && call.route.attempts > 1 && body.has_events();
    let ends_with_connection = body.framing() == Framing::Connection;
    let relay = Relay {
        call: call.clone(),
        tried: vec![assignment.endpoint.clone()],
        source: Some(Source { body, connection, assignment }),
        status: head.status,
        events: is_resumable.then(|| {
            let events = ResumableEvents::after(call.head.last_event.clone());
            events.within(&call.gateway.answer_memory)
        }),
        ends_with_connection,
        keeper,
        has_outcome: false,
    };
    let events = futures_util::stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
            Ok(None) => None,
            Err(error) => {
                // Lets what was passed on before reach the caller.
                tokio::task::yield_now().await;
                Some((Err(error), None))
            }
        }
    });
    let mut response = Response::from_parts(head, Body::from_stream(events));
    if ends_with_connection {
        response.extensions_mut().insert(EndsWithConnection);
    }
    response
}

/// Logs and counts a stream that begins, or that its caller resumes.
fn record_stream(call: &Call, assignment: &Assignment) {
    let (endpoint, version) = (&assignment.endpoint, &assignment.observation.version);
    let (number, id) = (call.number, call.head.id.as_deref().unwrap_or_default());
    let kind = match (&call.head.resumes, &call.head.last_event) {
        (None, None) => {
            log::debug!("gateway: request {number} ({id}) begins at {endpoint}, version {version}");
            "begun"
        }
        (first_attempt, last_event) => {
            log::info!(
                "gateway: request {number} ({id}) resumes the stream of {first_attempt:?} after \
                 {last_event:?} at {endpoint}, version {version}"
            );
            "resumed"
        }
    };
    call.gateway.metrics.resumable_streams.with_label_values(&[&call.service, kind]).inc();
}

impl Relay {
    /// The next bytes; `None` at the end of a complete stream.
    async fn next(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            let Some(source) = &mut self.source else { return Ok(None) };
            let remaining = self.call.remaining();
            // Where more data is always ready, a timeout alone would never elapse.
            let part = match remaining.is_zero() {
                true => None,
                false => tokio::time::timeout(remaining, source.body.next()).await.ok(),
            };
            let Some(part) = part else {
                self.record_timeout();
                return Err(StreamError::TimedOut);
            };
            match part {
                Part::Data(bytes) => {
                    source.assignment.record_first_event();
                    self.call.record_stream_data(&source.assignment);
                    let bytes = match &mut self.events {
                        Some(events) => events.push(&bytes),
                        None => bytes,
                    };
                    if !bytes.is_empty() {
                        if let Some(keeper) = &mut self.keeper {
                            keeper.wait_until_stored().await;
                            keeper.refresh();
                        }
                        return Ok(Some(bytes));
                    }
                }
                Part::End(end) => {
                    self.call.record_body_end(&source.assignment, end);
                    match end.verdict() {
                        Ok(completeness) => return self.finish(completeness).map(|()| None),
                        Err(broken) => self.resume(broken).await?,
                    }
                }
            }
        }
    }

    /// Records that the deadline passed. Without any event it counts as a failure of the endpoint,
    /// as a missing answer does.
    fn record_timeout(&mut self) {
        if let Some(mut source) = self.source.take() {
            let assignment = &mut source.assignment;
            assignment.observation.record_failed();
            if source.body.has_events() && !source.body.has_complete_event() {
                let (endpoint, start) = (&assignment.endpoint, assignment.started_at_ms);
                self.call.gateway.record_failure(endpoint, start, Failure::Failed);
            }
        }
        log::info!("gateway: request {} ran out of time during its stream", self.call.number);
        self.record_outcome("timed_out");
    }

    /// Ends a stream that its endpoint did not break off. The caller of an answer in chunks is
    /// told that it is whole only if the endpoint stated that.
    fn finish(&mut self, completeness: Completeness) -> Result<(), StreamError> {
        let Some(mut source) = self.source.take() else { return Ok(()) };
        source.assignment.set_completion(Completion::Served);
        self.call.record_end(self.status, completeness);
        let (endpoint, started_at_ms) =
            (&source.assignment.endpoint, source.assignment.started_at_ms);
        self.call.gateway.record_success(endpoint, started_at_ms);
        self.call.record_connection_end(endpoint, completeness);
        self.call.gateway.connections.keep_idle(endpoint, source.connection);
        if completeness == Completeness::Unstated && !self.ends_with_connection {
            self.record_outcome("unstated_end");
            return Err(StreamError::Unstated);
        }
        self.record_outcome("answered");
        Ok(())
    }

    /// Goes on with a stream that an endpoint broke off, at another one if its route allows that.
    async fn resume(&mut self, broken: BrokenAnswer) -> Result<(), StreamError> {
        let Some(mut lost) = self.source.take() else { return Err(StreamError::Truncated) };
        let assignment = &mut lost.assignment;
        self.call.record_broken_answer(assignment, broken);
        assignment.set_completion(Completion::Failed);
        assignment.observation.record_failed();
        let lost_at = assignment.endpoint.clone();
        drop(lost);
        let resumed = self.resume_elsewhere(&lost_at).await;
        if resumed.is_err() {
            if let Some(keeper) = &self.keeper {
                keeper.store_truncation(&lost_at).await;
            }
            self.record_outcome("broken_off");
        }
        resumed
    }

    fn record_outcome(&mut self, outcome: &str) {
        if !std::mem::replace(&mut self.has_outcome, true) {
            self.call.count_outcome(outcome);
        }
    }

    /// Resumes the stream, truncated at an endpoint, after its last complete event on another
    /// endpoint of the same release, since the output of another release may differ.
    async fn resume_elsewhere(&mut self, lost_at: &str) -> Result<(), StreamError> {
        let call = self.call.clone();
        let events = self.events.as_mut().filter(|events| events.can_resume());
        let Some(events) = events else { return Err(StreamError::Truncated) };
        events.discard_partial();
        let runs = self.tried.len() as u32;
        // Without a record it is not known which version began the stream.
        let Some(keeper) = &self.keeper else { return Err(StreamError::Truncated) };
        call.gateway.wait_until_caught_up(|| call.remaining()).await;
        let is_knowable = call.gateway.is_knowable(&keeper.known(Some(lost_at)));
        let may_resume = is_knowable && call.may_resume() && call.crash_refusal().is_none();
        if runs >= call.route.attempts || !may_resume || !call.try_spend_retry() {
            return Err(StreamError::Truncated);
        }
        let Destination::Endpoint(endpoint, reservation) =
            call.choose_destination_at_version(&self.tried).await
        else {
            return Err(StreamError::Truncated);
        };
        self.tried.push(endpoint.id.clone());
        let after = events.last_id().map(str::to_string);
        log::info!(
            "gateway: request {} is resumed on {}, version {}, after {after:?}",
            call.number,
            endpoint.id,
            endpoint.version
        );
        let pending =
            exchange::begin_attempt(&call, &endpoint, reservation, after.as_deref()).await;
        let Ok(PendingAnswer { head, body, connection, mut assignment }) = pending else {
            return Err(StreamError::Truncated);
        };
        if head.status != StatusCode::OK || !body.has_events() {
            let (status, at) = (head.status, &assignment.endpoint);
            log::info!("gateway: request {} cannot be resumed on {at}: {status}", call.number);
            assignment.observation.record_failed();
            return Err(StreamError::Truncated);
        }
        if !call.may_go_on(&keeper.known(Some(lost_at)), &endpoint, &connection).await {
            return Err(StreamError::Truncated);
        }
        call.gateway.metrics.resumed.with_label_values(&[&call.service]).inc();
        assignment.set_completion(Completion::Abandoned);
        self.source = Some(Source { body, connection, assignment });
        Ok(())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.record_outcome("caller_left");
    }
}
