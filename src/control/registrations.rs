//! Checks and records registrations that endpoints send to this host.

use super::Control;
use crate::clock::epoch_ms;
use crate::registry::{Registration, Registry};
use crate::routing::Routing;

/// Maximum number of milliseconds by which the time of day of an endpoint may be ahead of a host's.
const MAX_CLOCK_SKEW_MS: u64 = 30_000;

/// The outcome of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationOutcome {
    /// It is recorded.
    Accepted,
    /// The routing in force does not name its service: it is not recorded, and the endpoint
    /// gets no requests.
    NoService,
    /// The endpoint of this id belongs to another service: nothing is changed.
    OtherService,
}

/// Decides whether a registration is recorded.
pub fn check_registration(
    registration: &Registration,
    registry: &Registry,
    routing: Option<&Routing>,
) -> RegistrationOutcome {
    let known = registry.get(&registration.id).filter(|known| !known.service.is_empty());
    let is_same_service = known.is_some_and(|known| known.service == registration.service);
    if registration.address.is_none() || is_same_service {
        return RegistrationOutcome::Accepted;
    }
    let is_named =
        routing.is_none_or(|r| r.table.services.iter().any(|s| s.name == registration.service));
    match known {
        None if is_named => RegistrationOutcome::Accepted,
        None => RegistrationOutcome::NoService,
        // An endpoint serves one service from its start to its end.
        Some(known) if is_named && known.started_at_ms < registration.started_at_ms => {
            RegistrationOutcome::Accepted
        }
        Some(_) => RegistrationOutcome::OtherService,
    }
}

impl Control {
    /// Records a registration. The feeds of this host send it to the connected routers at once.
    /// Any control host does so by itself: this needs no leader.
    pub fn register(&self, registration: Registration) -> RegistrationOutcome {
        let routing = self.routing.current();
        let mut outcome = RegistrationOutcome::Accepted;
        // Check and merge under one lock: of concurrent registrations of this endpoint for two
        // services, one is recorded.
        self.registry.merge_if(registration.clone(), |registry| {
            outcome = check_registration(&registration, registry, routing.as_deref());
            outcome == RegistrationOutcome::Accepted
        });
        outcome
    }

    /// Records that an endpoint ended. The call does not state which start ended: it applies to the
    /// start that is known here or, where none is, to any that may have begun by now. If that
    /// start continues to register, it gets requests again.
    pub fn deregister(&self, id: &str) {
        let started_at_ms = epoch_ms().saturating_add(MAX_CLOCK_SKEW_MS);
        self.register(Registration { started_at_ms, ..Registration::gone(id) });
    }
}
