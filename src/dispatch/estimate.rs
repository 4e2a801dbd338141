//! Estimates of how long a customer's queue takes, from recently completed requests.

use super::Millis;
use super::account::Accounts;
use crate::config::{Config, CustomerId};

/// A customer that was backlogged for this long is expected to stay backlogged, in
/// milliseconds.
const PERSISTENT_MS: Millis = 5_000;
/// Weight that earlier samples keep with each completed request.
const DECAY: f64 = 0.99;
/// Completed requests before the rate is used.
const MIN_SAMPLES: u32 = 5;

/// Rate of service of one slot, in units per millisecond.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlotRate {
    units: f64,
    slot_ms: f64,
    samples: u32,
}

impl SlotRate {
    pub fn record(&mut self, units: u32, slot_ms: Millis) {
        self.units = self.units * DECAY + f64::from(units);
        self.slot_ms = self.slot_ms * DECAY + slot_ms.max(1) as f64;
        self.samples = self.samples.saturating_add(1);
    }

    /// Mean duration of a request in milliseconds; none before [`MIN_SAMPLES`] requests.
    pub fn mean_ms(&self) -> Option<f64> {
        let weight = (1.0 - DECAY.powi(self.samples.min(10_000) as i32)) / (1.0 - DECAY);
        (self.samples >= MIN_SAMPLES).then(|| self.slot_ms / weight)
    }

    /// Units per millisecond of `slots` slots; none before [`MIN_SAMPLES`] requests.
    pub fn units_per_ms(&self, slots: u32) -> Option<f64> {
        let trusted = self.samples >= MIN_SAMPLES && slots > 0 && self.units > 0.0;
        trusted.then(|| self.units / self.slot_ms * f64::from(slots))
    }
}

/// Units that a customer's queued requests are expected to use.
pub(super) fn queued_units(accounts: &Accounts, id: CustomerId, mean: Option<f64>) -> f64 {
    let Some(account) = accounts.get(id) else {
        return 0.0;
    };
    let output = account.mean_output.or(mean).unwrap_or(0.0);
    account.waiting_input as f64 + output * f64::from(account.waiting)
}

/// Expected demand of all backlogged customers at one moment, so that one customer's wait
/// in fair order is computed without iterating over the others.
#[derive(Clone, Debug, Default)]
pub(super) struct FairOrder {
    /// Sum of the shares of customers that are expected to stay backlogged: see
    /// [`PERSISTENT_MS`].
    persistent_share: f64,
    /// The other customers, ordered by units over share.
    transient: Vec<CumulativeDemand>,
    /// Sum of the shares of these others.
    transient_share: f64,
}

#[derive(Clone, Copy, Debug)]
struct CumulativeDemand {
    /// Units over share of one customer.
    ratio: f64,
    /// Units of all customers up to this ratio.
    units: f64,
    /// Shares of all customers up to this ratio.
    share: f64,
}

impl FairOrder {
    /// The order of all requests that are queued now.
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
            order.transient_share += share;
            order.transient.push(CumulativeDemand { ratio: units / share, units, share });
        }
        order.transient.sort_by(|a, b| a.ratio.total_cmp(&b.ratio));
        let (mut units, mut share) = (0.0, 0.0);
        for point in &mut order.transient {
            units += point.units;
            share += point.share;
            (point.units, point.share) = (units, share);
        }
        order
    }

    /// Units served in all until a customer with this share has received `units`. Others
    /// receive as much in proportion to their shares, but no more than they have queued
    /// unless they are expected to stay backlogged.
    pub fn units_until(&self, units: f64, share: f64) -> f64 {
        let ratio = units / share;
        let served = self.transient.partition_point(|p| p.ratio <= ratio);
        let below = served.checked_sub(1).map(|at| self.transient[at]);
        let (fully_served, share_below) = below.map_or((0.0, 0.0), |p| (p.units, p.share));
        let partly_served = ratio * (self.transient_share - share_below);
        (ratio * self.persistent_share + fully_served + partly_served).max(units)
    }
}

/// A customer's share; 1 if it is not configured.
pub(super) fn share_of(config: &Config, id: CustomerId) -> f64 {
    config.customers.get(&id).map_or(1.0, |c| f64::from(c.share.max(1)))
}
