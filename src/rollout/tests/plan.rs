//! Decisions on the next step of a rollout.

use crate::rollout::plan::Situation;
use crate::rollout::{Decision, RolloutRules, Stage, StepReason, canary_permille, decide};

const DURATION: u64 = 12_000;

/// A rollout of a good release in the middle of its canary stage.
fn canary() -> Situation {
    Situation {
        stage: Stage::Canary,
        elapsed_ms: 4_000,
        duration_ms: DURATION,
        in_stage_ms: 4_000,
        at_permille_ms: 3_900,
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
        has_recent_reports: true,
        is_old_empty: false,
    }
}

fn shifting() -> Situation {
    Situation {
        stage: Stage::Shifting,
        elapsed_ms: 9_000,
        in_stage_ms: 1_000,
        at_permille_ms: 1_000,
        permille: 1_000,
        new_sent: 1_500.0,
        counted_ms: 9_000,
        ..canary()
    }
}

fn next_step(situation: &Situation) -> Decision {
    decide(situation, &RolloutRules::default())
}

const ROLLED_BACK: Stage = Stage::RolledBack;

#[test]
fn the_canary_fraction_lasts_as_long_as_the_deadline_allows() {
    assert_eq!(next_step(&canary()), Decision::Grant(55));
    let late = Situation { elapsed_ms: 6_800, ..canary() };
    assert_eq!(next_step(&late), Decision::Grant(120));
}

#[test]
fn the_fraction_grows_in_steps_until_all_requests_shift() {
    let mut situation = Situation { elapsed_ms: 7_000, ..canary() };
    let mut permilles = Vec::new();
    loop {
        match next_step(&situation) {
            Decision::Grant(permille) => {
                permilles.push(permille);
                situation.permille = permille;
            }
            Decision::Step(stage, reason) => {
                assert_eq!((stage, reason), (Stage::Shifting, StepReason::Good));
                break;
            }
        }
    }
    assert_eq!(permilles, [120, 250, 500]);
    let early = Situation { at_permille_ms: 100, permille: 250, ..situation };
    assert_eq!(next_step(&early), Decision::Grant(250));
}

#[test]
fn a_bad_release_is_rolled_back_at_every_stage() {
    for situation in [canary(), shifting()] {
        let bad = Situation { level: 1.0, ..situation };
        assert_eq!(next_step(&bad), Decision::Step(ROLLED_BACK, StepReason::Bad));
    }
}

#[test]
fn the_fraction_of_a_suspicious_release_does_not_grow() {
    let situation = Situation { elapsed_ms: 8_000, permille: 120, level: 0.8, ..canary() };
    assert_eq!(next_step(&situation), Decision::Grant(120));
}

#[test]
fn a_suspicious_release_that_has_received_its_share_is_rolled_back() {
    let situation = Situation { level: 0.8, new_sent: 1_300.0, ..canary() };
    assert_eq!(next_step(&situation), Decision::Step(ROLLED_BACK, StepReason::SuspiciousTooLong));
}

#[test]
fn a_release_that_stays_suspicious_is_rolled_back() {
    let situation = Situation { level: 0.8, suspicious_ms: 2_400, ..canary() };
    assert_eq!(next_step(&situation), Decision::Grant(55));
    let longer = Situation { suspicious_ms: 2_500, ..situation };
    assert_eq!(next_step(&longer), Decision::Step(ROLLED_BACK, StepReason::SuspiciousTooLong));
}

#[test]
fn nothing_is_granted_while_no_endpoint_of_the_release_accepts_requests() {
    for situation in [canary(), shifting()] {
        assert_eq!(next_step(&Situation { new_slots: 0, ..situation }), Decision::Grant(0));
    }
}

#[test]
fn the_fraction_of_a_release_with_too_few_slots_grows_only_near_the_deadline() {
    let few = Situation { elapsed_ms: 8_000, new_slots: 10, ..canary() };
    assert_eq!(next_step(&few), Decision::Grant(55));
    assert_eq!(next_step(&Situation { elapsed_ms: 9_600, ..few }), Decision::Grant(120));
}

#[test]
fn a_release_with_too_few_answers_is_rolled_back_before_the_deadline() {
    let unjudged = Situation { elapsed_ms: 8_000, new_answers: 3, ..canary() };
    assert_eq!(next_step(&unjudged), Decision::Grant(55));
    let late = Situation { elapsed_ms: 11_600, ..unjudged };
    assert_eq!(next_step(&late), Decision::Step(ROLLED_BACK, StepReason::NotJudged));
}

#[test]
fn a_service_without_requests_shifts_to_the_new_release() {
    let idle = Situation {
        elapsed_ms: 9_000,
        permille: 500,
        new_answers: 0,
        new_sent: 0.0,
        sent_per_ms: 0.0,
        ..canary()
    };
    assert_eq!(next_step(&idle), Decision::Step(Stage::Shifting, StepReason::Idle));
    let unreported = Situation { has_recent_reports: false, ..idle };
    assert_eq!(
        next_step(&unreported),
        Decision::Grant(500),
        "routers may have unreported requests"
    );
    let new_leader = Situation { counted_ms: 600, ..idle };
    assert_eq!(
        next_step(&new_leader),
        Decision::Grant(500),
        "the new leader has counted for too short a time"
    );
}

/// 200 requests per second are enough to judge a release within seconds.
#[test]
fn a_new_leader_does_not_consider_a_busy_service_idle() {
    let taken_over = Situation {
        elapsed_ms: 9_000,
        counted_ms: 2_500,
        permille: 500,
        new_answers: 12,
        sent_per_ms: 0.2,
        ..canary()
    };
    assert_eq!(next_step(&taken_over), Decision::Grant(500));
}

#[test]
fn a_rollout_is_done_once_nothing_runs_on_old_releases() {
    assert_eq!(next_step(&shifting()), Decision::Grant(1_000));
    let empty = Situation { is_old_empty: true, ..shifting() };
    assert_eq!(next_step(&empty), Decision::Step(Stage::Done, StepReason::OldEmpty));
    let just_begun = Situation { in_stage_ms: 300, ..empty };
    assert_eq!(next_step(&just_begun), Decision::Grant(1_000), "earlier grants may still be valid");
}

#[test]
fn a_rollout_is_done_before_the_deadline_even_if_old_releases_are_in_use() {
    let late = Situation { elapsed_ms: 11_600, ..shifting() };
    assert_eq!(next_step(&late), Decision::Step(Stage::Done, StepReason::TimeOver));
    let suspicious = Situation { level: 0.8, ..late };
    assert_eq!(next_step(&suspicious), Decision::Step(ROLLED_BACK, StepReason::SuspiciousTooLong));
}

#[test]
fn a_rollout_is_done_if_no_old_endpoint_is_left() {
    let alone = Situation { without_old_ms: 3_000, old_slots: 0, ..canary() };
    assert_eq!(next_step(&alone), Decision::Step(Stage::Done, StepReason::NoOldLeft));
    let unserved = Situation { new_slots: 0, ..alone };
    assert_eq!(next_step(&unserved), Decision::Grant(0));
}

/// A leader that has just started learns of the endpoints one by one.
#[test]
fn a_rollout_is_not_done_while_old_endpoints_may_be_unknown_yet() {
    let started = Situation { without_old_ms: 100, old_slots: 0, ..canary() };
    assert!(matches!(next_step(&started), Decision::Grant(_)));
    let shifting = Situation { without_old_ms: 1_500, old_slots: 0, ..shifting() };
    assert_eq!(next_step(&shifting), Decision::Grant(1_000));
    let late = Situation { elapsed_ms: 11_600, ..started };
    assert!(matches!(next_step(&late), Decision::Grant(_)), "the old endpoints may all be gone");
}

#[test]
fn nothing_is_granted_after_a_final_stage() {
    for stage in [Stage::Done, Stage::RolledBack] {
        assert_eq!(next_step(&Situation { stage, level: 2.0, ..canary() }), Decision::Grant(0));
    }
}
