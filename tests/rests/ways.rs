//! Strategies for a router to treat an endpoint that turns requests away and requests rests.

use std::collections::BTreeMap;

use bramblecrank::gateway::{ColdLimit, EndpointTracker, Failure, Preference};
use bramblecrank::registry::Registration;
use bramblecrank::wire::HostId;

/// Milliseconds in which a share is regained in [`Strategy::Ramp`].
const RAMP_MS: u64 = 1_000;
const ANY_COLD: ColdLimit = ColdLimit { per_second: None, routers: 1, router: HostId(1) };

/// A strategy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Treats a 503 as any failure and ignores the requested rest.
    Failure,
    /// Sends nothing until the rest is over, and the full share at once afterwards.
    Obey,
    /// The same, but the share grows back over [`RAMP_MS`].
    Ramp,
    /// Sends nothing until the rest is over, then one probe before other requests: the strategy
    /// of the product.
    Trial,
}

/// A router that follows one strategy.
pub struct Router {
    strategy: Strategy,
    endpoints: EndpointTracker,
    /// Endpoints that requested a rest.
    resting: Vec<String>,
    /// Endpoints whose share grows back, and since when.
    growing: BTreeMap<String, u64>,
}

impl Router {
    pub fn new(strategy: Strategy) -> Router {
        let (resting, growing) = (Vec::new(), BTreeMap::new());
        Router { strategy, endpoints: EndpointTracker::default(), resting, growing }
    }

    /// Returns the index of the endpoint that a request is sent to.
    pub fn choose(
        &mut self,
        now: u64,
        ready: &[Registration],
        tried: &[String],
        random: u64,
    ) -> Option<usize> {
        if matches!(self.strategy, Strategy::Obey | Strategy::Ramp) {
            self.end_rests(now, ready);
        }
        let mut avoided = tried.to_vec();
        if self.strategy == Strategy::Ramp {
            self.growing.retain(|_, since| now < *since + RAMP_MS);
            let draw = random % RAMP_MS;
            let growing_too = self.growing.iter().filter(|(_, since)| draw >= now - **since);
            avoided.extend(growing_too.map(|(id, _)| id.clone()));
        }
        let choose = |excluded: &[String]| {
            let preference = Preference::Random(random);
            let chosen =
                self.endpoints.choose(now, ready.iter(), excluded, preference, ANY_COLD)?;
            ready.iter().position(|r| r.id == chosen.id)
        };
        choose(&avoided).or_else(|| choose(tried))
    }

    /// Clears rests that are over, without a probe.
    fn end_rests(&mut self, now: u64, ready: &[Registration]) {
        let endpoints = &mut self.endpoints;
        let growing = &mut self.growing;
        self.resting.retain(|id| {
            let registration = ready.iter().find(|r| r.id == *id).unwrap();
            let is_resting = endpoints.rest_left(now, registration).is_some();
            if !is_resting {
                endpoints.record_success(now, id, 0);
                growing.insert(id.clone(), now);
            }
            is_resting
        });
    }

    pub fn record_sent(&mut self, now: u64, id: &str) {
        self.endpoints.record_sent(now, id, 0, 0);
    }

    pub fn record_served(&mut self, now: u64, id: &str) {
        self.endpoints.record_success(now, id, 0);
        self.endpoints.record_end(id, 0);
    }

    pub fn record_rejection(&mut self, now: u64, id: &str, duration_ms: u64) {
        match self.strategy {
            Strategy::Failure => {
                self.endpoints.record_failure(now, id, 0, Failure::Rejected);
            }
            Strategy::Obey | Strategy::Ramp | Strategy::Trial => {
                self.endpoints.record_rest(now, id, 0, duration_ms);
                if !self.resting.iter().any(|known| known == id) {
                    self.resting.push(id.to_string());
                }
            }
        }
        self.endpoints.record_end(id, 0);
    }
}
