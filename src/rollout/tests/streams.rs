//! Generated answers of two releases, to test and compare detectors of bad releases.

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
    /// Fraction of answers that fail on every release.
    pub failure_rate: f64,
    /// Median time to the first byte, in milliseconds.
    pub first_byte_ms: f64,
    /// Standard deviation of the logarithm of the times.
    pub spread: f64,
}

/// Routes of a service with much traffic; two of them often fail on any release.
pub const BUSY: [Route; 3] = [
    Route {
        name: "summary",
        per_second: 242.0,
        failure_rate: 0.14,
        first_byte_ms: 180.0,
        spread: 0.6,
    },
    Route {
        name: "chat",
        per_second: 319.0,
        failure_rate: 0.004,
        first_byte_ms: 40.0,
        spread: 0.5,
    },
    Route {
        name: "search",
        per_second: 483.0,
        failure_rate: 0.02,
        first_byte_ms: 70.0,
        spread: 0.7,
    },
];

/// Routes of a service with little traffic.
pub const QUIET: [Route; 2] = [
    Route {
        name: "credit",
        per_second: 164.0,
        failure_rate: 0.01,
        first_byte_ms: 35.0,
        spread: 0.3,
    },
    Route {
        name: "history",
        per_second: 38.0,
        failure_rate: 0.004,
        first_byte_ms: 35.0,
        spread: 0.3,
    },
];

/// Fault of the new release, or of both.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// No fault.
    Good,
    /// From a window on, this fraction of its answers fails.
    Fails { from: usize, fraction: f64 },
    /// This fraction of its answers fails on the first route only.
    FailsOnOneRoute { fraction: f64 },
    /// This fraction of its answers fails while it receives a fifth of the requests or more.
    FailsUnderLoad { fraction: f64 },
    /// From a window on, its answers take `times` times as long.
    Slower { from: usize, times: f64 },
    /// For two seconds, a third of the answers of both releases fails.
    FailsOnBoth,
    /// For two seconds, answers of both releases take three times as long.
    SlowerOnBoth,
    /// One of its four endpoints crashes: its running answers end early, and it refuses requests
    /// in the next three windows.
    OneEndpointCrashes,
}

/// Windows in which a fault of both releases occurs.
const SHARED_FAULT_WINDOWS: std::ops::Range<usize> = 30..50;

/// Generator of the answers of one window after another.
pub struct Stream {
    pub routes: &'static [Route],
    pub fault: Fault,
    pub new_fraction: f64,
    random: SmallRng,
    window: usize,
}

impl Stream {
    pub fn new(routes: &'static [Route], fault: Fault, new_fraction: f64, seed: u64) -> Stream {
        Stream { routes, fault, new_fraction, random: SmallRng::seed_from_u64(seed), window: 0 }
    }

    /// The answers of the next window, and how many answers of the new release its fault made
    /// bad.
    pub fn next(&mut self) -> (Vec<RouteTally>, u32) {
        let mut tallies = Vec::new();
        let mut bad_answers = 0;
        for (index, route) in self.routes.iter().enumerate() {
            for release in [Release::Old, Release::New] {
                let fraction = if release == Release::New {
                    self.new_fraction
                } else {
                    1.0 - self.new_fraction
                };
                let expected = route.per_second * WINDOW_MS as f64 / 1_000.0 * fraction;
                let answers = self.poisson(expected);
                let mut counts = AnswerCounts { sent: answers, ..AnswerCounts::default() };
                for _ in 0..answers {
                    let (fault_rate, times) = self.fault_at(index, release);
                    let is_fault = self.random.random_bool(fault_rate);
                    if is_fault || self.random.random_bool(route.failure_rate) {
                        counts.failed += 1;
                    } else {
                        counts.add_answer(route.first_byte_ms * times * self.factor(route.spread));
                    }
                    let is_bad = is_fault || times > 1.0;
                    bad_answers += u32::from(is_bad && release == Release::New);
                }
                tallies.push(RouteTally { route: route.name.into(), release, answers: counts });
            }
        }
        self.window += 1;
        (tallies, bad_answers)
    }

    /// The fraction of answers that the fault makes fail, and the factor on the times of the
    /// others.
    fn fault_at(&self, route: usize, release: Release) -> (f64, f64) {
        let now = self.window;
        let is_new = release == Release::New;
        match self.fault {
            Fault::Fails { from, fraction } if is_new && now >= from => (fraction, 1.0),
            Fault::FailsOnOneRoute { fraction } if is_new && route == 0 => (fraction, 1.0),
            Fault::FailsUnderLoad { fraction } if is_new && self.new_fraction >= 0.2 => {
                (fraction, 1.0)
            }
            Fault::Slower { from, times } if is_new && now >= from => (0.0, times),
            Fault::FailsOnBoth if SHARED_FAULT_WINDOWS.contains(&now) => (0.33, 1.0),
            Fault::SlowerOnBoth if SHARED_FAULT_WINDOWS.contains(&now) => (0.0, 3.0),
            Fault::OneEndpointCrashes if is_new && now == 30 => (0.9, 1.0),
            Fault::OneEndpointCrashes if is_new && (31..34).contains(&now) => (0.25, 1.0),
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

    /// A random factor with median 1 and this standard deviation of its logarithm.
    fn factor(&mut self, spread: f64) -> f64 {
        let sum: f64 = (0..12).map(|_| self.random.random::<f64>()).sum();
        ((sum - 6.0) * spread).exp()
    }
}
