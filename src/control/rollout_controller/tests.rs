//! Tests of the age of orders, of the set of conducted rollouts, and of the confirmation of
//! leadership.

use super::*;
use crate::rollout::Order;

const EPOCH: u64 = 1_000_000;

fn table(at_ms: u64) -> Rollouts {
    let mut table = Rollouts::default();
    let (service, version) = ("llm".into(), "v2".into());
    table.start(Order { service, version, at_ms, duration_ms: 12_000 });
    table
}

fn age(ages: &OrderAges, now: Millis, table: &Rollouts) -> Millis {
    ages.of(now, table.get("llm").unwrap())
}

#[test]
fn the_age_of_a_new_order_is_measured_by_the_monotonic_clock() {
    let mut ages = OrderAges::new(EPOCH - 60_000);
    // The clock of the leader that accepted it is four seconds behind.
    let table = table(EPOCH - 4_000);
    ages.update(100, EPOCH, &table);
    // The time of day jumps ahead by a minute.
    ages.update(3_100, EPOCH + 60_000, &table);
    assert_eq!(age(&ages, 3_100, &table), 3_000);
}

#[test]
fn after_a_restart_the_age_is_taken_from_the_time_of_day() {
    // The log is replayed one second after the start.
    let mut ages = OrderAges::new(EPOCH - 1_000);
    ages.update(100, EPOCH, &table(EPOCH - 4_000));
    assert_eq!(age(&ages, 600, &table(EPOCH - 4_000)), 4_500);
    let mut ages = OrderAges::new(EPOCH - 1_000);
    let ahead = table(EPOCH + 5_000);
    ages.update(100, EPOCH, &ahead);
    assert_eq!(age(&ages, 600, &ahead), 500, "the clock of the host that ordered it is ahead");
}

#[test]
fn an_order_learned_late_gets_its_age_from_the_time_of_day() {
    let mut ages = OrderAges::new(EPOCH - 60_000);
    let table = table(EPOCH - 11_000);
    ages.update(100, EPOCH, &table);
    assert_eq!(age(&ages, 100, &table), 11_000);
}

#[test]
fn only_rollouts_in_progress_are_conducted() {
    let mut table = table(EPOCH);
    let mut controller = RolloutController::new(EPOCH);
    controller.update_active(0, &table);
    assert_eq!(controller.active.len(), 1);
    let number = table.get("llm").unwrap().number;
    table.step(&Step { service: "llm".into(), number, stage: Stage::RolledBack, at_ms: 0 });
    controller.update_active(100, &table);
    assert!(controller.active.is_empty());
}

#[test]
fn counts_are_discarded_when_leadership_is_lost() {
    let mut controller = RolloutController::new(EPOCH);
    controller.update_active(0, &table(EPOCH));
    controller.on_leadership_lost();
    assert!(controller.active.is_empty());
}

#[test]
fn the_confirmation_of_a_leader_that_was_cut_off_expires() {
    let mut confirmation = LeadershipConfirmation::default();
    assert!(!confirmation.is_confirmed(0), "not confirmed yet");
    assert!(confirmation.start_if_due(100));
    assert!(!confirmation.start_if_due(200), "a request is unanswered");
    confirmation.record_answer(100, true);
    assert!(confirmation.is_confirmed(1_299));
    assert!(confirmation.start_if_due(400));
    assert!(!confirmation.start_if_due(1_300), "cut off: the request is not answered");
    assert!(!confirmation.is_confirmed(1_300));
    assert!(confirmation.start_if_due(1_400), "the request timed out");
    confirmation.record_answer(1_400, false);
    assert!(!confirmation.is_confirmed(1_400));
}

#[test]
fn a_step_that_is_not_agreed_is_proposed_again_after_half_a_second() {
    let mut proposals = Proposals::default();
    let step = |stage| Step { service: "llm".into(), number: 1, stage, at_ms: 0 };
    assert!(proposals.is_due(0, &step(Stage::Shifting)));
    proposals.record(0, &step(Stage::Shifting));
    assert!(!proposals.is_due(400, &step(Stage::Shifting)));
    assert!(proposals.is_due(400, &step(Stage::RolledBack)), "another step");
    assert!(proposals.is_due(500, &step(Stage::Shifting)));
}
