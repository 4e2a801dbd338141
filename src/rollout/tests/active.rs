//! Complete rollouts at the leader, with generated reports of routers.

use super::streams::{BUSY, Fault, QUIET, Route, Stream, WINDOW_MS};
use crate::rollout::{
    ActiveRollout, Decision, Order, Rollout, RolloutEndpoint, RolloutRules, RouteTally,
    ServiceReport, ServiceState, Stage, StepReason,
};
use crate::wire::HostId;

const DURATION: u64 = 12_000;
const ROUTER: HostId = HostId(7);

fn rollout(stage: Stage) -> Rollout {
    rollout_within(stage, DURATION)
}

fn rollout_within(stage: Stage, duration_ms: u64) -> Rollout {
    let order = Order { service: "llm".into(), version: "v2".into(), at_ms: 0, duration_ms };
    Rollout { number: 1, order, stage, stage_at_ms: 0 }
}

fn service_state() -> ServiceState {
    let endpoint = |is_new, n: u32| RolloutEndpoint {
        order: n * 1_000,
        is_new,
        is_ready: true,
        is_cold: false,
        slots: 12,
    };
    let old = (0..40).map(|n| endpoint(false, n));
    let endpoints = old.chain((0..40).map(|n| endpoint(true, n))).collect();
    ServiceState { endpoints, routers: vec![ROUTER] }
}

fn report(tallies: Vec<RouteTally>, open_on_old: u32) -> ServiceReport {
    ServiceReport { service: "llm".into(), number: 1, open_on_old, tallies }
}

/// Outcome of a simulated rollout.
#[derive(Debug)]
struct Outcome {
    stage: Stage,
    reason: StepReason,
    at_ms: u64,
    /// Fraction of all requests until the deadline that the new release received.
    exposure: f64,
}

/// Simulates a rollout of the busy service to its end, from a given stage and time.
fn simulate(fault: Fault, seed: u64, stage: Stage, from_ms: u64) -> Outcome {
    simulate_within(DURATION, &BUSY, fault, seed, stage, from_ms)
}

fn simulate_within(
    duration_ms: u64,
    routes: &'static [Route],
    fault: Fault,
    seed: u64,
    stage: Stage,
    from_ms: u64,
) -> Outcome {
    let rules = RolloutRules::default();
    let mut active = ActiveRollout::new(rollout_within(stage, duration_ms), from_ms, from_ms);
    let mut stream = Stream::new(routes, fault, 0.0, seed);
    let per_ms: f64 = routes.iter().map(|route| route.per_second / 1_000.0).sum();
    let mut shifting_since = from_ms;
    let mut now = from_ms;
    loop {
        now += WINDOW_MS;
        let (tallies, _) = stream.next();
        let open_on_old = if now > shifting_since + 2_000 { 0 } else { 30 };
        active.record_report(now, ROUTER, &report(tallies, open_on_old));
        let evaluation = active.decide(now, &service_state(), &rules);
        let permille = evaluation.grant.map_or(0, |grant| grant.permille);
        match evaluation.decision {
            Decision::Step(stage, reason) if stage.is_final() => {
                let exposure = active.progress().sent_new as f64 / (per_ms * duration_ms as f64);
                return Outcome { stage, reason, at_ms: now, exposure };
            }
            Decision::Step(stage, _) => {
                shifting_since = now;
                active.adopt(now, stage);
            }
            Decision::Grant(_) => stream.new_fraction = f64::from(permille) / 1_000.0,
        }
        assert!(now < 2 * duration_ms, "the rollout did not end");
    }
}

#[test]
fn the_rollout_of_a_good_release_is_done_in_time() {
    for seed in 0..20 {
        let outcome = simulate(Fault::Good, seed, Stage::Canary, 0);
        assert_eq!(
            (outcome.stage, outcome.reason),
            (Stage::Done, StepReason::OldEmpty),
            "{seed}: {outcome:?}"
        );
        assert!(outcome.at_ms < DURATION, "{outcome:?}");
    }
}

#[test]
fn a_bad_release_gets_less_than_its_share() {
    let faults = [
        Fault::Fails { from: 0, fraction: 0.2 },
        Fault::Fails { from: 0, fraction: 1.0 },
        Fault::Fails { from: 50, fraction: 0.3 },
        Fault::Fails { from: 75, fraction: 0.3 },
        Fault::FailsOnOneRoute { fraction: 0.3 },
        Fault::FailsUnderLoad { fraction: 0.3 },
        Fault::Slower { from: 0, times: 2.5 },
        Fault::Slower { from: 70, times: 4.0 },
    ];
    for fault in faults {
        for seed in 0..20 {
            let outcome = simulate(fault, seed, Stage::Canary, 0);
            assert_eq!(outcome.stage, Stage::RolledBack, "{fault:?} {seed}: {outcome:?}");
            assert!(outcome.at_ms < DURATION && outcome.exposure < 0.1, "{fault:?}: {outcome:?}");
        }
    }
}

#[test]
fn the_bounds_hold_for_any_duration_and_traffic() {
    for duration_ms in [10_000, 20_000, 30_000, 60_000] {
        for routes in [&BUSY[..], &QUIET[..]] {
            for seed in 0..10 {
                let simulate =
                    |fault| simulate_within(duration_ms, routes, fault, seed, Stage::Canary, 0);
                let good = simulate(Fault::Good);
                let is_in_time = good.stage == Stage::Done && good.at_ms < duration_ms;
                assert!(is_in_time, "{duration_ms} {seed}: {good:?}");
                let from = duration_ms as usize / 200;
                for fault in [
                    Fault::Fails { from: 0, fraction: 0.2 },
                    Fault::Fails { from, fraction: 0.3 },
                    Fault::Slower { from: 0, times: 2.5 },
                    Fault::Slower { from, times: 4.0 },
                ] {
                    let bad = simulate(fault);
                    let per_ms: f64 = routes.iter().map(|r| r.per_second / 1_000.0).sum();
                    let slack = 50.0 / (per_ms * duration_ms as f64);
                    let is_bounded = bad.stage == Stage::RolledBack && bad.exposure < 0.1 + slack;
                    assert!(is_bounded, "{fault:?} {duration_ms} {seed}: {bad:?}");
                }
            }
        }
    }
}

#[test]
fn a_new_leader_continues_from_the_canary_stage() {
    let good = simulate(Fault::Good, 1, Stage::Canary, 5_000);
    assert!(good.stage == Stage::Done && good.at_ms < DURATION, "{good:?}");
    let bad = simulate(Fault::Fails { from: 0, fraction: 0.3 }, 1, Stage::Canary, 5_000);
    assert_eq!(bad.stage, Stage::RolledBack);
}

#[test]
fn a_new_leader_continues_from_the_shifting_stage() {
    let good = simulate(Fault::Good, 1, Stage::Shifting, 9_000);
    assert!(good.stage == Stage::Done && good.at_ms < DURATION, "{good:?}");
    let bad = simulate(Fault::Fails { from: 3, fraction: 0.3 }, 1, Stage::Shifting, 9_000);
    assert_eq!(bad.stage, Stage::RolledBack);
}

#[test]
fn a_report_of_no_open_requests_expires_after_a_second() {
    let mut active = ActiveRollout::new(rollout(Stage::Shifting), 0, 9_000);
    let rules = RolloutRules::default();
    active.record_report(100, ROUTER, &report(Vec::new(), 0));
    let evaluation = active.decide(900, &service_state(), &rules);
    assert!(matches!(evaluation.decision, Decision::Step(Stage::Done, StepReason::OldEmpty)));
    let evaluation = active.decide(1_100, &service_state(), &rules);
    assert_eq!(evaluation.decision, Decision::Grant(1_000), "no report for a second");
}

#[test]
fn a_report_about_an_earlier_order_is_ignored() {
    let mut active = ActiveRollout::new(rollout(Stage::Canary), 0, 0);
    let (tallies, _) = Stream::new(&BUSY, Fault::Good, 0.5, 1).next();
    active.record_report(100, ROUTER, &ServiceReport { number: 9, ..report(tallies, 0) });
    assert_eq!(active.progress().sent_new + active.progress().sent_old, 0);
}

#[test]
fn the_canary_fraction_goes_to_few_endpoints_at_the_load_of_an_old_one() {
    let mut active = ActiveRollout::new(rollout(Stage::Canary), 0, 0);
    let grant = active.decide(100, &service_state(), &RolloutRules::default()).grant.unwrap();
    // 55 of 1,000 requests are the load of 2.2 of 40 endpoints.
    assert_eq!((grant.permille, grant.highest_order), (55, 2_000));
}

#[test]
fn cold_endpoints_are_used_only_if_none_is_warm_in_time() {
    let mut state = service_state();
    state
        .endpoints
        .iter_mut()
        .filter(|endpoint| endpoint.is_new)
        .for_each(|endpoint| endpoint.is_cold = true);
    let mut active = ActiveRollout::new(rollout(Stage::Canary), 0, 0);
    let rules = RolloutRules::default();
    assert_eq!(active.decide(100, &state, &rules).grant, None);
    assert!(
        active.decide(5_000, &state, &rules).grant.is_some(),
        "no endpoint becomes warm in time"
    );
}

#[test]
fn a_rejected_release_gets_nothing_until_the_rollback_is_agreed() {
    let rules = RolloutRules::default();
    let mut active = ActiveRollout::new(rollout(Stage::Canary), 0, 0);
    let mut stream = Stream::new(&BUSY, Fault::Fails { from: 0, fraction: 1.0 }, 0.05, 1);
    let mut now = 0;
    while now < 3_000 {
        now += WINDOW_MS;
        active.record_report(now, ROUTER, &report(stream.next().0, 9));
        if active.decide(now, &service_state(), &rules).decision
            == Decision::Step(Stage::RolledBack, StepReason::Bad)
        {
            break;
        }
    }
    stream.fault = Fault::Good;
    for _ in 0..50 {
        now += WINDOW_MS;
        active.record_report(now, ROUTER, &report(stream.next().0, 9));
        let evaluation = active.decide(now, &service_state(), &rules);
        assert_eq!(evaluation.decision, Decision::Step(Stage::RolledBack, StepReason::Bad));
        assert_eq!(evaluation.grant, None);
    }
}

#[test]
fn a_release_without_reports_is_rolled_back_at_the_deadline() {
    let rules = RolloutRules::default();
    let mut active = ActiveRollout::new(rollout(Stage::Canary), 0, 0);
    let mut now = 0;
    loop {
        now += WINDOW_MS;
        match active.decide(now, &service_state(), &rules).decision {
            Decision::Grant(permille) => assert_eq!(permille, 55, "at {now} ms"),
            Decision::Step(stage, reason) => {
                assert_eq!((stage, reason), (Stage::RolledBack, StepReason::NotJudged));
                break;
            }
        }
    }
    assert!(now < DURATION, "{now}");
}

#[test]
fn a_service_without_requests_shifts_once_routers_report_so() {
    let rules = RolloutRules::default();
    let mut active = ActiveRollout::new(rollout(Stage::Canary), 0, 0);
    let mut now = 0;
    loop {
        now += WINDOW_MS;
        active.record_report(now, ROUTER, &report(Vec::new(), 0));
        match active.decide(now, &service_state(), &rules).decision {
            Decision::Step(Stage::Shifting, reason) => {
                assert_eq!(reason, StepReason::Idle);
                active.adopt(now, Stage::Shifting);
            }
            Decision::Step(stage, reason) => {
                assert_eq!((stage, reason), (Stage::Done, StepReason::OldEmpty));
                break;
            }
            Decision::Grant(_) => {}
        }
    }
    assert!(now < DURATION, "{now}");
}
