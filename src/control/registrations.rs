//! What endpoints say of themselves, where it is first heard.

use super::Control;
use crate::clock::epoch_ms;
use crate::registry::{Registration, Registry};
use crate::routing::Routing;

/// Milliseconds by which the time of day of an endpoint may be ahead of a host's.
const MAX_CLOCK_SKEW_MS: u64 = 30_000;

/// What became of what was said of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationOutcome {
    /// It is known from now on.
    Accepted,
    /// No configuration in force names its service: nothing is sent to it, and nothing is
    /// kept of it.
    NoService,
    /// The endpoint of this id belongs to another service: nothing is changed.
    OtherService,
}

/// Whether what is said of an endpoint is to be taken in.
pub fn check_registration(
    said: &Registration,
    registry: &Registry,
    routing: Option<&Routing>,
) -> RegistrationOutcome {
    let known = registry.get(&said.id).filter(|known| !known.service.is_empty());
    let is_same_service = known.is_some_and(|known| known.service == said.service);
    if said.address.is_none() || is_same_service {
        return RegistrationOutcome::Accepted;
    }
    let is_named = routing.is_none_or(|r| r.table.services.iter().any(|s| s.name == said.service));
    match known {
        None if is_named => RegistrationOutcome::Accepted,
        None => RegistrationOutcome::NoService,
        // An endpoint belongs to one service from its start to its end.
        Some(known) if is_named && known.started_at_ms < said.started_at_ms => {
            RegistrationOutcome::Accepted
        }
        Some(_) => RegistrationOutcome::OtherService,
    }
}

impl Control {
    /// Takes in what an endpoint says of itself. Routers in reach are told at once.
    /// Any control host does so by itself: it needs no leader.
    pub fn register(&self, registration: Registration) -> RegistrationOutcome {
        let routing = self.documents.current();
        let mut heard = RegistrationOutcome::Accepted;
        // Under one lock: of two services that say they have this endpoint one is taken.
        self.registry.merge_if(registration.clone(), |registry| {
            heard = check_registration(&registration, registry, routing.as_deref());
            heard == RegistrationOutcome::Accepted
        });
        heard
    }

    /// Takes in that an endpoint ends, which names no start: the one that is known here, or
    /// where none is, all that may have begun by now. Of these one that calls on takes work
    /// again.
    pub fn deregister(&self, id: &str) {
        let started_at_ms = epoch_ms().saturating_add(MAX_CLOCK_SKEW_MS);
        self.register(Registration { started_at_ms, ..Registration::gone(id) });
    }
}
