//! Processor time of one placement by the number of engines and of customers.
//!
//! Run with `cargo bench --bench placer`. Drives a placer without I/O on a simulated clock. Prompts
//! of three kinds arrive, begin and end at a steady rate until engines keep many prompt parts. Then
//! placements are timed, each including its first event and its end.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bramblecrank::placement::{
    Completion, EngineInfo, FromPlacer, PlacementRequest, PlacementRules, Placer, ToPlacer,
};
use bramblecrank::wire::HostId;

/// Requests per engine before the measurement starts.
const WARM_UP: u64 = 60;
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

fn request(seq: u64, customers: u64) -> PlacementRequest {
    let kind = seq % 3;
    let (shared, own, made) = KINDS[kind as usize];
    let own = if seq.is_multiple_of(LONG.0) { LONG.1 } else { own };
    let spread = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    let shared_id = 1 + kind * SHARED + spread(seq) % SHARED;
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

/// A placer under a steady load of about half of its engines' capacity.
struct Load {
    placer: Placer,
    engines: u64,
    customers: u64,
    seq: u64,
    open: VecDeque<(u64, u64)>,
    begun: VecDeque<(u64, u64)>,
    placed: u64,
}

impl Load {
    fn start(engines: u64, customers: u64) -> Load {
        let mut placer = Placer::new(PlacementRules::default());
        placer.set_engines(0, (0..engines).map(engine).collect());
        let (open, begun) = Default::default();
        Load { placer, engines, customers, seq: 0, open, begun, placed: 0 }
    }

    fn router(seq: u64) -> HostId {
        HostId((1 + seq % ROUTERS) as u32)
    }

    fn step(&mut self) {
        self.seq += 1;
        // Four requests per second and engine.
        let now = self.seq * 250 / self.engines;
        while let Some((at, seq)) = self.open.pop_front_if(|(at, _)| *at <= now) {
            self.placer.receive(now, Self::router(seq), ToPlacer::FirstEvent { seq });
            self.begun.push_back((at + ENDS_MS, seq));
        }
        while let Some((_, seq)) = self.begun.pop_front_if(|(at, _)| *at <= now) {
            let done = ToPlacer::Done { seq, completion: Completion::Served };
            self.placer.receive(now, Self::router(seq), done);
        }
        let request = request(self.seq, self.customers);
        let router = Self::router(self.seq);
        let decision = self.placer.receive(now, router, ToPlacer::Place(request));
        if let Some(FromPlacer::Go { seq, .. }) = decision.map(|d| d.answer) {
            self.open.push_back((now + BEGINS_MS, seq));
            self.placed += 1;
        }
    }
}

fn measure(engines: u64, customers: u64) -> (Duration, u64) {
    let mut load = Load::start(engines, customers);
    (0..engines * WARM_UP).for_each(|_| load.step());
    let placed = load.placed;
    let began = Instant::now();
    (0..TIMED).for_each(|_| load.step());
    (began.elapsed() / TIMED as u32, (load.placed - placed) * 100 / TIMED)
}

fn main() {
    println!("engines customers us/placement placed%");
    for (engines, customers) in
        [(30, 60), (100, 60), (320, 60), (1_200, 60), (1_200, 1_900), (1_200, 19_000)]
    {
        let (each, placed) = measure(engines, customers);
        println!("{engines:7} {customers:9} {:12.2} {placed:7}", each.as_secs_f64() * 1e6);
    }
}
