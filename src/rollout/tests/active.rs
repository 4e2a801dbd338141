//! Whole roll-outs at the host that leads, with generated answers of routers.

use super::streams::{BUSY, Matter, QUIET, Route, Stream, WINDOW_MS};
use crate::rollout::{
    ActiveRollout, Decision, Order, Rollout, RolloutEndpoint, RolloutRules, RouteTally,
    ServiceReport, ServiceState, Stage, Why,
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

/// How a played roll-out ended.
#[derive(Debug)]
struct Ended {
    stage: Stage,
    why: Why,
    at_ms: u64,
    /// Part of all requests until the deadline that the new release got.
    exposure: f64,
}

/// Plays a roll-out of the busy service to its end, from a stage and a time on.
fn play(matter: Matter, seed: u64, stage: Stage, from_ms: u64) -> Ended {
    play_within(DURATION, &BUSY, matter, seed, stage, from_ms)
}

fn play_within(
    duration_ms: u64,
    routes: &'static [Route],
    matter: Matter,
    seed: u64,
    stage: Stage,
    from_ms: u64,
) -> Ended {
    let rules = RolloutRules::default();
    let mut active = ActiveRollout::new(rollout_within(stage, duration_ms), from_ms, from_ms);
    let mut stream = Stream::new(routes, matter, 0.0, seed);
    let per_ms: f64 = routes.iter().map(|route| route.per_second / 1_000.0).sum();
    let mut shifting_since = from_ms;
    let mut now = from_ms;
    loop {
        now += WINDOW_MS;
        let (tallies, _) = stream.next();
        let open_on_old = if now > shifting_since + 2_000 { 0 } else { 30 };
        active.record_report(now, ROUTER, &report(tallies, open_on_old));
        let decided = active.decide(now, &service_state(), &rules);
        let part = decided.grant.map_or(0, |grant| grant.permille);
        match decided.decision {
            Decision::Step(stage, why) if stage.is_final() => {
                let exposure = active.progress().sent_new as f64 / (per_ms * duration_ms as f64);
                return Ended { stage, why, at_ms: now, exposure };
            }
            Decision::Step(stage, _) => {
                shifting_since = now;
                active.adopt(now, stage);
            }
            Decision::Grant(_) => stream.part = f64::from(part) / 1_000.0,
        }
        assert!(now < 2 * duration_ms, "no end");
    }
}

#[test]
fn a_good_release_is_done_in_time() {
    for seed in 0..20 {
        let ended = play(Matter::Good, seed, Stage::Canary, 0);
        assert_eq!((ended.stage, ended.why), (Stage::Done, Why::OldEmpty), "{seed}: {ended:?}");
        assert!(ended.at_ms < DURATION, "{ended:?}");
    }
}

#[test]
fn a_bad_release_gets_less_than_its_share() {
    let matters = [
        Matter::Fails { from: 0, part: 0.2 },
        Matter::Fails { from: 0, part: 1.0 },
        Matter::Fails { from: 50, part: 0.3 },
        Matter::Fails { from: 75, part: 0.3 },
        Matter::FailsOnOneRoute { part: 0.3 },
        Matter::FailsUnderLoad { part: 0.3 },
        Matter::Slower { from: 0, times: 2.5 },
        Matter::Slower { from: 70, times: 4.0 },
    ];
    for matter in matters {
        for seed in 0..20 {
            let ended = play(matter, seed, Stage::Canary, 0);
            assert_eq!(ended.stage, Stage::RolledBack, "{matter:?} {seed}: {ended:?}");
            assert!(ended.at_ms < DURATION && ended.exposure < 0.1, "{matter:?}: {ended:?}");
        }
    }
}

#[test]
fn the_bounds_hold_whatever_the_time_and_the_traffic() {
    for duration_ms in [10_000, 20_000, 30_000, 60_000] {
        for routes in [&BUSY[..], &QUIET[..]] {
            for seed in 0..10 {
                let play =
                    |matter| play_within(duration_ms, routes, matter, seed, Stage::Canary, 0);
                let good = play(Matter::Good);
                let is_in_time = good.stage == Stage::Done && good.at_ms < duration_ms;
                assert!(is_in_time, "{duration_ms} {seed}: {good:?}");
                let from = duration_ms as usize / 200;
                for matter in [
                    Matter::Fails { from: 0, part: 0.2 },
                    Matter::Fails { from, part: 0.3 },
                    Matter::Slower { from: 0, times: 2.5 },
                    Matter::Slower { from, times: 4.0 },
                ] {
                    let bad = play(matter);
                    let per_ms: f64 = routes.iter().map(|r| r.per_second / 1_000.0).sum();
                    let slack = 50.0 / (per_ms * duration_ms as f64);
                    let is_kept = bad.stage == Stage::RolledBack && bad.exposure < 0.1 + slack;
                    assert!(is_kept, "{matter:?} {duration_ms} {seed}: {bad:?}");
                }
            }
        }
    }
}

#[test]
fn a_new_leader_goes_on_from_the_canary_stage() {
    let good = play(Matter::Good, 1, Stage::Canary, 5_000);
    assert!(good.stage == Stage::Done && good.at_ms < DURATION, "{good:?}");
    let bad = play(Matter::Fails { from: 0, part: 0.3 }, 1, Stage::Canary, 5_000);
    assert_eq!(bad.stage, Stage::RolledBack);
}

#[test]
fn a_new_leader_goes_on_from_the_shifting_stage() {
    let good = play(Matter::Good, 1, Stage::Shifting, 9_000);
    assert!(good.stage == Stage::Done && good.at_ms < DURATION, "{good:?}");
    let bad = play(Matter::Fails { from: 3, part: 0.3 }, 1, Stage::Shifting, 9_000);
    assert_eq!(bad.stage, Stage::RolledBack);
}

#[test]
fn lost_reports_count_nothing_and_old_ones_keep_no_router_empty() {
    let mut active = ActiveRollout::new(rollout(Stage::Shifting), 0, 9_000);
    let rules = RolloutRules::default();
    active.record_report(100, ROUTER, &report(Vec::new(), 0));
    let decided = active.decide(900, &service_state(), &rules);
    assert!(matches!(decided.decision, Decision::Step(Stage::Done, Why::OldEmpty)));
    let decided = active.decide(1_100, &service_state(), &rules);
    assert_eq!(decided.decision, Decision::Grant(1_000), "nothing heard for a second");
}

#[test]
fn a_report_about_an_earlier_order_counts_nothing() {
    let mut active = ActiveRollout::new(rollout(Stage::Canary), 0, 0);
    let (tallies, _) = Stream::new(&BUSY, Matter::Good, 0.5, 1).next();
    active.record_report(100, ROUTER, &ServiceReport { number: 9, ..report(tallies, 0) });
    assert_eq!(active.progress().sent_new + active.progress().sent_old, 0);
}

#[test]
fn few_endpoints_get_the_small_part_each_at_the_load_of_an_old_one() {
    let mut active = ActiveRollout::new(rollout(Stage::Canary), 0, 0);
    let grant = active.decide(100, &service_state(), &RolloutRules::default()).grant.unwrap();
    // 55 of 1,000 requests are those of 2.2 of 40 endpoints.
    assert_eq!((grant.permille, grant.highest_order), (55, 2_000));
}

#[test]
fn endpoints_that_have_just_started_wait_for_the_warm_ones() {
    let mut around = service_state();
    around
        .endpoints
        .iter_mut()
        .filter(|endpoint| endpoint.is_new)
        .for_each(|endpoint| endpoint.is_cold = true);
    let mut active = ActiveRollout::new(rollout(Stage::Canary), 0, 0);
    let rules = RolloutRules::default();
    assert_eq!(active.decide(100, &around, &rules).grant, None);
    assert!(active.decide(5_000, &around, &rules).grant.is_some(), "none is warm in time");
}

#[test]
fn what_is_rejected_once_gets_nothing_until_that_is_agreed() {
    let rules = RolloutRules::default();
    let mut active = ActiveRollout::new(rollout(Stage::Canary), 0, 0);
    let mut stream = Stream::new(&BUSY, Matter::Fails { from: 0, part: 1.0 }, 0.05, 1);
    let mut now = 0;
    while now < 3_000 {
        now += WINDOW_MS;
        active.record_report(now, ROUTER, &report(stream.next().0, 9));
        if active.decide(now, &service_state(), &rules).decision
            == Decision::Step(Stage::RolledBack, Why::Bad)
        {
            break;
        }
    }
    stream.matter = Matter::Good;
    for _ in 0..50 {
        now += WINDOW_MS;
        active.record_report(now, ROUTER, &report(stream.next().0, 9));
        let decided = active.decide(now, &service_state(), &rules);
        assert_eq!(decided.decision, Decision::Step(Stage::RolledBack, Why::Bad));
        assert_eq!(decided.grant, None);
    }
}

#[test]
fn a_release_of_which_no_router_reports_is_rolled_back_at_the_deadline() {
    let rules = RolloutRules::default();
    let mut active = ActiveRollout::new(rollout(Stage::Canary), 0, 0);
    let mut now = 0;
    loop {
        now += WINDOW_MS;
        match active.decide(now, &service_state(), &rules).decision {
            Decision::Grant(part) => assert_eq!(part, 55, "at {now} ms"),
            Decision::Step(stage, why) => {
                assert_eq!((stage, why), (Stage::RolledBack, Why::NotJudged));
                break;
            }
        }
    }
    assert!(now < DURATION, "{now}");
}

#[test]
fn a_service_without_requests_is_rolled_over_where_routers_say_so() {
    let rules = RolloutRules::default();
    let mut active = ActiveRollout::new(rollout(Stage::Canary), 0, 0);
    let mut now = 0;
    loop {
        now += WINDOW_MS;
        active.record_report(now, ROUTER, &report(Vec::new(), 0));
        match active.decide(now, &service_state(), &rules).decision {
            Decision::Step(Stage::Shifting, why) => {
                assert_eq!(why, Why::Idle);
                active.adopt(now, Stage::Shifting);
            }
            Decision::Step(stage, why) => {
                assert_eq!((stage, why), (Stage::Done, Why::OldEmpty));
                break;
            }
            Decision::Grant(_) => {}
        }
    }
    assert!(now < DURATION, "{now}");
}
