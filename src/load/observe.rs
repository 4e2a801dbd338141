//! What callers observe, gathered while the load runs.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use hdrhistogram::Histogram;

use super::measure::Sample;

/// Microseconds above which latencies are counted as this.
const MAX_US: u64 = 600_000_000;

/// What a caller was told about a keyed call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Answers that said it ran.
    pub answered: u32,
    /// Answers that said it did not run.
    pub not_run: u32,
    /// Answers that said neither.
    pub other: u32,
}

/// Counters of one customer.
#[derive(Debug, Default)]
pub struct CustomerCounters {
    /// Units received.
    pub received: AtomicU64,
    /// Requests sent that have not begun to be answered.
    pub waiting: AtomicU64,
    /// Requests sent.
    pub sent: AtomicU64,
    /// Requests answered whole.
    pub answered: AtomicU64,
    /// Requests refused as not run.
    pub refused: AtomicU64,
    /// Milliseconds to the first byte, of answered requests, added up.
    pub wait_ms: AtomicU64,
}

/// Everything observed.
#[derive(Debug)]
pub struct Observations {
    /// By customer, in the file's order.
    pub customers: Vec<CustomerCounters>,
    /// Requests told that their outcome is unknown.
    pub unknown: AtomicU64,
    /// Requests told that an earlier send is running.
    pub running: AtomicU64,
    /// Requests without any answer.
    pub lost: AtomicU64,
    /// Answers of other requests.
    pub crossed: AtomicU64,
    /// Answers passed off as whole that were not.
    pub truncated: AtomicU64,
    /// Streams that ended with an explicit error.
    pub broken: AtomicU64,
    /// Refusals that did not say when to come back.
    pub no_retry_after: AtomicU64,
    /// Units of the largest request.
    pub largest: AtomicU64,
    /// Microseconds to the first byte.
    pub first_byte: Mutex<Histogram<u64>>,
    /// Microseconds between two events, over their tokens.
    pub between_tokens: Mutex<Histogram<u64>>,
    /// Microseconds to the end.
    pub whole: Mutex<Histogram<u64>>,
    /// What was told about each keyed call.
    pub told: Mutex<HashMap<String, Told>>,
}

impl Observations {
    /// Nothing observed yet of so many customers.
    pub fn new(customers: usize) -> Observations {
        let histogram = || Mutex::new(histogram());
        Observations {
            customers: (0..customers).map(|_| CustomerCounters::default()).collect(),
            unknown: AtomicU64::new(0),
            running: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            crossed: AtomicU64::new(0),
            truncated: AtomicU64::new(0),
            broken: AtomicU64::new(0),
            no_retry_after: AtomicU64::new(0),
            largest: AtomicU64::new(0),
            first_byte: histogram(),
            between_tokens: histogram(),
            whole: histogram(),
            told: Mutex::default(),
        }
    }

    /// A sample of now.
    pub fn sample(&self, at_s: f64) -> Sample {
        let read = |f: fn(&CustomerCounters) -> &AtomicU64| {
            self.customers.iter().map(|c| f(c).load(Ordering::Relaxed)).collect()
        };
        Sample { at_s, received: read(|c| &c.received), waiting: read(|c| &c.waiting) }
    }

    /// Notes what was told about a keyed call.
    pub fn tell(&self, key: &str, note: impl FnOnce(&mut Told)) {
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        note(told.entry(key.to_string()).or_default());
    }
}

/// A histogram of microseconds.
pub fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, MAX_US, 3).expect("constant bounds are legal")
}

/// Records microseconds.
pub fn record(histogram: &Mutex<Histogram<u64>>, us: u64) {
    let mut histogram = histogram.lock().unwrap_or_else(PoisonError::into_inner);
    histogram.saturating_record(us.max(1));
}

/// Milliseconds below which a part lies.
pub fn quantile_ms(histogram: &Mutex<Histogram<u64>>, part: f64) -> f64 {
    let histogram = histogram.lock().unwrap_or_else(PoisonError::into_inner);
    histogram.value_at_quantile(part) as f64 / 1_000.0
}

/// Adds to a counter.
pub fn add(counter: &AtomicU64, value: u64) {
    counter.fetch_add(value, Ordering::Relaxed);
}
