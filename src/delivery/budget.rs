//! Limits retries, so that they do not amplify an overload.

/// Number of retries earned by each request.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Maximum number of saved retries; also the initial budget of a customer.
const MAX_SAVED: f64 = 10.0;

/// Retry budget of one customer: each request earns a tenth of a retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Adds what an accepted request earns.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MAX_SAVED);
    }

    /// Spends one retry; returns false if none is left.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
