//! What customers asked for and got, over a sliding window.

use std::collections::{HashMap, VecDeque};

use crate::dispatch::Millis;

/// Length of the window in milliseconds.
pub const WINDOW_MS: Millis = 4_000;

#[derive(Clone, Debug, Default)]
struct Account {
    asked: u64,
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
    pub fn asked(&mut self, now: Millis, customer: &str, units: u64) {
        self.record(now, customer, units, false);
    }

    /// A customer's request was placed.
    pub fn served(&mut self, now: Millis, customer: &str, units: u64) {
        self.record(now, customer, units, true);
    }

    fn record(&mut self, now: Millis, customer: &str, units: u64, served: bool) {
        self.forget(now);
        let account = match self.accounts.get_mut(customer) {
            Some(account) => account,
            None => self.accounts.entry(customer.to_string()).or_default(),
        };
        match served {
            true => account.served += units,
            false => account.asked += units,
        }
        self.events.push_back(Event { at: now, customer: customer.to_string(), units, served });
    }

    fn forget(&mut self, now: Millis) {
        while self.events.front().is_some_and(|e| e.at + WINDOW_MS <= now) {
            let Some(event) = self.events.pop_front() else { return };
            let Some(account) = self.accounts.get_mut(&event.customer) else { continue };
            match event.served {
                true => account.served -= event.units,
                false => account.asked -= event.units,
            }
            if account.asked == 0 && account.served == 0 {
                self.accounts.remove(&event.customer);
            }
        }
    }

    /// What a customer was served, over what an equal division of all that was
    /// served gives to those who ask for more: above 1, it has had its share.
    pub fn ratio(&self, customer: &str) -> f64 {
        self.served_over(customer, self.level())
    }

    /// What a customer was served, over the lesser of what it asked and what an
    /// equal division gives: 1 where it got what it is owed.
    pub fn fulfilment(&self, customer: &str) -> f64 {
        let Some(account) = self.accounts.get(customer) else { return 1.0 };
        let owed = (account.asked as f64).min(self.level());
        match owed > 0.0 {
            true => account.served as f64 / owed,
            false => 1.0,
        }
    }

    /// What a customer was served, over what an equal division of all that was
    /// served gives, whatever engines are meant to do.
    pub fn relative(&self, customer: &str) -> f64 {
        self.served_over(customer, self.level_of_served())
    }

    fn served_over(&self, customer: &str, level: f64) -> f64 {
        let Some(account) = self.accounts.get(customer) else { return 0.0 };
        match level > 0.0 {
            true => account.served as f64 / level,
            false => 0.0,
        }
    }

    /// The most that any customer is owed: what an equal division, max-min by what
    /// was asked, gives of all that was served, or of what engines are meant to do
    /// where that is less.
    fn level(&self) -> f64 {
        let of_served = self.level_of_served();
        match self.nominal {
            Some(nominal) => of_served.min(self.level_of(nominal)),
            None => of_served,
        }
    }

    fn level_of_served(&self) -> f64 {
        self.level_of(self.accounts.values().map(|a| a.served as f64).sum())
    }

    fn level_of(&self, total: f64) -> f64 {
        let mut left = total;
        let mut asked: Vec<_> = self.accounts.values().map(|a| a.asked.max(a.served)).collect();
        asked.sort_unstable();
        let mut customers = asked.len();
        for demand in asked {
            let level = left / customers as f64;
            if demand as f64 >= level {
                return level;
            }
            left -= demand as f64;
            customers -= 1;
        }
        f64::INFINITY
    }
}
