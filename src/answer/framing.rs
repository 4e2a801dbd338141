//! How the end of an answer's body is marked.

use axum::http::{HeaderMap, HeaderName, Response, Version, header};
use hyper::body::Body;

/// How an answer states where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Framing {
    /// By its length, which is zero if it has no body.
    Length,
    /// By its last chunk.
    Chunks,
    /// It does not: the body ends when the endpoint closes the connection.
    Connection,
}

impl Framing {
    /// The framing of an answer as it was received, with all its headers.
    pub fn of(response: &Response<impl Body>) -> Framing {
        // The HTTP client knows the length of a body that has one, and of one that must be empty.
        if response.body().size_hint().exact().is_some() {
            return Framing::Length;
        }
        match tokens(response.headers(), header::TRANSFER_ENCODING).last() {
            Some(coding) if coding.eq_ignore_ascii_case("chunked") => Framing::Chunks,
            _ => Framing::Connection,
        }
    }

    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Connection => "connection",
        }
    }
}

/// Whether the endpoint keeps its connection open after an answer, as it was received.
pub fn keeps_connection(response: &Response<impl Body>) -> bool {
    let states = |wanted: &str| {
        let mut options = tokens(response.headers(), header::CONNECTION);
        options.any(|option| option.eq_ignore_ascii_case(wanted))
    };
    let is_kept = match response.version() {
        Version::HTTP_09 | Version::HTTP_10 => states("keep-alive"),
        _ => !states("close"),
    };
    is_kept && Framing::of(response) != Framing::Connection
}

/// The tokens of a header that is a list, in all its lines.
fn tokens(headers: &HeaderMap, name: HeaderName) -> impl Iterator<Item = &str> {
    let lines = headers.get_all(name).into_iter().filter_map(|value| value.to_str().ok());
    lines.flat_map(|line| line.split(',')).map(str::trim)
}

/// Whether a body consists of server-sent events that can be read as they are. `default` holds
/// for an answer that does not state its type.
pub(super) fn has_events(headers: &HeaderMap, default: bool) -> bool {
    let is_encoded = |coding: &str| !coding.eq_ignore_ascii_case("identity");
    if tokens(headers, header::CONTENT_ENCODING).any(is_encoded) {
        return false;
    }
    let Some(value) = headers.get(header::CONTENT_TYPE) else { return default };
    let media_type = value.to_str().unwrap_or_default().split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case("text/event-stream")
}
