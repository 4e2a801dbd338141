//! Long prompts among running streams.

use std::collections::{BTreeMap, BTreeSet};

use super::*;
use crate::placement::engine::RequestKey;
use crate::placement::pauses::{ReadingProfile, Streams, exceeds_objective};

const PROFILE: ReadingProfile =
    ReadingProfile { rate: 64.0, tokens_per_event: 8, piece_tokens: 2_048 };
/// Pause objective of the streams, in milliseconds.
const PAUSE_OBJECTIVE_MS: u32 = 400;

/// A placer of engines with eight tokens in an event of a stream.
fn placer(ids: &[&str]) -> Placer {
    let mut placer = Placer::new(PlacementRules::default());
    let engine = |id: &&str| EngineInfo { tokens_per_event: 8, ..engine(id) };
    placer.set_engines(0, ids.iter().map(engine).collect());
    placer
}

fn key(seq: u64) -> RequestKey {
    (ROUTER, seq)
}

#[test]
fn a_prompt_extends_pauses_by_its_last_pieces() {
    let short = PROFILE.longest_pause_ms(0, 600);
    let piece = PROFILE.longest_pause_ms(0, 2_048);
    let event = PROFILE.longest_pause_ms(0, 8 * 2_048);
    assert!(short < piece && piece < event, "{short} {piece} {event}");
    // Tokens read before the last pieces count as context only.
    let longer = PROFILE.longest_pause_ms(0, 16 * 2_048);
    assert!(longer > event && longer < 1.5 * event, "{event} {longer}");
    // Kept tokens count as context only as well.
    assert!(PROFILE.longest_pause_ms(16 * 2_048, 600) < 2.0 * short);
    assert!((PROFILE.longest_pause_ms(8 * 2_048, 8 * 2_048) - longer).abs() < 1.0);
    assert!(
        !exceeds_objective(short, PAUSE_OBJECTIVE_MS)
            && exceeds_objective(longer, PAUSE_OBJECTIVE_MS)
    );
    assert!(!exceeds_objective(longer, 0), "a stream without an objective cannot be late");
}

#[test]
fn a_late_stream_is_no_longer_counted() {
    let mut streams = Streams::default();
    streams.add(key(1), PAUSE_OBJECTIVE_MS);
    streams.add(key(2), 2 * PAUSE_OBJECTIVE_MS);
    streams.add(key(3), 0);
    streams.add(key(4), PAUSE_OBJECTIVE_MS);
    streams.remove(key(4));
    assert_eq!(streams.count_exceeded(500.0), 1);
    assert_eq!(streams.count_exceeded(5_000.0), 2);
    streams.record_pause(500.0);
    assert_eq!(streams.count_exceeded(500.0), 0);
    assert_eq!(streams.count_exceeded(5_000.0), 1);
}

/// Engines that read one prompt at a time while streams run.
#[derive(Default)]
struct Fleet {
    /// When each engine has read all that it was sent.
    free_at: BTreeMap<String, u64>,
    /// Events to come: time, number of the request, whether it begins (otherwise it ends).
    coming: BTreeSet<(u64, u64, bool)>,
    /// Running streams by request: engine, and when the stream begins.
    streams: BTreeMap<u64, (String, u64)>,
    late: BTreeSet<u64>,
    /// Tokens of shared parts read.
    shared_read: u32,
    kept: BTreeSet<(String, u64)>,
}

impl Fleet {
    const STREAM_MS: u64 = 1_300;
    const FIRST_EVENT_MS: u64 = 30;
    const TOKENS_PER_MS: u64 = 50;

    fn record_placement(&mut self, now: u64, request: &PlacementRequest, answer: FromPlacer) {
        let FromPlacer::Go { endpoint, copy_from, .. } = answer else {
            panic!("not placed: {answer:?}");
        };
        let (shared, shared_tokens) = request.parts[0];
        let is_new = self.kept.insert((endpoint.clone(), shared));
        let own_tokens = request.parts[1].1;
        let is_read = is_new && copy_from.is_none();
        let tokens = own_tokens + if is_read { shared_tokens } else { 0 };
        self.shared_read += tokens - own_tokens;
        let free_at = self.free_at.entry(endpoint.clone()).or_default();
        let from = now.max(*free_at);
        *free_at = from + u64::from(tokens) / Self::TOKENS_PER_MS;
        let begins = *free_at + Self::FIRST_EVENT_MS;
        if own_tokens > 8 * 2_048 {
            let is_delayed = |(at, since): &(String, u64)| *at == endpoint && *since < begins;
            let delayed = self.streams.iter().filter(|(_, stream)| is_delayed(stream));
            let delayed: Vec<u64> = delayed.map(|(seq, _)| *seq).collect();
            self.late.extend(delayed);
        }
        self.streams.insert(request.seq, (endpoint, begins));
        self.coming.insert((begins, request.seq, true));
        self.coming.insert((begins + Self::STREAM_MS, request.seq, false));
    }

    fn report_events(&mut self, placer: &mut Placer, now: u64) {
        while let Some((at, seq, begins)) = self.coming.pop_first() {
            if at > now {
                self.coming.insert((at, seq, begins));
                return;
            }
            if begins {
                placer.receive(at, ROUTER, ToPlacer::FirstEvent { seq });
            } else {
                self.streams.remove(&seq);
                placer.receive(at, ROUTER, ToPlacer::Done { seq, completion: Completion::Served });
            }
        }
    }
}

/// Simulates sixteen engines that get ten short prompts and one long one per second.
fn simulate(pause_ms: u32) -> Fleet {
    let ids: Vec<String> = (0..16).map(|n| format!("engine-{n}")).collect();
    let mut placer = placer(&ids.iter().map(String::as_str).collect::<Vec<_>>());
    let mut fleet = Fleet::default();
    for seq in 1..=400 {
        let now = seq * 91;
        fleet.report_events(&mut placer, now);
        let (shared, tokens) = if seq % 11 == 0 { (2, 20_000) } else { (1, 600) };
        let mut asked = request(seq, "x", shared, tokens);
        asked.parts[0].1 = 2_000;
        asked.prompt_tokens = 2_000 + tokens;
        asked.objective_ms = if tokens > 600 { 2_000 } else { 400 };
        asked.pause_objective_ms = pause_ms;
        let answer = place(&mut placer, now, asked.clone());
        fleet.record_placement(now, &asked, answer);
    }
    fleet
}

#[test]
fn streams_keep_their_pauses_beside_long_prompts_that_are_all_read() {
    let (before, now) = (simulate(0), simulate(PAUSE_OBJECTIVE_MS));
    assert!(before.late.len() > 40, "the load makes streams late: {}", before.late.len());
    assert!(now.late.len() * 5 < before.late.len(), "{} {}", before.late.len(), now.late.len());
    // Shared parts are still found where they are kept.
    assert!(now.shared_read <= before.shared_read + 6_000, "{}", now.shared_read);
}

#[test]
fn a_long_prompt_is_placed_even_if_streams_run_on_all_engines() {
    let mut placer = placer(&["a", "b"]);
    for seq in 1..9 {
        let mut asked = request(seq, "x", 1, 600);
        asked.pause_objective_ms = PAUSE_OBJECTIVE_MS;
        endpoint(place(&mut placer, seq * 1_000, asked));
        placer.receive(seq * 1_000 + 500, ROUTER, ToPlacer::FirstEvent { seq });
    }
    for seq in 10..14 {
        let mut long = request(seq, "x", 1, 20_000);
        (long.pause_objective_ms, long.objective_ms) = (PAUSE_OBJECTIVE_MS, 2_000);
        endpoint(place(&mut placer, seq * 1_000, long));
        serve(&mut placer, seq * 1_000 + 700, seq);
    }
}

#[test]
fn a_new_placer_gets_the_pause_objectives_of_running_streams() {
    let mut asked = request(1, "x", 1, 600);
    asked.pause_objective_ms = PAUSE_OBJECTIVE_MS;
    let mut records = PlacementRecords::default();
    records.record_placement(
        &asked,
        EndpointStartRef { endpoint: "a", started_at_ms: 0 },
        PlacerId::Local,
    );
    records.record_first_event(1);
    let mut placer = placer(&["a", "b"]);
    placer.receive(0, ROUTER, ToPlacer::Snapshot(records.snapshot_for(0, ROUTER)));
    // Avoiding the stream at one engine is worth more than the parts that it keeps.
    let mut long = request(2, "x", 1, 20_000);
    (long.pause_objective_ms, long.objective_ms) = (PAUSE_OBJECTIVE_MS, 2_000);
    assert_eq!(endpoint(place(&mut placer, 0, long)), "b");
}
