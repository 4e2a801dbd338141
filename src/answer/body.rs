//! Reading the body of an answer up to its end.

use std::error::Error;
use std::io;

use axum::http::Response;
use axum::http::response;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::events::EventScanner;
use super::framing::{Framing, has_events};

/// How the connection ended a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Where its framing says, or by an orderly close if it has none.
    Clean,
    /// By an orderly close before the end that its framing announced.
    ClosedEarly,
    /// By a reset, or another failure of the connection.
    Reset,
    /// By bytes that are no valid framing.
    Invalid,
    /// It had more bytes than are accepted.
    TooLong,
}

/// Where the content of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentEnd {
    /// The content shows no end.
    Opaque,
    /// Between two events.
    BetweenEvents,
    /// Inside an event.
    InsideEvent,
}

/// How a body ended, in all that can be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyEnd {
    /// How its end was to be marked.
    pub framing: Framing,
    /// How the connection ended it.
    pub ending: Ending,
    /// Where its content ended.
    pub content: ContentEnd,
}

impl BodyEnd {
    /// The name of the ending in logs and metrics.
    pub fn name(self) -> &'static str {
        match (self.ending, self.content) {
            (Ending::Clean, ContentEnd::InsideEvent) => "inside_event",
            (Ending::Clean, _) => "clean",
            (Ending::ClosedEarly, _) => "closed_early",
            (Ending::Reset, _) => "reset",
            (Ending::Invalid, _) => "invalid",
            (Ending::TooLong, _) => "too_long",
        }
    }
}

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
}

impl AnswerBody {
    /// Separates the head of an answer from its body. A body without a stated type consists of
    /// events if `expects_events`.
    pub fn split(
        response: Response<Incoming>,
        expects_events: bool,
    ) -> (response::Parts, AnswerBody) {
        let framing = Framing::of(&response);
        let (head, incoming) = response.into_parts();
        let scanner = has_events(&head.headers, expects_events).then(EventScanner::default);
        (head, AnswerBody { incoming, framing, scanner })
    }

    /// How the end of the body is marked.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Whether the body consists of events.
    pub fn has_events(&self) -> bool {
        self.scanner.is_some()
    }

    /// The next part of the body. Nothing is lost if the future is dropped.
    pub async fn next(&mut self) -> Part {
        loop {
            match self.incoming.frame().await {
                Some(Ok(frame)) => {
                    // Trailers are specific to the connection.
                    let Ok(bytes) = frame.into_data() else { continue };
                    if let Some(scanner) = &mut self.scanner {
                        scanner.scan(&bytes);
                    }
                    return Part::Data(bytes);
                }
                Some(Err(error)) => return Part::End(self.end(ending_of(&error))),
                None => return Part::End(self.end(Ending::Clean)),
            }
        }
    }

    /// Reads the body to its end, or until it has more than `max_bytes`.
    pub async fn read(mut self, max_bytes: usize) -> (Bytes, BodyEnd) {
        let mut content = BytesMut::new();
        loop {
            match self.next().await {
                Part::Data(bytes) if content.len() + bytes.len() > max_bytes => {
                    return (content.freeze(), self.end(Ending::TooLong));
                }
                Part::Data(bytes) => content.extend_from_slice(&bytes),
                Part::End(end) => return (content.freeze(), end),
            }
        }
    }

    fn end(&self, ending: Ending) -> BodyEnd {
        let content = match &self.scanner {
            None => ContentEnd::Opaque,
            Some(scanner) if scanner.is_between_events() => ContentEnd::BetweenEvents,
            Some(_) => ContentEnd::InsideEvent,
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
