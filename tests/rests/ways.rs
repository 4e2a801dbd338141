//! Ways for a router to treat an endpoint that turns requests away and asks for rest.

use std::collections::BTreeMap;

use bramblecrank::gateway::{ColdLimit, EndpointTracker, Failure, Preference};
use bramblecrank::registry::Registration;
use bramblecrank::wire::HostId;

/// Milliseconds in which a share grows back in [`Way::Ramp`].
const RAMP_MS: u64 = 1_000;
const ANY_COLD: ColdLimit = ColdLimit { per_second: None, routers: 1, router: HostId(1) };

/// A way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// A 503 is a failure among others; what it asks for is not read.
    Failure,
    /// Nothing until the time is over, and then as before.
    Obey,
    /// The same, and its share grows back within a second.
    Ramp,
    /// The same, and one request is tried before others follow: what the product does.
    Trial,
}

/// One router.
pub struct Router {
    way: Way,
    endpoints: EndpointTracker,
    /// Endpoints whose rest was asked for, and those whose share grows back, since when.
    resting: Vec<String>,
    growing: BTreeMap<String, u64>,
}

impl Router {
    pub fn new(way: Way) -> Router {
        let (resting, growing) = (Vec::new(), BTreeMap::new());
        Router { way, endpoints: EndpointTracker::default(), resting, growing }
    }

    /// The number of the endpoint that a request goes to.
    pub fn choose(
        &mut self,
        now: u64,
        ready: &[Registration],
        tried: &[String],
        random: u64,
    ) -> Option<usize> {
        if matches!(self.way, Way::Obey | Way::Ramp) {
            self.end_rests(now, ready);
        }
        let mut held_back = tried.to_vec();
        if self.way == Way::Ramp {
            self.growing.retain(|_, since| now < *since + RAMP_MS);
            let draw = random % RAMP_MS;
            let small = self.growing.iter().filter(|(_, since)| draw >= now - **since);
            held_back.extend(small.map(|(id, _)| id.clone()));
        }
        let choose = |left_out: &[String]| {
            let preference = Preference::Random(random);
            let chosen =
                self.endpoints.choose(now, ready.iter(), left_out, preference, ANY_COLD)?;
            ready.iter().position(|r| r.id == chosen.id)
        };
        choose(&held_back).or_else(|| choose(tried))
    }

    /// A rest that is over is forgotten, without a trial.
    fn end_rests(&mut self, now: u64, ready: &[Registration]) {
        let endpoints = &mut self.endpoints;
        let growing = &mut self.growing;
        self.resting.retain(|id| {
            let registration = ready.iter().find(|r| r.id == *id).unwrap();
            let rests = endpoints.rest_left(now, registration).is_some();
            if !rests {
                endpoints.record_success(now, id, 0);
                growing.insert(id.clone(), now);
            }
            rests
        });
    }

    pub fn begin(&mut self, now: u64, id: &str) {
        self.endpoints.record_sent(now, id, 0, 0);
    }

    pub fn served(&mut self, now: u64, id: &str) {
        self.endpoints.record_success(now, id, 0);
        self.endpoints.record_end(id, 0);
    }

    pub fn turned_away(&mut self, now: u64, id: &str, time: u64) {
        match self.way {
            Way::Failure => {
                self.endpoints.record_failure(now, id, 0, Failure::Rejected);
            }
            Way::Obey | Way::Ramp | Way::Trial => {
                self.endpoints.record_rest(now, id, 0, time);
                if !self.resting.iter().any(|known| known == id) {
                    self.resting.push(id.to_string());
                }
            }
        }
        self.endpoints.record_end(id, 0);
    }
}
