//! Which registrations of endpoints are recorded.

use crate::control::{RegistrationOutcome, check_registration};
use crate::registry::{EndpointState, Origin, Registration, Registry};
use crate::routing::{Routing, RoutingTable, ServicePool};

fn routing(services: &[&str]) -> Routing {
    let pool = |name: &&str| ServicePool {
        name: name.to_string(),
        health_path: "/".into(),
        max_connections: 10,
        engine: None,
        cold_per_second: None,
    };
    Routing::new(RoutingTable {
        services: services.iter().map(pool).collect(),
        ..RoutingTable::default()
    })
}

fn registration(service: &str, started_at_ms: u64) -> Registration {
    Registration {
        started_at_ms,
        service: service.into(),
        address: Some(([127, 0, 0, 1], 8_000).into()),
        state: EndpointState::Ready,
        sequence: 1,
        revivals: 0,
        ..Registration::gone("e")
    }
}

fn registry_with(service: &str, started_at_ms: u64) -> Registry {
    let mut registry = Registry::default();
    registry.merge(registration(service, started_at_ms), Origin::Direct);
    registry
}

#[test]
fn a_registration_for_an_unknown_service_is_not_recorded() {
    let empty = Registry::default();
    let in_force = routing(&["app"]);
    assert_eq!(
        check_registration(&registration("app", 1), &empty, Some(&in_force)),
        RegistrationOutcome::Accepted
    );
    assert_eq!(
        check_registration(&registration("other", 1), &empty, Some(&in_force)),
        RegistrationOutcome::NoService
    );
    assert_eq!(
        check_registration(&registration("other", 1), &empty, None),
        RegistrationOutcome::Accepted,
        "none is in force yet"
    );
}

#[test]
fn an_endpoint_changes_its_service_only_with_a_new_start() {
    let in_force = routing(&["app", "llm"]);
    let registry = registry_with("app", 5);
    let outcome = |service, started_at_ms| {
        check_registration(&registration(service, started_at_ms), &registry, Some(&in_force))
    };
    assert_eq!(outcome("app", 5), RegistrationOutcome::Accepted);
    assert_eq!(outcome("llm", 5), RegistrationOutcome::OtherService);
    assert_eq!(outcome("llm", 4), RegistrationOutcome::OtherService);
    assert_eq!(outcome("llm", 6), RegistrationOutcome::Accepted);
    assert_eq!(outcome("other", 6), RegistrationOutcome::OtherService);
}

#[test]
fn an_endpoint_whose_service_is_no_longer_routed_may_still_leave() {
    let in_force = routing(&["llm"]);
    let registry = registry_with("app", 5);
    let leaving = Registration { state: EndpointState::Leaving, ..registration("app", 5) };
    assert_eq!(
        check_registration(&leaving, &registry, Some(&in_force)),
        RegistrationOutcome::Accepted
    );
    assert_eq!(
        check_registration(&Registration::gone("e"), &registry, Some(&in_force)),
        RegistrationOutcome::Accepted
    );
}
