//! The slots of an emulated endpoint, handed out by priority.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// What an emulated endpoint reports of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests it can run at once.
    pub slots: u32,
    /// Requests running.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Requests that have taken a slot since the start.
    pub started: u64,
    /// Microseconds of slots used since the start.
    pub busy_us: u64,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    started: u64,
    busy_us: u64,
    changed: Option<Instant>,
    arrivals: u64,
    waiting: BTreeMap<(i32, u64), oneshot::Sender<Slot>>,
}

impl State {
    fn account(&mut self) {
        let now = Instant::now();
        if let Some(changed) = self.changed {
            let spent = now.duration_since(changed).as_micros() as u64;
            self.busy_us += spent * u64::from(self.running);
        }
        self.changed = Some(now);
    }
}

/// A fixed number of slots.
#[derive(Clone, Debug)]
pub(super) struct Slots {
    count: u32,
    state: Arc<Mutex<State>>,
}

/// One slot in use; freed when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    slots: Option<Slots>,
}

impl Slots {
    pub fn new(count: u32) -> Slots {
        let state = Arc::default();
        Slots { count, state }
    }

    /// Waits for a slot; lower priorities go first, then earlier arrivals.
    pub async fn take(&self, priority: i32) -> Option<Slot> {
        let receiver = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            if state.running < self.count {
                state.account();
                state.running += 1;
                state.started += 1;
                return Some(Slot { slots: Some(self.clone()) });
            }
            let (sender, receiver) = oneshot::channel();
            state.arrivals += 1;
            let place = (priority, state.arrivals);
            state.waiting.insert(place, sender);
            receiver
        };
        receiver.await.ok()
    }

    pub fn load(&self) -> Load {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.account();
        state.waiting.retain(|_, waiter| !waiter.is_closed());
        Load {
            slots: self.count,
            running: state.running,
            waiting: state.waiting.len() as u32,
            started: state.started,
            busy_us: state.busy_us,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(slots) = self.slots.take() else {
            return;
        };
        let mut state = slots.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.account();
        state.running -= 1;
        while let Some((_, waiter)) = state.waiting.pop_first() {
            let next = Slot { slots: Some(slots.clone()) };
            match waiter.send(next) {
                Ok(()) => {
                    state.running += 1;
                    state.started += 1;
                    return;
                }
                // The waiter has left: this slot must not free itself again.
                Err(mut unused) => unused.slots = None,
            }
        }
    }
}
