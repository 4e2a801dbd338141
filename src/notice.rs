//! What an endpoint says of itself in the head of an answer: that it leaves, and for how
//! long it wants no requests from who asked.
//!
//! One definition for both ways in. Names differ between platforms; what follows does not.

use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};

use crate::dispatch::Millis;

mod rest;
#[cfg(test)]
mod tests;
mod unattributed;

pub use rest::Rest;
pub use unattributed::{StartAddress, UnattributedNotices};

/// The longest rest that is believed, in milliseconds: an hour. Who says more is mistaken,
/// and would stay without work until somebody notices.
pub const MAX_REST_MS: Millis = 3_600_000;
/// What the header of an endpoint that leaves says.
pub(crate) const LEAVING_VALUE: &[u8] = b"1";

/// What an endpoint says of itself in the head of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// It finishes what it has and wants nothing new.
    pub leaves: bool,
    /// For how long it wants nothing from who asked.
    pub rest: RequestedRest,
}

/// For how long an endpoint that turned a request away wants no more of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RequestedRest {
    /// It names no time.
    #[default]
    None,
    /// So many milliseconds, [`MAX_REST_MS`] at most.
    For(Millis),
    /// It names what is no time.
    Unreadable(HeaderValue),
}

impl Notice {
    /// Reads the head of an endpoint's own answer; `leaving` names the header by which it
    /// says that it leaves.
    pub fn read(status: StatusCode, headers: &HeaderMap, leaving: &HeaderName) -> Notice {
        let says_so = |value: &HeaderValue| value.as_bytes().trim_ascii() == LEAVING_VALUE;
        Notice {
            leaves: headers.get_all(leaving).iter().any(says_so),
            rest: RequestedRest::read(status, headers),
        }
    }
}

impl Notice {
    /// Whether the endpoint wants no new work, at least for a while.
    pub fn refuses_work(&self) -> bool {
        self.leaves || self.rest.duration_ms().is_some()
    }
}

impl RequestedRest {
    /// Only who turns a request away asks for rest.
    fn read(status: StatusCode, headers: &HeaderMap) -> RequestedRest {
        let turns_away =
            matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        match headers.get(header::RETRY_AFTER).filter(|_| turns_away) {
            None => RequestedRest::None,
            Some(value) => match value.to_str().ok().and_then(milliseconds) {
                Some(time) => RequestedRest::For(time),
                None => RequestedRest::Unreadable(value.clone()),
            },
        }
    }

    /// The time that is to be kept to, if one was asked.
    pub fn duration_ms(&self) -> Option<Millis> {
        match self {
            RequestedRest::For(time) if *time > 0 => Some(*time),
            _ => None,
        }
    }
}

/// Reads seconds, fractions included; none for what is no time from now on.
fn milliseconds(text: &str) -> Option<Millis> {
    let seconds: f64 = text.trim().parse().ok()?;
    let is_time = seconds >= 0.0;
    is_time.then(|| (seconds * 1_000.0).ceil().min(MAX_REST_MS as f64) as Millis)
}
