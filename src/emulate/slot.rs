//! Slots of an emulated endpoint, assigned by priority.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// Load of an emulated endpoint, served as JSON.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Requests running.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Requests that have got a slot since the start.
    pub started: u64,
    /// Microseconds for which slots were in use since the start, summed over slots.
    pub busy_us: u64,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    started: u64,
    busy_us: u64,
    last_update: Option<Instant>,
    arrivals: u64,
    waiting: BTreeMap<(i32, u64), oneshot::Sender<Slot>>,
}

impl State {
    /// Adds the time since the last update to `busy_us`.
    fn update_busy_time(&mut self) {
        let now = Instant::now();
        if let Some(last_update) = self.last_update {
            let elapsed = now.duration_since(last_update).as_micros() as u64;
            self.busy_us += elapsed * u64::from(self.running);
        }
        self.last_update = Some(now);
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

    /// Waits for a slot. Lower priority values go first, then earlier arrivals.
    pub async fn acquire(&self, priority: i32) -> Option<Slot> {
        let receiver = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            if state.running < self.count {
                state.update_busy_time();
                state.running += 1;
                state.started += 1;
                return Some(Slot { slots: Some(self.clone()) });
            }
            let (sender, receiver) = oneshot::channel();
            state.arrivals += 1;
            let position = (priority, state.arrivals);
            state.waiting.insert(position, sender);
            receiver
        };
        receiver.await.ok()
    }

    pub fn load(&self) -> Load {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.update_busy_time();
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
        state.update_busy_time();
        state.running -= 1;
        while let Some((_, waiter)) = state.waiting.pop_first() {
            let next = Slot { slots: Some(slots.clone()) };
            match waiter.send(next) {
                Ok(()) => {
                    state.running += 1;
                    state.started += 1;
                    return;
                }
                // The waiter is gone. Dropping the unused slot must not release it a second time.
                Err(mut unused) => unused.slots = None,
            }
        }
    }
}
