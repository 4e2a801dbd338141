//! Tests of the placer's decisions.

mod failures;
mod hall_breakers;
mod large_fleet;
mod parts;
mod pauses;
mod queue;
mod rate;
mod regions;
mod releases;
mod restarts;
mod rests;
mod sessions;
mod share_usage;
mod warmth;

use proptest::prelude::*;

use super::parts::{Matches, PartIndex};
use super::records::{EndpointStartRef, PlacementRecords, PlacerId};
use super::shares::{Shares, WINDOW_MS};
use super::*;
use crate::wire::HostId;

const ROUTER: HostId = HostId(1);

fn engine(id: &str) -> EngineInfo {
    EngineInfo {
        id: id.into(),
        started_at_ms: 0,
        service: "llm".into(),
        version: "v1".into(),
        hall: "a".into(),
        region: "r".into(),
        slots: 64,
        memory_tokens: 500_000,
        tokens_per_event: 4,
        rate: 50.0,
        copy_ms_per_token: Some(0.002),
        cold_per_second: None,
        registration_seq: 1,
        warmup_ms: 0,
    }
}

fn placer(engines: &[&str]) -> Placer {
    let mut placer = Placer::new(PlacementRules::default());
    placer.set_engines(0, engines.iter().map(|id| engine(id)).collect());
    placer
}

fn request(seq: u64, customer: &str, shared: u64, own_tokens: u32) -> PlacementRequest {
    PlacementRequest {
        seq,
        service: "llm".into(),
        customer: customer.into(),
        parts: vec![(shared, 10_000), (1_000_000 + seq, own_tokens)],
        prompt_tokens: 10_000 + own_tokens,
        output_tokens: 100,
        objective_ms: 800,
        pause_objective_ms: 0,
        hall: "a".into(),
        eligibility: Default::default(),
        avoid: vec![],
        demand_recorded: false,
        has_alternative: false,
    }
}

fn place(placer: &mut Placer, now: u64, request: PlacementRequest) -> FromPlacer {
    decide(placer, now, request).answer
}

fn decide(placer: &mut Placer, now: u64, request: PlacementRequest) -> Decision {
    placer.receive(now, ROUTER, ToPlacer::Place(request)).expect("each request is answered")
}

fn endpoint(answer: FromPlacer) -> String {
    match answer {
        FromPlacer::Go { endpoint, .. } => endpoint,
        other => panic!("not placed: {other:?}"),
    }
}

fn at(endpoint: &str) -> EndpointStartRef<'_> {
    EndpointStartRef { endpoint, started_at_ms: 0 }
}

fn serve(placer: &mut Placer, now: u64, seq: u64) {
    placer.receive(now, ROUTER, ToPlacer::FirstEvent { seq });
    placer.receive(now, ROUTER, ToPlacer::Done { seq, completion: Completion::Served });
}

#[test]
fn requests_with_a_shared_part_go_to_the_engine_that_keeps_it() {
    let mut placer = placer(&["a", "b", "c"]);
    let first = endpoint(place(&mut placer, 0, request(1, "x", 7, 500)));
    serve(&mut placer, 300, 1);
    for seq in 2..6 {
        let now = seq * 1_000;
        assert_eq!(endpoint(place(&mut placer, now, request(seq, "x", 7, 500))), first);
        serve(&mut placer, now + 100, seq);
    }
}

#[test]
fn a_request_that_cannot_meet_its_objective_is_refused_with_a_retry_delay() {
    let mut placer = placer(&["a"]);
    let mut refused = None;
    for seq in 1..100 {
        match place(&mut placer, 0, request(seq, "x", seq, 500)) {
            FromPlacer::Go { .. } => {}
            FromPlacer::Refuse { refusal, .. } => {
                refused = Some((seq, refusal.retry_after_ms));
                break;
            }
            other => panic!("{other:?}"),
        }
    }
    let (seq, retry_after_ms) = refused.expect("one engine cannot read all in 800 ms");
    assert!(seq > 1 && retry_after_ms > 0);
    // At that time, with the other prompts read, it is placed.
    (1..seq).for_each(|other| serve(&mut placer, u64::from(retry_after_ms), other));
    let later = u64::from(retry_after_ms) + 500;
    endpoint(place(&mut placer, later, request(1_000, "x", seq, 500)));
}

/// Engines that read one prompt at a time.
#[derive(Default)]
struct Engines {
    free_at: std::collections::BTreeMap<String, u64>,
    reading: std::collections::BTreeSet<(u64, u64)>,
}

impl Engines {
    const READING_MS: u64 = 230;

    fn start_reading(&mut self, now: u64, seq: u64, endpoint: String) {
        let free_at = self.free_at.entry(endpoint).or_default();
        *free_at = (*free_at).max(now) + Self::READING_MS;
        self.reading.insert((*free_at, seq));
    }

    /// Removes and returns the requests whose prompts have been read by `now`.
    fn remove_read(&mut self, now: u64) -> Vec<u64> {
        let later = self.reading.split_off(&(now + 1, 0));
        std::mem::replace(&mut self.reading, later).into_iter().map(|(_, seq)| seq).collect()
    }
}

#[test]
fn a_small_customer_gets_most_of_its_share_beside_a_flood() {
    let mut placer = placer(&["a", "b"]);
    let mut engines = Engines::default();
    let (mut small, mut flood) = (0, 0);
    let mut seq = 0;
    for now in (0..8_000).step_by(100) {
        for read in engines.remove_read(now) {
            serve(&mut placer, now, read);
        }
        for customer in ["flood", "flood", "flood", "flood", "flood", "small"] {
            seq += 1;
            let asked = request(seq, customer, seq, 500);
            if let FromPlacer::Go { endpoint, .. } = place(&mut placer, now, asked) {
                engines.start_reading(now, seq, endpoint);
                match customer {
                    "small" => small += 1,
                    _ => flood += 1,
                }
            }
        }
    }
    // Each customer requests more than half of what two engines read, so each gets half.
    assert!(flood > 0);
    assert!(small * 10 >= flood * 8, "small got {small}, flood {flood}");
}

#[test]
fn kept_parts_are_copied_rather_than_read_again() {
    let mut placer = placer(&["a", "b"]);
    let keeper = endpoint(place(&mut placer, 0, request(1, "x", 7, 500)));
    serve(&mut placer, 300, 1);
    // Long prompts fill the queue of the engine that keeps the part.
    for seq in 2..6 {
        let PlacementRequest { parts, .. } = request(seq, "x", 7, 9_000);
        let big = PlacementRequest { parts, objective_ms: 5_000, ..request(seq, "x", 7, 9_000) };
        place(&mut placer, 1_000, PlacementRequest { avoid: other_than(&keeper), ..big });
    }
    match place(&mut placer, 1_000, request(10, "x", 7, 500)) {
        FromPlacer::Go { endpoint, copy_from, .. } => {
            assert_ne!(endpoint, keeper);
            assert_eq!(copy_from.as_deref(), Some(keeper.as_str()));
        }
        other => panic!("{other:?}"),
    }
}

fn other_than(engine: &str) -> Vec<String> {
    ["a", "b"].iter().filter(|id| **id != engine).map(|id| id.to_string()).collect()
}

#[test]
fn an_engine_that_leaves_gets_no_new_requests() {
    let mut placer = placer(&["a", "b"]);
    let keeper = endpoint(place(&mut placer, 0, request(1, "x", 7, 500)));
    let left = other_than(&keeper);
    placer.set_engines(0, left.iter().map(|id| engine(id)).collect());
    assert_eq!(endpoint(place(&mut placer, 1, request(2, "x", 7, 500))), left[0]);
    placer.set_engines(0, vec![]);
    let none = place(&mut placer, 2, request(3, "x", 7, 500));
    assert!(matches!(none, FromPlacer::Unknown { seq: 3 }));
}

/// The first engine to register is briefly alone, so its initial rate is that of the whole fleet.
/// Guards against keeping that rate once the others have registered.
#[test]
fn engines_that_register_one_after_the_other_get_equal_rates() {
    let mut placer = Placer::new(PlacementRules::default());
    placer.set_engines(0, vec![EngineInfo { rate: 400.0, ..engine("a") }]);
    placer.set_engines(0, ["a", "b"].map(engine).into());
    for seq in 1..40 {
        place(&mut placer, 0, request(seq, &seq.to_string(), seq, 500));
    }
    let mut counts = std::collections::BTreeMap::new();
    for seq in 100..104 {
        // A separate customer for each request, so that no share is exceeded.
        let customer = seq.to_string();
        let big = PlacementRequest { objective_ms: 60_000, ..request(seq, &customer, seq, 500) };
        *counts.entry(endpoint(place(&mut placer, 0, big))).or_insert(0) += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [2, 2]);
}

#[test]
fn least_recently_used_parts_are_evicted_from_their_ends() {
    let mut index = PartIndex::default();
    index.touch(0, &[(1, 100), (2, 100)], 300);
    index.touch(0, &[(3, 100), (4, 100)], 300);
    assert_eq!(index.kept(0, &[(1, 100), (2, 100)]), 100);
    assert_eq!(index.kept(0, &[(3, 100), (4, 100)]), 200);
    assert_eq!(tokens_found(&index, &[(3, 100)]), [(100, 0)]);
    index.set_read(0, &[(3, 100), (4, 100)]);
    assert_eq!(tokens_found(&index, &[(3, 100), (4, 100)]), [(200, 200)]);
}

/// Tokens that one engine keeps and has read.
fn tokens_found(index: &PartIndex, parts: &[(u64, u32)]) -> [(u32, u32); 1] {
    let mut found = Matches::default();
    index.find(parts, 0, &mut found);
    [(found.at(0).kept, found.at(0).read)]
}

#[test]
fn shares_are_max_min_over_a_sliding_window() {
    let mut shares = Shares::default();
    for (customer, asked, served) in [("a", 100, 100), ("b", 900, 500), ("c", 900, 300)] {
        shares.record_demand(0, customer, asked);
        shares.record_service(0, customer, served);
    }
    // 900 units served: a gets its 100, b and c are entitled to 400 each.
    assert!((shares.usage("a").ratio - 0.25).abs() < 1e-9);
    assert!((shares.usage("b").ratio - 1.25).abs() < 1e-9);
    assert!((shares.usage("c").ratio - 0.75).abs() < 1e-9);
    shares.record_demand(WINDOW_MS, "a", 1);
    assert_eq!(shares.usage("b").ratio, 0.0);
}

#[derive(Clone, Debug)]
enum Step {
    Place(u8, u8, u16),
    FirstEvent(u8),
    Done(u8, bool),
    Wait(u16),
    Lost,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (any::<u8>(), 0u8..6, 1u16..20_000).prop_map(|(s, p, t)| Step::Place(s, p, t)),
        3 => any::<u8>().prop_map(Step::FirstEvent),
        3 => (any::<u8>(), any::<bool>()).prop_map(|(s, failed)| Step::Done(s, failed)),
        2 => (0u16..2_000).prop_map(Step::Wait),
        1 => Just(Step::Lost),
    ]
}

proptest! {
    #![proptest_config(crate::testing::property(64))]

    /// Once every request has ended, an engine accepts requests again, whatever happened before: no
    /// placed request holds capacity forever.
    #[test]
    fn every_placed_request_is_released(steps in proptest::collection::vec(step(), 0..80)) {
        let mut placer = placer(&["a", "b"]);
        let mut now = 0;
        for step in steps {
            match step {
                Step::Place(seq, part, tokens) => {
                    let customer = if part % 2 == 0 { "x" } else { "y" };
                    let request = request(seq.into(), customer, part.into(), tokens.into());
                    let placed = placer.receive(now, ROUTER, ToPlacer::Place(request));
                    prop_assert!(placed.is_some());
                }
                Step::FirstEvent(seq) => {
                    placer.receive(now, ROUTER, ToPlacer::FirstEvent { seq: seq.into() });
                }
                Step::Done(seq, failed) => {
                    let completion = if failed { Completion::Failed } else { Completion::Served };
                    placer.receive(now, ROUTER, ToPlacer::Done { seq: seq.into(), completion });
                }
                Step::Wait(ms) => now += u64::from(ms),
                Step::Lost => placer.remove_router(now, ROUTER),
            }
        }
        placer.remove_router(now, ROUTER);
        now += 60_000;
        let answer = place(&mut placer, now, request(1_000, "z", 99, 500));
        let placed = matches!(answer, FromPlacer::Go { .. });
        prop_assert!(placed);
    }
}

/// The snapshot that routers send lets a placer that takes over find the parts that engines keep
/// and the prompts that they have still to read.
#[test]
fn a_placer_that_takes_over_gets_the_state_of_routers() {
    let mut records = PlacementRecords::default();
    let mut first = placer(&["a", "b", "c"]);
    let kept = request(1, "x", 7, 500);
    let keeper = endpoint(place(&mut first, 0, kept.clone()));
    records.record_placement(&kept, at(&keeper), PlacerId::Host(HostId(8)));
    assert_eq!(records.record_first_event(1), [PlacerId::Host(HostId(8))]);
    records.record_end(1);
    let waiting = request(2, "x", 9, 30_000);
    let busy = if keeper == "a" { "b" } else { "a" };
    records.record_placement(&waiting, at(busy), PlacerId::Host(HostId(8)));

    let mut second = placer(&["a", "b", "c"]);
    let snapshot = records.snapshot_for(0, HostId(9));
    assert!(second.receive(0, ROUTER, ToPlacer::Snapshot(snapshot.clone())).is_none());
    let next = decide(&mut second, 0, request(3, "x", 7, 500));
    assert_eq!(
        next.answer,
        FromPlacer::Go { seq: 3, endpoint: keeper, started_at_ms: 0, copy_from: None }
    );
    assert!(next.own_ms < 100.0, "10,000 shared tokens are kept there: {} ms", next.own_ms);
    let alone = PlacementRequest {
        avoid: ["a", "b", "c"].into_iter().filter(|id| *id != busy).map(String::from).collect(),
        objective_ms: 60_000,
        ..request(4, "x", 11, 500)
    };
    let behind = decide(&mut second, 0, alone);
    assert!(behind.backlog_ms > 500.0, "40,000 tokens wait there: {} ms", behind.backlog_ms);

    // Both placers are notified of the end, and a repeated snapshot changes nothing.
    second.receive(0, ROUTER, ToPlacer::Snapshot(snapshot));
    assert_eq!(records.record_end(2), [PlacerId::Host(HostId(8)), PlacerId::Host(HostId(9))]);
    second.receive(1, ROUTER, ToPlacer::Done { seq: 2, completion: Completion::Served });
    let after = PlacementRequest { objective_ms: 60_000, ..request(5, "x", 12, 500) };
    decide(&mut second, 1, after);
}

#[test]
fn a_router_records_a_bounded_number_of_prompt_parts() {
    let mut records = PlacementRecords::default();
    for seq in 1..2_000 {
        records.record_placement(&request(seq, "x", seq, 500), at("a"), PlacerId::Local);
        records.record_first_event(seq);
        records.record_end(seq);
    }
    let snapshot = records.snapshot_for(0, HostId(9));
    assert!(snapshot.open.is_empty());
    assert_eq!(snapshot.kept.len(), 256);
    assert_eq!(snapshot.kept.last().unwrap().parts, [(1_999, 10_000)]);
}

#[test]
fn requests_of_an_underserved_customer_are_late_rather_than_refused() {
    let mut placer = placer(&["a"]);
    // A customer that was served far above its share fills the engine.
    let mut seq = 0;
    let mut refused = false;
    while !refused {
        seq += 1;
        let answer = place(&mut placer, 0, request(seq, "large", seq, 500));
        refused = matches!(answer, FromPlacer::Refuse { .. });
    }
    let small = request(1_000, "small", 1_000, 15_000);
    assert!(matches!(place(&mut placer, 0, small), FromPlacer::Go { .. }));
}
