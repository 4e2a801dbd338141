//! Service that customers requested and received, over a sliding window.

use std::collections::{HashMap, VecDeque};

use crate::dispatch::Millis;

/// Length of the window in milliseconds.
pub const WINDOW_MS: Millis = 4_000;

/// Ratio of received service to share above which a customer is above its share.
const SHARE_TOLERANCE: f64 = 1.002;

/// Service that a customer received in the window, relative to its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareUsage {
    /// Service received divided by its share, which is an equal division of all service among the
    /// customers that request more. Above 1, it has received its full share.
    pub ratio: f64,
    /// Service received divided by the lesser of what it requested and its share: 1 if it received
    /// all that it is entitled to.
    pub fulfilment: f64,
    /// Service received divided by an equal division of all service, including what engines do
    /// beyond their nominal capacity.
    pub relative: f64,
}

impl Default for ShareUsage {
    /// Of a customer that has requested nothing.
    fn default() -> ShareUsage {
        ShareUsage { ratio: 0.0, fulfilment: 1.0, relative: 0.0 }
    }
}

impl ShareUsage {
    /// Whether it has received more than its share.
    pub fn is_above(&self) -> bool {
        self.ratio > SHARE_TOLERANCE
    }
}

#[derive(Clone, Debug, Default)]
struct Account {
    requested: u64,
    served: u64,
}

#[derive(Clone, Debug)]
struct Event {
    at: Millis,
    customer: String,
    units: u64,
    served: bool,
}

/// Units requested and received by customer. A unit is one input token or half an output token.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    accounts: HashMap<String, Account>,
    events: VecDeque<Event>,
    /// Units to be divided within a window; `None` if that is not known.
    nominal: Option<f64>,
}

impl Shares {
    /// Sets the nominal capacity of the engines in units per second. Customers are entitled to
    /// equal parts of it, even if engines happen to do more.
    pub fn set_nominal(&mut self, units_per_second: u64) {
        let in_window = units_per_second as f64 * WINDOW_MS as f64 / 1_000.0;
        self.nominal = (units_per_second > 0).then_some(in_window);
    }

    /// Records that a customer requests `units`.
    pub fn record_demand(&mut self, now: Millis, customer: &str, units: u64) {
        self.record(now, customer, units, false);
    }

    /// Records that a customer's request was placed.
    pub fn record_service(&mut self, now: Millis, customer: &str, units: u64) {
        self.record(now, customer, units, true);
    }

    fn record(&mut self, now: Millis, customer: &str, units: u64, served: bool) {
        self.expire(now);
        let account = match self.accounts.get_mut(customer) {
            Some(account) => account,
            None => self.accounts.entry(customer.to_string()).or_default(),
        };
        match served {
            true => account.served += units,
            false => account.requested += units,
        }
        self.events.push_back(Event { at: now, customer: customer.to_string(), units, served });
    }

    fn expire(&mut self, now: Millis) {
        while self.events.front().is_some_and(|e| e.at + WINDOW_MS <= now) {
            let Some(event) = self.events.pop_front() else { return };
            let Some(account) = self.accounts.get_mut(&event.customer) else { continue };
            match event.served {
                true => account.served -= event.units,
                false => account.requested -= event.units,
            }
            if account.requested == 0 && account.served == 0 {
                self.accounts.remove(&event.customer);
            }
        }
    }

    /// Service that a customer received in the window, relative to its share.
    pub fn usage(&self, customer: &str) -> ShareUsage {
        let Some(account) = self.accounts.get(customer) else { return ShareUsage::default() };
        let levels = self.levels();
        let served = account.served as f64;
        let over = |level: f64| if level > 0.0 { served / level } else { 0.0 };
        let owed = (account.requested as f64).min(levels.owed);
        ShareUsage {
            ratio: over(levels.owed),
            fulfilment: if owed > 0.0 { served / owed } else { 1.0 },
            relative: over(levels.served),
        }
    }

    fn levels(&self) -> Levels {
        let mut demands: Vec<_> =
            self.accounts.values().map(|a| a.requested.max(a.served) as f64).collect();
        demands.sort_unstable_by(f64::total_cmp);
        let served = level_of(self.accounts.values().map(|a| a.served as f64).sum(), &demands);
        let owed = match self.nominal {
            Some(nominal) => served.min(level_of(nominal, &demands)),
            None => served,
        };
        Levels { served, owed }
    }
}

/// The largest amount that any customer gets of an equal division, max-min fair by what was
/// requested.
#[derive(Clone, Copy, Debug)]
struct Levels {
    /// Of all service.
    served: f64,
    /// Of the nominal capacity, or of all service if that is less.
    owed: f64,
}

/// The level at which `total` is divided among demands in ascending order.
fn level_of(total: f64, demands: &[f64]) -> f64 {
    let mut left = total;
    let mut customers = demands.len();
    for demand in demands {
        let level = left / customers as f64;
        if *demand >= level {
            return level;
        }
        left -= demand;
        customers -= 1;
    }
    f64::INFINITY
}
