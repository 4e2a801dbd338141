//! A day of generated requests to the endpoints of a plain service, some of which turn
//! requests away for a while and ask for rest.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use bramblecrank::registry::{EndpointState, Registration};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::ways::{Router, Way};

/// Milliseconds on the way between a router and an endpoint.
const WAY_MS: u64 = 1;
/// Requests that may reach an endpoint at rest from one router, and when that begins to
/// count, in milliseconds after it asked.
const ALLOWED: (usize, u64) = (2, 500);
/// Endpoints to which one request is sent at most.
const SENDS: usize = 2;
/// Spans after a rest in which arrivals are counted, in milliseconds.
const RUSH_MS: u64 = 100;
/// How long after a rest it is looked for a rush, and for the share.
const AFTER_MS: u64 = 2_000;

/// What a day is made of.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub routers: usize,
    pub endpoints: usize,
    pub slots: u32,
    /// Requests a second.
    pub rate: f64,
    /// Milliseconds that a request takes, and those of one in twenty.
    pub takes_ms: (u64, u64),
    /// How many endpoints turn requests away at once.
    pub resting: usize,
    /// For how long they do so, and what they ask for each time, in milliseconds.
    pub turns_away_ms: u64,
    pub asks_ms: u64,
}

/// What came of a day.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub requests: usize,
    /// Rests in which a router sent more than is allowed.
    pub broken: usize,
    pub turned_away: usize,
    /// Requests that nobody served.
    pub refused: usize,
    /// The most arrivals at an endpoint in a tenth of a second after its rest, over what it
    /// gets in one on average.
    pub rush: f64,
    /// Milliseconds after the last rest until an endpoint had its share in half a second.
    pub share_back_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Comes,
    Reaches { request: usize, router: usize, endpoint: usize },
    Ends { endpoint: usize },
    Answered { request: usize, router: usize, endpoint: usize, rest_ms: Option<u64> },
}

struct Endpoint {
    running: u32,
    waiting: Vec<(usize, usize)>,
    /// Since when and until when it turns requests away.
    turns_away: (u64, u64),
    arrivals: Vec<u64>,
    /// What it asked of each router: when, until when, and what reached it since.
    asked: BTreeMap<usize, Vec<(u64, u64, usize)>>,
}

pub struct Day {
    kind: Kind,
    rng: SmallRng,
    now: u64,
    until: u64,
    events: BinaryHeap<Reverse<(u64, usize, What)>>,
    number: usize,
    ready: Vec<Registration>,
    endpoints: Vec<Endpoint>,
    routers: Vec<Router>,
    tried: Vec<Vec<String>>,
    figures: Figures,
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

impl Day {
    pub fn play(kind: Kind, way: Way, seed: u64) -> Figures {
        let mut rng = SmallRng::seed_from_u64(seed);
        let begin = rng.random_range(3_000..5_000);
        let end = begin + kind.turns_away_ms;
        let endpoint = |number: usize| Endpoint {
            running: 0,
            waiting: Vec::new(),
            turns_away: if number < kind.resting { (begin, end) } else { (0, 0) },
            arrivals: Vec::new(),
            asked: BTreeMap::new(),
        };
        let mut day = Day {
            kind,
            now: 0,
            until: end + kind.asks_ms + AFTER_MS + 1_000,
            events: BinaryHeap::new(),
            number: 0,
            ready: (0..kind.endpoints).map(|n| registration(n, kind.slots)).collect(),
            endpoints: (0..kind.endpoints).map(endpoint).collect(),
            routers: (0..kind.routers).map(|_| Router::new(way)).collect(),
            tried: Vec::new(),
            figures: Figures::default(),
            rng,
        };
        day.later(0, What::Comes);
        while let Some(Reverse((at, _, what))) = day.events.pop() {
            day.now = at;
            day.happen(what);
        }
        day.evaluate()
    }

    fn later(&mut self, ms: u64, what: What) {
        self.number += 1;
        self.events.push(Reverse((self.now + ms, self.number, what)));
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Comes => self.comes(),
            What::Reaches { request, router, endpoint } => self.reaches(request, router, endpoint),
            What::Ends { endpoint } => self.ends(endpoint),
            What::Answered { request, router, endpoint, rest_ms } => {
                self.answered(request, router, endpoint, rest_ms);
            }
        }
    }

    fn comes(&mut self) {
        if self.now > self.until {
            return;
        }
        // Poisson arrivals, in whole milliseconds with the rest carried by chance.
        let gap = -self.rng.random::<f64>().max(1e-12).ln() * 1_000.0 / self.kind.rate;
        let whole = gap as u64 + u64::from(self.rng.random::<f64>() < gap.fract());
        self.later(whole, What::Comes);
        let request = self.tried.len();
        self.tried.push(Vec::new());
        self.figures.requests += 1;
        let router = self.rng.random_range(0..self.kind.routers);
        self.send(request, router);
    }

    fn send(&mut self, request: usize, router: usize) {
        let random = self.rng.random();
        let tried = &self.tried[request];
        let chosen = match tried.len() < SENDS {
            true => self.routers[router].choose(self.now, &self.ready, tried, random),
            false => None,
        };
        let Some(endpoint) = chosen else {
            self.figures.refused += 1;
            return;
        };
        self.tried[request].push(id(endpoint));
        self.routers[router].begin(self.now, &id(endpoint));
        self.later(WAY_MS, What::Reaches { request, router, endpoint });
    }

    fn reaches(&mut self, request: usize, router: usize, endpoint: usize) {
        let (now, slots) = (self.now, self.kind.slots);
        let at = &mut self.endpoints[endpoint];
        at.arrivals.push(now);
        for (asked, until, reached) in at.asked.entry(router).or_default() {
            if now > *asked + ALLOWED.1 && now < *until {
                *reached += 1;
            }
        }
        if (at.turns_away.0..at.turns_away.1).contains(&now) {
            self.figures.turned_away += 1;
            let asks = self.kind.asks_ms;
            at.asked.entry(router).or_default().push((now, now + asks, 0));
            let rest_ms = Some(asks);
            self.later(WAY_MS, What::Answered { request, router, endpoint, rest_ms });
            return;
        }
        match at.running < slots {
            true => self.run(request, router, endpoint),
            false => at.waiting.push((request, router)),
        }
    }

    fn run(&mut self, request: usize, router: usize, endpoint: usize) {
        self.endpoints[endpoint].running += 1;
        let (usual, rare) = self.kind.takes_ms;
        let takes = if self.rng.random_range(0..20) == 0 { rare } else { usual };
        self.later(takes, What::Ends { endpoint });
        self.later(takes + WAY_MS, What::Answered { request, router, endpoint, rest_ms: None });
    }

    fn ends(&mut self, endpoint: usize) {
        self.endpoints[endpoint].running -= 1;
        if !self.endpoints[endpoint].waiting.is_empty() {
            let (request, router) = self.endpoints[endpoint].waiting.remove(0);
            self.run(request, router, endpoint);
        }
    }

    fn answered(&mut self, request: usize, router: usize, endpoint: usize, rest: Option<u64>) {
        let id = id(endpoint);
        match rest {
            None => self.routers[router].served(self.now, &id),
            Some(time) => {
                self.routers[router].turned_away(self.now, &id, time);
                self.send(request, router);
            }
        }
    }

    fn evaluate(mut self) -> Figures {
        let rests = self.endpoints.iter().flat_map(|e| e.asked.values().flatten());
        self.figures.broken = rests.filter(|(.., reached)| *reached > ALLOWED.0).count();
        let share = self.kind.rate / self.kind.endpoints as f64;
        for endpoint in self.endpoints.iter().take(self.kind.resting) {
            let back = endpoint.turns_away.1;
            let in_span = |from: u64, span: u64| {
                endpoint.arrivals.iter().filter(|at| (from..from + span).contains(*at)).count()
            };
            let over = self.kind.asks_ms + AFTER_MS;
            let rush = (0..over / 10).map(|n| in_span(back + n * 10, RUSH_MS)).max();
            let usual = share * RUSH_MS as f64 / 1_000.0;
            self.figures.rush = self.figures.rush.max(rush.unwrap_or(0) as f64 / usual);
            let has_share = |from: u64| in_span(from, 500) as f64 >= 0.8 * share * 0.5;
            let ms = (0..over / 50).map(|n| n * 50).find(|ms| has_share(back + ms));
            let ms = ms.unwrap_or(over);
            self.figures.share_back_ms = self.figures.share_back_ms.max(ms);
        }
        self.figures
    }
}
