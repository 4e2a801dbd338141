//! Splitting requests between releases.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::*;
use crate::eligibility::VersionRule;

/// State of a service with one rollout.
struct Scenario {
    rollout: Rollout,
    grant: Option<Grant>,
    others_accept_requests: bool,
}

impl Scenario {
    fn new(stage: Stage, permille: Option<u32>) -> Scenario {
        let grant =
            |permille| Grant { service: "llm".into(), number: 1, permille, highest_order: 9 };
        Scenario {
            rollout: Rollout { number: 1, order: order("v2", 0), stage, stage_at_ms: 0 },
            grant: permille.map(grant),
            others_accept_requests: true,
        }
    }

    fn rule(
        &self,
        splitter: &mut TrafficSplitter,
        choice: &mut ReleaseChoice,
        offset: f64,
    ) -> Option<VersionRule> {
        self.with(|state| splitter.rule(choice, "chat", offset, state).0)
    }

    fn first(&self) -> Option<VersionRule> {
        self.rule(&mut TrafficSplitter::default(), &mut ReleaseChoice::default(), 0.999)
    }

    fn with<T>(&self, f: impl FnOnce(&RouterState<'_>) -> T) -> T {
        let grant = self.grant.as_ref();
        let rollout = Some(&self.rollout);
        f(&RouterState { rollout, grant, others_accept_requests: self.others_accept_requests })
    }
}

fn not_new() -> Option<VersionRule> {
    Some(VersionRule::Not("v2".into()))
}

fn only(version: &str, highest_order: u32) -> Option<VersionRule> {
    Some(VersionRule::Only { version: version.into(), highest_order })
}

#[test]
fn routers_with_few_requests_each_keep_to_the_granted_fraction() {
    const ROUTERS: usize = 300;
    // A sum of 300 independent roundings: five standard deviations of the sum, where each
    // rounding has a standard deviation of at most a half.
    const BOUND: f64 = 5.0 * 0.5 * 17.33;
    let scenario = Scenario::new(Stage::Canary, Some(40));
    let mut random = StdRng::seed_from_u64(1);
    let mut splitters = vec![TrafficSplitter::default(); ROUTERS];
    let mut requests = 0.0;
    let (mut sent, mut largest_error) = (0.0_f64, 0.0_f64);
    for round in 1..=60 {
        for splitter in &mut splitters {
            // On average one request in five rounds.
            if random.random::<f64>() > 0.2 {
                continue;
            }
            requests += 1.0;
            let rule = scenario.rule(splitter, &mut ReleaseChoice::default(), random.random());
            sent += f64::from(u8::from(rule == only("v2", 9)));
        }
        let expected = requests * 0.04;
        largest_error = largest_error.max((sent - expected).abs());
        assert!((sent - expected).abs() <= BOUND, "{sent} of {expected} after {round} rounds");
    }
    println!("{ROUTERS} routers are at most {largest_error:.1} requests off the granted fraction");
}

#[test]
fn a_request_that_is_routed_again_keeps_its_release_and_counts_once() {
    let scenario = Scenario::new(Stage::Canary, Some(500));
    let mut splitter = TrafficSplitter::default();
    let mut sent = 0;
    for _ in 0..100 {
        let mut choice = ReleaseChoice::default();
        let rule = scenario.rule(&mut splitter, &mut choice, 0.0);
        (0..5).for_each(|_| assert_eq!(scenario.rule(&mut splitter, &mut choice, 0.0), rule));
        sent += usize::from(rule == only("v2", 9));
    }
    assert_eq!(sent, 50);
}

#[test]
fn without_a_grant_the_new_release_gets_nothing_as_long_as_another_accepts_requests() {
    for stage in [Stage::Canary, Stage::Shifting] {
        let mut scenario = Scenario::new(stage, None);
        assert_eq!(scenario.first(), not_new());
        scenario.others_accept_requests = false;
        assert_eq!(scenario.first(), Some(VersionRule::Any));
    }
}

#[test]
fn a_request_drawn_for_the_new_release_goes_to_an_old_one_once_its_grant_expires() {
    let mut scenario = Scenario::new(Stage::Canary, Some(500));
    let (mut splitter, mut choice) = (TrafficSplitter::default(), ReleaseChoice::default());
    assert_eq!(scenario.rule(&mut splitter, &mut choice, 0.5), only("v2", 9));
    scenario.grant = None;
    assert_eq!(scenario.rule(&mut splitter, &mut choice, 0.5), not_new());
}

#[test]
fn all_requests_go_to_the_new_release_including_those_that_drew_an_old_one() {
    let mut scenario = Scenario::new(Stage::Shifting, Some(10));
    let (mut splitter, mut choice) = (TrafficSplitter::default(), ReleaseChoice::default());
    assert_eq!(scenario.rule(&mut splitter, &mut choice, 0.0), not_new());
    scenario.grant = Some(Grant { permille: 1_000, ..scenario.grant.unwrap() });
    assert_eq!(scenario.rule(&mut splitter, &mut choice, 0.0), only("v2", 9));
}

#[test]
fn a_rolled_back_release_gets_no_requests_whatever_was_granted_or_drawn() {
    let mut scenario = Scenario::new(Stage::Canary, Some(500));
    let (mut splitter, mut choice) = (TrafficSplitter::default(), ReleaseChoice::default());
    assert_eq!(scenario.rule(&mut splitter, &mut choice, 0.5), only("v2", 9));
    scenario.rollout.stage = Stage::RolledBack;
    assert_eq!(scenario.rule(&mut splitter, &mut choice, 0.5), not_new());
    scenario.others_accept_requests = false;
    assert_eq!(scenario.first(), not_new());
    let mut bound = ReleaseChoice::default();
    bound.bind("v2");
    assert_eq!(scenario.rule(&mut splitter, &mut bound, 0.5), None);
}

/// Endpoints of the old releases are retired by then, and later versions may take any request.
#[test]
fn any_release_may_serve_once_the_rollout_is_done() {
    let scenario = Scenario::new(Stage::Done, None);
    assert_eq!(scenario.first(), Some(VersionRule::Any));
}

#[test]
fn a_request_that_failed_or_had_no_place_at_the_new_release_goes_to_an_old_one() {
    let mut scenario = Scenario::new(Stage::Canary, Some(999));
    let (mut splitter, mut choice) = (TrafficSplitter::default(), ReleaseChoice::default());
    assert_eq!(scenario.rule(&mut splitter, &mut choice, 0.5), only("v2", 9));
    choice.record_failure_at_new(1);
    assert_eq!(scenario.rule(&mut splitter, &mut choice, 0.5), not_new());
    // Once all requests go to the new release, it tries another endpoint of that release.
    scenario.grant = Some(Grant { permille: 1_000, ..scenario.grant.unwrap() });
    assert_eq!(scenario.rule(&mut splitter, &mut choice, 0.5), only("v2", 9));
    assert!(choice.record_no_place_at_new(1));
    assert_eq!(scenario.rule(&mut splitter, &mut choice, 0.5), not_new());
    assert!(!choice.record_no_place_at_new(1), "no place was recorded before");
}

#[test]
fn a_begun_answer_is_resumed_at_its_release_only() {
    let scenario = Scenario::new(Stage::Canary, Some(10));
    let mut splitter = TrafficSplitter::default();
    let mut choice = ReleaseChoice::default();
    choice.bind("v1");
    assert_eq!(scenario.rule(&mut splitter, &mut choice, 0.0), only("v1", u32::MAX));
    choice.bind("v2");
    assert_eq!(scenario.rule(&mut splitter, &mut choice, 0.0), only("v2", 9));
    let cut_off = Scenario::new(Stage::Canary, None);
    assert_eq!(cut_off.rule(&mut splitter, &mut choice, 0.0), None);
    let ended = Scenario::new(Stage::Done, None);
    assert_eq!(ended.rule(&mut splitter, &mut choice, 0.0), only("v2", u32::MAX));
    let state = RouterState { rollout: None, grant: None, others_accept_requests: true };
    assert_eq!(splitter.rule(&mut choice, "chat", 0.0, &state).0, only("v2", u32::MAX));
}

#[test]
fn answers_resumed_at_the_new_release_count_towards_its_fraction() {
    let scenario = Scenario::new(Stage::Canary, Some(100));
    let mut splitter = TrafficSplitter::default();
    let mut sent = 0;
    for _ in 0..1_000 {
        let mut choice = ReleaseChoice::default();
        if scenario.rule(&mut splitter, &mut choice, 0.5) != only("v2", 9) {
            continue;
        }
        sent += 1;
        // Every answer of the new release ends early twice.
        choice.bind("v2");
        for _ in 0..2 {
            sent += i32::from(scenario.with(|s| splitter.try_resume(&choice, "chat", 0.5, s)));
        }
    }
    assert!((98..=102).contains(&sent), "{sent}");
}

#[test]
fn a_request_draws_again_for_a_later_rollout() {
    let mut scenario = Scenario::new(Stage::Canary, Some(500));
    let (mut splitter, mut choice) = (TrafficSplitter::default(), ReleaseChoice::default());
    assert_eq!(scenario.rule(&mut splitter, &mut choice, 0.5), only("v2", 9));
    scenario.rollout.number = 2;
    scenario.rollout.order.version = "v3".into();
    assert_eq!(scenario.rule(&mut splitter, &mut choice, 0.1), Some(VersionRule::Not("v3".into())));
}

#[test]
fn without_a_rollout_any_release_may_serve() {
    let state = RouterState { rollout: None, grant: None, others_accept_requests: true };
    let (rule, reason) =
        TrafficSplitter::default().rule(&mut ReleaseChoice::default(), "chat", 0.5, &state);
    assert_eq!((rule, reason), (Some(VersionRule::Any), SplitReason::NoRollout));
}
