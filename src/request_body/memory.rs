//! The bytes of requests that a process holds.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio_util::sync::CancellationToken;

use super::ledger::{Ledger, RequestId, Room};
use crate::clock::Clock;

/// The bytes of all requests that a process has received and not answered.
#[derive(Debug)]
pub struct RequestMemory {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    /// Cancelled when a request is given up.
    given_up: HashMap<RequestId, CancellationToken>,
}

impl State {
    /// Tells the requests that were given up; returns whether room was found.
    fn apply(&mut self, room: Room) -> bool {
        for id in room.given_up {
            if let Some(given_up) = self.given_up.remove(&id) {
                given_up.cancel();
            }
        }
        room.is_found
    }
}

impl RequestMemory {
    /// Memory for this number of bytes.
    pub fn new(max_bytes: usize) -> Arc<RequestMemory> {
        let state = State { ledger: Ledger::new(max_bytes), given_up: HashMap::new() };
        Arc::new(RequestMemory { clock: Clock::start(), state: Mutex::new(state) })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of bytes held.
    pub fn held(&self) -> usize {
        self.lock().ledger.held()
    }

    /// Whether more than half of the bytes are held.
    pub fn is_scarce(&self) -> bool {
        self.lock().ledger.is_scarce()
    }

    /// A request of a customer, whose body is still to come; `None` if there is no room for it.
    pub fn hold(self: &Arc<Self>, customer: &str) -> Option<HeldRequest> {
        let mut state = self.lock();
        let (id, room) = state.ledger.begin(self.clock.now(), customer);
        if !state.apply(room) {
            return None;
        }
        let given_up = CancellationToken::new();
        state.given_up.insert(id, given_up.clone());
        drop(state);
        Some(HeldRequest { memory: self.clone(), id, given_up })
    }
}

/// What is held of one request, until it is dropped.
#[derive(Debug)]
pub struct HeldRequest {
    memory: Arc<RequestMemory>,
    id: RequestId,
    pub(super) given_up: CancellationToken,
}

impl HeldRequest {
    /// Finds room for a body of this length that is still to come; returns whether there is.
    pub(super) fn make_room(&self, bytes: usize) -> bool {
        let mut state = self.memory.lock();
        let room = state.ledger.make_room(self.memory.clock.now(), self.id, bytes);
        state.apply(room)
    }

    /// Holds this number of bytes of the body if there is room, and returns whether there is.
    pub(super) fn grow(&self, bytes: usize) -> bool {
        let mut state = self.memory.lock();
        let room = state.ledger.grow(self.memory.clock.now(), self.id, bytes);
        state.apply(room)
    }

    /// Records that the body goes on.
    pub(super) fn record_progress(&self) {
        self.memory.lock().ledger.record_progress(self.memory.clock.now(), self.id);
    }

    /// Records that the body is whole and holds this number of bytes.
    pub(super) fn complete(&self, bytes: usize) {
        self.memory.lock().ledger.complete(self.id, bytes);
    }

    /// Ready once the request has to be given up.
    pub(super) async fn given_up(&self) {
        self.given_up.cancelled().await;
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.ledger.remove(self.id);
        state.given_up.remove(&self.id);
    }
}
