//! Simulates requests to the endpoints of a plain service, some of which turn requests away
//! for a while and request rests.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use bramblecrank::registry::{EndpointState, Registration};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::ways::{Router, Strategy};

/// Network delay between a router and an endpoint, in milliseconds.
const NETWORK_DELAY_MS: u64 = 1;
/// Number of requests from one router that may reach a resting endpoint, and from how many
/// milliseconds after the request for rest they are counted.
const ALLOWED_DURING_REST: (usize, u64) = (2, 500);
/// Largest number of endpoints to which one request is sent.
const MAX_ATTEMPTS: usize = 2;
/// Window over which arrivals after a rest are counted, in milliseconds.
const PEAK_WINDOW_MS: u64 = 100;
/// How long after a rest the peak and the regained share are measured, in milliseconds.
const OBSERVED_AFTER_REST_MS: u64 = 2_000;

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    pub name: &'static str,
    pub routers: usize,
    pub endpoints: usize,
    pub slots: u32,
    pub requests_per_s: f64,
    /// Duration of most requests and of one in twenty, in milliseconds.
    pub service_ms: (u64, u64),
    /// Number of endpoints that turn requests away at the same time.
    pub resting: usize,
    /// How long they turn requests away.
    pub rejecting_ms: u64,
    /// Length of the rest that they request each time.
    pub requested_rest_ms: u64,
}

/// Results of one simulation, or of several.
#[derive(Clone, Copy, Debug, Default)]
pub struct Results {
    pub requests: usize,
    /// Rests during which a router sent more than [`ALLOWED_DURING_REST`].
    pub violations: usize,
    pub turned_away: usize,
    /// Requests that no endpoint served.
    pub refused: usize,
    /// Maximum arrivals at an endpoint within a tenth of a second after its rest, divided by the
    /// average number in that time.
    pub peak_ratio: f64,
    /// Milliseconds after it last turned a request away until an endpoint got at least 80 % of
    /// its share over half a second.
    pub recovery_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives,
    ReachesEndpoint { request: usize, router: usize, endpoint: usize },
    Completes { endpoint: usize },
    Answered { request: usize, router: usize, endpoint: usize, rest_ms: Option<u64> },
}

struct Endpoint {
    running: u32,
    waiting: Vec<(usize, usize)>,
    /// From when until when it turns requests away, in milliseconds.
    rejecting: (u64, u64),
    arrivals: Vec<u64>,
    /// By router, the rests that it requested: when, until when, and how many requests have
    /// reached it meanwhile.
    requested_rests: BTreeMap<usize, Vec<(u64, u64, usize)>>,
}

pub struct Simulation {
    workload: Workload,
    rng: SmallRng,
    now: u64,
    arrivals_until: u64,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    sequence: usize,
    ready: Vec<Registration>,
    endpoints: Vec<Endpoint>,
    routers: Vec<Router>,
    tried: Vec<Vec<String>>,
    results: Results,
}

pub fn id(endpoint: usize) -> String {
    format!("e-{endpoint}")
}

fn registration(endpoint: usize, slots: u32) -> Registration {
    Registration {
        address: Some(([127, 0, 0, 1], 8_000).into()),
        service: "app".into(),
        hall: "a".into(),
        slots,
        state: EndpointState::Ready,
        ..Registration::gone(&id(endpoint))
    }
}

impl Simulation {
    pub fn run(workload: Workload, strategy: Strategy, seed: u64) -> Results {
        let mut rng = SmallRng::seed_from_u64(seed);
        let begin = rng.random_range(3_000..5_000);
        let end = begin + workload.rejecting_ms;
        let endpoint = |number: usize| Endpoint {
            running: 0,
            waiting: Vec::new(),
            rejecting: if number < workload.resting { (begin, end) } else { (0, 0) },
            arrivals: Vec::new(),
            requested_rests: BTreeMap::new(),
        };
        let mut simulation = Simulation {
            workload,
            now: 0,
            arrivals_until: end + workload.requested_rest_ms + OBSERVED_AFTER_REST_MS + 1_000,
            events: BinaryHeap::new(),
            sequence: 0,
            ready: (0..workload.endpoints).map(|n| registration(n, workload.slots)).collect(),
            endpoints: (0..workload.endpoints).map(endpoint).collect(),
            routers: (0..workload.routers).map(|_| Router::new(strategy)).collect(),
            tried: Vec::new(),
            results: Results::default(),
            rng,
        };
        simulation.schedule(0, Event::Arrives);
        while let Some(Reverse((at, _, event))) = simulation.events.pop() {
            simulation.now = at;
            simulation.on_event(event);
        }
        simulation.evaluate()
    }

    fn schedule(&mut self, ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + ms, self.sequence, event)));
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrives => self.on_arrival(),
            Event::ReachesEndpoint { request, router, endpoint } => {
                self.on_reached(request, router, endpoint)
            }
            Event::Completes { endpoint } => self.on_completed(endpoint),
            Event::Answered { request, router, endpoint, rest_ms } => {
                self.on_answered(request, router, endpoint, rest_ms);
            }
        }
    }

    fn on_arrival(&mut self) {
        if self.now > self.arrivals_until {
            return;
        }
        // Poisson arrivals in whole milliseconds; the fraction is rounded up at random.
        let gap =
            -self.rng.random::<f64>().max(1e-12).ln() * 1_000.0 / self.workload.requests_per_s;
        let gap_ms = gap as u64 + u64::from(self.rng.random::<f64>() < gap.fract());
        self.schedule(gap_ms, Event::Arrives);
        let request = self.tried.len();
        self.tried.push(Vec::new());
        self.results.requests += 1;
        let router = self.rng.random_range(0..self.workload.routers);
        self.send(request, router);
    }

    fn send(&mut self, request: usize, router: usize) {
        let random = self.rng.random();
        let tried = &self.tried[request];
        let chosen = match tried.len() < MAX_ATTEMPTS {
            true => self.routers[router].choose(self.now, &self.ready, tried, random),
            false => None,
        };
        let Some(endpoint) = chosen else {
            self.results.refused += 1;
            return;
        };
        self.tried[request].push(id(endpoint));
        self.routers[router].record_sent(self.now, &id(endpoint));
        self.schedule(NETWORK_DELAY_MS, Event::ReachesEndpoint { request, router, endpoint });
    }

    fn on_reached(&mut self, request: usize, router: usize, endpoint: usize) {
        let (now, slots) = (self.now, self.workload.slots);
        let at = &mut self.endpoints[endpoint];
        at.arrivals.push(now);
        for (requested_at, rests_until, reached) in at.requested_rests.entry(router).or_default() {
            if now > *requested_at + ALLOWED_DURING_REST.1 && now < *rests_until {
                *reached += 1;
            }
        }
        if (at.rejecting.0..at.rejecting.1).contains(&now) {
            self.results.turned_away += 1;
            let rest_length = self.workload.requested_rest_ms;
            at.requested_rests.entry(router).or_default().push((now, now + rest_length, 0));
            let rest_ms = Some(rest_length);
            self.schedule(NETWORK_DELAY_MS, Event::Answered { request, router, endpoint, rest_ms });
            return;
        }
        match at.running < slots {
            true => self.start_request(request, router, endpoint),
            false => at.waiting.push((request, router)),
        }
    }

    fn start_request(&mut self, request: usize, router: usize, endpoint: usize) {
        self.endpoints[endpoint].running += 1;
        let (usual, rare) = self.workload.service_ms;
        let takes = if self.rng.random_range(0..20) == 0 { rare } else { usual };
        self.schedule(takes, Event::Completes { endpoint });
        self.schedule(
            takes + NETWORK_DELAY_MS,
            Event::Answered { request, router, endpoint, rest_ms: None },
        );
    }

    fn on_completed(&mut self, endpoint: usize) {
        self.endpoints[endpoint].running -= 1;
        if !self.endpoints[endpoint].waiting.is_empty() {
            let (request, router) = self.endpoints[endpoint].waiting.remove(0);
            self.start_request(request, router, endpoint);
        }
    }

    fn on_answered(&mut self, request: usize, router: usize, endpoint: usize, rest: Option<u64>) {
        let id = id(endpoint);
        match rest {
            None => self.routers[router].record_served(self.now, &id),
            Some(time) => {
                self.routers[router].record_rejection(self.now, &id, time);
                self.send(request, router);
            }
        }
    }

    fn evaluate(mut self) -> Results {
        let rests = self.endpoints.iter().flat_map(|e| e.requested_rests.values().flatten());
        self.results.violations =
            rests.filter(|(.., reached)| *reached > ALLOWED_DURING_REST.0).count();
        let share = self.workload.requests_per_s / self.workload.endpoints as f64;
        for endpoint in self.endpoints.iter().take(self.workload.resting) {
            let rejecting_until = endpoint.rejecting.1;
            let arrivals_in = |from: u64, span: u64| {
                endpoint.arrivals.iter().filter(|at| (from..from + span).contains(*at)).count()
            };
            let observed_ms = self.workload.requested_rest_ms + OBSERVED_AFTER_REST_MS;
            let peak_ratio = (0..observed_ms / 10)
                .map(|n| arrivals_in(rejecting_until + n * 10, PEAK_WINDOW_MS))
                .max();
            let usual = share * PEAK_WINDOW_MS as f64 / 1_000.0;
            self.results.peak_ratio =
                self.results.peak_ratio.max(peak_ratio.unwrap_or(0) as f64 / usual);
            let has_share = |from: u64| arrivals_in(from, 500) as f64 >= 0.8 * share * 0.5;
            let ms =
                (0..observed_ms / 50).map(|n| n * 50).find(|ms| has_share(rejecting_until + ms));
            let ms = ms.unwrap_or(observed_ms);
            self.results.recovery_ms = self.results.recovery_ms.max(ms);
        }
        self.results
    }
}
