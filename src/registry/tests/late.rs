//! Calls that arrive after newer ones: none of them undoes what the newer ones stated.

use super::*;

fn heartbeat(version: &str, sequence: u64, state: EndpointState) -> Registration {
    Registration { version: version.into(), ..registration("e", sequence, state) }
}

fn ready(sequence: u64) -> Registration {
    heartbeat("v1", sequence, EndpointState::Ready)
}

fn accepts_requests(registry: &Registry) -> bool {
    registry.get_ready("e").is_some()
}

/// A registry that has received these heartbeats of one release from the endpoint itself.
fn registry_after(version: &str, sequences: impl IntoIterator<Item = u64>) -> Registry {
    let mut registry = Registry::default();
    for sequence in sequences {
        registry.merge(heartbeat(version, sequence, EndpointState::Ready), Direct);
    }
    registry
}

/// Guards against counting heartbeats after an end from the first one that arrives: two that were
/// sent before the end brought the endpoint back.
#[test]
fn heartbeats_sent_before_an_end_do_not_undo_it() {
    let mut registry = registry_after("v1", [1, 4, 12]);
    registry.merge(Registration::gone("e"), Direct);
    for late in [7, 11, 8, 9, 10, 3] {
        assert_eq!(registry.merge(ready(late), Direct), None, "heartbeat {late}");
    }
    assert!(!accepts_requests(&registry));
}

/// Guards against the same where another host has received the end and the newest heartbeat.
#[test]
fn heartbeats_sent_before_an_end_do_not_undo_it_at_a_host_that_learns_of_both_from_others() {
    let mut registry = registry_after("v1", [1]);
    registry.merge(heartbeat("v1", 5, EndpointState::Gone), Relayed);
    // Another host knew of a later heartbeat.
    registry.merge(heartbeat("v1", 12, EndpointState::Gone), Relayed);
    for late in [7, 11] {
        assert_eq!(registry.merge(ready(late), Direct), None, "heartbeat {late}");
    }
    assert!(!accepts_requests(&registry));
}

/// Guards against forgetting the newest heartbeat when a host that knew nothing of the endpoint
/// relays its end, and against forgetting it when the endpoint is only remembered.
#[test]
fn heartbeats_sent_before_an_end_without_a_recorded_start_do_not_undo_it() {
    let end = Registration { started_at_ms: 90_000, ..Registration::gone("e") };
    let mut told = registry_after("v1", [12]);
    told.merge(end.clone(), Relayed);
    let mut teller = Registry::default();
    teller.merge(end, Direct);
    teller.merge(ready(12), Relayed);
    let mut restarted = Registry::default();
    restarted.remember(vec![ready(12)]);
    restarted.merge(Registration::gone("e"), Direct);
    for registry in [&mut told, &mut teller, &mut restarted] {
        for late in [7, 11] {
            assert_eq!(registry.merge(ready(late), Direct), None, "heartbeat {late}");
        }
        assert!(!accepts_requests(registry));
    }
}

#[test]
fn a_start_that_goes_on_after_a_mistaken_end_returns_whatever_arrives_late_meanwhile() {
    let mut registry = registry_after("v1", 1..=12);
    registry.merge(Registration::gone("e"), Direct);
    for (late, newer) in [(7, 13), (11, 14), (9, 15), (8, 16)] {
        registry.merge(ready(late), Direct);
        assert_eq!(registry.merge(ready(newer), Direct), None);
    }
    assert!(registry.merge(ready(17), Direct).is_some());
    assert!(accepts_requests(&registry));
}

/// A process that starts again under its id without reporting a start counts anew.
#[test]
fn a_process_that_counts_anew_after_an_end_returns_below_the_known_numbers() {
    let mut registry = registry_after("v1", [200]);
    registry.merge(Registration::gone("e"), Direct);
    assert_eq!(registry.merge(ready(199), Direct), None);
    let returned = (1..200).find(|number| registry.merge(ready(*number), Direct).is_some());
    assert!(returned.is_some_and(|number| number < 20), "{returned:?}");
}

/// Guards against a certain end that became uncertain when the same end was relayed without its
/// start.
#[test]
fn an_end_without_a_start_does_not_undo_the_certain_end_of_a_start() {
    let mut registry = registry_after("v1", [1]);
    registry.merge(heartbeat("v1", 2, EndpointState::Gone), Direct);
    registry.merge(Registration { started_at_ms: 90_000, ..Registration::gone("e") }, Relayed);
    for sequence in 3..60 {
        assert_eq!(registry.merge(ready(sequence), Direct), None);
    }
    assert!(!accepts_requests(&registry));
}

/// Guards against taking a late heartbeat of the software before for a restart in place, which
/// made a leaving endpoint accept requests.
#[test]
fn a_late_heartbeat_of_replaced_software_does_not_undo_the_leaving_of_its_successor() {
    let mut registry = registry_after("v1", 1..=20);
    for sequence in 21..=30 {
        registry.merge(heartbeat("v2", sequence, EndpointState::Ready), Direct);
    }
    registry.merge(heartbeat("v2", 31, EndpointState::Leaving), Direct);
    for late in [14, 19, 20] {
        assert_eq!(registry.merge(ready(late), Direct), None, "heartbeat {late}");
    }
    let known = registry.get("e").unwrap();
    assert_eq!((known.version.as_str(), known.state), ("v2", EndpointState::Leaving));
}

/// Guards against the same where the software before is unknown here.
#[test]
fn a_late_heartbeat_of_unknown_software_does_not_undo_a_leaving() {
    let mut registry = registry_after("v2", [30]);
    registry.merge(heartbeat("v2", 31, EndpointState::Leaving), Direct);
    assert_eq!(registry.merge(ready(14), Direct), None);
    assert!(!accepts_requests(&registry));
}

/// Guards against taking a late heartbeat for a newer one because the new software counts anew.
#[test]
fn a_late_heartbeat_of_replaced_software_does_not_bring_it_back_where_its_successor_counts_anew() {
    let mut registry = registry_after("v1", 1..=20);
    registry.merge(heartbeat("v2", 1, EndpointState::Ready), Direct);
    for (late, number) in [(18, 2), (19, 3), (20, 4)] {
        assert_eq!(registry.merge(ready(late), Direct), None, "heartbeat {late}");
        registry.merge(heartbeat("v2", number, EndpointState::Ready), Direct);
        assert_eq!(registry.get("e").unwrap().version, "v2");
    }
}

/// Guards against a `draining` of the software before that ends its successor for good.
#[test]
fn a_late_leaving_of_replaced_software_does_not_apply_to_its_successor() {
    let mut registry = registry_after("v1", 1..=20);
    registry.merge(heartbeat("v2", 22, EndpointState::Ready), Direct);
    registry.merge(heartbeat("v1", 21, EndpointState::Leaving), Direct);
    assert!(accepts_requests(&registry));
}

#[test]
fn software_that_is_rolled_back_in_place_is_known_again() {
    for first in [1, 51] {
        let mut registry = registry_after("v1", 1..=20);
        for sequence in 21..=50 {
            registry.merge(heartbeat("v2", sequence, EndpointState::Ready), Direct);
        }
        let mut numbers = first..first + 20;
        assert!(numbers.any(|number| registry.merge(ready(number), Direct).is_some()));
        assert_eq!(registry.get("e").unwrap().version, "v1");
    }
}

/// Guards against an endpoint that was remembered as ready although its end was known.
#[test]
fn an_endpoint_remembered_from_before_its_end_stays_ended() {
    let mut registry = registry_after("v1", 1..=5);
    registry.merge(Registration::gone("e"), Direct);
    registry.remember(vec![ready(5)]);
    assert!(!accepts_requests(&registry));
}
