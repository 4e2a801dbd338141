//! Finding a place for a request.

use std::time::Duration;

use rand::RngExt;

use super::endpoints::Preference;
use super::request::Call;
use crate::eligibility::{Candidate, Eligibility, order_of};
use crate::placement::{self, PlacementOutcome, PlacementRequest, Reservation};
use crate::registry::Registration;

/// Times that a placer is asked for one place, where this router knows that the endpoint
/// which the placer chose takes no work.
const PLACEMENTS: usize = 3;

/// Where a request goes next.
pub(super) enum Place {
    /// To this endpoint.
    At(Box<Registration>, Option<Reservation>),
    /// No endpoint is known.
    Nowhere,
    /// It cannot be served in time.
    TooLate(placement::Refusal),
}

impl Call {
    /// What decides between equal endpoints: the shared part of a prompt, else chance.
    fn preference(&self) -> Preference {
        match self.head.parts.first() {
            Some(part) => Preference::Affinity(part.id),
            None => Preference::Random(rand::rng().random()),
        }
    }

    /// Finds a place for the request. Where there is none but at endpoints that are being
    /// asked whether they take work, it waits for their answers a moment.
    pub async fn place(&self, tried: &[String]) -> Place {
        match self.place_by_release(tried).await {
            Place::Nowhere if self.wait_for_start_checks(tried).await => {
                self.place_by_release(tried).await
            }
            place => place,
        }
    }

    /// Where the new release of a service has no place, another may have one.
    async fn place_by_release(&self, tried: &[String]) -> Place {
        let Some(eligibility) = self.eligibility() else { return Place::Nowhere };
        let mut request = self.placement_request(&eligibility, tried);
        request.has_alternative = self.is_of_a_part(&eligibility.version);
        match self.place_among(request, tried).await {
            Place::At(endpoint, reservation) => Place::At(endpoint, reservation),
            other if !self.gives_up_new(&eligibility.version, &other) => other,
            _ => match self.eligibility() {
                Some(others) => {
                    let mut request = self.placement_request(&others, tried);
                    request.demand_recorded = true;
                    self.place_among(request, tried).await
                }
                None => Place::Nowhere,
            },
        }
    }

    /// Engines are chosen by the placer, all else by what this router has seen.
    async fn place_among(&self, mut request: PlacementRequest, tried: &[String]) -> Place {
        let times = if self.is_engine { PLACEMENTS } else { 0 };
        for _ in 0..times {
            match self.gateway.placements.place(request.clone()).await {
                PlacementOutcome::Reserved(reservation) => {
                    let id = &reservation.endpoint;
                    let endpoint = self.gateway.registry.read(|r| r.get_ready(id).cloned());
                    // The placer may know an older registration or routing than this
                    // router, and while it was asked a roll-out may have changed.
                    if let Some(endpoint) = endpoint.filter(|e| self.may_be_sent_to(e)) {
                        return Place::At(Box::new(endpoint), Some(reservation));
                    }
                    request.avoid.push(reservation.endpoint.clone());
                    request.demand_recorded = true;
                }
                PlacementOutcome::Refused(refusal) => return Place::TooLate(refusal),
                PlacementOutcome::Undecided => break,
            }
        }
        match self.choose(tried) {
            Some(endpoint) => Place::At(Box::new(endpoint), None),
            None => Place::Nowhere,
        }
    }

    /// Chooses an endpoint that was not tried before.
    fn choose(&self, tried: &[String]) -> Option<Registration> {
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

    /// Which endpoints may run it now; none where none may.
    pub(super) fn eligibility(&self) -> Option<Eligibility> {
        let version = self.version_rule()?;
        Some(Eligibility { regions: self.regions_by_now(), version })
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
        let left = objective.saturating_sub(self.arrived.elapsed());
        PlacementRequest {
            seq: 0,
            service: self.service.clone(),
            customer: self.customer.clone().unwrap_or_default(),
            parts: self.head.parts.iter().map(|part| (part.id, part.tokens)).collect(),
            prompt_tokens: self.head.prompt_tokens,
            output_tokens: self.head.output_tokens,
            objective_ms: left.as_millis() as u32,
            pause_objective_ms: self.route.pause_objective_ms as u32,
            hall: self.gateway.settings.host.hall.clone(),
            eligibility: eligibility.clone(),
            avoid: tried.to_vec(),
            demand_recorded: false,
            has_alternative: false,
        }
    }
}
