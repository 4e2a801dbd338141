//! How old orders are, and what a conductor follows.

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
    let mut ages = Ages::default();
    // The leader that took it was four seconds behind.
    let table = table(EPOCH - 4_000);
    ages.adopt(100, EPOCH, &table, false);
    // Then the time of day jumps.
    ages.adopt(3_100, EPOCH + 60_000, &table, false);
    assert_eq!(age(&ages, 3_100, &table), 3_000);
}

#[test]
fn after_a_restart_the_time_of_day_counts() {
    let mut ages = Ages::default();
    ages.adopt(100, EPOCH, &table(EPOCH - 4_000), true);
    assert_eq!(age(&ages, 600, &table(EPOCH - 4_000)), 4_500);
    let mut ages = Ages::default();
    let ahead = table(EPOCH + 5_000);
    ages.adopt(100, EPOCH, &ahead, true);
    assert_eq!(age(&ages, 600, &ahead), 500, "ordered by a clock that is ahead");
}

#[test]
fn a_host_that_hears_of_an_order_much_too_late_believes_the_time_of_day() {
    let mut ages = Ages::default();
    let table = table(EPOCH - 11_000);
    ages.adopt(100, EPOCH, &table, false);
    assert_eq!(age(&ages, 100, &table), 11_000);
}

#[test]
fn a_conductor_follows_what_is_under_way_and_forgets_the_rest() {
    let mut table = table(EPOCH);
    let mut conductor = Conductor::default();
    conductor.follow(0, &table);
    assert_eq!(conductor.courses.len(), 1);
    let number = table.get("llm").unwrap().number;
    table.step(&Step { service: "llm".into(), number, stage: Stage::RolledBack });
    conductor.follow(100, &table);
    assert!(conductor.courses.is_empty());
}

#[test]
fn who_leads_no_more_forgets_what_it_counted() {
    let mut conductor = Conductor::default();
    conductor.follow(0, &table(EPOCH));
    conductor.lose();
    assert!(conductor.courses.is_empty());
}
