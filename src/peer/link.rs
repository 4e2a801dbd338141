//! Rehearsed cuts: an operator may block what this host sends to or receives from others,
//! where its settings allow rehearsals.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::wire::HostId;

/// The interval at which a paused connection checks whether the cut is over.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The links that are cut.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Cuts {
    to: BTreeSet<HostId>,
    from: BTreeSet<HostId>,
    halls: BTreeSet<String>,
}

/// The cuts in force on this host.
#[derive(Clone, Debug, Default)]
pub struct Links(Arc<Mutex<Cuts>>);

impl Links {
    /// Replaces all cuts: hosts to which nothing is sent, hosts from which nothing is
    /// received, and data halls whose endpoints are out of reach.
    pub fn set(&self, to: Vec<HostId>, from: Vec<HostId>, halls: Vec<String>) {
        let cuts = Cuts {
            to: to.into_iter().collect(),
            from: from.into_iter().collect(),
            halls: halls.into_iter().collect(),
        };
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = cuts;
    }

    fn read<T>(&self, f: impl FnOnce(&Cuts) -> T) -> T {
        f(&self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether sending to `host` is cut.
    pub fn is_cut_to(&self, host: HostId) -> bool {
        self.read(|cuts| cuts.to.contains(&host))
    }

    /// Whether receiving from `host` is cut.
    pub fn is_cut_from(&self, host: HostId) -> bool {
        self.read(|cuts| cuts.from.contains(&host))
    }

    /// Whether the endpoints of `hall` are out of reach.
    pub fn is_hall_cut(&self, hall: &str) -> bool {
        self.read(|cuts| cuts.halls.contains(hall))
    }

    /// Waits while sending to `host` is cut, as on a stalled connection.
    pub async fn wait_until_clear_to(&self, host: HostId) {
        while self.is_cut_to(host) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits while receiving from `host` is cut.
    pub async fn wait_until_clear_from(&self, host: HostId) {
        while self.is_cut_from(host) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
