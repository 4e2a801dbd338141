//! The measures that `docs/MEASURES.md` defines, computed without I/O.

use serde::{Deserialize, Serialize};

/// Counters at one moment: for each customer, the units received and the requests that were
/// waiting for the first byte of their answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    /// Seconds since the start.
    pub at_s: f64,
    /// Units received since the start, by customer.
    pub received: Vec<u64>,
    /// Requests waiting, by customer.
    pub waiting: Vec<u64>,
}

/// The fairness gap.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gap {
    /// Largest gap over all pairs of customers and all parts of the window, in units per share.
    pub units: f64,
    /// Names of the customers that were backlogged throughout the window.
    pub backlogged: Vec<String>,
    /// Growth of the gap: seconds since the start, and the gap from the window's start until then.
    pub over_time: Vec<(f64, f64)>,
}

/// Computes the largest difference in service received per share, over all pairs of customers
/// that were backlogged throughout the window and over all parts of the window.
pub fn fairness_gap(names: &[String], shares: &[u32], samples: &[Sample]) -> Gap {
    let is_backlogged = |c: &usize| samples.iter().all(|s| s.waiting[*c] > 0);
    let backlogged: Vec<_> = (0..names.len()).filter(is_backlogged).collect();
    let mut gap = Gap {
        backlogged: backlogged.iter().map(|c| names[*c].clone()).collect(),
        ..Gap::default()
    };
    let mut ranges = vec![(f64::MAX, f64::MIN); backlogged.len() * backlogged.len()];
    for sample in samples {
        let service = |c: usize| sample.received[c] as f64 / f64::from(shares[c]);
        for (i, a) in backlogged.iter().enumerate() {
            for (j, b) in backlogged.iter().enumerate().skip(i + 1) {
                let difference = service(*a) - service(*b);
                let (low, high) = &mut ranges[i * backlogged.len() + j];
                *low = low.min(difference);
                *high = high.max(difference);
                gap.units = gap.units.max(*high - *low);
            }
        }
        gap.over_time.push((sample.at_s, gap.units));
    }
    gap
}

/// Sorts `values` and returns their quantile for `fraction`, 0 to 1; 0 if there are none.
pub fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let index = (values.len() - 1) as f64 * fraction;
    values[index.round() as usize]
}
