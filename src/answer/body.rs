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
        let (head, incoming) = response.into_parts();
        let scanner = has_events(&head.headers, expects_events).then(EventScanner::default);
        (head, AnswerBody { incoming, framing, scanner, has_final_event: false })
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
