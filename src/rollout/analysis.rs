//! Whether a release is bad: a sequential test of its answers against those of the
//! releases before it, on the same routes in the same seconds.

use std::collections::{BTreeMap, VecDeque};

use super::report::{AnswerCounts, Release, RouteTally};

/// Moments in which the old releases answered on a route that make up what is usual
/// there: some seconds, in which trouble that meets both sides shows on both.
const USUAL_WINDOWS: usize = 30;
/// The last of them, in which trouble that meets both sides shows at once.
const LAST_WINDOWS: usize = 5;
/// Evidence at which a release counts as bad, as the logarithm of how much likelier its
/// answers are if it is. Chosen by the table in `docs/design/roll-outs.md`.
const REJECT_AT: f64 = 6.5;
/// Milliseconds of a roll-out for which that is chosen. In a longer one there are more
/// windows in which chance may speak against a good release, and it needs more evidence
/// by the logarithm of how many more.
const CONDEMNS_WITHIN_MS: f64 = 12_000.0;
/// The most of it that one window may bring, as a part: an endpoint that crashes breaks
/// many answers at once, and the next windows of the others speak for the release.
const WINDOW_AT_MOST: f64 = 0.17;
/// The same once most requests go to the release: one endpoint is a small part then, and
/// each window costs many callers.
const WINDOW_AT_MOST_ALONE: f64 = 0.5;
/// Least part of answers that is expected to fail anywhere: a few failures by chance
/// must not reject a release where the others had none yet.
const LEAST_USUAL: f64 = 0.02;
/// Parts of failing answers more than usual on one route that make a release bad: the
/// smaller finds a release that fails now and then, the larger one that fails often on a
/// route that always fails some.
const FAILING_STEPS: [f64; 2] = [0.12, 0.25];
/// The part on all routes together, where answers come faster.
const FAILING_STEP_ALL: f64 = 0.06;
/// Part of slow answers more than usual that makes a release bad: one that is several times
/// slower moves most of its answers.
const SLOW_STEP: f64 = 0.3;
/// Standard deviations by which the usual part is taken higher than seen: few answers
/// tell it badly.
const DOUBT: f64 = 1.3;
/// Standard deviations that chance explains.
const CHANCE: f64 = 1.5;
/// Old answers of a route without which its times are not compared.
const LEAST_OLD_ANSWERS: u32 = 20;
/// Buckets above the usual time from which on an answer is slow: a factor of 1.7, well
/// below the 2.5 of a release that is several times slower.
const SLOW_BUCKETS: u8 = 3;
/// The same once most requests go to the new release, and nothing but earlier seconds is
/// left to compare with: a factor of 2.8.
const SLOW_BUCKETS_ALONE: u8 = 6;

/// What of a release was found suspicious.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// How much of the evidence that reject_at is there: 1 and more is bad.
    pub level: f64,
    /// Where and what.
    pub description: String,
}

/// What speaks against a release, growing with each answer that does and falling with
/// each that does not, never below nothing.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence(f64);

impl Evidence {
    /// `more` is that of one window, and `reject_at` what a release is rejected at.
    fn add(&mut self, more: f64, reject_at: f64, window: &Window) {
        let most = if window.is_alone { WINDOW_AT_MOST_ALONE } else { WINDOW_AT_MOST };
        self.0 = (self.0 + more.min(most * reject_at)).max(0.0);
    }

    /// As a part of what reject_at.
    fn level(self, reject_at: f64) -> f64 {
        self.0 / reject_at
    }
}

/// How much likelier `bad` of `all` answers are at `usual` and `step` more than at
/// `usual`, as a logarithm.
fn likelier(bad: u32, all: u32, usual: f64, step: f64) -> f64 {
    let raised = usual + step;
    // Where so many are bad anyhow, more of them tell nothing.
    if raised >= 1.0 {
        return 0.0;
    }
    let good = f64::from(all.saturating_sub(bad));
    f64::from(bad) * (raised / usual).ln() + good * ((1.0 - raised) / (1.0 - usual)).ln()
}

/// The part that `bad` of `all` show, taken higher the fewer there are.
fn cautious_part(bad: u32, all: u32) -> f64 {
    if all == 0 {
        return LEAST_USUAL * 2.0;
    }
    let (n, part) = (f64::from(all), seen_part(bad, all));
    let z2 = DOUBT * DOUBT;
    let spread = (part * (1.0 - part) / n + z2 / (4.0 * n * n)).sqrt();
    ((part + z2 / (2.0 * n) + DOUBT * spread) / (1.0 + z2 / n)).max(LEAST_USUAL)
}

/// The part that `bad` of `all` show.
fn seen_part(bad: u32, all: u32) -> f64 {
    f64::from(bad) / f64::from(all.max(1))
}

/// The usual part of bad answers, from `(bad, all)` in some seconds and in the last
/// windows: the latter where more are bad there than chance explains.
fn usual_part(seconds: (u32, u32), last: (u32, u32)) -> f64 {
    let usual = cautious_part(seconds.0, seconds.1);
    let seen = seen_part(last.0, last.1);
    let chance = CHANCE * (usual * (1.0 - usual) / f64::from(last.1.max(1))).sqrt();
    if seen > usual + chance { seen } else { usual }
}

fn highest(evidence: &[Evidence], reject_at: f64) -> f64 {
    evidence.iter().map(|evidence| evidence.level(reject_at)).fold(0.0, f64::max)
}

/// Good answers whose time is known.
fn good(counts: &AnswerCounts) -> u32 {
    counts.first_byte_times.iter().map(|(_, answers)| answers).sum()
}

fn slower_than(counts: &AnswerCounts, limit: u8) -> u32 {
    counts
        .first_byte_times
        .iter()
        .filter(|(bucket, _)| *bucket > limit)
        .map(|(_, answers)| answers)
        .sum()
}

/// The bucket up to which this part of the good answers took.
fn quantile(counts: &AnswerCounts, part: f64) -> u8 {
    let mut took = counts.first_byte_times.clone();
    took.sort_unstable();
    let wanted = f64::from(good(counts)) * part;
    let mut sum = 0.0;
    for (bucket, answers) in &took {
        sum += f64::from(*answers);
        if sum >= wanted {
            return *bucket;
        }
    }
    took.last().map_or(0, |(bucket, _)| *bucket)
}

/// One route's answers by both sides.
#[derive(Clone, Debug, Default)]
struct RouteWatch {
    /// What the old releases answered, by windows; only those in which they did.
    old_windows: VecDeque<AnswerCounts>,
    old_now: AnswerCounts,
    new_now: AnswerCounts,
    failing: [Evidence; 2],
    slow: [Evidence; 2],
    /// Usual times, kept once nothing is left to compare with.
    times: AnswerCounts,
}

/// Parts of the usual answers whose time is looked at: a release that is slow throughout
/// shows at the middle, one that is slow for some at the upper end.
const SLOW_AT: [f64; 2] = [0.5, 0.9];

impl RouteWatch {
    fn close_window(&mut self, reject_at: f64, window: &Window) -> RouteWindow {
        let old_now = std::mem::take(&mut self.old_now);
        if old_now.ended() > 0 {
            self.old_windows.push_back(old_now);
            if self.old_windows.len() > USUAL_WINDOWS {
                self.old_windows.pop_front();
            }
        }
        let old = self.old_in(USUAL_WINDOWS);
        let last = self.old_in(LAST_WINDOWS);
        if !window.is_alone {
            self.times = old.clone();
        }
        let new = std::mem::take(&mut self.new_now);
        let usual = usual_part((old.failed, old.ended()), (last.failed, last.ended()));
        for (evidence, step) in self.failing.iter_mut().zip(FAILING_STEPS) {
            evidence.add(likelier(new.failed, new.ended(), usual, step), reject_at, window);
        }
        self.weigh_times(&new, &last, reject_at, window);
        RouteWindow { failed: new.failed, answers: new.ended(), usual }
    }

    /// The old releases' answers in the last windows.
    fn old_in(&self, windows: usize) -> AnswerCounts {
        let mut sum = AnswerCounts::default();
        self.old_windows.iter().rev().take(windows).for_each(|counts| sum.merge(counts));
        sum
    }

    fn weigh_times(
        &mut self,
        new: &AnswerCounts,
        last: &AnswerCounts,
        reject_at: f64,
        window: &Window,
    ) {
        let old = &self.times;
        if good(old) < LEAST_OLD_ANSWERS {
            return;
        }
        let more = if window.is_alone { SLOW_BUCKETS_ALONE } else { SLOW_BUCKETS };
        for (evidence, part) in self.slow.iter_mut().zip(SLOW_AT) {
            let limit = quantile(old, part).saturating_add(more);
            let of = |counts: &AnswerCounts| (slower_than(counts, limit), good(counts));
            let usual = usual_part(of(old), of(last));
            // Endpoints that have just started may be slow whatever they run.
            let usual = usual + (1.0 - usual) * window.cold_part;
            evidence.add(
                likelier(slower_than(new, limit), good(new), usual, SLOW_STEP),
                reject_at,
                window,
            );
        }
    }
}

struct RouteWindow {
    failed: u32,
    answers: u32,
    usual: f64,
}

/// How things stood while a window's answers came.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    /// The part of the release's endpoints in use that has just started.
    pub cold_part: f64,
    /// Whether most requests go to the new release: the others' times tell no more what
    /// is usual under load.
    pub is_alone: bool,
}

/// The answers of a release and of those before it.
#[derive(Clone, Debug)]
pub struct CanaryAnalysis {
    reject_at: f64,
    routes: BTreeMap<String, RouteWatch>,
    failing: Evidence,
    /// Answers of the new release so far.
    pub new_answers: u64,
    /// Those of the others.
    pub old_answers: u64,
    /// Failed answers of the new release.
    pub new_failed: u64,
    /// Those of the others.
    pub old_failed: u64,
}

impl CanaryAnalysis {
    /// For a roll-out of so many milliseconds.
    pub fn new(duration_ms: u64) -> CanaryAnalysis {
        let longer = (duration_ms as f64 / CONDEMNS_WITHIN_MS).max(1.0);
        CanaryAnalysis {
            reject_at: REJECT_AT + longer.ln(),
            routes: BTreeMap::new(),
            failing: Evidence::default(),
            new_answers: 0,
            old_answers: 0,
            new_failed: 0,
            old_failed: 0,
        }
    }

    /// Takes answers in that came since the last window was closed.
    pub fn record(&mut self, tally: &RouteTally) {
        let route = self.routes.entry(tally.route.clone()).or_default();
        let (answers, failed) = (tally.answers.ended(), tally.answers.failed);
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

    /// Weighs what came in a window, and says what is most suspicious so far.
    pub fn close_window(&mut self, window: &Window) -> Finding {
        let reject_at = self.reject_at;
        let mut sum = 0.0;
        for route in self.routes.values_mut() {
            let RouteWindow { failed, answers, usual } = route.close_window(reject_at, window);
            sum += likelier(failed, answers, usual, FAILING_STEP_ALL);
        }
        self.failing.add(sum, reject_at, window);
        let mut worst = Finding {
            level: self.failing.level(reject_at),
            description: format!(
                "{} of {} answers fail, {} of {} by old releases",
                self.new_failed, self.new_answers, self.old_failed, self.old_answers
            ),
        };
        for (name, route) in &self.routes {
            let kinds = [
                (highest(&route.failing, reject_at), "fail"),
                (highest(&route.slow, reject_at), "are slow"),
            ];
            for (level, kind) in kinds {
                if level > worst.level {
                    worst =
                        Finding { level, description: format!("answers on route {name} {kind}") };
                }
            }
        }
        worst
    }
}
