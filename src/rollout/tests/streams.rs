//! Generated answers of two releases, to weigh ways to judge by.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::rollout::{AnswerCounts, Release, RouteTally};

/// Milliseconds of a window.
pub const WINDOW_MS: u64 = 100;

/// One route of the service.
#[derive(Clone, Copy)]
pub struct Route {
    pub name: &'static str,
    pub per_second: f64,
    /// Part of answers that fail on every release.
    pub failing: f64,
    /// Usual milliseconds to the first byte.
    pub took_ms: f64,
    /// Spread of times: standard deviation of their logarithm.
    pub spread: f64,
}

/// Routes of a service with much traffic: two fail some by themselves.
pub const BUSY: [Route; 3] = [
    Route { name: "summary", per_second: 242.0, failing: 0.14, took_ms: 180.0, spread: 0.6 },
    Route { name: "chat", per_second: 319.0, failing: 0.004, took_ms: 40.0, spread: 0.5 },
    Route { name: "search", per_second: 483.0, failing: 0.02, took_ms: 70.0, spread: 0.7 },
];

/// Routes of a service with little.
pub const QUIET: [Route; 2] = [
    Route { name: "credit", per_second: 164.0, failing: 0.01, took_ms: 35.0, spread: 0.3 },
    Route { name: "history", per_second: 38.0, failing: 0.004, took_ms: 35.0, spread: 0.3 },
];

/// What is the matter with the new release, or with both.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Matter {
    /// Nothing.
    Good,
    /// From some window on this part of its answers fails.
    Fails { from: usize, part: f64 },
    /// The same on the first route only.
    FailsOnOneRoute { part: f64 },
    /// This part of its answers fails while it gets a fifth of the requests or more.
    FailsUnderLoad { part: f64 },
    /// From some window on its answers take so many times as long.
    Slower { from: usize, times: f64 },
    /// For two seconds a third of the answers of both releases fails.
    GreyOnBothSides,
    /// For two seconds answers of both releases take three times as long.
    SlowOnBothSides,
    /// One of its four endpoints breaks what it runs off, and then refuses for a moment.
    OneCrashes,
}

const GREY: std::ops::Range<usize> = 30..50;

/// Answers of one window.
pub struct Stream {
    pub routes: &'static [Route],
    pub matter: Matter,
    pub part: f64,
    random: SmallRng,
    window: usize,
}

impl Stream {
    pub fn new(routes: &'static [Route], matter: Matter, part: f64, seed: u64) -> Stream {
        Stream { routes, matter, part, random: SmallRng::seed_from_u64(seed), window: 0 }
    }

    /// The answers of the next window, and how many bad ones of the new release a bad
    /// release gave beyond what is usual.
    pub fn next(&mut self) -> (Vec<RouteTally>, u32) {
        let mut tallies = Vec::new();
        let mut let_through = 0;
        for (index, route) in self.routes.iter().enumerate() {
            for release in [Release::Old, Release::New] {
                let part = if release == Release::New { self.part } else { 1.0 - self.part };
                let expected = route.per_second * WINDOW_MS as f64 / 1_000.0 * part;
                let answers = self.poisson(expected);
                let mut counts = AnswerCounts { sent: answers, ..AnswerCounts::default() };
                for _ in 0..answers {
                    let (failing, times) = self.trouble(index, release);
                    let is_extra = self.random.random_bool(failing);
                    if is_extra || self.random.random_bool(route.failing) {
                        counts.failed += 1;
                    } else {
                        counts.add_answer(route.took_ms * times * self.factor(route.spread));
                    }
                    let is_bad = is_extra || times > 1.0;
                    let_through += u32::from(is_bad && release == Release::New);
                }
                tallies.push(RouteTally { route: route.name.into(), release, answers: counts });
            }
        }
        self.window += 1;
        (tallies, let_through)
    }

    /// The part that fails beyond the usual, and how many times as long others take.
    fn trouble(&self, route: usize, release: Release) -> (f64, f64) {
        let now = self.window;
        let is_new = release == Release::New;
        match self.matter {
            Matter::Fails { from, part } if is_new && now >= from => (part, 1.0),
            Matter::FailsOnOneRoute { part } if is_new && route == 0 => (part, 1.0),
            Matter::FailsUnderLoad { part } if is_new && self.part >= 0.2 => (part, 1.0),
            Matter::Slower { from, times } if is_new && now >= from => (0.0, times),
            Matter::GreyOnBothSides if GREY.contains(&now) => (0.33, 1.0),
            Matter::SlowOnBothSides if GREY.contains(&now) => (0.0, 3.0),
            Matter::OneCrashes if is_new && now == 30 => (0.9, 1.0),
            Matter::OneCrashes if is_new && (31..34).contains(&now) => (0.25, 1.0),
            _ => (0.0, 1.0),
        }
    }

    fn poisson(&mut self, expected: f64) -> u32 {
        let limit = (-expected).exp();
        let mut product = self.random.random::<f64>();
        let mut count = 0;
        while product > limit {
            count += 1;
            product *= self.random.random::<f64>();
        }
        count
    }

    /// A factor with median 1 and this spread of its logarithm.
    fn factor(&mut self, spread: f64) -> f64 {
        let sum: f64 = (0..12).map(|_| self.random.random::<f64>()).sum();
        ((sum - 6.0) * spread).exp()
    }
}
