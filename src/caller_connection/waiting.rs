//! Connections that wait for their callers, so that one of them can make way for a new one.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio_util::sync::CancellationToken;

/// The connections of a process on which no request is being served: they are idle, the head of the
/// next request is incomplete, or they are being closed.
#[derive(Debug, Default)]
pub(super) struct WaitingConnections(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    next: u64,
    /// By the order in which they began to wait.
    waiting: BTreeMap<u64, CancellationToken>,
}

impl WaitingConnections {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection that waits from now on; `displaced` is cancelled if it has to make way.
    pub fn add(&self, displaced: CancellationToken) -> u64 {
        let mut state = self.lock();
        let number = state.next;
        state.next += 1;
        state.waiting.insert(number, displaced);
        number
    }

    /// Removes a connection that waits no longer; returns whether it had not been closed.
    pub fn remove(&self, number: u64) -> bool {
        self.lock().waiting.remove(&number).is_some()
    }

    /// Closes the connection that has waited longest; returns whether there is one.
    pub fn close_longest(&self) -> bool {
        match self.lock().waiting.pop_first() {
            Some((_, displaced)) => {
                displaced.cancel();
                true
            }
            None => false,
        }
    }
}
