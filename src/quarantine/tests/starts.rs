//! Endpoints that crash and answer again before anybody knows that they started again.

use super::*;
use crate::registry::{EndpointState, Hearing, Registration, Registry, Scope};

const ROUTER: HostId = HostId(1);
const OTHER: HostId = HostId(2);
/// Two heartbeats.
const UNKNOWN_MS: Millis = 2_500;

fn of(number: u64, started_at_ms: u64) -> EndpointStart {
    EndpointStart { id: format!("e-{number}"), started_at_ms }
}

fn lose(analysis: &mut CrashAnalysis, at: Millis, endpoint: EndpointStart) {
    for router in [ROUTER, OTHER] {
        let fingerprint = request("culprit");
        let event = ObservedEvent::Lost { endpoint: endpoint.clone(), fingerprint, ran_ms: 20 };
        analysis.record(at, router, Observation { ago_ms: 0, event });
    }
}

fn alive(analysis: &mut CrashAnalysis, at: Millis, endpoint: EndpointStart) {
    let event = ObservedEvent::Alive(endpoint);
    analysis.record(at, ROUTER, Observation { ago_ms: 0, event });
}

fn started(analysis: &mut CrashAnalysis, at: Millis, start: EndpointStart) {
    analysis.record_starts(at, vec![StartEvent::Started(start)]);
}

fn blamed(analysis: &mut CrashAnalysis, at: Millis) -> usize {
    analysis.review(at, |_| QuarantineState::None).blamed.len()
}

/// Three endpoints crash, and each answers again under the start that crashed.
fn three_that_answer_again(analysis: &mut CrashAnalysis) {
    for number in 1..=3 {
        started(analysis, 0, of(number, 1));
        lose(analysis, 10_000, of(number, 1));
        alive(analysis, 10_800, of(number, 1));
    }
    assert_eq!(blamed(analysis, 11_000), 0, "by all that is known they live");
}

#[test]
fn crashes_count_whose_endpoints_turn_out_to_have_started_again() {
    let mut analysis = CrashAnalysis::default();
    three_that_answer_again(&mut analysis);
    for number in 1..=3 {
        started(&mut analysis, 12_000, of(number, 2));
    }
    assert_eq!(blamed(&mut analysis, 12_100), 1);
}

#[test]
fn a_sign_of_life_that_is_told_after_the_later_start_refutes_nothing() {
    let mut analysis = CrashAnalysis::default();
    for number in 1..=3 {
        started(&mut analysis, 0, of(number, 1));
        lose(&mut analysis, 10_000, of(number, 1));
        started(&mut analysis, 10_900, of(number, 2));
        alive(&mut analysis, 11_000, of(number, 1));
    }
    assert_eq!(blamed(&mut analysis, 11_100), 1);
}

#[test]
fn who_lived_on_and_started_again_later_did_not_crash_before() {
    let mut analysis = CrashAnalysis::default();
    three_that_answer_again(&mut analysis);
    for number in 1..=3 {
        started(&mut analysis, 10_800 + UNKNOWN_MS, of(number, 2));
    }
    assert_eq!(blamed(&mut analysis, 20_000), 0);
}

#[test]
fn a_start_that_is_known_already_confirms_nothing() {
    let mut analysis = CrashAnalysis::default();
    three_that_answer_again(&mut analysis);
    for number in 1..=3 {
        started(&mut analysis, 11_500, of(number, 1));
    }
    assert_eq!(blamed(&mut analysis, 12_000), 0);
}

#[test]
fn each_start_is_told_once_and_each_end() {
    let said = |started_at_ms, state| Registration {
        started_at_ms,
        address: Some(([127, 0, 0, 1], 80).into()),
        state,
        sequence: started_at_ms,
        ..Registration::gone("e-1")
    };
    let mut registry = Registry::default();
    let mut known = KnownStarts::default();
    let mut seen = 0;
    let mut news = |registry: &Registry| {
        let changes = registry.changes_after(seen, usize::MAX, Scope::All);
        seen = changes.upto;
        known.apply_changes(&changes.endpoints)
    };
    registry.merge(said(1, EndpointState::Ready), Hearing::FirstHand);
    assert_eq!(news(&registry), [StartEvent::Started(of(1, 1))]);
    registry.merge(said(1, EndpointState::Leaving), Hearing::FirstHand);
    assert_eq!(news(&registry), []);
    registry.merge(said(2, EndpointState::Ready), Hearing::FirstHand);
    assert_eq!(news(&registry), [StartEvent::Started(of(1, 2))]);
    registry.merge(Registration::gone("e-1"), Hearing::FirstHand);
    assert_eq!(news(&registry), [StartEvent::Gone("e-1".into())]);
    assert_eq!(news(&registry), []);
}
