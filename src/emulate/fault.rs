//! Faults that an emulated endpoint can be told to show.

use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// A fault, shown by the next `times` requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// How many requests show it.
    #[serde(default = "once")]
    pub times: u32,
    /// Its size: milliseconds for `late`, tokens for `cut`.
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
