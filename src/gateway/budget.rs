//! Retry budgets, so that retries never multiply load.

use std::collections::{HashMap, VecDeque};

use crate::dispatch::Millis;

/// The limit for all routers together, for each service: the retries in any window stay
/// below `ratio` times the requests of the window, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BudgetRules {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Length of the window in seconds.
    pub window_s: f64,
    /// Retries allowed beyond the ratio, shared by all routers.
    pub slack: f64,
}

impl Default for BudgetRules {
    fn default() -> Self {
        BudgetRules { ratio: 0.2, window_s: 10.0, slack: 20.0 }
    }
}

/// Fraction of the ratio that is used: the limit applies to every window, while those counted
/// here begin with their first event.
const USED_RATIO: f64 = 0.5;
/// Fraction of the slack that is used by all routers together.
const USED_SLACK: f64 = 0.6;

#[derive(Clone, Debug, Default)]
struct ServiceHistory {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

/// One router's part of the budgets.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    rules: BudgetRules,
    routers: usize,
    services: HashMap<String, ServiceHistory>,
}

impl RetryBudgets {
    /// Budgets under `rules`, for one of `routers`.
    pub fn new(rules: BudgetRules, routers: usize) -> RetryBudgets {
        RetryBudgets { rules, routers: routers.max(1), services: HashMap::new() }
    }

    /// Sets the number of routers that share the slack.
    pub fn set_routers(&mut self, routers: usize) {
        self.routers = routers.max(1);
    }

    /// Records a request for a service.
    pub fn record_request(&mut self, now: Millis, service: &str) {
        let window = self.window_ms();
        let entry = match self.services.get_mut(service) {
            Some(entry) => entry,
            None => self.services.entry(service.to_string()).or_default(),
        };
        drop_expired(&mut entry.requests, now, window);
        entry.requests.push_back(now);
    }

    /// Takes one retry out of the budget; false when nothing is left.
    pub fn try_spend(&mut self, now: Millis, service: &str) -> bool {
        let window = self.window_ms();
        let slack = self.rules.slack * USED_SLACK / self.routers as f64;
        let ratio = self.rules.ratio * USED_RATIO;
        let entry = self.services.entry(service.to_string()).or_default();
        drop_expired(&mut entry.requests, now, window);
        drop_expired(&mut entry.retries, now, window);
        let allowed = ratio * entry.requests.len() as f64 + slack;
        let granted = (entry.retries.len() + 1) as f64 <= allowed;
        if granted {
            entry.retries.push_back(now);
        }
        granted
    }

    fn window_ms(&self) -> Millis {
        (self.rules.window_s * 1_000.0) as Millis
    }
}

fn drop_expired(times: &mut VecDeque<Millis>, now: Millis, window: Millis) {
    while times.front().is_some_and(|at| at + window <= now) {
        times.pop_front();
    }
}
