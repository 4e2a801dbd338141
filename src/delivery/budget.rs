//! A limit on retries, so that they never amplify an overload.

/// Retries earned by each request.
const EARNED: f64 = 0.1;
/// Retries that can be saved up; also what a customer starts with.
const MOST: f64 = 10.0;

/// One customer's budget of retries: each request earns a tenth of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { saved: MOST }
    }
}

impl RetryBudget {
    /// A new request was accepted.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(MOST);
    }

    /// Takes one retry, if one is left.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
