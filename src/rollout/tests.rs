//! Orders and their stages.

mod active;
mod analysis;
mod plan;
mod size;
mod split;
mod streams;
mod tally;

use super::*;

fn order(version: &str, at_ms: u64) -> Order {
    Order { service: "llm".into(), version: version.into(), at_ms, duration_ms: 12_000 }
}

fn step(rollouts: &Rollouts, stage: Stage) -> Step {
    let number = rollouts.get("llm").unwrap().number;
    Step { service: "llm".into(), number, stage, at_ms: 0 }
}

#[test]
fn an_order_sent_again_changes_nothing_and_another_has_to_wait() {
    let mut rollouts = Rollouts::default();
    assert_eq!(rollouts.start(order("v2", 0)), OrderOutcome::Taken);
    let taken = rollouts.clone();
    assert_eq!(rollouts.start(order("v2", 3_000)), OrderOutcome::Taken);
    assert_eq!(rollouts.start(order("v3", 3_000)), OrderOutcome::UnderWay);
    assert_eq!(rollouts, taken);
}

#[test]
fn an_order_sent_again_does_not_begin_anew_what_was_rolled_back() {
    let mut rollouts = Rollouts::default();
    rollouts.start(order("v2", 0));
    rollouts.step(&step(&rollouts, Stage::RolledBack));
    assert_eq!(rollouts.start(order("v2", 4_000)), OrderOutcome::Taken);
    assert_eq!(rollouts.get("llm").unwrap().stage, Stage::RolledBack);
    assert_eq!(rollouts.start(order("v2", 60_000)), OrderOutcome::Taken);
    assert_eq!(rollouts.get("llm").unwrap().stage, Stage::Canary);
}

#[test]
fn stages_only_go_forward_and_the_last_ones_stay() {
    let mut rollouts = Rollouts::default();
    rollouts.start(order("v2", 0));
    let late = step(&rollouts, Stage::Canary);
    rollouts.step(&step(&rollouts, Stage::Shifting));
    rollouts.step(&late);
    assert_eq!(rollouts.get("llm").unwrap().stage, Stage::Shifting);
    rollouts.step(&step(&rollouts, Stage::RolledBack));
    rollouts.step(&step(&rollouts, Stage::Done));
    assert_eq!(rollouts.get("llm").unwrap().stage, Stage::RolledBack);
}

#[test]
fn grants_end_by_themselves_and_a_former_leader_grants_nothing() {
    let shared = SharedRollouts::default();
    let grants = |term, permille| {
        let grant = Grant { service: "llm".into(), number: 1, permille, highest_order: 9 };
        Grants { term, valid_ms: 600, services: vec![grant] }
    };
    shared.adopt_grants(100, grants(2, 50));
    shared.adopt_grants(200, grants(1, 1_000));
    assert_eq!(shared.grant(699, "llm", 1).unwrap().permille, 50);
    assert_eq!(shared.grant(700, "llm", 1), None);
    assert_eq!(shared.grant(300, "llm", 2), None, "another roll-out");
}
