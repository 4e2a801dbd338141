//! Detects bad releases: a sequential test of a release's answers against those of the old
//! releases on the same routes at the same time.

use std::collections::{BTreeMap, VecDeque};

use super::report::{AnswerCounts, Release, RouteTally};

/// Windows with answers of the old releases on a route that make up its baseline: a few
/// seconds, in which a problem that affects both sides shows on both.
const BASELINE_WINDOWS: usize = 30;
/// The most recent of them, in which a problem that affects both sides shows at once.
const RECENT_WINDOWS: usize = 5;
/// Evidence at which a release is rejected, as the logarithm of how much likelier its answers
/// are if it is bad. Derived from the table in `docs/design/roll-outs.md`.
const REJECT_EVIDENCE: f64 = 6.5;
/// Milliseconds of a rollout that [`REJECT_EVIDENCE`] applies to. A longer rollout has more
/// windows in which chance may count against a good release, so it requires more evidence, by
/// the logarithm of how many times longer it is.
const REFERENCE_DURATION_MS: f64 = 12_000.0;
/// Maximum evidence that one window may add, as a fraction of that which rejects: an endpoint
/// that crashes truncates many answers at once, and the other endpoints' answers in the
/// following windows are evidence for the release.
const MAX_WINDOW_FRACTION: f64 = 0.17;
/// The same once most requests go to the release: one endpoint is a small fraction of it
/// then, and each window affects many callers.
const MAX_WINDOW_FRACTION_MOSTLY_NEW: f64 = 0.5;
/// Minimum rate of failing answers that is expected anywhere: a few failures by chance must
/// not reject a release when the old releases had none yet.
const MIN_BASELINE_RATE: f64 = 0.02;
/// Increases of a route's failure rate over the baseline that make a release bad. The smaller
/// detects a release that fails occasionally, the larger one that fails often on a route with
/// a high failure rate of its own.
const FAILURE_RATE_INCREASES: [f64; 2] = [0.12, 0.25];
/// The increase of the failure rate of all routes together, where answers arrive faster.
const FAILURE_RATE_INCREASE_ALL: f64 = 0.06;
/// Increase of the rate of slow answers over the baseline that makes a release bad: in a
/// release that is several times slower, most answers are slow.
const SLOW_RATE_INCREASE: f64 = 0.3;
/// Standard deviations by which the baseline is raised above the observed rate, as few
/// answers give a poor estimate.
const BASELINE_DEVIATIONS: f64 = 1.3;
/// Standard deviations that are attributed to chance.
const CHANCE_DEVIATIONS: f64 = 1.5;
/// Minimum answers of the old releases on a route to compare times.
const MIN_OLD_ANSWERS: u32 = 20;
/// Buckets above the baseline time beyond which an answer is slow: a factor of 1.7, well
/// below the 2.5 of a release that is several times slower.
const SLOW_BUCKETS: u8 = 3;
/// The same once most requests go to the new release, and only earlier seconds remain to
/// compare with: a factor of 2.8.
const SLOW_BUCKETS_MOSTLY_NEW: u8 = 6;

/// Result of the analysis of a release.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Evidence as a fraction of that which rejects the release: at 1 or more it is bad.
    pub level: f64,
    /// Which answers the evidence comes from.
    pub description: String,
}

/// Evidence against a release: the sum of log-likelihood ratios, never below zero.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence(f64);

impl Evidence {
    /// Adds the evidence of one window, where a release is rejected at `reject_at`.
    fn add(&mut self, more: f64, reject_at: f64, window: &Window) {
        let max_fraction =
            if window.is_mostly_new { MAX_WINDOW_FRACTION_MOSTLY_NEW } else { MAX_WINDOW_FRACTION };
        self.0 = (self.0 + more.min(max_fraction * reject_at)).max(0.0);
    }

    /// The evidence as a fraction of `reject_at`.
    fn level(self, reject_at: f64) -> f64 {
        self.0 / reject_at
    }
}

/// Logarithm of how much likelier `bad` of `all` answers are at the rate `baseline` + `step`
/// than at `baseline`.
fn log_likelihood_ratio(bad: u32, all: u32, baseline: f64, step: f64) -> f64 {
    let raised = baseline + step;
    // At such a high baseline, more bad answers prove nothing.
    if raised >= 1.0 {
        return 0.0;
    }
    let good = f64::from(all.saturating_sub(bad));
    f64::from(bad) * (raised / baseline).ln() + good * ((1.0 - raised) / (1.0 - baseline)).ln()
}

/// Upper bound of the rate at which `bad` of `all` answers occur (Wilson score interval): the
/// fewer answers, the higher above the observed rate.
fn upper_rate(bad: u32, all: u32) -> f64 {
    if all == 0 {
        return MIN_BASELINE_RATE * 2.0;
    }
    let (n, rate) = (f64::from(all), observed_rate(bad, all));
    let z2 = BASELINE_DEVIATIONS * BASELINE_DEVIATIONS;
    let spread = (rate * (1.0 - rate) / n + z2 / (4.0 * n * n)).sqrt();
    ((rate + z2 / (2.0 * n) + BASELINE_DEVIATIONS * spread) / (1.0 + z2 / n)).max(MIN_BASELINE_RATE)
}

/// The observed rate of `bad` answers.
fn observed_rate(bad: u32, all: u32) -> f64 {
    f64::from(bad) / f64::from(all.max(1))
}

/// The baseline rate of bad answers, from `(bad, all)` in the baseline windows and in the
/// recent ones: the recent rate if it is higher than chance explains.
fn baseline_rate(baseline: (u32, u32), recent: (u32, u32)) -> f64 {
    let rate = upper_rate(baseline.0, baseline.1);
    let observed = observed_rate(recent.0, recent.1);
    let chance = CHANCE_DEVIATIONS * (rate * (1.0 - rate) / f64::from(recent.1.max(1))).sqrt();
    if observed > rate + chance { observed } else { rate }
}

fn max_level(evidence: &[Evidence], reject_at: f64) -> f64 {
    evidence.iter().map(|evidence| evidence.level(reject_at)).fold(0.0, f64::max)
}

/// Number of successful answers with a known time.
fn timed_answers(counts: &AnswerCounts) -> u32 {
    counts.first_byte_times.iter().map(|(_, answers)| answers).sum()
}

fn slow_answers(counts: &AnswerCounts, limit: u8) -> u32 {
    counts
        .first_byte_times
        .iter()
        .filter(|(bucket, _)| *bucket > limit)
        .map(|(_, answers)| answers)
        .sum()
}

/// The bucket that contains this quantile of the times.
fn quantile_bucket(counts: &AnswerCounts, quantile: f64) -> u8 {
    let mut times = counts.first_byte_times.clone();
    times.sort_unstable();
    let target = f64::from(timed_answers(counts)) * quantile;
    let mut sum = 0.0;
    for (bucket, answers) in &times {
        sum += f64::from(*answers);
        if sum >= target {
            return *bucket;
        }
    }
    times.last().map_or(0, |(bucket, _)| *bucket)
}

/// Analysis of one route's answers by both sides.
#[derive(Clone, Debug, Default)]
struct RouteAnalysis {
    /// Answers of the old releases by window; windows without any are left out.
    old_windows: VecDeque<AnswerCounts>,
    old_now: AnswerCounts,
    new_now: AnswerCounts,
    failing: [Evidence; 2],
    slow: [Evidence; 2],
    /// Baseline times, kept once most requests go to the new release.
    times: AnswerCounts,
}

/// Quantiles of the baseline times that slow answers are measured against: a release that is
/// slow throughout shows at the median, one that is slow for some requests at the upper end.
const SLOW_QUANTILES: [f64; 2] = [0.5, 0.9];

impl RouteAnalysis {
    fn close_window(&mut self, reject_at: f64, window: &Window) -> RouteWindow {
        let old_now = std::mem::take(&mut self.old_now);
        if old_now.total() > 0 {
            self.old_windows.push_back(old_now);
            if self.old_windows.len() > BASELINE_WINDOWS {
                self.old_windows.pop_front();
            }
        }
        let old = self.old_in(BASELINE_WINDOWS);
        let recent = self.old_in(RECENT_WINDOWS);
        if !window.is_mostly_new {
            self.times = old.clone();
        }
        let new = std::mem::take(&mut self.new_now);
        let baseline = baseline_rate((old.failed, old.total()), (recent.failed, recent.total()));
        for (evidence, step) in self.failing.iter_mut().zip(FAILURE_RATE_INCREASES) {
            evidence.add(
                log_likelihood_ratio(new.failed, new.total(), baseline, step),
                reject_at,
                window,
            );
        }
        self.add_time_evidence(&new, &recent, reject_at, window);
        RouteWindow { failed: new.failed, answers: new.total(), baseline }
    }

    /// Answers of the old releases in the last `windows` windows.
    fn old_in(&self, windows: usize) -> AnswerCounts {
        let mut sum = AnswerCounts::default();
        self.old_windows.iter().rev().take(windows).for_each(|counts| sum.merge(counts));
        sum
    }

    fn add_time_evidence(
        &mut self,
        new: &AnswerCounts,
        recent: &AnswerCounts,
        reject_at: f64,
        window: &Window,
    ) {
        let old = &self.times;
        if timed_answers(old) < MIN_OLD_ANSWERS {
            return;
        }
        let more = if window.is_mostly_new { SLOW_BUCKETS_MOSTLY_NEW } else { SLOW_BUCKETS };
        for (evidence, quantile) in self.slow.iter_mut().zip(SLOW_QUANTILES) {
            let limit = quantile_bucket(old, quantile).saturating_add(more);
            let slow = |counts: &AnswerCounts| (slow_answers(counts, limit), timed_answers(counts));
            let baseline = baseline_rate(slow(old), slow(recent));
            // Endpoints that have just started may be slow with any release.
            let baseline = baseline + (1.0 - baseline) * window.cold_fraction;
            evidence.add(
                log_likelihood_ratio(
                    slow_answers(new, limit),
                    timed_answers(new),
                    baseline,
                    SLOW_RATE_INCREASE,
                ),
                reject_at,
                window,
            );
        }
    }
}

/// Counts of the new release's answers on one route in one window.
struct RouteWindow {
    failed: u32,
    answers: u32,
    baseline: f64,
}

/// Conditions under which a window's answers were given.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    /// Fraction (0 to 1) of the release's endpoints in use that are cold.
    pub cold_fraction: f64,
    /// Whether most requests go to the new release, so that the times of the old releases are
    /// no longer a baseline under load.
    pub is_mostly_new: bool,
}

/// Sequential test of a release's answers against those of the old releases.
#[derive(Clone, Debug)]
pub struct CanaryAnalysis {
    reject_at: f64,
    routes: BTreeMap<String, RouteAnalysis>,
    failing: Evidence,
    /// Answers of the new release so far.
    pub new_answers: u64,
    /// Answers of the old releases so far.
    pub old_answers: u64,
    /// Failed answers of the new release.
    pub new_failed: u64,
    /// Failed answers of the old releases.
    pub old_failed: u64,
}

impl CanaryAnalysis {
    /// Creates the analysis for a rollout of `duration_ms` milliseconds.
    pub fn new(duration_ms: u64) -> CanaryAnalysis {
        let longer = (duration_ms as f64 / REFERENCE_DURATION_MS).max(1.0);
        CanaryAnalysis {
            reject_at: REJECT_EVIDENCE + longer.ln(),
            routes: BTreeMap::new(),
            failing: Evidence::default(),
            new_answers: 0,
            old_answers: 0,
            new_failed: 0,
            old_failed: 0,
        }
    }

    /// Records answers in the current window.
    pub fn record(&mut self, tally: &RouteTally) {
        let route = self.routes.entry(tally.route.clone()).or_default();
        let (answers, failed) = (tally.answers.total(), tally.answers.failed);
        match tally.release {
            Release::New => {
                route.new_now.merge(&tally.answers);
                self.new_answers += u64::from(answers);
                self.new_failed += u64::from(failed);
            }
            Release::Old => {
                route.old_now.merge(&tally.answers);
                self.old_answers += u64::from(answers);
                self.old_failed += u64::from(failed);
            }
        }
    }

    /// Evaluates the current window and returns the strongest evidence so far.
    pub fn close_window(&mut self, window: &Window) -> Finding {
        let reject_at = self.reject_at;
        let mut sum = 0.0;
        for route in self.routes.values_mut() {
            let RouteWindow { failed, answers, baseline } = route.close_window(reject_at, window);
            sum += log_likelihood_ratio(failed, answers, baseline, FAILURE_RATE_INCREASE_ALL);
        }
        self.failing.add(sum, reject_at, window);
        let mut strongest = Finding {
            level: self.failing.level(reject_at),
            description: format!(
                "{} of {} answers fail, {} of {} by old releases",
                self.new_failed, self.new_answers, self.old_failed, self.old_answers
            ),
        };
        for (name, route) in &self.routes {
            let kinds = [
                (max_level(&route.failing, reject_at), "fail"),
                (max_level(&route.slow, reject_at), "are slow"),
            ];
            for (level, kind) in kinds {
                if level > strongest.level {
                    strongest =
                        Finding { level, description: format!("answers on route {name} {kind}") };
                }
            }
        }
        strongest
    }
}
