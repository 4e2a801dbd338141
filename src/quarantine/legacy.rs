//! Quarantines and verdicts as releases encoded them in which only requests could be blamed.
//!
//! These types are decoded by position: the order, number and types of their fields and variants
//! are those of the stored data.

use std::collections::{BTreeMap, VecDeque};

use serde::Deserialize;

use super::model::{Entry, Quarantines, Verdict};
use super::{Fingerprint, Suspect};

/// All requests that were refused or on trial.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct RequestQuarantines {
    revision: u64,
    requests: BTreeMap<Fingerprint, Entry>,
    released: VecDeque<(u64, Fingerprint)>,
    releases_dropped_to: u64,
}

impl From<RequestQuarantines> for Quarantines {
    fn from(before: RequestQuarantines) -> Quarantines {
        let RequestQuarantines { revision, requests, released, releases_dropped_to } = before;
        let suspects = requests.into_iter().map(|(f, entry)| (Suspect::Request(f), entry));
        let released = released.into_iter().map(|(at, f)| (at, Suspect::Request(f)));
        Quarantines {
            revision,
            suspects: suspects.collect(),
            released: released.collect(),
            releases_dropped_to,
        }
    }
}

/// A decision of the leader on one request.
#[derive(Clone, Debug, Deserialize)]
pub enum RequestVerdict {
    /// Refuses a request.
    Refuse {
        /// The request.
        fingerprint: Fingerprint,
        /// Number of endpoints that it crashed.
        crashes: u32,
        /// When, in milliseconds since the epoch.
        at_ms: u64,
    },
    /// Lets a request run again on trial.
    Trial {
        /// The request.
        fingerprint: Fingerprint,
        /// When, in milliseconds since the epoch.
        at_ms: u64,
    },
    /// Ends the quarantine of a request.
    Release(Fingerprint),
}

impl From<RequestVerdict> for Verdict {
    fn from(before: RequestVerdict) -> Verdict {
        match before {
            RequestVerdict::Refuse { fingerprint, crashes, at_ms } => {
                Verdict::Refuse { suspect: fingerprint.into(), crashes, at_ms }
            }
            RequestVerdict::Trial { fingerprint, at_ms } => {
                Verdict::Trial { suspect: fingerprint.into(), at_ms }
            }
            RequestVerdict::Release(fingerprint) => Verdict::Release(fingerprint.into()),
        }
    }
}
