//! The estimate from cumulative sums against the direct sum over all customers.

use std::collections::BTreeMap;

use proptest::prelude::*;

use super::super::account::{Accounts, QueuedRequest};
use super::super::estimate::FairOrder;
use super::*;

const NOW_MS: Millis = 60_000;

proptest! {
    #![proptest_config(crate::testing::property(256))]

    #[test]
    fn the_estimate_is_the_sum_over_all_customers(
        customers in proptest::collection::vec((1u32..5, 1u32..500, any::<bool>()), 1..30),
        units in 1.0f64..5_000.0,
        share in 1.0f64..5.0,
    ) {
        let shares: Vec<_> = customers.iter().map(|c| c.0).collect();
        let config = config(&shares, &[(0, 1)], 10);
        let mut accounts = Accounts::default();
        let mut queues = BTreeMap::new();
        for (n, (share, input, persistent)) in customers.iter().enumerate() {
            let since = if *persistent { 0 } else { NOW_MS };
            let request = QueuedRequest {
                seq: 1,
                input: *input,
                arrival: 1,
                queued_at: since,
                start_by: NOW_MS,
                prefix: vec![],
            };
            accounts.push(since, CustomerId(n as u32), ROUTER, request, true);
            queues.insert(n, (f64::from(*share), f64::from(*input), *persistent));
        }
        let order = FairOrder::of(&accounts, &config, NOW_MS, None);
        let served = |(share_of, queued, persistent): &(f64, f64, bool)| {
            let fair = units / share * share_of;
            if *persistent { fair } else { fair.min(*queued) }
        };
        let sum = queues.values().map(served).sum::<f64>().max(units);
        let found = order.units_until(units, share);
        prop_assert!((found - sum).abs() <= sum * 1e-9, "{found} is not {sum}");
    }
}
