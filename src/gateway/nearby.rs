//! Regions: which endpoints are near this router, and where a request may be served at
//! the moment.

use super::endpoints::{ColdLimit, EndpointTracker, Preference};
use super::refusal::Refusal;
use super::request::Call;
use super::state::Gateway;
use crate::dispatch::Millis;
use crate::region::AllowedRegions;
use crate::registry::Registration;

impl EndpointTracker {
    /// Chooses as [`EndpointTracker::choose`] does, first among near and healthy endpoints:
    /// others are some milliseconds away, behind a link that all traffic shares.
    pub fn choose_near<'a>(
        &self,
        now: Millis,
        ready: &[&'a Registration],
        is_near: impl Fn(&Registration) -> bool,
        tried: &[String],
        preference: Preference,
        cold: ColdLimit,
    ) -> Option<&'a Registration> {
        let near = ready.iter().copied().filter(|e| is_near(e) && self.is_healthy(now, e));
        let nearest = self.choose(now, near, tried, preference, cold);
        nearest.or_else(|| self.choose(now, ready.iter().copied(), tried, preference, cold))
    }
}

impl Gateway {
    /// Whether an endpoint is not known to be in another region than this router.
    pub(super) fn is_near(&self, endpoint: &Registration) -> bool {
        let host = &self.settings.host;
        !host.regions.is_other_region(&host.hall, &endpoint.hall)
    }
}

impl Call {
    /// The regions in which it may be served. The configuration in force at its arrival
    /// applies to its end, and newer ones restrict it further from then on.
    pub(super) fn current_regions(&self) -> AllowedRegions {
        let newest = self.gateway.routing.current();
        let newest = newest.filter(|newest| newest.table.version != self.routing_version);
        let Some(newest) = newest else { return self.regions.clone() };
        let route = newest.route_by_name(&self.route.name);
        let customer = self.customer.as_deref().and_then(|name| newest.customer_by_name(name));
        let bounds = route.map(|r| &r.regions).into_iter().chain(customer.map(|c| &c.regions));
        bounds.fold(self.regions.clone(), |allowed, bound| allowed.and(bound))
    }

    /// Why no endpoint was found for a request that was not sent yet.
    pub(super) fn no_endpoint_reason(&self) -> Refusal {
        let known = &self.gateway.settings.host.regions;
        let allowed = self.current_regions();
        self.gateway.registry.read(|registry| {
            let ready = registry.ready(&self.service);
            no_endpoint_reason(&allowed, ready.map(|e| known.of(&e.hall)))
        })
    }
}

/// Why no endpoint was found for a request, given the regions of the endpoints that
/// accept requests: the allowed regions are the reason only if none of the endpoints is in one.
pub(super) fn no_endpoint_reason<'a>(
    allowed: &AllowedRegions,
    mut ready: impl Iterator<Item = &'a str>,
) -> Refusal {
    let Some(first) = ready.next() else { return Refusal::NoEndpoint };
    match allowed.allows(first) || ready.any(|region| allowed.allows(region)) {
        true => Refusal::NoEndpoint,
        false => Refusal::NoAllowedRegion,
    }
}
