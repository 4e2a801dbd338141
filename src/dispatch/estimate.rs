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

/// What all backlogged customers want, as of one moment, so that one customer's
/// wait in fair order is found without looking at the others.
#[derive(Clone, Debug, Default)]
pub(super) struct FairOrder {
    /// Shares of customers backlogged for long; they are taken to stay so.
    persistent_share: f64,
    /// The others by units over share: that ratio, and units and shares of all
    /// up to it.
    others: Vec<Point>,
    others_share: f64,
}

#[derive(Clone, Copy, Debug)]
struct Point {
    ratio: f64,
    units: f64,
    share: f64,
}

impl FairOrder {
    /// The order of all that is waiting now.
    pub fn of(accounts: &Accounts, config: &Config, now: Millis, mean: Option<f64>) -> FairOrder {
        let mut order = FairOrder::default();
        for (id, account) in accounts.backlogged() {
            let share = share_of(config, id);
            let since = account.backlogged_since.unwrap_or(now);
            if now.saturating_sub(since) >= PERSISTENT_MS {
                order.persistent_share += share;
                continue;
            }
            let units = queued_units(accounts, id, mean);
            order.others_share += share;
            order.others.push(Point { ratio: units / share, units, share });
        }
        order.others.sort_by(|a, b| a.ratio.total_cmp(&b.ratio));
        let (mut units, mut share) = (0.0, 0.0);
        for point in &mut order.others {
            units += point.units;
            share += point.share;
            (point.units, point.share) = (units, share);
        }
        order
    }

    /// Units served until `units` of a customer with this share are: others get
    /// as much over their share, but no more than they have waiting unless they
    /// are backlogged for long.
    pub fn units_until(&self, units: f64, share: f64) -> f64 {
        let ratio = units / share;
        let served = self.others.partition_point(|p| p.ratio <= ratio);
        let below = served.checked_sub(1).map(|at| self.others[at]);
        let (whole, share_below) = below.map_or((0.0, 0.0), |p| (p.units, p.share));
        let partly = ratio * (self.others_share - share_below);
        (ratio * self.persistent_share + whole + partly).max(units)
    }
}

/// A customer's share.
pub(super) fn share_of(config: &Config, id: CustomerId) -> f64 {
    config.customers.get(&id).map_or(1.0, |c| f64::from(c.share.max(1)))
}
