//! Faults that can be injected into an emulated endpoint.

use std::sync::{Arc, Mutex, PoisonError};

use axum::body::Body;
use axum::http::{HeaderValue, Version, header};
use axum::response::Response;
use serde::{Deserialize, Serialize};

use crate::delivery::header::LEAVING;

/// A fault that affects the next `times` requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Number of requests that it affects.
    #[serde(default = "once")]
    pub times: u32,
    /// Milliseconds for `late` and `rest`, tokens for `cut`, `upgrade` and `close`; unused by other
    /// kinds.
    #[serde(default)]
    pub amount: u64,
}

fn once() -> u32 {
    1
}

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The answer is delayed.
    Late,
    /// The connection breaks in the middle of the answer.
    Cut,
    /// The answer has neither a length nor chunks and ends with its connection.
    Unframed,
    /// Like `Unframed`, and the connection is closed early: in the middle of an event or of the
    /// body.
    Close,
    /// Like `Cut`, and from then on the endpoint runs another version of its software, as if it
    /// had been replaced in place. It still knows its streams.
    Upgrade,
    /// The answer has another request's id and content.
    Cross,
    /// The request is refused with the header that says that it did not run.
    Refuse,
    /// Like `Refuse`, and the endpoint requests a rest.
    Rest,
    /// The answer announces that the endpoint is leaving.
    Leave,
}

/// Queue of the faults injected into an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Mutex<Vec<Fault>>>);

impl Faults {
    /// Adds a fault to the end of the queue.
    pub fn add(&self, fault: Fault) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(fault);
    }

    /// Takes the fault that affects the next request, if any.
    pub fn next(&self) -> Option<Fault> {
        let mut faults = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let first = faults.first_mut()?;
        first.times = first.times.saturating_sub(1);
        let fault = first.clone();
        if first.times == 0 {
            faults.remove(0);
        }
        Some(fault)
    }
}

/// Leaves out all framing of the body, as endpoints of HTTP/1.0 do.
pub(super) fn without_framing(mut answer: Response) -> Response {
    *answer.version_mut() = Version::HTTP_10;
    answer.headers_mut().remove(header::CONTENT_LENGTH);
    answer.map(|body| Body::from_stream(body.into_data_stream()))
}

/// Adds the header that announces the endpoint's leaving.
pub(super) fn with_leaving_header(mut answer: Response) -> Response {
    answer.headers_mut().insert(LEAVING, HeaderValue::from_static("1"));
    answer
}

/// Adds the header that requests a rest of the fault's duration, in whole seconds.
pub(super) fn with_rest_request(mut refusal: Response, rest: &Fault) -> Response {
    let seconds = rest.amount.div_ceil(1_000);
    refusal.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    refusal
}
