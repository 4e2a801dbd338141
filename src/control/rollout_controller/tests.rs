//! How old orders are, and what a controller follows.

use super::*;
use crate::rollout::Order;

const EPOCH: u64 = 1_000_000;

fn table(at_ms: u64) -> Rollouts {
    let mut table = Rollouts::default();
    let (service, version) = ("llm".into(), "v2".into());
    table.start(Order { service, version, at_ms, duration_ms: 12_000 });
    table
}

fn age(ages: &Ages, now: Millis, table: &Rollouts) -> Millis {
    ages.of(now, table.get("llm").unwrap())
}

#[test]
fn an_order_is_as_old_as_this_hosts_clock_says() {
    let mut ages = Ages::new(EPOCH - 60_000);
    // The leader that took it was four seconds behind.
    let table = table(EPOCH - 4_000);
    ages.adopt(100, EPOCH, &table);
    // Then the time of day jumps.
    ages.adopt(3_100, EPOCH + 60_000, &table);
    assert_eq!(age(&ages, 3_100, &table), 3_000);
}

#[test]
fn after_a_restart_the_time_of_day_counts() {
    // The log is read again some time after the start.
    let mut ages = Ages::new(EPOCH - 1_000);
    ages.adopt(100, EPOCH, &table(EPOCH - 4_000));
    assert_eq!(age(&ages, 600, &table(EPOCH - 4_000)), 4_500);
    let mut ages = Ages::new(EPOCH - 1_000);
    let ahead = table(EPOCH + 5_000);
    ages.adopt(100, EPOCH, &ahead);
    assert_eq!(age(&ages, 600, &ahead), 500, "ordered by a clock that is ahead");
}

#[test]
fn a_host_that_hears_of_an_order_much_too_late_believes_the_time_of_day() {
    let mut ages = Ages::new(EPOCH - 60_000);
    let table = table(EPOCH - 11_000);
    ages.adopt(100, EPOCH, &table);
    assert_eq!(age(&ages, 100, &table), 11_000);
}

#[test]
fn a_conductor_follows_what_is_under_way_and_forgets_the_rest() {
    let mut table = table(EPOCH);
    let mut controller = RolloutController::new(EPOCH);
    controller.follow(0, &table);
    assert_eq!(controller.active.len(), 1);
    let number = table.get("llm").unwrap().number;
    table.step(&Step { service: "llm".into(), number, stage: Stage::RolledBack, at_ms: 0 });
    controller.follow(100, &table);
    assert!(controller.active.is_empty());
}

#[test]
fn who_leads_no_more_forgets_what_it_counted() {
    let mut controller = RolloutController::new(EPOCH);
    controller.follow(0, &table(EPOCH));
    controller.lose();
    assert!(controller.active.is_empty());
}

#[test]
fn a_host_that_was_cut_off_does_not_believe_for_long_that_it_leads() {
    let mut confirmed = Confirmed::default();
    assert!(!confirmed.is_sure(0), "nobody has said so yet");
    assert!(confirmed.ask(100));
    assert!(!confirmed.ask(200), "the answer is on its way");
    confirmed.answered(100, true);
    assert!(confirmed.is_sure(1_299));
    assert!(confirmed.ask(400));
    assert!(!confirmed.ask(1_300), "cut off: no answer comes");
    assert!(!confirmed.is_sure(1_300));
    assert!(confirmed.ask(1_400), "it asks again");
    confirmed.answered(1_400, false);
    assert!(!confirmed.is_sure(1_400));
}

#[test]
fn a_step_is_proposed_again_only_where_it_was_not_agreed_for_a_while() {
    let mut proposals = Proposals::default();
    let step = |stage| Step { service: "llm".into(), number: 1, stage, at_ms: 0 };
    assert!(proposals.is_due(0, &step(Stage::Shifting)));
    proposals.note(0, &step(Stage::Shifting));
    assert!(!proposals.is_due(400, &step(Stage::Shifting)));
    assert!(proposals.is_due(400, &step(Stage::RolledBack)), "another step");
    assert!(proposals.is_due(500, &step(Stage::Shifting)));
}
