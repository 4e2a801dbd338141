//! Invariants under faults of sessions, routers and dispatchers.

use proptest::prelude::*;

use super::config;
use super::fleet::{Fleet, STEP_MS};
use super::*;

const ROUTERS: usize = 4;
const DISPATCHERS: usize = 2;
const CUSTOMERS: u32 = 3;
/// Upper bound of the units of one request that the simulated fleet draws.
const MAX_REQUEST_UNITS: u64 = 60;
const SLOTS: u32 = 4;

#[derive(Clone, Debug)]
enum Event {
    Submit { router: usize, customer: u32, count: u8 },
    Break { router: usize },
    Move { router: usize, dispatcher: usize },
    Kill { dispatcher: usize },
    Stall { dispatcher: usize, ms: u64 },
    RestartRouter { router: usize },
    Run { steps: u8 },
}

fn event() -> impl Strategy<Value = Event> {
    let router = 0..ROUTERS;
    let dispatcher = 0..DISPATCHERS;
    prop_oneof![
        8 => (router.clone(), 0..CUSTOMERS, 1u8..6)
            .prop_map(|(router, customer, count)| Event::Submit { router, customer, count }),
        2 => router.clone().prop_map(|router| Event::Break { router }),
        2 => (router.clone(), dispatcher.clone())
            .prop_map(|(router, dispatcher)| Event::Move { router, dispatcher }),
        1 => dispatcher.clone().prop_map(|dispatcher| Event::Kill { dispatcher }),
        1 => (dispatcher, 100u64..3_000)
            .prop_map(|(dispatcher, ms)| Event::Stall { dispatcher, ms }),
        1 => router.prop_map(|router| Event::RestartRouter { router }),
        8 => (1u8..30).prop_map(|steps| Event::Run { steps }),
    ]
}

fn apply_event(fleet: &mut Fleet, event: Event) {
    match event {
        Event::Submit { router, customer, count } => {
            (0..count).for_each(|_| fleet.submit(router, customer));
        }
        Event::Break { router } => {
            let to = fleet.routers[router].session.map_or(0, |(d, _)| d);
            fleet.attach(router, to);
        }
        Event::Move { router, dispatcher } => fleet.attach(router, dispatcher),
        Event::Kill { dispatcher } => fleet.kill(dispatcher, 1 - dispatcher),
        Event::Stall { dispatcher, ms } => fleet.stalled_until[dispatcher] = fleet.now + ms,
        Event::RestartRouter { router } => fleet.restart_router(router),
        Event::Run { steps } => (0..steps).for_each(|_| fleet.step()),
    }
}

fn fleet(seed: u64) -> Fleet {
    Fleet::new(config(&[1, 1, 1], &[(0, SLOTS), (1, SLOTS)], 1_000), ROUTERS, DISPATCHERS, seed)
}

/// Ends all faults and attaches every router to one dispatcher.
fn end_faults(fleet: &mut Fleet) {
    fleet.stalled_until.fill(0);
    (0..ROUTERS).for_each(|router| fleet.attach(router, 0));
}

proptest! {
    #![proptest_config(crate::testing::property(96))]

    /// No request is lost and no slot leaks: once faults end, every request ends and the
    /// dispatcher has no outstanding grants.
    #[test]
    fn every_request_ends_and_no_slot_leaks(
        seed in any::<u64>(),
        events in proptest::collection::vec(event(), 0..60),
    ) {
        let mut fleet = fleet(seed);
        for event in events {
            apply_event(&mut fleet, event);
        }
        end_faults(&mut fleet);
        for _ in 0..6_000 {
            fleet.step();
            if fleet.ended == fleet.submitted {
                break;
            }
        }
        prop_assert_eq!(fleet.ended, fleet.submitted, "requests were lost");
        (0..400).for_each(|_| fleet.step());
        for dispatcher in &fleet.dispatchers {
            let snapshot = dispatcher.snapshot();
            prop_assert_eq!(snapshot.running, 0);
            prop_assert!(snapshot.endpoints.iter().all(|e| e.outstanding == 0));
        }
    }

    /// Three seconds after the last fault, the gap between the customers' service is bounded
    /// again by twice the largest request plus the requests in flight.
    #[test]
    fn the_gap_is_bounded_again_after_faults(
        seed in any::<u64>(),
        events in proptest::collection::vec(event(), 0..30),
    ) {
        let mut fleet = fleet(seed);
        for event in events {
            apply_event(&mut fleet, event);
        }
        end_faults(&mut fleet);
        let mut last = Vec::new();
        let mut worst = 0;
        for step in 0..3_000u64 {
            for customer in 0..CUSTOMERS {
                // Customer 0 uses one router, the others all of them.
                let router = if customer == 0 { 1 } else { step as usize % ROUTERS };
                while fleet.open_of(customer) < 40 {
                    fleet.submit(router, customer);
                }
            }
            fleet.step();
            // Measure only after the fleet has recovered.
            if step * STEP_MS < 3_000 {
                continue;
            }
            let served: Vec<_> = (0..CUSTOMERS)
                .map(|c| fleet.served.get(&CustomerId(c)).copied().unwrap_or(0))
                .collect();
            if last.is_empty() {
                last = served.clone();
            }
            let gains: Vec<_> = served.iter().zip(&last).map(|(now, then)| now - then).collect();
            let gap = gains.iter().max().unwrap() - gains.iter().min().unwrap();
            worst = worst.max(gap);
        }
        // Service is counted when a request ends, so each customer's requests in flight at
        // both ends of the window add to the bound.
        let in_flight = u64::from(2 * (SLOTS + 1)) * MAX_REQUEST_UNITS;
        prop_assert!(worst <= 2 * MAX_REQUEST_UNITS + in_flight, "gap {}", worst);
    }

    /// One dispatcher never overloads an endpoint; two at once load it at most twice over.
    #[test]
    fn endpoints_are_overloaded_only_by_a_second_dispatcher(
        seed in any::<u64>(),
        moves in proptest::collection::vec((0..ROUTERS, 0..DISPATCHERS), 0..6),
    ) {
        let mut fleet = fleet(seed);
        let mut moved = false;
        for (router, dispatcher) in moves {
            moved |= dispatcher != 0;
            fleet.attach(router, dispatcher);
            for customer in 0..CUSTOMERS {
                (0..20).for_each(|n| fleet.submit(n % ROUTERS, customer));
            }
            for _ in 0..100 {
                fleet.step();
                let max_load = fleet.load.values().copied().max().unwrap_or(0);
                // Requests granted in ended sessions are still running beside the new ones.
                let limit = if moved { 3 * (SLOTS + 1) } else { 2 * (SLOTS + 1) };
                prop_assert!(max_load <= limit, "{max_load} running on one endpoint");
            }
        }
    }
}
