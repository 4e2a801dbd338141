//! What customers asked for and got, over a sliding window.

use std::collections::{HashMap, VecDeque};

use crate::dispatch::Millis;

/// Length of the window in milliseconds.
pub const WINDOW_MS: Millis = 4_000;

/// Ratio of service received to share from which on a customer is above it.
const SHARE_TOLERANCE: f64 = 1.002;

/// What a customer got so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareUsage {
    /// Service received over its share: over what an equal division of all that was
    /// served gives to those who ask for more. Above 1, it has had its share.
    pub ratio: f64,
    /// Service received over the lesser of what it asked and what an equal division
    /// gives: 1 where it got what it is owed.
    pub fulfilment: f64,
    /// Service received over what an equal division of all service gives, also of
    /// what engines do beyond what they are meant to.
    pub relative: f64,
}

impl Default for ShareUsage {
    /// Of a customer that has asked for nothing.
    fn default() -> ShareUsage {
        ShareUsage { ratio: 0.0, fulfilment: 1.0, relative: 0.0 }
    }
}

impl ShareUsage {
    /// Whether it has had what it is owed.
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

/// Units asked and served by customer. A unit is one token read or half a token
/// made.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    accounts: HashMap<String, Account>,
    events: VecDeque<Event>,
    /// Units that are to be divided in a window; none where that is not known.
    nominal: Option<f64>,
}

impl Shares {
    /// What the engines are meant to do in a second, in units; customers are owed
    /// equal parts of it, also where engines happen to do more.
    pub fn set_nominal(&mut self, units_per_second: u64) {
        let in_window = units_per_second as f64 * WINDOW_MS as f64 / 1_000.0;
        self.nominal = (units_per_second > 0).then_some(in_window);
    }

    /// A customer asks for `units`.
    pub fn record_demand(&mut self, now: Millis, customer: &str, units: u64) {
        self.record(now, customer, units, false);
    }

    /// A customer's request was placed.
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

    /// What a customer got so far.
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

/// The most that any customer gets of a division in equal parts, max-min by what was
/// asked.
#[derive(Clone, Copy, Debug)]
struct Levels {
    /// Of all that was served.
    served: f64,
    /// Of what engines are meant to do, or of all that was served where that is less.
    owed: f64,
}

/// The level at which `total` is divided among demands in rising order.
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
