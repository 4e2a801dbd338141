//! The measures, as `docs/MEASURES.md` defines them; no I/O.

use serde::{Deserialize, Serialize};

/// What was seen at one moment: for each customer, units received and requests
/// that had not begun to be answered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    /// Seconds since the start.
    pub at_s: f64,
    /// Units received so far, by customer.
    pub received: Vec<u64>,
    /// Requests waiting, by customer.
    pub waiting: Vec<u64>,
}

/// The fairness gap.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gap {
    /// The largest over all pairs and all parts of the window, in units over share.
    pub units: f64,
    /// Customers backlogged throughout.
    pub backlogged: Vec<String>,
    /// How the gap grew: seconds, and the gap of the window until then.
    pub over_time: Vec<(f64, f64)>,
}

/// The largest difference, over all pairs of customers backlogged throughout
/// the window and over all parts of it, of service received over share.
pub fn fairness_gap(names: &[String], shares: &[u32], samples: &[Sample]) -> Gap {
    let always = |c: &usize| samples.iter().all(|s| s.waiting[*c] > 0);
    let backlogged: Vec<_> = (0..names.len()).filter(always).collect();
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

/// The value below which a part of the sorted `values` lies.
pub fn quantile(values: &mut [f64], part: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let at = (values.len() - 1) as f64 * part;
    values[at.round() as usize]
}
