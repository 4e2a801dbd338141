//! Processor time of one placement by the number of engines and of customers, and of a change of
//! one engine.
//!
//! Run with `cargo bench --bench placer`. Drives a placer without I/O on a simulated clock. Prompts
//! of three kinds arrive, begin and end at a steady rate until engines keep many prompt parts. Then
//! placements are timed, each including its first event and its end. One load keeps half of the
//! engines' capacity busy; the other has the same number of requests a second however many engines
//! there are, so that most of many engines are idle.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bramblecrank::placement::{
    Completion, EngineInfo, FromPlacer, PlacementRequest, PlacementRules, Placer, ToPlacer,
};
use bramblecrank::wire::HostId;

/// Requests per engine before the measurement starts.
const WARM_UP: u64 = 60;
/// Requests per second of the load that does not grow with the engines, and the number of them
/// before the measurement starts.
const FIXED_RATE: (u64, u64) = (1_350, 20_000);
/// Shared parts of each kind of prompt in the load that does not grow with the engines.
const FIXED_SHARED: u64 = 1_500;
/// Changes of one engine that are timed.
const CHANGES: u32 = 1_000;
/// Requests that are timed.
const TIMED: u64 = 3_000;
/// Reading rate of the engines in tokens per millisecond.
const RATE: f64 = 51.1;
/// Number of routers that send requests in turn.
const ROUTERS: u64 = 295;
/// Longest pause between events promised to callers, in milliseconds.
const PROMISED_MS: u32 = 400;
/// One in this many requests has a prompt that is long enough to extend pauses, and the tokens of
/// that prompt's own part.
const LONG: (u64, u32) = (20, 30_000);
/// Number of shared parts of each kind of prompt.
const SHARED: u64 = 60;
/// Milliseconds from a placement to its first event, and from there to its end.
const BEGINS_MS: u64 = 150;
const ENDS_MS: u64 = 500;
/// Tokens of the shared part, of the own part and of the output, by kind of prompt.
const KINDS: [(u32, u32, u32); 3] = [(13_300, 3_720, 120), (6_300, 2_890, 56), (350, 1_110, 176)];

fn engine(number: u64) -> EngineInfo {
    EngineInfo {
        id: format!("i-{number:08x}"),
        started_at_ms: 0,
        service: "llm".into(),
        version: "v1".into(),
        hall: "a".into(),
        region: "r".into(),
        slots: 12,
        memory_tokens: 472_528,
        tokens_per_event: 8,
        rate: RATE,
        copy_ms_per_token: Some(0.002),
        cold_per_second: None,
        registration_seq: 1,
        warmup_ms: 0,
    }
}

fn request(seq: u64, customers: u64, shared_parts: u64) -> PlacementRequest {
    let kind = seq % 3;
    let (shared, own, made) = KINDS[kind as usize];
    let own = if seq.is_multiple_of(LONG.0) { LONG.1 } else { own };
    let spread = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    let shared_id = 1 + kind * shared_parts + spread(seq) % shared_parts;
    PlacementRequest {
        seq,
        service: "llm".into(),
        customer: format!("customer-{}", spread(seq + 7) % customers),
        parts: vec![(shared_id, shared), (1_000_000 + seq, own)],
        prompt_tokens: shared + own,
        output_tokens: made,
        objective_ms: 1_000,
        pause_objective_ms: PROMISED_MS,
        hall: "a".into(),
        eligibility: Default::default(),
        avoid: vec![],
        demand_recorded: false,
        has_alternative: false,
    }
}

/// A placer under a steady load.
struct Load {
    placer: Placer,
    requests_per_second: u64,
    shared_parts: u64,
    customers: u64,
    seq: u64,
    open: VecDeque<(u64, u64)>,
    begun: VecDeque<(u64, u64)>,
    placed: u64,
}

impl Load {
    /// About half of the engines' capacity: four requests per second and engine.
    fn busy(engines: u64, customers: u64) -> Load {
        Load::start(engines, customers, 4 * engines, SHARED)
    }

    fn start(engines: u64, customers: u64, requests_per_second: u64, shared_parts: u64) -> Load {
        let mut placer = Placer::new(PlacementRules::default());
        placer.set_engines(0, (0..engines).map(engine).collect());
        let (open, begun) = Default::default();
        Load {
            placer,
            requests_per_second,
            shared_parts,
            customers,
            seq: 0,
            open,
            begun,
            placed: 0,
        }
    }

    fn router(seq: u64) -> HostId {
        HostId((1 + seq % ROUTERS) as u32)
    }

    fn step(&mut self) {
        self.seq += 1;
        let now = self.seq * 1_000 / self.requests_per_second;
        while let Some((at, seq)) = self.open.pop_front_if(|(at, _)| *at <= now) {
            self.placer.receive(now, Self::router(seq), ToPlacer::FirstEvent { seq });
            self.begun.push_back((at + ENDS_MS, seq));
        }
        while let Some((_, seq)) = self.begun.pop_front_if(|(at, _)| *at <= now) {
            let done = ToPlacer::Done { seq, completion: Completion::Served };
            self.placer.receive(now, Self::router(seq), done);
        }
        let request = request(self.seq, self.customers, self.shared_parts);
        let router = Self::router(self.seq);
        let decision = self.placer.receive(now, router, ToPlacer::Place(request));
        if let Some(FromPlacer::Go { seq, .. }) = decision.map(|d| d.answer) {
            self.open.push_back((now + BEGINS_MS, seq));
            self.placed += 1;
        }
    }
}

/// The time of one placement, and the percentage of requests that were placed.
fn measure(mut load: Load, warm_up: u64) -> (Duration, u64) {
    (0..warm_up).for_each(|_| load.step());
    let placed = load.placed;
    let began = Instant::now();
    (0..TIMED).for_each(|_| load.step());
    (began.elapsed() / TIMED as u32, (load.placed - placed) * 100 / TIMED)
}

/// The time of one change of one engine.
fn measure_change(engines: u64) -> Duration {
    let mut placer = Placer::new(PlacementRules::default());
    placer.set_engines(0, (0..engines).map(engine).collect());
    let began = Instant::now();
    for number in 0..CHANGES {
        let changed = engine(u64::from(number) % engines);
        placer.update_engines(1, vec![], std::slice::from_ref(&changed.id));
        placer.update_engines(2, vec![changed], &[]);
    }
    began.elapsed() / CHANGES / 2
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn main() {
    println!("half busy: engines customers us/placement placed%");
    for (engines, customers) in
        [(30, 60), (100, 60), (320, 60), (1_200, 60), (1_200, 1_900), (1_200, 19_000)]
    {
        let (each, placed) = measure(Load::busy(engines, customers), engines * WARM_UP);
        println!("{engines:18} {customers:9} {:12.2} {placed:7}", micros(each));
    }
    println!("{} requests/s: engines us/placement placed% us/change", FIXED_RATE.0);
    for engines in [320, 2_500, 5_000, 9_845, 19_690] {
        let load = Load::start(engines, 333, FIXED_RATE.0, FIXED_SHARED);
        let (each, placed) = measure(load, FIXED_RATE.1);
        let change = micros(measure_change(engines));
        println!("{engines:24} {:12.2} {placed:7} {change:9.2}", micros(each));
    }
}
