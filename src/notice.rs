//! Notices that an endpoint gives about itself in the head of an answer: that it is leaving, or
//! that it requests a rest, during which the sender must send it no requests.
//!
//! The router and the gateway share this definition. The names of headers differ between
//! platforms; the meaning does not.

use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};

use crate::dispatch::Millis;

mod rest;
#[cfg(test)]
mod tests;
mod unattributed;

pub use rest::Rest;
pub use unattributed::{StartAddress, UnattributedNotices};

/// Longest rest that is granted, in milliseconds: one hour. A longer request is taken for a mistake
/// that would leave the endpoint without work until an operator notices.
pub const MAX_REST_MS: Millis = 3_600_000;
/// Value of the header by which an endpoint reports that it is leaving.
pub(crate) const LEAVING_VALUE: &[u8] = b"1";

/// The notice in the head of one answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// The endpoint finishes its requests and accepts no new ones.
    pub is_leaving: bool,
    /// The rest that it requests from the sender.
    pub rest: RequestedRest,
}

/// The rest that an endpoint requests when it turns a request away.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RequestedRest {
    /// No rest is requested.
    #[default]
    None,
    /// A rest of this many milliseconds, [`MAX_REST_MS`] at most.
    For(Millis),
    /// The value of the header is not a duration.
    Unreadable(HeaderValue),
}

impl Notice {
    /// Reads the head of an endpoint's own answer; `leaving` is the name of the header by which
    /// it reports that it is leaving.
    pub fn read(status: StatusCode, headers: &HeaderMap, leaving: &HeaderName) -> Notice {
        let is_leaving = |value: &HeaderValue| value.as_bytes().trim_ascii() == LEAVING_VALUE;
        Notice {
            is_leaving: headers.get_all(leaving).iter().any(is_leaving),
            rest: RequestedRest::read(status, headers),
        }
    }
}

impl Notice {
    /// Whether the endpoint accepts no new requests, at least for a while.
    pub fn refuses_work(&self) -> bool {
        self.is_leaving || self.rest.duration_ms().is_some()
    }
}

impl RequestedRest {
    /// Reads `Retry-After`, which requests a rest only on an answer that turns the request away.
    fn read(status: StatusCode, headers: &HeaderMap) -> RequestedRest {
        let turns_away =
            matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        match headers.get(header::RETRY_AFTER).filter(|_| turns_away) {
            None => RequestedRest::None,
            Some(value) => match value.to_str().ok().and_then(parse_milliseconds) {
                Some(time) => RequestedRest::For(time),
                None => RequestedRest::Unreadable(value.clone()),
            },
        }
    }

    /// The requested duration in milliseconds, if it is longer than zero.
    pub fn duration_ms(&self) -> Option<Millis> {
        match self {
            RequestedRest::For(time) if *time > 0 => Some(*time),
            _ => None,
        }
    }
}

/// Parses seconds, with fractions, to milliseconds; none for a text that is not a duration.
fn parse_milliseconds(text: &str) -> Option<Millis> {
    let seconds: f64 = text.trim().parse().ok()?;
    let is_duration = seconds >= 0.0;
    is_duration.then(|| (seconds * 1_000.0).ceil().min(MAX_REST_MS as f64) as Millis)
}
