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
fn a_repeated_order_changes_nothing_and_another_is_refused() {
    let mut rollouts = Rollouts::default();
    assert_eq!(rollouts.start(order("v2", 0)), OrderOutcome::Accepted);
    let accepted = rollouts.clone();
    assert_eq!(rollouts.start(order("v2", 3_000)), OrderOutcome::Accepted);
    assert_eq!(rollouts.start(order("v3", 3_000)), OrderOutcome::InProgress);
    assert_eq!(rollouts, accepted);
}

#[test]
fn a_repeated_order_does_not_restart_a_rolled_back_rollout() {
    let mut rollouts = Rollouts::default();
    rollouts.start(order("v2", 0));
    rollouts.step(&step(&rollouts, Stage::RolledBack));
    assert_eq!(rollouts.start(order("v2", 4_000)), OrderOutcome::Accepted);
    assert_eq!(rollouts.get("llm").unwrap().stage, Stage::RolledBack);
    assert_eq!(rollouts.start(order("v2", 60_000)), OrderOutcome::Accepted);
    assert_eq!(rollouts.get("llm").unwrap().stage, Stage::Canary);
}

#[test]
fn stages_only_advance_and_final_ones_stay() {
    let mut rollouts = Rollouts::default();
    rollouts.start(order("v2", 0));
    let outdated = step(&rollouts, Stage::Canary);
    rollouts.step(&step(&rollouts, Stage::Shifting));
    rollouts.step(&outdated);
    assert_eq!(rollouts.get("llm").unwrap().stage, Stage::Shifting);
    rollouts.step(&step(&rollouts, Stage::RolledBack));
    rollouts.step(&step(&rollouts, Stage::Done));
    assert_eq!(rollouts.get("llm").unwrap().stage, Stage::RolledBack);
}

#[test]
fn grants_expire_and_those_of_an_earlier_leader_are_ignored() {
    let shared = SharedRollouts::default();
    let grants = |term, permille| {
        let grant = Grant { service: "llm".into(), number: 1, permille, highest_order: 9 };
        Grants { term, valid_ms: 600, services: vec![grant] }
    };
    shared.adopt_grants(100, grants(2, 50));
    shared.adopt_grants(200, grants(1, 1_000));
    assert_eq!(shared.grant(699, "llm", 1).unwrap().permille, 50);
    assert_eq!(shared.grant(700, "llm", 1), None);
    assert_eq!(shared.grant(300, "llm", 2), None, "another rollout");
}
