//! The sequential test of a release's answers, on generated streams.

use std::collections::{BTreeMap, VecDeque};

use super::streams::{BUSY, Fault, QUIET, Route, Stream};
use crate::rollout::{AnswerCounts, CanaryAnalysis, Release, RouteTally, Window};

/// Windows of a canary stage: seven seconds.
const WINDOWS: usize = 70;
const CANARY_FRACTION: f64 = 0.055;
const RUNS: u64 = 200;

/// A detector of bad releases, which reports after each window whether it rejects the release.
trait Detector {
    fn start() -> Self;
    fn rejects(&mut self, window: &[RouteTally]) -> bool;
}

impl Detector for CanaryAnalysis {
    fn start() -> CanaryAnalysis {
        CanaryAnalysis::new(12_000)
    }

    fn rejects(&mut self, window: &[RouteTally]) -> bool {
        window.iter().for_each(|tally| self.record(tally));
        self.close_window(&Window::default()).level >= 1.0
    }
}

/// The alternative for comparison: rates over two seconds against fixed thresholds.
#[derive(Default)]
struct FixedThresholds {
    windows: VecDeque<Vec<RouteTally>>,
}

impl FixedThresholds {
    const WINDOWS: usize = 20;
    const MIN_ANSWERS: u32 = 20;
    const FAILURE_RATE_INCREASE: f64 = 0.1;
    const SLOW_RATE_INCREASE: f64 = 0.3;
}

impl Detector for FixedThresholds {
    fn start() -> FixedThresholds {
        FixedThresholds::default()
    }

    fn rejects(&mut self, window: &[RouteTally]) -> bool {
        self.windows.push_back(window.to_vec());
        if self.windows.len() > Self::WINDOWS {
            self.windows.pop_front();
        }
        let mut routes: BTreeMap<&str, [AnswerCounts; 2]> = BTreeMap::new();
        for tally in self.windows.iter().flatten() {
            for name in [tally.route.as_str(), "all"] {
                let side = usize::from(tally.release == Release::New);
                routes.entry(name).or_default()[side].merge(&tally.answers);
            }
        }
        let timed = |c: &AnswerCounts| c.first_byte_times.iter().map(|(_, n)| n).sum::<u32>();
        routes.iter().any(|(name, [old, new])| {
            let (of_old, of_new) = (timed(old) + old.failed, timed(new) + new.failed);
            if of_new < Self::MIN_ANSWERS || of_old == 0 {
                return false;
            }
            let rate = |bad: u32, all: u32| f64::from(bad) / f64::from(all.max(1));
            let fails =
                rate(new.failed, of_new) > rate(old.failed, of_old) + Self::FAILURE_RATE_INCREASE;
            let mut times = old.first_byte_times.clone();
            times.sort_unstable();
            let mut sum = 0;
            let median = times.iter().find(|(_, n)| {
                sum += n;
                f64::from(sum) >= 0.5 * f64::from(timed(old))
            });
            let limit = median.map_or(0, |(bucket, _)| bucket + 3);
            let slow = |c: &AnswerCounts| {
                c.first_byte_times
                    .iter()
                    .filter(|(bucket, _)| *bucket > limit)
                    .map(|(_, n)| n)
                    .sum::<u32>()
            };
            let is_slow = *name != "all"
                && rate(slow(new), timed(new))
                    > rate(slow(old), timed(old)) + Self::SLOW_RATE_INCREASE;
            fails || is_slow
        })
    }
}

/// The fraction of runs in which the release was rejected, and the number of bad answers until
/// then: their median and 95th percentile.
struct Measured {
    rejected: f64,
    median: u32,
    upper: u32,
}

fn measure<D: Detector>(routes: &'static [Route], fault: Fault) -> Measured {
    let mut bad_answers = Vec::new();
    let mut rejected = 0;
    for seed in 0..RUNS {
        let mut stream = Stream::new(routes, fault, CANARY_FRACTION, seed);
        let mut detector = D::start();
        let mut bad = 0;
        for _ in 0..WINDOWS {
            let (tallies, in_window) = stream.next();
            bad += in_window;
            if detector.rejects(&tallies) {
                rejected += 1;
                break;
            }
        }
        bad_answers.push(bad);
    }
    bad_answers.sort_unstable();
    let quantile = |fraction: f64| bad_answers[(fraction * (RUNS - 1) as f64) as usize];
    Measured {
        rejected: f64::from(rejected) / RUNS as f64,
        median: quantile(0.5),
        upper: quantile(0.95),
    }
}

const HARMLESS: [Fault; 3] = [Fault::Good, Fault::FailsOnBoth, Fault::SlowerOnBoth];
const BAD: [Fault; 8] = [
    Fault::Fails { from: 0, fraction: 0.15 },
    Fault::Fails { from: 0, fraction: 0.3 },
    Fault::Fails { from: 0, fraction: 1.0 },
    Fault::Fails { from: 40, fraction: 0.3 },
    Fault::FailsOnOneRoute { fraction: 0.3 },
    Fault::Slower { from: 0, times: 2.5 },
    Fault::Slower { from: 0, times: 4.0 },
    Fault::Slower { from: 40, times: 2.5 },
];

/// Prints the table of `docs/design/roll-outs.md`, visible with `--nocapture`.
#[test]
fn the_sequential_test_rejects_fewer_harmless_releases_than_fixed_thresholds() {
    let services: [(&str, &'static [Route]); 2] = [("busy", &BUSY), ("quiet", &QUIET)];
    println!("| service | release | fixed: found, bad median, 95 % | sequential |");
    for (name, routes) in services {
        let harmless = || HARMLESS.iter().chain([Fault::OneEndpointCrashes].iter());
        let (mut rejected_by_fixed, mut rejected_by_sequential) = (0.0, 0.0);
        for (index, fault) in harmless().chain(&BAD).enumerate() {
            let fixed = measure::<FixedThresholds>(routes, *fault);
            let sequential = measure::<CanaryAnalysis>(routes, *fault);
            let cell = |m: &Measured| format!("{:.3}, {}, {}", m.rejected, m.median, m.upper);
            println!("| {name} | {fault:?} | {} | {} |", cell(&fixed), cell(&sequential));
            if index < harmless().count() {
                rejected_by_fixed += fixed.rejected;
                rejected_by_sequential += sequential.rejected;
            }
        }
        assert!(
            rejected_by_sequential < rejected_by_fixed / 4.0,
            "{name}: {rejected_by_sequential} and {rejected_by_fixed}"
        );
    }
}

#[test]
fn a_good_release_is_almost_never_rejected() {
    for routes in [&BUSY[..], &QUIET[..]] {
        let rejected = measure::<CanaryAnalysis>(routes, Fault::Good).rejected;
        assert!(rejected <= 0.01, "{rejected}");
    }
}

#[test]
fn a_problem_of_both_releases_rejects_neither() {
    for fault in [Fault::FailsOnBoth, Fault::SlowerOnBoth] {
        let rejected = measure::<CanaryAnalysis>(&BUSY, fault).rejected;
        assert!(rejected <= 0.03, "{fault:?}: {rejected}");
    }
}

#[test]
fn a_release_with_many_bad_answers_is_rejected_before_the_fiftieth() {
    for fault in [
        Fault::Fails { from: 0, fraction: 0.3 },
        Fault::Fails { from: 0, fraction: 1.0 },
        Fault::Fails { from: 40, fraction: 0.3 },
    ] {
        let measured = measure::<CanaryAnalysis>(&BUSY, fault);
        assert!(measured.rejected == 1.0, "{fault:?}: {}", measured.rejected);
        assert!(measured.upper <= 50, "{fault:?}: {}", measured.upper);
    }
}

/// On this route 14 % of the answers fail with any release, and the new release gives 13 answers
/// per second. A release that is not rejected within seven seconds is rejected once its fraction
/// grows: see `a_bad_release_gets_less_than_its_share`.
#[test]
fn a_release_that_fails_on_a_route_with_a_high_failure_rate_is_mostly_rejected_early() {
    let measured = measure::<CanaryAnalysis>(&BUSY, Fault::FailsOnOneRoute { fraction: 0.3 });
    assert!(measured.rejected >= 0.95, "{}", measured.rejected);
    assert!(measured.upper <= 50, "{}", measured.upper);
}

#[test]
fn a_release_that_is_several_times_slower_is_rejected() {
    for fault in [
        Fault::Slower { from: 0, times: 2.5 },
        Fault::Slower { from: 0, times: 4.0 },
        Fault::Slower { from: 40, times: 2.5 },
    ] {
        let measured = measure::<CanaryAnalysis>(&BUSY, fault);
        assert!(measured.rejected == 1.0, "{fault:?}: {}", measured.rejected);
    }
}

#[test]
fn a_crash_of_one_endpoint_does_not_reject_its_release() {
    let rejected = measure::<CanaryAnalysis>(&BUSY, Fault::OneEndpointCrashes).rejected;
    assert!(rejected <= 0.02, "{rejected}");
}

fn tally(release: Release, ms: f64, answers: u32) -> RouteTally {
    let mut counts = AnswerCounts { sent: answers, ..AnswerCounts::default() };
    (0..answers).for_each(|_| counts.add_answer(ms));
    RouteTally { route: "r".into(), release, answers: counts }
}

#[test]
fn cold_endpoints_may_be_slow() {
    let level = |cold_fraction| {
        let mut analysis = CanaryAnalysis::new(12_000);
        let mut level = 0.0;
        for _ in 0..10 {
            analysis.record(&tally(Release::Old, 50.0, 40));
            analysis.record(&tally(Release::New, 400.0, 4));
            level = analysis.close_window(&Window { cold_fraction, is_mostly_new: false }).level;
        }
        level
    };
    assert!(level(0.0) >= 1.0);
    assert!(level(1.0) < 0.5);
}

#[test]
fn a_release_with_all_requests_is_compared_with_earlier_windows() {
    let mut analysis = CanaryAnalysis::new(12_000);
    for _ in 0..10 {
        analysis.record(&tally(Release::Old, 50.0, 40));
        analysis.close_window(&Window::default());
    }
    let mut level = 0.0;
    for _ in 0..10 {
        analysis.record(&tally(Release::New, 400.0, 40));
        level = analysis.close_window(&Window { cold_fraction: 0.0, is_mostly_new: true }).level;
    }
    assert!(level >= 1.0);
}
