//! Reading the body of an answer up to its end.

use std::error::Error;
use std::io;
use std::sync::Arc;

use axum::http::Response;
use axum::http::response;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::events::EventScanner;
use super::framing::{Framing, has_events};
use super::memory::{AnswerMemory, HeldBytes};
use super::read_guard::ReadGuard;
use super::verdict::{BodyEnd, ContentEnd, Ending};

/// The next part of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Bytes of the content.
    Data(Bytes),
    /// The end of the body.
    End(BodyEnd),
}

/// The body of an answer while it is read.
#[derive(Debug)]
pub struct AnswerBody {
    incoming: Incoming,
    framing: Framing,
    /// Follows the events of a body that consists of such.
    scanner: Option<EventScanner>,
    /// Follows its connection, if that is read within limits.
    guard: Option<ReadGuard>,
    /// Whether the last event of a whole body is known to its reader, who reads no further.
    has_final_event: bool,
}

impl AnswerBody {
    /// Separates the head of an answer from its body. A body without a stated type consists of
    /// events if `expects_events`.
    pub fn split(
        response: Response<Incoming>,
        expects_events: bool,
    ) -> (response::Parts, AnswerBody) {
        let framing = Framing::of(&response);
        let (mut head, incoming) = response.into_parts();
        let scanner = has_events(&head.headers, expects_events).then(EventScanner::default);
        let guard = head.extensions.remove();
        (head, AnswerBody { incoming, framing, scanner, guard, has_final_event: false })
    }

    /// Sets that its reader stops at an event that ends every whole body of this protocol: a body
    /// that is read to its end is then not whole.
    pub fn expect_final_event(&mut self) {
        self.has_final_event = true;
    }

    /// How the end of the body is marked.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Whether the body consists of events.
    pub fn has_events(&self) -> bool {
        self.scanner.is_some()
    }

    /// Whether a complete event was read.
    pub fn has_complete_event(&self) -> bool {
        self.scanner.as_ref().is_some_and(EventScanner::has_event)
    }

    /// The next part of the body. Nothing is lost if the future is dropped.
    pub async fn next(&mut self) -> Part {
        loop {
            match self.incoming.frame().await {
                Some(Ok(frame)) => {
                    // Trailers are specific to the connection.
                    let Ok(bytes) = frame.into_data() else { continue };
                    if self.is_within_limits(&bytes) {
                        return Part::Data(bytes);
                    }
                    return Part::End(self.end(Ending::TooLong));
                }
                Some(Err(error)) => return Part::End(self.end(self.ending_of(&error))),
                None => return Part::End(self.end(Ending::Clean)),
            }
        }
    }

    /// Records content; returns whether its event, if it consists of events, is not too long.
    fn is_within_limits(&mut self, bytes: &[u8]) -> bool {
        let max_event_bytes = self.guard.as_ref().map_or(usize::MAX, |guard| {
            guard.record_content();
            guard.limits().event_bytes
        });
        let Some(scanner) = &mut self.scanner else { return true };
        scanner.scan(bytes);
        scanner.open_bytes() <= max_event_bytes
    }

    fn ending_of(&self, error: &hyper::Error) -> Ending {
        match self.guard.as_ref().and_then(ReadGuard::exceeded) {
            Some(_) => Ending::TooLong,
            None => ending_of(error),
        }
    }

    /// Reads the body to its end, or until it has more than `max_bytes`.
    pub async fn read(self, max_bytes: usize) -> (Bytes, BodyEnd) {
        self.read_into(max_bytes, None).await
    }

    /// Reads the body to its end, or until it has more than `max_bytes`, or until it is the
    /// largest of too many bytes in `memory`.
    pub async fn read_within(
        self,
        max_bytes: usize,
        memory: &Arc<AnswerMemory>,
    ) -> (Bytes, BodyEnd) {
        self.read_into(max_bytes, Some(memory.hold())).await
    }

    async fn read_into(mut self, max_bytes: usize, held: Option<HeldBytes>) -> (Bytes, BodyEnd) {
        let mut content = BytesMut::new();
        let given_up = async {
            match &held {
                Some(held) => held.given_up().await,
                None => std::future::pending().await,
            }
        };
        let mut given_up = std::pin::pin!(given_up);
        if self.incoming.size_hint().lower() > max_bytes as u64 {
            return (Bytes::new(), self.end(Ending::TooLong));
        }
        loop {
            let part = tokio::select! {
                () = &mut given_up => return (Bytes::new(), self.end(Ending::NoMemory)),
                part = self.next() => part,
            };
            match part {
                Part::Data(bytes) if content.len() + bytes.len() > max_bytes => {
                    return (Bytes::new(), self.end(Ending::TooLong));
                }
                Part::Data(bytes) => content.extend_from_slice(&bytes),
                Part::End(end) => return (content.freeze(), end),
            }
            // What is allocated counts, which may be twice the content.
            if held.as_ref().is_some_and(|held| !held.set(content.capacity())) {
                return (Bytes::new(), self.end(Ending::NoMemory));
            }
        }
    }

    fn end(&self, ending: Ending) -> BodyEnd {
        let content = match &self.scanner {
            Some(scanner) if !scanner.is_between_events() => ContentEnd::InsideEvent,
            _ if self.has_final_event => ContentEnd::BeforeFinalEvent,
            Some(_) => ContentEnd::BetweenEvents,
            None => ContentEnd::Opaque,
        };
        BodyEnd { framing: self.framing, ending, content }
    }
}

/// How an error of the HTTP client shows that a body ended.
fn ending_of(error: &hyper::Error) -> Ending {
    if error.is_incomplete_message() {
        return Ending::ClosedEarly;
    }
    let mut source = error.source();
    let mut kind = None;
    while let Some(cause) = source {
        kind = cause.downcast_ref::<io::Error>().map(io::Error::kind).or(kind);
        source = cause.source();
    }
    match kind {
        Some(io::ErrorKind::UnexpectedEof) => Ending::ClosedEarly,
        Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => Ending::Invalid,
        _ if error.is_parse() => Ending::Invalid,
        _ => Ending::Reset,
    }
}
