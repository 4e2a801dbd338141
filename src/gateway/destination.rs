//! Choosing the endpoint that a request is sent to.

use std::time::Duration;

use rand::RngExt;

use super::endpoints::Preference;
use super::request::Call;
use crate::eligibility::{Candidate, Eligibility, order_of};
use crate::placement::{self, PlacementOutcome, PlacementRequest, Reservation};
use crate::registry::Registration;

/// Maximum number of requests to the placer for one destination. A request is repeated if the
/// placer chooses an endpoint that, as this router has recorded, accepts no requests.
const MAX_PLACEMENT_REQUESTS: usize = 3;

/// Where a request is sent next.
pub(super) enum Destination {
    /// To this endpoint.
    Endpoint(Box<Registration>, Option<Reservation>),
    /// No eligible endpoint is known.
    NoEndpoint,
    /// It cannot be served in time.
    TooLate(placement::Refusal),
}

impl Call {
    /// Breaks ties between endpoints: by the first part of the prompt, otherwise at random.
    fn preference(&self) -> Preference {
        match self.head.parts.first() {
            Some(part) => Preference::Affinity(part.prefix_id),
            None => Preference::Random(rand::rng().random()),
        }
    }

    /// Chooses the endpoint for the request. Where all candidates are waiting for a start
    /// check, it waits a moment for the checks to end and tries once more.
    pub async fn choose_destination(&self, tried: &[String]) -> Destination {
        match self.choose_by_release(tried).await {
            Destination::NoEndpoint if self.wait_for_start_checks(tried).await => {
                self.choose_by_release(tried).await
            }
            destination => destination,
        }
    }

    /// Falls back to another release where the new release of a service has no place.
    async fn choose_by_release(&self, tried: &[String]) -> Destination {
        let Some(eligibility) = self.eligibility() else { return Destination::NoEndpoint };
        let mut request = self.placement_request(&eligibility, tried);
        request.has_alternative = self.is_partial_traffic(&eligibility.version);
        match self.choose_among(request, tried).await {
            Destination::Endpoint(endpoint, reservation) => {
                Destination::Endpoint(endpoint, reservation)
            }
            other if !self.falls_back_from_new(&eligibility.version, &other) => other,
            _ => match self.eligibility() {
                Some(other_releases) => {
                    let mut request = self.placement_request(&other_releases, tried);
                    request.demand_recorded = true;
                    self.choose_among(request, tried).await
                }
                None => Destination::NoEndpoint,
            },
        }
    }

    /// Engines are chosen by the placer, other endpoints from this router's observations.
    async fn choose_among(&self, mut request: PlacementRequest, tried: &[String]) -> Destination {
        let attempts = if self.is_engine { MAX_PLACEMENT_REQUESTS } else { 0 };
        for _ in 0..attempts {
            match self.gateway.placements.place(request.clone()).await {
                PlacementOutcome::Reserved(reservation) => {
                    let id = &reservation.endpoint;
                    let endpoint = self.gateway.registry.read(|r| r.get_ready(id).cloned());
                    // The placer may have an older registration or routing than this router,
                    // and the rollout may have changed during the call.
                    if let Some(endpoint) = endpoint.filter(|e| self.may_be_sent_to(e)) {
                        return Destination::Endpoint(Box::new(endpoint), Some(reservation));
                    }
                    request.avoid.push(reservation.endpoint.clone());
                    request.demand_recorded = true;
                }
                PlacementOutcome::Refused(refusal) => return Destination::TooLate(refusal),
                PlacementOutcome::Undecided => break,
            }
        }
        match self.choose_locally(tried) {
            Some(endpoint) => Destination::Endpoint(Box::new(endpoint), None),
            None => Destination::NoEndpoint,
        }
    }

    /// Chooses an endpoint that was not tried before from this router's observations.
    fn choose_locally(&self, tried: &[String]) -> Option<Registration> {
        let eligibility = self.eligibility()?;
        let now = self.gateway.now();
        let cold = self.gateway.cold_limit(self.cold_per_second, self.is_engine);
        let is_near = |endpoint: &Registration| self.gateway.is_near(endpoint);
        self.gateway.registry.read(|registry| {
            let ready = registry.ready(&self.service);
            let ready: Vec<_> = ready.filter(|e| self.is_eligible(&eligibility, e)).collect();
            let preference = self.preference();
            self.gateway.with_endpoints(|endpoints| {
                endpoints.choose_near(now, &ready, is_near, tried, preference, cold).cloned()
            })
        })
    }

    /// Which endpoints may run it now; `None` when no endpoint may.
    pub(super) fn eligibility(&self) -> Option<Eligibility> {
        let version = self.version_rule()?;
        Some(Eligibility { regions: self.current_regions(), version })
    }

    /// Whether an endpoint may run it.
    pub(super) fn is_eligible(&self, eligibility: &Eligibility, endpoint: &Registration) -> bool {
        let region = self.gateway.settings.host.regions.of(&endpoint.hall);
        let candidate =
            Candidate { region, version: &endpoint.version, order: order_of(&endpoint.id) };
        eligibility.allows(candidate)
    }

    fn placement_request(&self, eligibility: &Eligibility, tried: &[String]) -> PlacementRequest {
        let objective = Duration::from_millis(self.route.objective_ms);
        let remaining = objective.saturating_sub(self.arrived.elapsed());
        PlacementRequest {
            seq: 0,
            service: self.service.clone(),
            customer: self.customer.clone().unwrap_or_default(),
            parts: self.head.parts.iter().map(|part| (part.prefix_id, part.tokens)).collect(),
            prompt_tokens: self.head.prompt_tokens,
            output_tokens: self.head.output_tokens,
            objective_ms: remaining.as_millis() as u32,
            pause_objective_ms: self.route.pause_objective_ms as u32,
            hall: self.gateway.settings.host.hall.clone(),
            eligibility: eligibility.clone(),
            avoid: tried.to_vec(),
            demand_recorded: false,
            has_alternative: false,
        }
    }
}
