//! Passing a stream of events on as they come, and taking it up at another
//! endpoint when it breaks off, where its route allows that.

use std::sync::Arc;

use axum::body::Body;
use axum::http::{Response, StatusCode, header};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::connections::Connection;
use super::endpoints::Failure;
use super::events::EventSplitter;
use super::exchange::{self, Opened, strip_connection_headers};
use super::placing::Place;
use super::request::Call;
use super::state::Ticket;
use crate::placement::Completion;

/// A stream under way. Dropping it closes the endpoint's connection, which ends
/// the run there.
struct Relay {
    call: Arc<Call>,
    source: Option<Source>,
    tried: Vec<String>,
    /// Set where the stream may be taken up elsewhere, event by event.
    splitter: Option<EventSplitter>,
}

/// Where a stream comes from.
struct Source {
    incoming: Incoming,
    connection: Connection,
    ticket: Ticket,
}

/// Why a stream is broken off; the caller sees its connection close.
#[derive(Debug, snafu::Snafu)]
enum BrokenOff {
    #[snafu(display("the endpoint broke off"))]
    Endpoint,
    #[snafu(display("the time is up"))]
    TimeUp,
}

/// The answer for the caller: the endpoint's head, and its events as they come.
pub(super) fn relay(call: &Arc<Call>, opened: Opened) -> Response<Body> {
    let Opened { response, connection, mut ticket } = opened;
    ticket.set_ending(Completion::Abandoned);
    let (mut head, incoming) = response.into_parts();
    strip_connection_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    call.bind(&ticket.observed.version);
    let resumes = call.route.resumable && call.route.attempts > 1;
    let relay = Relay {
        call: call.clone(),
        tried: vec![ticket.endpoint.clone()],
        source: Some(Source { incoming, connection, ticket }),
        splitter: resumes.then(|| EventSplitter::after(call.head.last_event.clone())),
    };
    let events = futures_util::stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    Response::from_parts(head, Body::from_stream(events))
}

impl Relay {
    /// The next bytes; none at the end of a whole stream.
    async fn next(&mut self) -> Result<Option<Bytes>, BrokenOff> {
        loop {
            let Some(source) = &mut self.source else { return Ok(None) };
            let frame = tokio::time::timeout(self.call.remaining(), source.incoming.frame());
            let Ok(frame) = frame.await else {
                source.ticket.observed.failed();
                log::info!("gateway: request {} ran out of time", self.call.number);
                return Err(BrokenOff::TimeUp);
            };
            match frame {
                Some(Ok(frame)) => {
                    // Trailers concern this connection only.
                    let Ok(bytes) = frame.into_data() else { continue };
                    source.ticket.begun();
                    self.call.heard_from(&source.ticket);
                    let bytes = match &mut self.splitter {
                        Some(splitter) => splitter.push(&bytes),
                        None => bytes,
                    };
                    if !bytes.is_empty() {
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(error)) => {
                    self.call.lost_at(&source.ticket, &error.to_string());
                    self.resume().await?;
                }
                None => return Ok(self.finish()),
            }
        }
    }

    /// The stream came to its end.
    fn finish(&mut self) -> Option<Bytes> {
        if let Some(mut source) = self.source.take() {
            source.ticket.set_ending(Completion::Served);
            self.call.served();
            self.call.gateway.connections.keep(&source.ticket.endpoint, source.connection);
        }
        let rest = self.splitter.as_mut().map(EventSplitter::finish);
        rest.filter(|rest| !rest.is_empty())
    }

    /// Takes the stream up behind its last whole event at another endpoint of the same
    /// release: another release may say something else.
    async fn resume(&mut self) -> Result<(), BrokenOff> {
        let Some(mut broken) = self.source.take() else { return Err(BrokenOff::Endpoint) };
        let call = self.call.clone();
        let ticket = &broken.ticket;
        call.gateway.note_failure(&ticket.endpoint, ticket.started_at_ms, Failure::Failed);
        broken.ticket.set_ending(Completion::Failed);
        broken.ticket.observed.failed();
        drop(broken);
        let Some(splitter) = &mut self.splitter else { return Err(BrokenOff::Endpoint) };
        splitter.discard_partial();
        let runs = self.tried.len() as u32;
        let may_go_on = call.may_go_on() && call.crashes_endpoints().is_none();
        if runs >= call.route.attempts || !may_go_on || !call.may_repeat() {
            return Err(BrokenOff::Endpoint);
        }
        let Place::At(endpoint, reservation) = call.place(&self.tried).await else {
            return Err(BrokenOff::Endpoint);
        };
        self.tried.push(endpoint.id.clone());
        let after = splitter.last_id().map(str::to_string);
        log::info!("gateway: request {} goes on at {} after {after:?}", call.number, endpoint.id);
        let opened = exchange::open(&call, &endpoint, reservation, after.as_deref()).await;
        let Ok(Opened { response, connection, mut ticket }) = opened else {
            return Err(BrokenOff::Endpoint);
        };
        if response.status() != StatusCode::OK {
            let (status, at) = (response.status(), &ticket.endpoint);
            log::info!("gateway: request {} cannot go on at {at}: {status}", call.number);
            ticket.observed.failed();
            return Err(BrokenOff::Endpoint);
        }
        call.gateway.metrics.resumed.with_label_values(&[&call.service]).inc();
        ticket.set_ending(Completion::Abandoned);
        self.source = Some(Source { incoming: response.into_body(), connection, ticket });
        Ok(())
    }
}
