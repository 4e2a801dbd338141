//! Bounding the bytes of incomplete answers that a router holds.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio_util::sync::CancellationToken;

/// The bytes held of all incomplete answers. Where they are too many, the largest answer has to be
/// given up, so that answers without end do not displace others.
#[derive(Debug)]
pub struct AnswerMemory {
    max_bytes: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    held: usize,
    next: u64,
    holders: BTreeMap<u64, Holder>,
}

#[derive(Debug)]
struct Holder {
    bytes: usize,
    given_up: CancellationToken,
}

impl AnswerMemory {
    /// Memory for this number of bytes.
    pub fn new(max_bytes: usize) -> Arc<AnswerMemory> {
        Arc::new(AnswerMemory { max_bytes, state: Mutex::default() })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of bytes held.
    pub fn held(&self) -> usize {
        self.lock().held
    }

    /// An answer that holds nothing yet.
    pub fn hold(self: &Arc<Self>) -> HeldBytes {
        let mut state = self.lock();
        let id = state.next;
        state.next += 1;
        let given_up = CancellationToken::new();
        state.holders.insert(id, Holder { bytes: 0, given_up: given_up.clone() });
        drop(state);
        HeldBytes { memory: self.clone(), id, given_up }
    }
}

impl State {
    fn resize(&mut self, id: u64, bytes: usize) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        self.held = self.held - holder.bytes + bytes;
        holder.bytes = bytes;
    }

    fn give_up_largest(&mut self) -> bool {
        let largest = self.holders.iter().max_by_key(|(_, holder)| holder.bytes);
        let Some(id) = largest.map(|(id, _)| *id) else { return false };
        let Some(holder) = self.holders.remove(&id) else { return false };
        self.held -= holder.bytes;
        holder.given_up.cancel();
        holder.bytes > 0
    }
}

/// The bytes held of one answer, until it is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    memory: Arc<AnswerMemory>,
    id: u64,
    given_up: CancellationToken,
}

impl HeldBytes {
    /// Sets how many bytes are held, and has the largest answers given up while all together hold
    /// too many. Returns whether this one goes on.
    pub fn set(&self, bytes: usize) -> bool {
        let mut state = self.memory.lock();
        state.resize(self.id, bytes);
        while state.held > self.memory.max_bytes && state.give_up_largest() {}
        !self.given_up.is_cancelled()
    }

    /// Sets how many bytes are held if there is room for them, and returns whether there is.
    pub fn try_set(&self, bytes: usize) -> bool {
        let mut state = self.memory.lock();
        let own = state.holders.get(&self.id).map(|holder| holder.bytes);
        let fits = own
            .is_some_and(|own| bytes <= own || state.held - own + bytes <= self.memory.max_bytes);
        if fits {
            state.resize(self.id, bytes);
        }
        fits
    }

    /// Ready once the answer has to be given up.
    pub async fn given_up(&self) {
        self.given_up.cancelled().await;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.resize(self.id, 0);
        state.holders.remove(&self.id);
    }
}
