//! Tests of the dispatcher by itself, and with routers over sessions that break.

mod estimate;
mod fleet;
mod properties;
mod rests;

use std::collections::BTreeSet;
use std::sync::Arc;

use super::*;
use crate::config::{Config, CustomerId, EndpointId, HallId, HallSet, ServiceId};
use crate::wire::{Completion, GrantRequest, HostId, RefuseReason, ToDispatcher};

const ROUTER: HostId = HostId(1);

/// One service, customers `c0..` with the given shares, endpoints as (hall, slots).
fn config(shares: &[u32], endpoints: &[(u8, u32)], max_waiting: u32) -> Arc<Config> {
    let mut text = String::from("halls: [a, b, c]\nservices: [{name: s}]\ncustomers:\n");
    for (n, share) in shares.iter().enumerate() {
        text += &format!("  - {{name: c{n}, share: {share}, max_waiting: {max_waiting}}}\n");
    }
    text += "endpoints:\n";
    for (n, (hall, slots)) in endpoints.iter().enumerate() {
        let hall = ["a", "b", "c"][*hall as usize];
        text += &format!(
            "  - {{name: e{n}, service: s, hall: {hall}, address: '127.0.0.1:{}', slots: {slots}}}\n",
            n + 1
        );
    }
    let document: crate::config::Document = serde_saphyr::from_str(&text).unwrap();
    Arc::new(Config::default().apply(&document.changes()).unwrap())
}

/// A dispatcher with one router attached.
struct Harness {
    dispatcher: Dispatcher,
    now: Millis,
    seq: u64,
}

impl Harness {
    fn new(config: Arc<Config>) -> Harness {
        let mut dispatcher = Dispatcher::new(0, ServiceId(0), 1);
        dispatcher.configure(0, config, &BTreeSet::new());
        let mut harness = Harness { dispatcher, now: 0, seq: 0 };
        harness.join(ROUTER, 1, HallSet::ALL, false, vec![]);
        harness
    }

    fn join(
        &mut self,
        router: HostId,
        session: u64,
        reach: HallSet,
        takeover: bool,
        leads: Vec<(CustomerId, u64)>,
    ) -> Vec<Decision> {
        let join = ToDispatcher::Join { reach, takeover, leads };
        self.dispatcher.receive(self.now, router, session, join)
    }

    fn request(&mut self, customer: u32, input: u32) -> Vec<Decision> {
        self.request_within(customer, input, 60_000)
    }

    fn request_within(&mut self, customer: u32, input: u32, start_within_ms: u32) -> Vec<Decision> {
        self.seq += 1;
        let request = GrantRequest {
            seq: self.seq,
            customer: CustomerId(customer),
            input,
            start_within_ms,
            prefix: vec![],
        };
        self.send(ToDispatcher::GrantRequest(request))
    }

    fn send(&mut self, message: ToDispatcher) -> Vec<Decision> {
        self.dispatcher.receive(self.now, ROUTER, 1, message)
    }

    fn done(&mut self, seq: u64, units: u32) -> Vec<Decision> {
        self.send(ToDispatcher::Done { seq, units, completion: Completion::Answered })
    }

    fn wait(&mut self, ms: Millis) -> Vec<Decision> {
        let until = self.now + ms;
        let mut decisions = Vec::new();
        while self.now < until {
            self.now = (self.now + 50).min(until);
            decisions.extend(self.dispatcher.tick(self.now));
        }
        decisions
    }
}

/// Customer, request number and endpoint of each grant, in order.
fn grants(decisions: &[Decision]) -> Vec<(u32, u64, u32)> {
    let grant = |d: &Decision| match d {
        Decision::Grant { customer, seq, endpoint, .. } => Some((customer.0, *seq, endpoint.0)),
        _ => None,
    };
    decisions.iter().filter_map(grant).collect()
}

/// Request number, reason and retry time in milliseconds of each refusal, in order.
fn refusals(decisions: &[Decision]) -> Vec<(u64, RefuseReason, u32)> {
    let refusal = |d: &Decision| match d {
        Decision::Refuse { seq, reason, retry_after_ms, .. } => {
            Some((*seq, *reason, *retry_after_ms))
        }
        _ => None,
    };
    decisions.iter().filter_map(refusal).collect()
}

#[test]
fn a_request_runs_at_once_when_there_is_room() {
    let mut harness = Harness::new(config(&[1], &[(0, 2)], 10));
    assert_eq!(grants(&harness.request(0, 5)), [(0, 1, 0)]);
}

#[test]
fn service_follows_shares() {
    let mut harness = Harness::new(config(&[3, 1], &[(0, 1)], 1_000));
    for _ in 0..80 {
        harness.request(0, 10);
        harness.request(1, 10);
    }
    let mut served = [0; 2];
    let mut running = vec![1, 2];
    while served[0] + served[1] < 80 {
        let seq = running.remove(0);
        harness.now += 1;
        for (customer, seq, _) in grants(&harness.done(seq, 10)) {
            served[customer as usize] += 1;
            running.push(seq);
        }
    }
    assert!((58..=62).contains(&served[0]), "{served:?}");
}

#[test]
fn idle_time_earns_no_credit() {
    let mut harness = Harness::new(config(&[1, 1], &[(0, 1)], 1_000));
    for _ in 0..50 {
        harness.request(0, 10);
    }
    let mut running: Vec<u64> = vec![1, 2];
    for _ in 0..20 {
        let seq = running.remove(0);
        running.extend(grants(&harness.done(seq, 10)).iter().map(|g| g.1));
    }
    for _ in 0..50 {
        harness.request(1, 10);
    }
    let mut order = Vec::new();
    for _ in 0..8 {
        let seq = running.remove(0);
        for (customer, seq, _) in grants(&harness.done(seq, 10)) {
            order.push(customer);
            running.push(seq);
        }
    }
    let newcomer = order.iter().filter(|c| **c == 1).count();
    assert!((3..=5).contains(&newcomer), "{order:?}");
}

#[test]
fn a_cost_known_only_at_the_end_is_settled() {
    let mut harness = Harness::new(config(&[1, 1], &[(0, 1)], 100));
    let mut running: Vec<_> = Vec::new();
    for _ in 0..20 {
        running.extend(grants(&harness.request(0, 1)));
        running.extend(grants(&harness.request(1, 1)));
    }
    // Ten cheap requests set the mean output before one expensive request of customer 0.
    let mut order = Vec::new();
    let mut expensive = None;
    while order.len() < 20 {
        let (customer, seq, _) = running.remove(0);
        let units =
            if order.len() >= 10 && customer == 0 && expensive.is_none() { 1_000 } else { 1 };
        if units > 1 {
            expensive = Some(order.len());
        }
        for grant in grants(&harness.done(seq, units)) {
            order.push(grant.0);
            running.push(grant);
        }
    }
    // After the expensive request only customer 1 is served.
    let after = &order[expensive.unwrap()..];
    assert!(after.len() >= 6 && after.iter().all(|c| *c == 1), "{order:?}");
}

#[test]
fn slots_are_kept_full_by_granting_slightly_ahead() {
    let mut harness = Harness::new(config(&[1], &[(0, 2), (0, 2)], 100));
    let granted: usize = (0..10).map(|_| grants(&harness.request(0, 1)).len()).sum();
    assert_eq!(granted, 6, "two slots and one queued grant for each endpoint");
}

#[test]
fn a_full_queue_is_refused_at_once_with_a_retry_time() {
    let mut harness = Harness::new(config(&[1], &[(0, 1)], 3));
    (0..5).for_each(|_| drop(harness.request(0, 1)));
    let refused = refusals(&harness.request(0, 1));
    assert_eq!(refused.len(), 1);
    let (seq, reason, retry_after_ms) = refused[0];
    assert_eq!((seq, reason), (6, RefuseReason::QueueFull));
    assert!(retry_after_ms > 0);
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut harness = Harness::new(config(&[1], &[(0, 1)], 1_000));
    harness.request(0, 10);
    harness.request(0, 10);
    let mut running = vec![1u64, 2];
    for _ in 0..20 {
        harness.request(0, 10);
        harness.now += 500;
        let seq = running.remove(0);
        running.extend(grants(&harness.done(seq, 10)).iter().map(|g| g.1));
    }
    (0..20).for_each(|_| drop(harness.request(0, 10)));
    // Twenty requests of half a second each are queued before it.
    let refused = refusals(&harness.request_within(0, 10, 2_000));
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].1, RefuseReason::DeadlineUnmet);
    assert!(refused[0].2 > 1_000, "retry after {} ms", refused[0].2);
}

#[test]
fn a_request_is_refused_as_soon_as_its_deadline_passes() {
    let mut harness = Harness::new(config(&[1], &[(0, 1)], 10));
    (0..2).for_each(|_| drop(harness.request(0, 1)));
    harness.request_within(0, 1, 300);
    assert!(refusals(&harness.wait(250)).is_empty());
    assert_eq!(refusals(&harness.wait(100)).len(), 1);
}

#[test]
fn a_hall_out_of_reach_gets_no_requests_from_a_router() {
    let mut harness = Harness::new(config(&[1], &[(0, 4), (1, 4)], 10));
    harness.send(ToDispatcher::Reach(HallSet::default().with(HallId(1))));
    for _ in 0..4 {
        assert_eq!(grants(&harness.request(0, 1))[0].2, 1);
    }
    harness.send(ToDispatcher::Reach(HallSet::default()));
    assert_eq!(refusals(&harness.request(0, 1))[0].1, RefuseReason::NoEndpoint);
}

#[test]
fn one_routers_reach_does_not_block_another() {
    let mut harness = Harness::new(config(&[1], &[(0, 1), (1, 1)], 100));
    harness.send(ToDispatcher::Reach(HallSet::default().with(HallId(0))));
    harness.join(HostId(2), 5, HallSet::default().with(HallId(1)), false, vec![]);
    (0..10).for_each(|_| drop(harness.request(0, 1)));
    let request = GrantRequest {
        seq: 1,
        customer: CustomerId(0),
        input: 1,
        start_within_ms: 60_000,
        prefix: vec![],
    };
    let decisions =
        harness.dispatcher.receive(0, HostId(2), 5, ToDispatcher::GrantRequest(request));
    assert_eq!(grants(&decisions), [(0, 1, 1)]);
}

#[test]
fn a_leaving_endpoint_gets_no_new_requests() {
    let config = config(&[1], &[(0, 4), (0, 4)], 10);
    let mut harness = Harness::new(config.clone());
    let leaving = BTreeSet::from([EndpointId(0)]);
    harness.dispatcher.configure(0, config, &leaving);
    for _ in 0..5 {
        assert!(grants(&harness.request(0, 1)).iter().all(|g| g.2 == 1));
    }
}

#[test]
fn a_failing_endpoint_is_excluded_and_probed_again() {
    let mut harness = Harness::new(config(&[1], &[(0, 1), (0, 1)], 10));
    let first = grants(&harness.request(0, 1))[0];
    let failed = Completion::Failed;
    harness.send(ToDispatcher::Done { seq: first.1, units: 0, completion: failed });
    let second = grants(&harness.request(0, 1))[0];
    assert_ne!(second.2, first.2);
    harness.done(second.1, 1);
    harness.wait(250);
    let seen: BTreeSet<_> =
        (0..2).flat_map(|_| grants(&harness.request(0, 1))).map(|g| g.2).collect();
    assert_eq!(seen.len(), 2, "the endpoint is probed again after its exclusion");
}

#[test]
fn a_prompt_goes_to_the_endpoint_that_got_its_prefix() {
    let mut harness = Harness::new(config(&[1], &[(0, 4), (0, 4), (0, 4)], 10));
    let mut ask = |prefix: Vec<u32>| {
        harness.seq += 1;
        let request = GrantRequest {
            seq: harness.seq,
            customer: CustomerId(0),
            input: 1,
            start_within_ms: 1_000,
            prefix,
        };
        grants(&harness.send(ToDispatcher::GrantRequest(request)))[0].2
    };
    let first = ask(vec![11, 12]);
    let other = ask(vec![21]);
    assert_ne!(first, other);
    assert_eq!(ask(vec![11, 13]), first);
    assert_eq!(ask(vec![21, 22]), other);
}

#[test]
fn a_stalled_dispatcher_drops_its_state() {
    let mut harness = Harness::new(config(&[1], &[(0, 1)], 10));
    (0..5).for_each(|_| drop(harness.request(0, 1)));
    harness.now += STALL_RESET_MS;
    let decisions = harness.dispatcher.tick(harness.now);
    assert!(matches!(decisions[..], [Decision::Reset { .. }]));
    let snapshot = harness.dispatcher.snapshot();
    assert!(snapshot.waiting.is_empty() && snapshot.running == 0 && snapshot.routers.is_empty());
}

#[test]
fn a_lost_routers_slots_are_freed_and_its_requests_dropped() {
    let mut harness = Harness::new(config(&[1], &[(0, 1)], 10));
    (0..5).for_each(|_| drop(harness.request(0, 1)));
    harness.dispatcher.on_session_lost(harness.now, ROUTER, 1);
    assert!(harness.dispatcher.snapshot().waiting.is_empty());
    assert_eq!(harness.dispatcher.snapshot().running, 2, "they may still be running");
    harness.wait(ORPHAN_MS);
    assert_eq!(harness.dispatcher.snapshot().running, 0);
    assert!(harness.dispatcher.is_idle());
}

#[test]
fn messages_of_an_earlier_session_are_ignored() {
    let mut harness = Harness::new(config(&[1], &[(0, 1)], 10));
    harness.join(ROUTER, 2, HallSet::ALL, false, vec![]);
    assert!(harness.request(0, 1).is_empty());
    assert!(harness.dispatcher.snapshot().waiting.is_empty());
}

#[test]
fn a_router_that_restarts_with_its_clock_set_back_is_served() {
    let mut harness = Harness::new(config(&[1], &[(0, 1)], 10));
    harness.join(ROUTER, 9, HallSet::ALL, false, vec![]);
    harness.dispatcher.on_session_lost(harness.now, ROUTER, 9);
    // Session numbers start from the time of day at the start of the process.
    harness.join(ROUTER, 1, HallSet::ALL, false, vec![]);
    assert_eq!(grants(&harness.request(0, 1)), [(0, 1, 0)]);
}

#[test]
fn a_dispatcher_that_takes_over_waits_and_keeps_the_order() {
    let mut harness = Harness::new(config(&[1, 1], &[(0, 1)], 10));
    harness.dispatcher = Dispatcher::new(0, ServiceId(0), 1);
    harness.dispatcher.configure(0, config(&[1, 1], &[(0, 1)], 10), &BTreeSet::new());
    let leads = vec![(CustomerId(0), 500), (CustomerId(1), 0)];
    harness.join(ROUTER, 1, HallSet::ALL, true, leads);
    let mut decisions = harness.request(0, 10);
    decisions.extend(harness.request(1, 10));
    assert!(decisions.is_empty(), "no grants before the routers have attached");
    let order: Vec<_> = grants(&harness.wait(RECOVERY_MS + 50)).iter().map(|g| g.0).collect();
    assert_eq!(order, [1, 0], "the least served customer goes first");
}

#[test]
fn a_router_that_dispatches_for_itself_uses_its_fraction_of_the_slots() {
    let mut dispatcher = Dispatcher::new(0, ServiceId(0), 4);
    dispatcher.configure(0, config(&[1], &[(0, 16)], 100), &BTreeSet::new());
    let slots: u32 = dispatcher.snapshot().endpoints.iter().map(|e| e.slots).sum();
    assert_eq!(slots, 4);
}

#[test]
fn a_dispatcher_without_the_service_keeps_requests_until_it_is_configured() {
    let mut harness = Harness::new(Arc::default());
    assert!(harness.request(0, 1).is_empty());
    let configured = config(&[1], &[(0, 1)], 10);
    let decisions = harness.dispatcher.configure(0, configured, &BTreeSet::new());
    assert_eq!(grants(&decisions), [(0, 1, 0)]);
}
