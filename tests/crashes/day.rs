//! A generated day, in steps of 10 ms.

use std::collections::BTreeMap;
use std::fmt;

use bramblecrank::quarantine::Fingerprint;
use bramblecrank::registry::EndpointStart;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::ways::{Judge, Way};

const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 60_000;
pub const ROUTERS: usize = 8;
/// How long an endpoint that ended is away.
const AWAY_MS: u64 = 3_000;
/// How long the fleet may take to learn of a third crash.
const LEARN_MS: u64 = 3_000;
/// How late what an endpoint sent may be read.
const READ_LATE_MS: u64 = 250;
/// Runs that a router makes of one arrival, and arrivals that a caller makes of one request.
const RUNS: u32 = 2;
const ARRIVALS: u32 = 2;

/// What happens besides requests that crash endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    Calm,
    /// Endpoints die one by one of something else.
    OtherDeaths,
    /// A third of all endpoints dies at one moment, several times.
    Outages,
    /// Routers lose half of their connections, several times a second.
    Resets,
    /// Five different requests crash endpoints by turns.
    ManyCulprits,
    /// Callers send the same few requests.
    SameRequests,
}

impl Trouble {
    pub const ALL: [Trouble; 6] = [
        Trouble::Calm,
        Trouble::OtherDeaths,
        Trouble::Outages,
        Trouble::Resets,
        Trouble::ManyCulprits,
        Trouble::SameRequests,
    ];
}

/// What came of days.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub innocent: usize,
    pub refused_by_mistake: usize,
    pub ended: usize,
    /// Sends of one culprit later than the fleet had to learn of its third crash.
    pub most_after_learning: usize,
}

impl Outcome {
    pub fn and(self, other: Outcome) -> Outcome {
        Outcome {
            innocent: self.innocent + other.innocent,
            refused_by_mistake: self.refused_by_mistake + other.refused_by_mistake,
            ended: self.ended + other.ended,
            most_after_learning: self.most_after_learning.max(other.most_after_learning),
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outcome { innocent, refused_by_mistake, ended, most_after_learning } = self;
        write!(
            f,
            "{ended} endpoints ended by culprits, at most {most_after_learning} sends of one after \
             learning; {refused_by_mistake} of {innocent} innocent arrivals refused"
        )
    }
}

#[derive(Clone, Debug)]
struct Run {
    fingerprint: Fingerprint,
    culprit: Option<usize>,
    router: usize,
    began: u64,
    ends: u64,
    runs: u32,
    arrivals: u32,
}

#[derive(Clone, Debug, Default)]
struct Endpoint {
    starts: u64,
    up_at: u64,
    runs: Vec<Run>,
    /// Routers that lost something at this start though it lives, and when.
    doubted_by: Vec<(usize, u64)>,
}

pub struct Day {
    rng: SmallRng,
    trouble: Trouble,
    judge: Judge,
    endpoints: Vec<Endpoint>,
    crashes: BTreeMap<usize, Vec<u64>>,
    next: u64,
    outcome: Outcome,
}

impl Day {
    pub fn new(seed: u64, endpoints: usize, trouble: Trouble, way: Way) -> Day {
        let endpoints = vec![Endpoint::default(); endpoints];
        let rng = SmallRng::seed_from_u64(seed);
        let (judge, outcome) = (Judge::new(way), Outcome::default());
        Day { rng, trouble, judge, endpoints, crashes: BTreeMap::new(), next: 0, outcome }
    }

    pub fn play(mut self) -> Outcome {
        for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            self.end_runs(now);
            self.arrive(now);
            self.trouble(now);
            self.judge.decide(now);
        }
        self.outcome
    }

    fn chance(&mut self, a_second: f64) -> bool {
        self.rng.random_bool((a_second * STEP_MS as f64 / 1_000.0).min(1.0))
    }

    fn arrive(&mut self, now: u64) {
        // Eight a second and endpoint, of one second each.
        for _ in 0..self.endpoints.len() {
            if self.chance(8.0) {
                self.next += 1;
                let number = match self.trouble {
                    Trouble::SameRequests => self.rng.random_range(0..20),
                    _ => self.next,
                };
                let fingerprint = Fingerprint::of("c", &["/"], &number.to_be_bytes());
                self.arrival(now, fingerprint, None, 1);
            }
        }
        let culprits = if self.trouble == Trouble::ManyCulprits { 5 } else { 1 };
        for culprit in 0..culprits {
            if now >= 5_000 && self.chance(1.5) {
                let fingerprint = Fingerprint::of("c", &["/culprit"], &[culprit as u8]);
                self.arrival(now, fingerprint, Some(culprit), 1);
            }
        }
    }

    fn arrival(&mut self, now: u64, of: Fingerprint, culprit: Option<usize>, arrivals: u32) {
        let router = self.rng.random_range(0..ROUTERS);
        let (began, ends, runs) = (now, now, 0);
        let run = Run { fingerprint: of, culprit, router, began, ends, runs, arrivals };
        self.outcome.innocent += usize::from(culprit.is_none());
        self.send(now, run);
    }

    fn send(&mut self, now: u64, mut run: Run) {
        if self.judge.refuses(run.router, &run.fingerprint) {
            self.outcome.refused_by_mistake += usize::from(run.culprit.is_none());
            return;
        }
        let up: Vec<_> =
            (0..self.endpoints.len()).filter(|e| self.endpoints[*e].up_at <= now).collect();
        if up.is_empty() {
            return;
        }
        let at = up[self.rng.random_range(0..up.len())];
        if let Some(culprit) = run.culprit {
            self.note_culprit(now, culprit);
        }
        run.runs += 1;
        run.began = now;
        let takes = if run.culprit.is_some() { 50..300 } else { 100..2_000 };
        run.ends = now + self.rng.random_range(takes);
        let start = self.start(at);
        let endpoint = &mut self.endpoints[at];
        if let Some(doubt) = endpoint.doubted_by.iter().position(|(by, _)| *by == run.router) {
            endpoint.doubted_by.swap_remove(doubt);
            self.judge.answered(now, run.router, &start);
        }
        self.endpoints[at].runs.push(run);
    }

    fn note_culprit(&mut self, now: u64, culprit: usize) {
        let third = self.crashes.get(&culprit).and_then(|crashes| crashes.get(2));
        if third.is_some_and(|third| now > third + LEARN_MS) {
            let crashes = self.crashes[&culprit].iter();
            let later = crashes.filter(|at| **at > self.crashes[&culprit][2] + LEARN_MS).count();
            self.outcome.most_after_learning = self.outcome.most_after_learning.max(later + 1);
        }
    }

    fn start(&self, at: usize) -> EndpointStart {
        EndpointStart { id: format!("e-{at}"), started_at_ms: self.endpoints[at].starts }
    }

    fn end_runs(&mut self, now: u64) {
        for at in 0..self.endpoints.len() {
            self.hear(now, at);
            let (ended, left): (Vec<_>, Vec<_>) =
                self.endpoints[at].runs.drain(..).partition(|run| run.ends <= now);
            self.endpoints[at].runs = left;
            let culprits: Vec<_> = ended.iter().filter_map(|run| run.culprit).collect();
            let (crashers, served): (Vec<_>, Vec<_>) =
                ended.into_iter().partition(|run| run.culprit.is_some());
            for run in served {
                self.judge.served(now, run.router, &run.fingerprint);
            }
            if !culprits.is_empty() {
                for culprit in culprits {
                    self.crashes.entry(culprit).or_default().push(now);
                }
                self.endpoints[at].runs.extend(crashers);
                self.outcome.ended += 1;
                self.die(now, at);
            }
        }
    }

    /// Routers that lost something at an endpoint hear the answers that go on there.
    fn hear(&mut self, now: u64, at: usize) {
        let start = self.start(at);
        let endpoint = &mut self.endpoints[at];
        let Endpoint { runs, doubted_by, .. } = endpoint;
        let hears = |(by, since): &(usize, u64)| {
            now >= since + READ_LATE_MS && runs.iter().any(|run| run.router == *by)
        };
        let hearing: Vec<_> = doubted_by.extract_if(.., |doubt| hears(doubt)).collect();
        for (router, _) in hearing {
            self.judge.answered(now, router, &start);
        }
    }

    /// An endpoint ends, with all that runs there.
    fn die(&mut self, now: u64, at: usize) {
        let start = self.start(at);
        let lost = std::mem::take(&mut self.endpoints[at].runs);
        self.endpoints[at].starts += 1;
        self.endpoints[at].up_at = now + AWAY_MS;
        self.endpoints[at].doubted_by.clear();
        self.lose(now, &start, lost);
    }

    fn lose(&mut self, now: u64, start: &EndpointStart, lost: Vec<Run>) {
        for run in &lost {
            self.judge.lost(now, run.router, start, &run.fingerprint, (now - run.began) as u32);
        }
        for run in lost {
            if run.runs < RUNS {
                self.send(now, run);
            } else if run.arrivals < ARRIVALS {
                self.arrival(now, run.fingerprint, run.culprit, run.arrivals + 1);
            }
        }
    }

    fn trouble(&mut self, now: u64) {
        let one_dies = self.trouble == Trouble::OtherDeaths && self.chance(1.0);
        match self.trouble {
            Trouble::OtherDeaths if one_dies => {
                let at = self.rng.random_range(0..self.endpoints.len());
                self.die(now, at);
            }
            Trouble::Outages if now.is_multiple_of(4_000) => {
                let first = self.rng.random_range(0..3);
                for at in (first..self.endpoints.len()).step_by(3) {
                    self.die(now, at);
                }
            }
            Trouble::SameRequests if now.is_multiple_of(10_000) => {
                for at in (0..self.endpoints.len()).step_by(3) {
                    self.die(now, at);
                }
            }
            Trouble::Resets if now.is_multiple_of(500) => {
                let router = self.rng.random_range(0..ROUTERS);
                for at in 0..self.endpoints.len() {
                    self.reset(now, router, at);
                }
            }
            _ => {}
        }
    }

    /// A router loses half of what it has at an endpoint, which goes on.
    fn reset(&mut self, now: u64, router: usize, at: usize) {
        let start = self.start(at);
        let runs = std::mem::take(&mut self.endpoints[at].runs);
        let is_lost = |run: &Run| run.router == router && run.began.is_multiple_of(20);
        let (lost, left): (Vec<_>, Vec<_>) = runs.into_iter().partition(is_lost);
        self.endpoints[at].runs = left;
        if !lost.is_empty() {
            self.endpoints[at].doubted_by.push((router, now));
            self.lose(now, &start, lost);
        }
    }
}
