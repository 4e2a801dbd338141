//! What follows in each situation.

use crate::rollout::plan::Situation;
use crate::rollout::{Decision, RolloutRules, Stage, Why, canary_permille, decide};

const DURATION: u64 = 12_000;

/// A roll-out in the middle of its canary stage, all well.
fn canary() -> Situation {
    Situation {
        stage: Stage::Canary,
        elapsed_ms: 4_000,
        duration_ms: DURATION,
        in_stage_ms: 4_000,
        at_part_ms: 3_900,
        permille: canary_permille(&RolloutRules::default()),
        level: 0.0,
        suspicious_ms: 0,
        new_answers: 200,
        counted_ms: 4_000,
        new_sent: 220.0,
        sent_per_ms: 1.0,
        new_slots: 40,
        old_slots: 40,
        without_old_ms: 0,
        has_heard: true,
        is_old_empty: false,
    }
}

fn shifting() -> Situation {
    Situation {
        stage: Stage::Shifting,
        elapsed_ms: 9_000,
        in_stage_ms: 1_000,
        at_part_ms: 1_000,
        permille: 1_000,
        new_sent: 1_500.0,
        counted_ms: 9_000,
        ..canary()
    }
}

fn next(now: &Situation) -> Decision {
    decide(now, &RolloutRules::default())
}

const ROLLED_BACK: Stage = Stage::RolledBack;

#[test]
fn the_small_part_lasts_as_long_as_the_deadline_allows() {
    assert_eq!(next(&canary()), Decision::Grant(55));
    let late = Situation { elapsed_ms: 6_800, ..canary() };
    assert_eq!(next(&late), Decision::Grant(120));
}

#[test]
fn the_part_grows_in_steps_until_all_goes_over() {
    let mut now = Situation { elapsed_ms: 7_000, ..canary() };
    let mut parts = Vec::new();
    loop {
        match next(&now) {
            Decision::Grant(part) => {
                parts.push(part);
                now.permille = part;
            }
            Decision::Step(stage, why) => {
                assert_eq!((stage, why), (Stage::Shifting, Why::Good));
                break;
            }
        }
    }
    assert_eq!(parts, [120, 250, 500]);
    let early = Situation { at_part_ms: 100, permille: 250, ..now };
    assert_eq!(next(&early), Decision::Grant(250));
}

#[test]
fn a_bad_release_is_rolled_back_at_every_stage() {
    for now in [canary(), shifting()] {
        let bad = Situation { level: 1.0, ..now };
        assert_eq!(next(&bad), Decision::Step(ROLLED_BACK, Why::Bad));
    }
}

#[test]
fn a_suspicious_release_gets_no_more() {
    let now = Situation { elapsed_ms: 8_000, permille: 120, level: 0.8, ..canary() };
    assert_eq!(next(&now), Decision::Grant(120));
}

#[test]
fn a_suspicious_release_that_has_had_its_share_is_rolled_back() {
    let now = Situation { level: 0.8, new_sent: 1_300.0, ..canary() };
    assert_eq!(next(&now), Decision::Step(ROLLED_BACK, Why::SuspiciousTooLong));
}

#[test]
fn a_release_that_stays_suspicious_is_rolled_back() {
    let now = Situation { level: 0.8, suspicious_ms: 2_400, ..canary() };
    assert_eq!(next(&now), Decision::Grant(55));
    let longer = Situation { suspicious_ms: 2_500, ..now };
    assert_eq!(next(&longer), Decision::Step(ROLLED_BACK, Why::SuspiciousTooLong));
}

#[test]
fn nothing_is_granted_while_no_endpoint_of_the_release_takes_work() {
    for now in [canary(), shifting()] {
        assert_eq!(next(&Situation { new_slots: 0, ..now }), Decision::Grant(0));
    }
}

#[test]
fn a_release_with_too_few_endpoints_gets_no_more_until_the_last_seconds() {
    let few = Situation { elapsed_ms: 8_000, new_slots: 10, ..canary() };
    assert_eq!(next(&few), Decision::Grant(55));
    assert_eq!(next(&Situation { elapsed_ms: 9_600, ..few }), Decision::Grant(120));
}

#[test]
fn a_release_that_nobody_could_judge_is_rolled_back_in_time() {
    let unseen = Situation { elapsed_ms: 8_000, new_answers: 3, ..canary() };
    assert_eq!(next(&unseen), Decision::Grant(55));
    let late = Situation { elapsed_ms: 11_600, ..unseen };
    assert_eq!(next(&late), Decision::Step(ROLLED_BACK, Why::NotJudged));
}

#[test]
fn a_service_without_requests_is_rolled_over_all_the_same() {
    let idle = Situation {
        elapsed_ms: 9_000,
        permille: 500,
        new_answers: 0,
        new_sent: 0.0,
        sent_per_ms: 0.0,
        ..canary()
    };
    assert_eq!(next(&idle), Decision::Step(Stage::Shifting, Why::Idle));
    let unheard = Situation { has_heard: false, ..idle };
    assert_eq!(next(&unheard), Decision::Grant(500), "routers may have much to tell");
    let new_leader = Situation { counted_ms: 600, ..idle };
    assert_eq!(next(&new_leader), Decision::Grant(500), "it has hardly counted");
}

/// 200 requests a second are enough to judge a release in seconds.
#[test]
fn a_leader_that_took_over_does_not_take_a_service_for_idle() {
    let taken_over = Situation {
        elapsed_ms: 9_000,
        counted_ms: 2_500,
        permille: 500,
        new_answers: 12,
        sent_per_ms: 0.2,
        ..canary()
    };
    assert_eq!(next(&taken_over), Decision::Grant(500));
}

#[test]
fn it_is_done_once_nothing_runs_on_old_releases() {
    assert_eq!(next(&shifting()), Decision::Grant(1_000));
    let empty = Situation { is_old_empty: true, ..shifting() };
    assert_eq!(next(&empty), Decision::Step(Stage::Done, Why::OldEmpty));
    let just_begun = Situation { in_stage_ms: 300, ..empty };
    assert_eq!(next(&just_begun), Decision::Grant(1_000), "grants of before may still hold");
}

#[test]
fn it_is_done_in_time_though_something_runs_on_old_releases() {
    let late = Situation { elapsed_ms: 11_600, ..shifting() };
    assert_eq!(next(&late), Decision::Step(Stage::Done, Why::TimeOver));
    let suspicious = Situation { level: 0.8, ..late };
    assert_eq!(next(&suspicious), Decision::Step(ROLLED_BACK, Why::SuspiciousTooLong));
}

#[test]
fn it_is_done_where_no_old_endpoint_is_left() {
    let alone = Situation { without_old_ms: 3_000, old_slots: 0, ..canary() };
    assert_eq!(next(&alone), Decision::Step(Stage::Done, Why::NoOldLeft));
    let nobody = Situation { new_slots: 0, ..alone };
    assert_eq!(next(&nobody), Decision::Grant(0));
}

/// A leader that has just started hears of the endpoints one after the other.
#[test]
fn it_is_not_done_because_old_endpoints_were_not_heard_yet() {
    let started = Situation { without_old_ms: 100, old_slots: 0, ..canary() };
    assert!(matches!(next(&started), Decision::Grant(_)));
    let shifting = Situation { without_old_ms: 1_500, old_slots: 0, ..shifting() };
    assert_eq!(next(&shifting), Decision::Grant(1_000));
    let late = Situation { elapsed_ms: 11_600, ..started };
    assert!(matches!(next(&late), Decision::Grant(_)), "nothing else may be there to serve");
}

#[test]
fn nothing_follows_the_last_stages() {
    for stage in [Stage::Done, Stage::RolledBack] {
        assert_eq!(next(&Situation { stage, level: 2.0, ..canary() }), Decision::Grant(0));
    }
}
