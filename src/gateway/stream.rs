//! Passing a stream of events on as they come.

use std::sync::Arc;

use axum::body::Body;
use axum::http::{Response, header};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::connections::Connection;
use super::endpoints::Failure;
use super::exchange::strip_connection_headers;
use super::request::Call;
use super::state::Ticket;
use crate::placement::Ending;
use crate::registry::Registration;

/// A stream under way. Dropping it closes the endpoint's connection, which ends
/// the run there.
struct Relay {
    call: Arc<Call>,
    ticket: Ticket,
    incoming: Incoming,
    connection: Option<Connection>,
}

/// Why a stream is broken off; the caller sees its connection close.
#[derive(Debug, snafu::Snafu)]
enum BrokenOff {
    #[snafu(display("the endpoint broke off: {source}"))]
    Endpoint { source: hyper::Error },
    #[snafu(display("the time is up"))]
    TimeUp,
}

/// The answer for the caller: the endpoint's head, and its events as they come.
pub(super) fn relay(
    call: &Arc<Call>,
    _endpoint: &Registration,
    ticket: Ticket,
    response: Response<Incoming>,
    connection: Connection,
) -> Response<Body> {
    let (mut head, incoming) = response.into_parts();
    strip_connection_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let relay = Relay { call: call.clone(), ticket, incoming, connection: Some(connection) };
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
            let frame = tokio::time::timeout_at(self.call.limit, self.incoming.frame());
            let Ok(frame) = frame.await else {
                log::info!("gateway: request {} ran out of time", self.call.number);
                return Err(BrokenOff::TimeUp);
            };
            match frame {
                Some(Ok(frame)) => {
                    // Trailers concern this connection only.
                    if let Ok(bytes) = frame.into_data() {
                        self.ticket.begun();
                        return Ok(Some(bytes));
                    }
                }
                Some(Err(source)) => {
                    let endpoint = &self.ticket.endpoint;
                    let number = self.call.number;
                    log::info!("gateway: request {number} broke off at {endpoint}: {source}");
                    self.call.gateway.note_failure(endpoint, Failure::Failed);
                    self.ticket.set_ending(Ending::Failed);
                    return Err(BrokenOff::Endpoint { source });
                }
                None => {
                    self.ticket.set_ending(Ending::Served);
                    if let Some(connection) = self.connection.take() {
                        self.call.gateway.connections.keep(&self.ticket.endpoint, connection);
                    }
                    return Ok(None);
                }
            }
        }
    }
}
