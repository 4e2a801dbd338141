//! Running a load file against a fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::file::{Arrival, LoadFile};
use super::measure::Sample;
use super::observe::Observations;
use super::report::{self, LoadReport, Probe};
use super::request::{Outcome, PlannedRequest, send_request};
use crate::answer::{AnswerBody, AnswerLimits};
use crate::delivery::HttpClient;
use crate::emulate::service::Ledger;
use crate::error::Result;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of pending requests of a customer with open-loop arrivals.
const MAX_OPEN_REQUESTS: usize = 20_000;
/// How long pending requests may take to finish after the load ends.
const FINISH_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of times that one keyed call is sent.
const MAX_SENDS: u32 = 6;

struct Load {
    file: LoadFile,
    client: HttpClient,
    observations: Observations,
    end: Instant,
    next_key: AtomicU64,
    /// Makes the keys of this run unique: its start in milliseconds since the epoch.
    run_id: u64,
}

/// Runs a load against a running fleet and reports what was measured.
/// Calls `progress` with the seconds since the start and each sample.
pub async fn run(file: LoadFile, progress: impl Fn(f64, &Sample)) -> Result<LoadReport> {
    file.check()?;
    let start = Instant::now();
    let load = Arc::new(Load {
        client: HttpClient::default(),
        observations: Observations::new(file.customers.len()),
        end: start + Duration::from_secs_f64(file.duration_s),
        next_key: AtomicU64::new(0),
        run_id: crate::clock::epoch_ms(),
        file,
    });
    let mut callers = JoinSet::new();
    spawn_callers(&load, &mut callers);
    let warmup = Duration::from_secs_f64(load.file.warmup_s);
    tokio::time::sleep(warmup).await;
    let before = probe(&load).await;
    let samples = sample_until_end(&load, start, progress).await;
    let after = probe(&load).await;
    let finish = async { while callers.join_next().await.is_some() {} };
    // Requests that are still pending after this time are aborted with their callers.
    let finished = tokio::time::timeout(FINISH_TIMEOUT, finish).await.is_ok();
    callers.abort_all();
    let ledgers = ledgers(&load).await;
    Ok(report::build(&load.file, &load.observations, &samples, &before, &after, &ledgers, finished))
}

fn spawn_callers(load: &Arc<Load>, callers: &mut JoinSet<()>) {
    for (customer, declared) in load.file.customers.iter().enumerate() {
        let seed = load.file.seed.wrapping_mul(1_000_003).wrapping_add(customer as u64);
        match declared.arrival {
            Arrival::Closed(count) => {
                for caller in 0..count {
                    let rng = SmallRng::seed_from_u64(seed ^ u64::from(caller) << 32);
                    callers.spawn(run_closed_loop(load.clone(), customer, caller as usize, rng));
                }
            }
            Arrival::Open(rate) => {
                let rng = SmallRng::seed_from_u64(seed);
                callers.spawn(run_open_loop(load.clone(), customer, rate, rng));
            }
        }
    }
}

impl Load {
    /// Draws the next request of a customer; `number` selects its router in rotation.
    fn plan_request(&self, customer: usize, number: usize, rng: &mut SmallRng) -> PlannedRequest {
        let declared = &self.file.customers[customer];
        let router = match declared.routers.as_slice() {
            [] => number % self.file.routers.len(),
            routers => routers[number % routers.len()],
        };
        let key = declared.keyed.then(|| {
            let key = self.next_key.fetch_add(1, Ordering::Relaxed);
            format!("{}-{key}", self.run_id)
        });
        let prompt = declared.prompt.draw(rng);
        let output = declared.output.draw(rng);
        let is_deadly = declared.deadly > 0.0 && rng.random_bool(declared.deadly.min(1.0));
        PlannedRequest { customer, router, prompt, output, key, is_deadly }
    }

    /// Sends a request. A keyed one is sent again with its key with the configured probability,
    /// and while it has no final answer.
    async fn send(&self, mut request: PlannedRequest, rng: &mut SmallRng) -> Outcome {
        let mut outcome =
            send_request(&self.client, &self.file, &request, &self.observations).await;
        if request.key.is_none() {
            return outcome;
        }
        let probability = self.file.customers[request.customer].resend;
        for _ in 1..MAX_SENDS {
            let again =
                outcome != Outcome::Answered || rng.random_bool(probability.clamp(0.0, 1.0));
            if !again || Instant::now() >= self.end {
                break;
            }
            if let Outcome::RetryAfter(after) = outcome {
                tokio::time::sleep(after.min(Duration::from_secs(2))).await;
            }
            request.router = (request.router + 1) % self.file.routers.len();
            outcome = send_request(&self.client, &self.file, &request, &self.observations).await;
        }
        outcome
    }
}

/// Runs one caller that sends its next request after each answer.
async fn run_closed_loop(load: Arc<Load>, customer: usize, caller: usize, mut rng: SmallRng) {
    let mut number = caller;
    while Instant::now() < load.end {
        let request = load.plan_request(customer, number, &mut rng);
        let outcome = load.send(request, &mut rng).await;
        let pause = match outcome {
            Outcome::Answered => Duration::ZERO,
            Outcome::RetryAfter(after) => after,
            Outcome::Other => Duration::from_millis(100),
        };
        let left = load.end.saturating_duration_since(Instant::now());
        tokio::time::sleep(pause.min(left)).await;
        number += 1;
    }
}

/// Sends requests at a mean rate per second, regardless of answers.
async fn run_open_loop(load: Arc<Load>, customer: usize, rate: f64, mut rng: SmallRng) {
    let Ok(intervals) = Exp::new(rate) else { return };
    let mut requests = JoinSet::new();
    let mut next = Instant::now();
    let mut number = 0;
    loop {
        next += Duration::from_secs_f64(intervals.sample(&mut rng));
        if next >= load.end {
            break;
        }
        tokio::time::sleep_until(next).await;
        while requests.try_join_next().is_some() {}
        if requests.len() >= MAX_OPEN_REQUESTS {
            continue;
        }
        let request = load.plan_request(customer, number, &mut rng);
        number += 1;
        let load = load.clone();
        let mut rng = SmallRng::seed_from_u64(rng.random());
        requests.spawn(async move {
            load.send(request, &mut rng).await;
        });
    }
    while requests.join_next().await.is_some() {}
}

async fn sample_until_end(
    load: &Load,
    start: Instant,
    progress: impl Fn(f64, &Sample),
) -> Vec<Sample> {
    let mut samples = Vec::new();
    let mut ticks = tokio::time::interval(SAMPLE_INTERVAL);
    while Instant::now() < load.end {
        ticks.tick().await;
        let at_s = start.elapsed().as_secs_f64();
        let sample = load.observations.sample(at_s);
        progress(at_s, &sample);
        samples.push(sample);
    }
    samples
}

async fn probe(load: &Load) -> Probe {
    let mut probe = Probe { at: Some(Instant::now()), ..Probe::default() };
    for endpoint in &load.file.endpoints {
        let page = fetch(&load.client, *endpoint, "/load").await;
        probe.endpoints.push(page.and_then(|p| serde_json::from_slice(&p).ok()));
    }
    for router in &load.file.routers {
        let page = fetch(&load.client, *router, "/metrics").await;
        let text = page.and_then(|p| String::from_utf8(p).ok());
        probe.control_bytes.push(text.as_deref().and_then(control_bytes));
    }
    let sent = |c: &super::observe::CustomerCounters| c.sent.load(Ordering::Relaxed);
    probe.sent = load.observations.customers.iter().map(sent).sum();
    probe
}

fn control_bytes(metrics: &str) -> Option<u64> {
    let line = metrics.lines().find(|l| l.starts_with("bramblecrank_control_bytes_total "))?;
    line.rsplit(' ').next()?.parse().ok()
}

async fn ledgers(load: &Load) -> Vec<Ledger> {
    let mut all = Vec::new();
    for service in &load.file.ledgers {
        let page = fetch(&load.client, *service, "/ledger").await;
        all.extend(page.and_then(|p| serde_json::from_slice(&p).ok()));
    }
    all
}

async fn fetch(client: &HttpClient, from: SocketAddr, path: &str) -> Option<Vec<u8>> {
    let uri = format!("http://{from}{path}").parse().ok()?;
    let get = async {
        let response = client.get(uri).await.ok()?;
        let (body, end) =
            AnswerBody::split(response, false).1.read(AnswerLimits::default().answer_bytes).await;
        end.verdict().is_ok().then(|| body.to_vec())
    };
    tokio::time::timeout(Duration::from_secs(2), get).await.ok()?
}
