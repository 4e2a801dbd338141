//! How a router divides its requests.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::*;
use crate::eligibility::VersionRule;

/// What a request of one service meets.
struct World {
    rollout: Rollout,
    grant: Option<Grant>,
    old_takes_work: bool,
}

impl World {
    fn new(stage: Stage, permille: Option<u32>) -> World {
        let grant =
            |permille| Grant { service: "llm".into(), number: 1, permille, highest_order: 9 };
        World {
            rollout: Rollout { number: 1, order: order("v2", 0), stage, stage_at_ms: 0 },
            grant: permille.map(grant),
            old_takes_work: true,
        }
    }

    fn ask(
        &self,
        splits: &mut TrafficSplitter,
        turn: &mut ReleaseChoice,
        offset: f64,
    ) -> Option<VersionRule> {
        self.with(|situation| splits.rule(turn, "chat", offset, situation).0)
    }

    fn first(&self) -> Option<VersionRule> {
        self.ask(&mut TrafficSplitter::default(), &mut ReleaseChoice::default(), 0.999)
    }

    fn with<T>(&self, f: impl FnOnce(&RouterState<'_>) -> T) -> T {
        let grant = self.grant.as_ref();
        let rollout = Some(&self.rollout);
        f(&RouterState { rollout, grant, others_take_work: self.old_takes_work })
    }
}

fn not_new() -> Option<VersionRule> {
    Some(VersionRule::Not("v2".into()))
}

fn only(version: &str, highest_order: u32) -> Option<VersionRule> {
    Some(VersionRule::Only { version: version.into(), highest_order })
}

#[test]
fn routers_with_few_requests_each_keep_to_the_part_at_any_time() {
    const ROUTERS: usize = 300;
    // A sum of 300 independent roundings: five standard deviations of at most a half each.
    const BOUND: f64 = 5.0 * 0.5 * 17.33;
    let world = World::new(Stage::Canary, Some(40));
    let mut random = StdRng::seed_from_u64(1);
    let mut splits = vec![TrafficSplitter::default(); ROUTERS];
    let mut asked = 0.0;
    let (mut sent, mut furthest) = (0.0_f64, 0.0_f64);
    for round in 1..=60 {
        for splits in &mut splits {
            // A request every five rounds or so.
            if random.random::<f64>() > 0.2 {
                continue;
            }
            asked += 1.0;
            let rule = world.ask(splits, &mut ReleaseChoice::default(), random.random());
            sent += f64::from(u8::from(rule == only("v2", 9)));
        }
        let part = asked * 0.04;
        furthest = furthest.max((sent - part).abs());
        assert!((sent - part).abs() <= BOUND, "{sent} of {part} after {round} rounds");
    }
    println!("{ROUTERS} routers are at most {furthest:.1} requests off the part");
}

#[test]
fn a_request_that_asks_again_counts_once() {
    let world = World::new(Stage::Canary, Some(500));
    let mut splits = TrafficSplitter::default();
    let mut sent = 0;
    for _ in 0..100 {
        let mut turn = ReleaseChoice::default();
        let rule = world.ask(&mut splits, &mut turn, 0.0);
        (0..5).for_each(|_| assert_eq!(world.ask(&mut splits, &mut turn, 0.0), rule));
        sent += usize::from(rule == only("v2", 9));
    }
    assert_eq!(sent, 50);
}

#[test]
fn without_a_grant_the_new_release_gets_nothing_as_long_as_another_takes_work() {
    for stage in [Stage::Canary, Stage::Shifting] {
        let mut world = World::new(stage, None);
        assert_eq!(world.first(), not_new());
        world.old_takes_work = false;
        assert_eq!(world.first(), Some(VersionRule::Any));
    }
}

#[test]
fn a_grant_that_ends_in_the_middle_takes_a_drawn_request_back() {
    let mut world = World::new(Stage::Canary, Some(500));
    let (mut splits, mut turn) = (TrafficSplitter::default(), ReleaseChoice::default());
    assert_eq!(world.ask(&mut splits, &mut turn, 0.5), only("v2", 9));
    world.grant = None;
    assert_eq!(world.ask(&mut splits, &mut turn, 0.5), not_new());
}

#[test]
fn all_requests_go_to_the_new_release_also_those_that_drew_another() {
    let mut world = World::new(Stage::Shifting, Some(10));
    let (mut splits, mut turn) = (TrafficSplitter::default(), ReleaseChoice::default());
    assert_eq!(world.ask(&mut splits, &mut turn, 0.0), not_new());
    world.grant = Some(Grant { permille: 1_000, ..world.grant.unwrap() });
    assert_eq!(world.ask(&mut splits, &mut turn, 0.0), only("v2", 9));
}

#[test]
fn what_was_rolled_back_gets_nothing_whatever_was_granted_or_drawn() {
    let mut world = World::new(Stage::Canary, Some(500));
    let (mut splits, mut turn) = (TrafficSplitter::default(), ReleaseChoice::default());
    assert_eq!(world.ask(&mut splits, &mut turn, 0.5), only("v2", 9));
    world.rollout.stage = Stage::RolledBack;
    assert_eq!(world.ask(&mut splits, &mut turn, 0.5), not_new());
    world.old_takes_work = false;
    assert_eq!(world.first(), not_new());
    let mut bound = ReleaseChoice::default();
    bound.bind("v2");
    assert_eq!(world.ask(&mut splits, &mut bound, 0.5), None);
}

/// The endpoints of the old releases are retired then; what comes later is as good as any.
#[test]
fn at_the_end_no_release_is_left_out() {
    let world = World::new(Stage::Done, None);
    assert_eq!(world.first(), Some(VersionRule::Any));
}

#[test]
fn a_request_that_failed_at_the_new_release_or_had_no_place_goes_to_another() {
    let mut world = World::new(Stage::Canary, Some(999));
    let (mut splits, mut turn) = (TrafficSplitter::default(), ReleaseChoice::default());
    assert_eq!(world.ask(&mut splits, &mut turn, 0.5), only("v2", 9));
    turn.record_failure_at_new(1);
    assert_eq!(world.ask(&mut splits, &mut turn, 0.5), not_new());
    // Once all go there, it tries another endpoint of the new release.
    world.grant = Some(Grant { permille: 1_000, ..world.grant.unwrap() });
    assert_eq!(world.ask(&mut splits, &mut turn, 0.5), only("v2", 9));
    assert!(turn.record_no_place_at_new(1));
    assert_eq!(world.ask(&mut splits, &mut turn, 0.5), not_new());
    assert!(!turn.record_no_place_at_new(1), "asked there already");
}

#[test]
fn a_begun_answer_goes_on_at_its_release_only() {
    let world = World::new(Stage::Canary, Some(10));
    let mut splits = TrafficSplitter::default();
    let mut turn = ReleaseChoice::default();
    turn.bind("v1");
    assert_eq!(world.ask(&mut splits, &mut turn, 0.0), only("v1", u32::MAX));
    turn.bind("v2");
    assert_eq!(world.ask(&mut splits, &mut turn, 0.0), only("v2", 9));
    let cut_off = World::new(Stage::Canary, None);
    assert_eq!(cut_off.ask(&mut splits, &mut turn, 0.0), None);
    let ended = World::new(Stage::Done, None);
    assert_eq!(ended.ask(&mut splits, &mut turn, 0.0), only("v2", u32::MAX));
    let nothing = RouterState { rollout: None, grant: None, others_take_work: true };
    assert_eq!(splits.rule(&mut turn, "chat", 0.0, &nothing).0, only("v2", u32::MAX));
}

#[test]
fn answers_that_go_on_at_the_new_release_are_part_of_its_part() {
    let world = World::new(Stage::Canary, Some(100));
    let mut splits = TrafficSplitter::default();
    let mut sent = 0;
    for _ in 0..1_000 {
        let mut turn = ReleaseChoice::default();
        if world.ask(&mut splits, &mut turn, 0.5) != only("v2", 9) {
            continue;
        }
        sent += 1;
        // Every answer of the new release breaks off twice.
        turn.bind("v2");
        for _ in 0..2 {
            sent += i32::from(world.with(|s| splits.try_resume(&turn, "chat", 0.5, s)));
        }
    }
    assert!((98..=102).contains(&sent), "{sent}");
}

#[test]
fn a_later_roll_out_of_the_service_is_drawn_for_anew() {
    let mut world = World::new(Stage::Canary, Some(500));
    let (mut splits, mut turn) = (TrafficSplitter::default(), ReleaseChoice::default());
    assert_eq!(world.ask(&mut splits, &mut turn, 0.5), only("v2", 9));
    world.rollout.number = 2;
    world.rollout.order.version = "v3".into();
    assert_eq!(world.ask(&mut splits, &mut turn, 0.1), Some(VersionRule::Not("v3".into())));
}

#[test]
fn without_a_roll_out_any_release_runs_a_request() {
    let nothing = RouterState { rollout: None, grant: None, others_take_work: true };
    let (rule, cause) =
        TrafficSplitter::default().rule(&mut ReleaseChoice::default(), "chat", 0.5, &nothing);
    assert_eq!((rule, cause), (Some(VersionRule::Any), SplitReason::NoRollout));
}
