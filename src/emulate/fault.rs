//! Faults that an emulated endpoint can be told to show.

use std::sync::{Arc, Mutex, PoisonError};

use axum::http::{HeaderValue, header};
use axum::response::Response;
use serde::{Deserialize, Serialize};

use crate::delivery::header::LEAVING;

/// A fault, shown by the next `times` requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// How many requests show it.
    #[serde(default = "once")]
    pub times: u32,
    /// Its size: milliseconds for `late` and `rest`, tokens for `cut`.
    #[serde(default)]
    pub amount: u64,
}

fn once() -> u32 {
    1
}

/// What can go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The answer comes late.
    Late,
    /// The connection breaks in the middle of the answer.
    Cut,
    /// The answer carries another request's number and content.
    Cross,
    /// The request is refused with proof that it did not run.
    Refuse,
    /// The same, and the endpoint asks for rest.
    Rest,
    /// The answer says that the endpoint leaves.
    Leave,
}

/// The faults an endpoint is told to show.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Mutex<Vec<Fault>>>);

impl Faults {
    /// Adds a fault behind those before it.
    pub fn add(&self, fault: Fault) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(fault);
    }

    /// The fault that this request shows, if any.
    pub fn next(&self) -> Option<Fault> {
        let mut faults = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let first = faults.first_mut()?;
        first.times = first.times.saturating_sub(1);
        let shown = first.clone();
        if first.times == 0 {
            faults.remove(0);
        }
        Some(shown)
    }
}

/// An answer that says that its endpoint leaves.
pub(super) fn saying_that_it_leaves(mut answer: Response) -> Response {
    answer.headers_mut().insert(LEAVING, HeaderValue::from_static("1"));
    answer
}

/// A refusal that asks for as much rest as the fault says.
pub(super) fn asking_for_rest(mut refusal: Response, rest: &Fault) -> Response {
    let seconds = rest.amount.div_ceil(1_000);
    refusal.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    refusal
}
