//! How long a customer's queue takes, from what was served lately.

use super::Millis;
use super::account::Accounts;
use crate::config::{Config, CustomerId};

/// A customer backlogged this long is taken to stay so.
const PERSISTENT_MS: Millis = 5_000;
/// Share of the past kept when a request ends.
const DECAY: f64 = 0.99;
/// Requests that must have ended before the rate is trusted.
const MIN_SAMPLES: u32 = 5;

/// Units served in one millisecond of one slot.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlotRate {
    units: f64,
    slot_ms: f64,
    samples: u32,
}

impl SlotRate {
    pub fn learn(&mut self, units: u32, slot_ms: Millis) {
        self.units = self.units * DECAY + f64::from(units);
        self.slot_ms = self.slot_ms * DECAY + slot_ms.max(1) as f64;
        self.samples = self.samples.saturating_add(1);
    }

    /// Milliseconds that a request takes; none before enough was seen.
    pub fn mean_ms(&self) -> Option<f64> {
        let weight = (1.0 - DECAY.powi(self.samples.min(10_000) as i32)) / (1.0 - DECAY);
        (self.samples >= MIN_SAMPLES).then(|| self.slot_ms / weight)
    }

    /// Units a millisecond over `slots` slots; none before enough was seen.
    pub fn of(&self, slots: u32) -> Option<f64> {
        let trusted = self.samples >= MIN_SAMPLES && slots > 0 && self.units > 0.0;
        trusted.then(|| self.units / self.slot_ms * f64::from(slots))
    }
}

/// Units that a customer's queue is expected to need.
pub(super) fn queued_units(accounts: &Accounts, id: CustomerId, mean: Option<f64>) -> f64 {
    let Some(account) = accounts.get(id) else {
        return 0.0;
    };
    let output = account.mean_output.or(mean).unwrap_or(0.0);
    account.waiting_input as f64 + output * f64::from(account.waiting)
}

/// Milliseconds until `units` of a customer are served in fair order, beside
/// what the others have waiting. Those backlogged for long count at their full
/// share, others only with what they have.
pub(super) fn wait_ms(
    accounts: &Accounts,
    config: &Config,
    now: Millis,
    id: CustomerId,
    units: f64,
    rate: f64,
    mean: Option<f64>,
) -> f64 {
    let share = |id: CustomerId| config.customers.get(&id).map_or(1, |c| c.share);
    let own = f64::from(share(id));
    let mut total = units;
    for (other, account) in accounts.backlogged() {
        if other == id {
            continue;
        }
        let fair = units * f64::from(share(other)) / own;
        let since = account.backlogged_since.unwrap_or(now);
        let persistent = now.saturating_sub(since) >= PERSISTENT_MS;
        total += match persistent {
            true => fair,
            false => fair.min(queued_units(accounts, other, mean)),
        };
    }
    total / rate
}
