//! Report of a load run: as text, JSON and a plot.

use std::collections::HashMap;
use std::path::Path;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU64, Ordering};

use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::file::LoadFile;
use super::measure::{Gap, Sample, fairness_gap, quantile};
use super::observe::{Observations, quantile_ms};
use crate::emulate::service::Ledger;
use crate::error::{Error, Result};

/// Counters of the fleet read at one moment.
#[derive(Clone, Debug, Default)]
pub(super) struct Probe {
    pub at: Option<Instant>,
    pub endpoints: Vec<Option<EndpointLoad>>,
    pub control_bytes: Vec<Option<u64>>,
    pub sent: u64,
}

/// Load of an endpoint as served at `/load`.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct EndpointLoad {
    slots: u32,
    busy_us: u64,
}

/// Measurements of one customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CustomerReport {
    /// The customer's name.
    pub name: String,
    /// The customer's share.
    pub share: u32,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered completely.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Units received in the measured window.
    pub units: u64,
    /// Mean milliseconds to the first byte.
    pub mean_wait_ms: f64,
}

/// Measurements of a load run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The load's name.
    pub name: String,
    /// Length of the measured window in seconds.
    pub window_s: f64,
    /// The fairness gap.
    pub gap: Gap,
    /// Units of the largest request.
    pub largest_units: u64,
    /// The gap divided by the units of the largest request.
    pub gap_over_largest: f64,
    /// Busy slot-seconds divided by all slot-seconds.
    pub utilisation: f64,
    /// Control bytes per second of the median router.
    pub control_p50: f64,
    /// Control bytes per second of the router that sends most.
    pub control_max: f64,
    /// Control bytes of all routers divided by the requests sent.
    pub control_per_request: f64,
    /// Milliseconds to the first byte: 50th, 95th and 99th percentile.
    pub first_byte_ms: [f64; 3],
    /// Milliseconds between tokens: 50th, 95th and 99th percentile.
    pub between_tokens_ms: [f64; 3],
    /// Milliseconds to the end of the answer: 50th, 95th and 99th percentile.
    pub whole_ms: [f64; 3],
    /// Requests sent.
    pub sent: u64,
    /// Requests answered completely.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests answered with the notice that an earlier attempt is still running.
    pub running: u64,
    /// Requests without an answer.
    pub lost: u64,
    /// Streams ended with an explicit error.
    pub broken: u64,
    /// Keyed calls that ran more than once.
    pub doubled: u64,
    /// Answers of other requests.
    pub crossed: u64,
    /// Incomplete answers that were delivered as complete.
    pub truncated: u64,
    /// Keyed calls that ran although all their answers reported "not run".
    pub false_not_run: u64,
    /// Refusals without a retry time.
    pub no_retry_after: u64,
    /// Requests with a deadly part that may have run.
    #[serde(default)]
    pub deadly_runs: u64,
    /// Those that were sent after the part had to be known to all routers.
    #[serde(default)]
    pub late_deadly_runs: u64,
    /// Whether these are too many, or other requests were answered less than half as often then.
    #[serde(default)]
    pub deadly_violated: bool,
    /// Number of keyed calls.
    pub keyed: u64,
    /// Whether all callers finished in time.
    pub finished: bool,
    /// Measurements by customer, in the order of the load file.
    pub customers: Vec<CustomerReport>,
}

pub(super) fn build(
    file: &LoadFile,
    observations: &Observations,
    samples: &[Sample],
    before: &Probe,
    after: &Probe,
    ledgers: &[Ledger],
    finished: bool,
) -> LoadReport {
    let names: Vec<_> = file.customers.iter().map(|c| c.name.clone()).collect();
    let shares: Vec<_> = file.customers.iter().map(|c| c.share).collect();
    let gap = fairness_gap(&names, &shares, samples);
    let read = |c: &AtomicU64| c.load(Ordering::Relaxed);
    let largest_units = read(&observations.largest_units);
    let seconds = match (before.at, after.at) {
        (Some(from), Some(to)) => (to - from).as_secs_f64(),
        _ => 0.0,
    };
    let mut control = control_rates(before, after, seconds);
    let sent_in_window = after.sent.saturating_sub(before.sent).max(1);
    let control_sum: f64 = control.iter().sum();
    let percentiles = |h| [0.5, 0.95, 0.99].map(|fraction| quantile_ms(h, fraction));
    let (doubled, false_not_run) = count_violations(observations, ledgers);
    let customers = customer_reports(file, observations, samples);
    let deadly = observations.deadly.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let sum = |f: fn(&CustomerReport) -> u64| customers.iter().map(f).sum();
    LoadReport {
        name: file.name.clone(),
        window_s: seconds,
        gap_over_largest: gap.units / largest_units.max(1) as f64,
        gap,
        largest_units,
        utilisation: utilisation(before, after, seconds),
        control_p50: quantile(&mut control, 0.5),
        control_max: quantile(&mut control, 1.0),
        control_per_request: control_sum * seconds / sent_in_window as f64,
        first_byte_ms: percentiles(&observations.first_byte),
        between_tokens_ms: percentiles(&observations.between_tokens),
        whole_ms: percentiles(&observations.completion),
        sent: sum(|c| c.sent),
        answered: sum(|c| c.answered),
        refused: sum(|c| c.refused),
        unknown: read(&observations.unknown),
        running: read(&observations.running),
        lost: read(&observations.lost),
        broken: read(&observations.broken),
        doubled,
        crossed: read(&observations.crossed),
        truncated: read(&observations.truncated),
        false_not_run,
        no_retry_after: read(&observations.no_retry_after),
        deadly_runs: deadly.runs(),
        late_deadly_runs: deadly.late_runs(),
        deadly_violated: deadly.is_violated(),
        keyed: observations.outcomes_by_key.lock().unwrap_or_else(PoisonError::into_inner).len()
            as u64,
        finished,
        customers,
    }
}

fn customer_reports(
    file: &LoadFile,
    observations: &Observations,
    samples: &[Sample],
) -> Vec<CustomerReport> {
    let received = |sample: Option<&Sample>, c: usize| sample.map_or(0, |s| s.received[c]);
    let report = |(index, load): (usize, &super::file::LoadCustomer)| {
        let counters = &observations.customers[index];
        let answered = counters.answered.load(Ordering::Relaxed);
        let wait = counters.wait_ms.load(Ordering::Relaxed) as f64;
        CustomerReport {
            name: load.name.clone(),
            share: load.share,
            sent: counters.sent.load(Ordering::Relaxed),
            answered,
            refused: counters.refused.load(Ordering::Relaxed),
            units: received(samples.last(), index) - received(samples.first(), index),
            mean_wait_ms: wait / answered.max(1) as f64,
        }
    };
    file.customers.iter().enumerate().map(report).collect()
}

fn utilisation(before: &Probe, after: &Probe, seconds: f64) -> f64 {
    let mut busy = 0.0;
    let mut slots = 0.0;
    for (before, after) in before.endpoints.iter().zip(&after.endpoints) {
        if let (Some(before), Some(after)) = (before, after) {
            busy += after.busy_us.saturating_sub(before.busy_us) as f64 / 1e6;
            slots += f64::from(after.slots) * seconds;
        }
    }
    if slots > 0.0 { busy / slots } else { 0.0 }
}

fn control_rates(before: &Probe, after: &Probe, seconds: f64) -> Vec<f64> {
    let pairs = before.control_bytes.iter().zip(&after.control_bytes);
    let rate = |(before, after): (&Option<u64>, &Option<u64>)| {
        Some((*after)?.saturating_sub((*before)?) as f64 / seconds.max(0.001))
    };
    pairs.filter_map(rate).collect()
}

/// Counts the keyed calls that ran more than once, and those falsely reported as not run.
fn count_violations(observations: &Observations, ledgers: &[Ledger]) -> (u64, u64) {
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for (name, count) in ledgers.iter().flat_map(|l| &l.by_key) {
        let key = name.split_once('/').map_or(name.as_str(), |(_, key)| key);
        *runs.entry(key).or_default() += count;
    }
    let outcomes_by_key =
        observations.outcomes_by_key.lock().unwrap_or_else(PoisonError::into_inner);
    let run_count = |key: &str| runs.get(key).copied().unwrap_or(0);
    let doubled = outcomes_by_key.keys().filter(|key| run_count(key) > 1).count();
    let only_not_run =
        outcomes_by_key.iter().filter(|(_, o)| o.not_run > 0 && o.answered + o.other == 0);
    let false_not_run = only_not_run.filter(|(key, _)| run_count(key) > 0).count();
    (doubled as u64, false_not_run as u64)
}

impl LoadReport {
    /// Whether no violation of a guarantee was measured.
    pub fn is_clean(&self) -> bool {
        let violations =
            self.doubled + self.crossed + self.truncated + self.false_not_run + self.no_retry_after;
        violations == 0 && !self.deadly_violated
    }

    /// Names and formatted values of the rows of a table.
    fn rows(&self) -> Vec<(&'static str, String)> {
        let ms = |v: &[f64; 3]| format!("{:.1} / {:.1} / {:.1}", v[0], v[1], v[2]);
        vec![
            ("window s", format!("{:.1}", self.window_s)),
            ("backlogged customers", self.gap.backlogged.len().to_string()),
            ("fairness gap, units", format!("{:.0}", self.gap.units)),
            ("largest request, units", self.largest_units.to_string()),
            ("gap over largest", format!("{:.2}", self.gap_over_largest)),
            ("utilisation", format!("{:.3}", self.utilisation)),
            ("control bytes/s p50", format!("{:.0}", self.control_p50)),
            ("control bytes/s max", format!("{:.0}", self.control_max)),
            ("control bytes a request", format!("{:.0}", self.control_per_request)),
            ("first byte ms 50/95/99", ms(&self.first_byte_ms)),
            ("between tokens ms", ms(&self.between_tokens_ms)),
            ("whole answer ms", ms(&self.whole_ms)),
            ("sent", self.sent.to_string()),
            ("answered", self.answered.to_string()),
            ("refused, not run", self.refused.to_string()),
            ("unknown", self.unknown.to_string()),
            ("told still running", self.running.to_string()),
            ("broken with an error", self.broken.to_string()),
            ("lost", self.lost.to_string()),
            ("keyed calls", self.keyed.to_string()),
            ("doubled", self.doubled.to_string()),
            ("crossed", self.crossed.to_string()),
            ("truncated", self.truncated.to_string()),
            ("false not run", self.false_not_run.to_string()),
            ("without come-back time", self.no_retry_after.to_string()),
            ("deadly prompts run", self.deadly_runs.to_string()),
            ("of these too late", self.late_deadly_runs.to_string()),
        ]
    }
}

impl std::fmt::Display for LoadReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "{}", self.name)?;
        for (name, value) in self.rows() {
            writeln!(f, "  {name:<26} {value}")?;
        }
        let head = ["customer", "share", "sent", "answered", "refused", "units", "wait ms"];
        writeln!(
            f,
            "  {:<20} {:>5} {:>8} {:>8} {:>8} {:>10} {:>9}",
            head[0], head[1], head[2], head[3], head[4], head[5], head[6]
        )?;
        for c in &self.customers {
            writeln!(
                f,
                "  {:<20} {:>5} {:>8} {:>8} {:>8} {:>10} {:>9.0}",
                c.name, c.share, c.sent, c.answered, c.refused, c.units, c.mean_wait_ms
            )?;
        }
        Ok(())
    }
}

/// Formats two reports side by side.
pub fn compare(before: &LoadReport, after: &LoadReport) -> String {
    let mut text = format!("  {:<26} {:>24} {:>24}\n", "", before.name, after.name);
    for ((name, a), (_, b)) in before.rows().into_iter().zip(after.rows()) {
        text.push_str(&format!("  {name:<26} {a:>24} {b:>24}\n"));
    }
    text
}

/// Draws the gaps of reports over time into an SVG file.
pub fn plot(reports: &[&LoadReport], path: &Path) -> Result<()> {
    draw(reports, path).map_err(|e| Error::Load { message: format!("cannot draw: {e}") })
}

fn draw(reports: &[&LoadReport], path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (900, 500)).into_drawing_area();
    root.fill(&WHITE)?;
    let points = || reports.iter().flat_map(|r| &r.gap.over_time);
    let last = points().map(|p| p.0).fold(1.0, f64::max);
    let highest = points().map(|p| p.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..last, 0.0..highest * 1.1)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    for (index, report) in reports.iter().enumerate() {
        let style = Palette99::pick(index).stroke_width(2);
        chart.draw_series(LineSeries::new(report.gap.over_time.iter().copied(), style))?;
    }
    root.present()?;
    Ok(())
}
