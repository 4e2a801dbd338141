//! Simulates an endpoint that restarts repeatedly, and a router that is notified late.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Range;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::ways::{Permission, Router, Strategy};

pub const ENDPOINT: &str = "e";
/// Milliseconds between the endpoint's first and last start.
const DURATION_MS: u64 = 120_000;
/// The router's clock at the beginning, in milliseconds; above zero because an endpoint's clock
/// may be behind.
const BEGIN_MS: u64 = 1_000_000;
/// Milliseconds from a start's end to the next one.
const DOWN_MS: Range<u64> = 100..1_000;
/// Milliseconds for a query and its answer.
const QUERY_MS: Range<u64> = 1..20;
/// Milliseconds until a query without an answer is repeated.
const QUERY_RETRY_MS: u64 = 200;
/// Milliseconds for which a start must accept requests to count as usable.
const MIN_USABLE_MS: u64 = 2_500;
/// Length of a rest, in milliseconds.
const REST_MS: Range<u64> = 300..4_000;
/// Delay until the router is notified of a start, in milliseconds, unless the update is late.
const UPDATE_DELAY_MS: Range<u64> = 10..150;

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Workload {
    pub name: &'static str,
    /// How long a start runs, in milliseconds.
    pub uptime_ms: Range<u64>,
    /// Delay of a late update about a start, in milliseconds.
    pub late_update_ms: Range<u64>,
    /// Share of starts whose update is late.
    pub late_share: f64,
    /// How far the endpoint's clock is ahead, in milliseconds.
    pub clock_skew_ms: i64,
    pub requests_per_s: f64,
    /// How long an answer takes, in milliseconds.
    pub response_ms: Range<u64>,
}

#[derive(Debug, Default)]
pub struct Results {
    pub requests: u64,
    /// Requests that reached a start after its notice that it refuses requests had reached the
    /// router.
    pub violations: u64,
    /// Starts that accepted requests for at least [`MIN_USABLE_MS`] once they were known.
    pub usable: u64,
    /// Usable starts that got no request.
    pub unused: u64,
    /// Time from when a usable start could get a request until it did, summed over all starts.
    pub waited_ms: u64,
    /// The longest such time.
    pub max_wait_ms: u64,
    pub queries: u64,
}

impl Results {
    pub fn add(&mut self, other: &Results) {
        self.requests += other.requests;
        self.violations += other.violations;
        self.usable += other.usable;
        self.unused += other.unused;
        self.waited_ms += other.waited_ms;
        self.max_wait_ms = self.max_wait_ms.max(other.max_wait_ms);
        self.queries += other.queries;
    }
}

/// A start as the router has recorded it.
#[derive(Clone, Copy, Debug)]
pub struct KnownStart {
    pub number: u64,
    pub started_at_ms: u64,
}

/// The notice in the head of an answer.
#[derive(Clone, Copy, Debug)]
pub struct ResponseHead {
    pub leaves: bool,
    pub rests_ms: Option<u64>,
}

/// A start of the endpoint; times are milliseconds of the router's clock.
struct Start {
    begins: u64,
    ends: u64,
    leaves_at: u64,
    rest: Range<u64>,
    known_at: u64,
    /// When the router first sent it a request while it was known.
    used_at: Option<u64>,
}

impl Start {
    fn draw(workload: &Workload, rng: &mut SmallRng, begins: u64) -> Start {
        let ends = begins + rng.random_range(workload.uptime_ms.clone());
        let within = |rng: &mut SmallRng| rng.random_range(begins..ends);
        // A third leaves before it ends; a third rests at some time, half of them from the start.
        let leaves_at = if rng.random_bool(0.33) { within(rng) } else { u64::MAX };
        let rest_at = if rng.random_bool(0.5) { begins } else { within(rng) };
        let rest_ms = if rng.random_bool(0.33) { rng.random_range(REST_MS) } else { 0 };
        let is_late = rng.random_bool(workload.late_share);
        let update_delay_ms =
            if is_late { workload.late_update_ms.clone() } else { UPDATE_DELAY_MS };
        let known_at = begins + rng.random_range(update_delay_ms);
        Start { begins, ends, leaves_at, rest: rest_at..rest_at + rest_ms, known_at, used_at: None }
    }

    fn accepts_requests(&self, now: u64) -> bool {
        now >= self.begins && now < self.ends.min(self.leaves_at) && !self.rest.contains(&now)
    }

    fn response_head(&self, now: u64) -> ResponseHead {
        let rests_ms = self.rest.contains(&now).then(|| self.rest.end - now);
        ResponseHead { leaves: now >= self.leaves_at, rests_ms }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives,
    /// The start `by` answered a request that was sent when `sent_to` was the known start.
    Answered {
        by: usize,
        sent_to: usize,
    },
    QueryDone {
        sent_to: usize,
        by: Option<usize>,
    },
}

struct Simulation<'a> {
    workload: &'a Workload,
    rng: SmallRng,
    now: u64,
    starts: Vec<Start>,
    router: Router,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    number: usize,
    /// Notices that reached the router, by start: whether it leaves, and until when it rests.
    received_notices: BTreeMap<usize, (bool, u64)>,
    is_query_pending: bool,
    results: Results,
}

pub fn run(workload: &Workload, strategy: Strategy, seed: u64) -> Results {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut starts = Vec::new();
    let mut begins = BEGIN_MS;
    while begins < BEGIN_MS + DURATION_MS {
        let start = Start::draw(workload, &mut rng, begins);
        begins = start.ends + rng.random_range(DOWN_MS);
        starts.push(start);
    }
    let mut simulation = Simulation {
        workload,
        rng,
        now: BEGIN_MS,
        starts,
        router: Router::new(strategy),
        events: BinaryHeap::new(),
        number: 0,
        received_notices: BTreeMap::new(),
        is_query_pending: false,
        results: Results::default(),
    };
    simulation.schedule(0, Event::Arrives);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at;
        match event {
            Event::Arrives => simulation.on_arrival(),
            Event::Answered { by, sent_to } => simulation.on_answered(by, sent_to),
            Event::QueryDone { sent_to, by } => simulation.on_query_done(sent_to, by),
        }
    }
    simulation.evaluate()
}

impl Simulation<'_> {
    fn schedule(&mut self, ms: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((self.now + ms, self.number, event)));
    }

    /// The latest start that the router was notified of.
    fn known(&self) -> Option<usize> {
        self.starts.iter().rposition(|start| start.known_at <= self.now)
    }

    fn known_start(&self, number: usize) -> KnownStart {
        let started_at_ms =
            self.starts[number].begins.saturating_add_signed(self.workload.clock_skew_ms);
        KnownStart { number: number as u64 + 1, started_at_ms }
    }

    /// The start that is running.
    fn running_start(&self) -> Option<usize> {
        self.starts.iter().position(|start| (start.begins..start.ends).contains(&self.now))
    }

    fn on_arrival(&mut self) {
        if self.now >= BEGIN_MS + DURATION_MS {
            return;
        }
        let gap =
            -self.rng.random::<f64>().max(1e-12).ln() * 1_000.0 / self.workload.requests_per_s;
        self.schedule(gap as u64 + 1, Event::Arrives);
        let Some(number) = self.known() else { return };
        let known = self.known_start(number);
        match self.router.permission(self.now, known) {
            Permission::Wait => {}
            Permission::QueryFirst if self.is_query_pending => {}
            Permission::QueryFirst => self.send_query(number),
            Permission::Send => self.send(number, known),
        }
    }

    fn send(&mut self, number: usize, known: KnownStart) {
        self.results.requests += 1;
        self.router.record_sent(self.now, known);
        let Some(by) = self.running_start() else { return };
        if let Some((leaves, rests_until)) = self.received_notices.get(&by)
            && (*leaves || *rests_until > self.now)
        {
            self.results.violations += 1;
        }
        if by == number {
            self.starts[by].used_at.get_or_insert(self.now);
        }
        let turned_away = self.starts[by].response_head(self.now).rests_ms.is_some();
        let duration_ms = if turned_away { 1..3 } else { self.workload.response_ms.clone() };
        let duration_ms = self.rng.random_range(duration_ms);
        self.schedule(duration_ms, Event::Answered { by, sent_to: number });
    }

    fn on_answered(&mut self, by: usize, sent_to: usize) {
        // The start ended before it answered.
        if self.now >= self.starts[by].ends {
            return;
        }
        self.deliver_head(by, sent_to);
    }

    fn deliver_head(&mut self, by: usize, sent_to: usize) {
        let head = self.starts[by].response_head(self.now);
        let received = self.received_notices.entry(by).or_default();
        received.0 |= head.leaves;
        received.1 = received.1.max(head.rests_ms.map_or(0, |time| self.now + time));
        let known = self.known().unwrap_or(sent_to);
        let (sent_to, known) = (self.known_start(sent_to), self.known_start(known));
        self.router.record_response(self.now, sent_to, known, head);
    }

    fn send_query(&mut self, number: usize) {
        self.results.queries += 1;
        self.is_query_pending = true;
        let by = self.running_start();
        let duration_ms =
            if by.is_some() { self.rng.random_range(QUERY_MS) } else { QUERY_RETRY_MS };
        self.schedule(duration_ms, Event::QueryDone { sent_to: number, by });
    }

    fn on_query_done(&mut self, sent_to: usize, by: Option<usize>) {
        self.is_query_pending = false;
        if let Some(by) = by.filter(|by| self.now < self.starts[*by].ends) {
            self.deliver_head(by, sent_to);
        }
    }

    fn evaluate(mut self) -> Results {
        for start in &self.starts {
            // The span from when the start was known and accepted requests until it refused them.
            let rests_at_first = start.rest.contains(&start.known_at);
            let from = if rests_at_first { start.rest.end } else { start.known_at };
            let rest_begins = if start.rest.start > from { start.rest.start } else { u64::MAX };
            let until = start.ends.min(start.leaves_at).min(rest_begins);
            if until < from + MIN_USABLE_MS || until > BEGIN_MS + DURATION_MS {
                continue;
            }
            debug_assert!(start.accepts_requests(from));
            self.results.usable += 1;
            match start.used_at {
                Some(at) if at < until => {
                    let waited = at.saturating_sub(from);
                    self.results.waited_ms += waited;
                    self.results.max_wait_ms = self.results.max_wait_ms.max(waited);
                }
                _ => self.results.unused += 1,
            }
        }
        self.results
    }
}
