//! What is taken in of what is said of endpoints.

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

fn said(service: &str, started_at_ms: u64) -> Registration {
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

fn known(service: &str, started_at_ms: u64) -> Registry {
    let mut registry = Registry::default();
    registry.merge(said(service, started_at_ms), Origin::Direct);
    registry
}

#[test]
fn nothing_is_kept_of_a_service_that_no_configuration_names() {
    let empty = Registry::default();
    let in_force = routing(&["app"]);
    assert_eq!(
        check_registration(&said("app", 1), &empty, Some(&in_force)),
        RegistrationOutcome::Accepted
    );
    assert_eq!(
        check_registration(&said("other", 1), &empty, Some(&in_force)),
        RegistrationOutcome::NoService
    );
    assert_eq!(
        check_registration(&said("other", 1), &empty, None),
        RegistrationOutcome::Accepted,
        "none is in force yet"
    );
}

#[test]
fn an_endpoint_belongs_to_one_service_from_its_start_to_its_end() {
    let in_force = routing(&["app", "llm"]);
    let registry = known("app", 5);
    let heard = |service, started_at_ms| {
        check_registration(&said(service, started_at_ms), &registry, Some(&in_force))
    };
    assert_eq!(heard("app", 5), RegistrationOutcome::Accepted);
    assert_eq!(heard("llm", 5), RegistrationOutcome::OtherService);
    assert_eq!(heard("llm", 4), RegistrationOutcome::OtherService);
    assert_eq!(heard("llm", 6), RegistrationOutcome::Accepted);
    assert_eq!(heard("other", 6), RegistrationOutcome::OtherService);
}

#[test]
fn an_endpoint_whose_service_is_no_longer_named_may_still_leave() {
    let in_force = routing(&["llm"]);
    let registry = known("app", 5);
    let leaves = Registration { state: EndpointState::Leaving, ..said("app", 5) };
    assert_eq!(
        check_registration(&leaves, &registry, Some(&in_force)),
        RegistrationOutcome::Accepted
    );
    assert_eq!(
        check_registration(&Registration::gone("e"), &registry, Some(&in_force)),
        RegistrationOutcome::Accepted
    );
}
