//! Counters and histograms that callers record while the load runs.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use hdrhistogram::Histogram;
use tokio::time::Instant;

use super::deadly::DeadlyParts;
use super::measure::Sample;

/// Largest recorded latency in microseconds; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Number of answers to one keyed call, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallOutcomes {
    /// Answers that reported that it ran.
    pub answered: u32,
    /// Answers that reported that it did not run.
    pub not_run: u32,
    /// All other answers, and requests without an answer.
    pub other: u32,
}

/// Counters of one customer.
#[derive(Debug, Default)]
pub struct CustomerCounters {
    /// Units received.
    pub received: AtomicU64,
    /// Requests sent whose first byte is overdue.
    pub waiting: AtomicU64,
    /// Requests sent.
    pub sent: AtomicU64,
    /// Requests answered completely.
    pub answered: AtomicU64,
    /// Requests refused as not run.
    pub refused: AtomicU64,
    /// Sum of the milliseconds to the first byte of answered requests.
    pub wait_ms: AtomicU64,
}

/// Everything that callers have recorded.
#[derive(Debug)]
pub struct Observations {
    /// By customer, in the file's order.
    pub customers: Vec<CustomerCounters>,
    /// Requests answered with an unknown outcome.
    pub unknown: AtomicU64,
    /// Requests answered with the notice that an earlier attempt is still running.
    pub running: AtomicU64,
    /// Requests without any answer.
    pub lost: AtomicU64,
    /// Answers of other requests.
    pub crossed: AtomicU64,
    /// Incomplete answers that were delivered as complete.
    pub truncated: AtomicU64,
    /// Streams that ended with an explicit error.
    pub broken: AtomicU64,
    /// Refusals without a retry time.
    pub no_retry_after: AtomicU64,
    /// Units of the largest request.
    pub largest_units: AtomicU64,
    /// Microseconds to the first byte.
    pub first_byte: Mutex<Histogram<u64>>,
    /// Microseconds per token between two events.
    pub between_tokens: Mutex<Histogram<u64>>,
    /// Microseconds to the end of complete answers.
    pub completion: Mutex<Histogram<u64>>,
    /// Outcomes of each keyed call, by key.
    pub outcomes_by_key: Mutex<HashMap<String, CallOutcomes>>,
    /// Requests with and without a deadly part.
    pub deadly: Mutex<DeadlyParts>,
}

impl Observations {
    /// Empty observations of this number of customers.
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
            largest_units: AtomicU64::new(0),
            first_byte: histogram(),
            between_tokens: histogram(),
            completion: histogram(),
            outcomes_by_key: Mutex::default(),
            deadly: Mutex::default(),
        }
    }

    /// Samples the counters; `at_s` is the time since the start in seconds.
    pub fn sample(&self, at_s: f64) -> Sample {
        let read = |f: fn(&CustomerCounters) -> &AtomicU64| {
            self.customers.iter().map(|c| f(c).load(Ordering::Relaxed)).collect()
        };
        Sample { at_s, received: read(|c| &c.received), waiting: read(|c| &c.waiting) }
    }

    /// Records that a request with a deadly part, sent then, may have run.
    pub fn record_deadly_run(&self, sent: Instant) {
        self.deadly().record_run(sent);
    }

    /// Records that a request without a deadly part is sent.
    pub fn record_sound_request(&self, sent: Instant) {
        self.deadly().record_sound(sent);
    }

    /// Records that a request without a deadly part, sent then, was answered completely.
    pub fn record_sound_answer(&self, sent: Instant) {
        self.deadly().record_answered(sent);
    }

    fn deadly(&self) -> MutexGuard<'_, DeadlyParts> {
        self.deadly.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an outcome of a keyed call.
    pub fn record_outcome(&self, key: &str, update: impl FnOnce(&mut CallOutcomes)) {
        let mut outcomes = self.outcomes_by_key.lock().unwrap_or_else(PoisonError::into_inner);
        update(outcomes.entry(key.to_string()).or_default());
    }
}

/// Creates a histogram of microseconds.
pub fn histogram() -> Histogram<u64> {
    // The library rejects only bounds that are out of range, which these are not.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("constant bounds are legal")
}

/// Records a duration in microseconds.
pub fn record(histogram: &Mutex<Histogram<u64>>, us: u64) {
    let mut histogram = histogram.lock().unwrap_or_else(PoisonError::into_inner);
    histogram.saturating_record(us.max(1));
}

/// Quantile of a histogram in milliseconds.
pub fn quantile_ms(histogram: &Mutex<Histogram<u64>>, quantile: f64) -> f64 {
    let histogram = histogram.lock().unwrap_or_else(PoisonError::into_inner);
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Adds to a counter.
pub fn add(counter: &AtomicU64, value: u64) {
    counter.fetch_add(value, Ordering::Relaxed);
}
