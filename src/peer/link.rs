//! Rehearsed cuts: an operator may stop what this host sends to or hears from
//! others, where its settings allow rehearsals.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::wire::HostId;

/// How often a paused connection looks whether its link is back.
const POLL: Duration = Duration::from_millis(20);

/// Which links are cut.
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
    /// Replaces all cuts: hosts not sent to, hosts not heard, data halls whose
    /// endpoints are out of reach.
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

    /// Whether nothing is sent to `host`.
    pub fn is_cut_to(&self, host: HostId) -> bool {
        self.read(|c| c.to.contains(&host))
    }

    /// Whether nothing is heard from `host`.
    pub fn is_cut_from(&self, host: HostId) -> bool {
        self.read(|c| c.from.contains(&host))
    }

    /// Whether the endpoints of `hall` are out of reach.
    pub fn is_hall_cut(&self, hall: &str) -> bool {
        self.read(|c| c.halls.contains(hall))
    }

    /// Waits while nothing is sent to `host`, as a stalled connection would.
    pub async fn wait_until_clear_to(&self, host: HostId) {
        while self.is_cut_to(host) {
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits while nothing is heard from `host`.
    pub async fn wait_until_clear_from(&self, host: HostId) {
        while self.is_cut_from(host) {
            tokio::time::sleep(POLL).await;
        }
    }
}
