//! Long prompts beside running streams.

use std::collections::{BTreeMap, BTreeSet};

use super::*;
use crate::placement::engine::RequestKey;
use crate::placement::pauses::{Reader, Streams, is_stretched};

const READER: Reader = Reader { rate: 64.0, tokens_per_event: 8, piece_tokens: 2_048 };
/// What callers are promised.
const PROMISED_MS: u32 = 400;

/// Engines whose streams' events hold eight tokens.
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
fn a_prompt_stretches_pauses_by_its_last_pieces() {
    let short = READER.longest_pause_ms(0, 600);
    let piece = READER.longest_pause_ms(0, 2_048);
    let event = READER.longest_pause_ms(0, 8 * 2_048);
    assert!(short < piece && piece < event, "{short} {piece} {event}");
    // What is read before them counts as context only.
    let longer = READER.longest_pause_ms(0, 16 * 2_048);
    assert!(longer > event && longer < 1.5 * event, "{event} {longer}");
    // So does what is kept.
    assert!(READER.longest_pause_ms(16 * 2_048, 600) < 2.0 * short);
    assert!((READER.longest_pause_ms(8 * 2_048, 8 * 2_048) - longer).abs() < 1.0);
    assert!(!is_stretched(short, PROMISED_MS) && is_stretched(longer, PROMISED_MS));
    assert!(!is_stretched(longer, 0), "who was promised nothing has nothing to lose");
}

#[test]
fn a_stream_that_is_late_has_no_more_to_lose() {
    let mut streams = Streams::default();
    streams.begin(key(1), PROMISED_MS);
    streams.begin(key(2), 2 * PROMISED_MS);
    streams.begin(key(3), 0);
    streams.begin(key(4), PROMISED_MS);
    streams.end(key(4));
    assert_eq!(streams.harmed_by(500.0), 1);
    assert_eq!(streams.harmed_by(5_000.0), 2);
    streams.stretch(500.0);
    assert_eq!(streams.harmed_by(500.0), 0);
    assert_eq!(streams.harmed_by(5_000.0), 1);
}

/// Engines that read one prompt after the other beside streams that run for a while.
#[derive(Default)]
struct Fleet {
    /// When each has read all that it got.
    free_at: BTreeMap<String, u64>,
    /// When a request begins or ends: time, number, whether it begins.
    coming: BTreeSet<(u64, u64, bool)>,
    /// Streams under way: engine, and when they begin.
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

    fn take(&mut self, now: u64, request: &PlacementRequest, answer: FromPlacer) {
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
            let is_hurt = |(at, since): &(String, u64)| *at == endpoint && *since < begins;
            let hurt = self.streams.iter().filter(|(_, stream)| is_hurt(stream));
            let hurt: Vec<u64> = hurt.map(|(seq, _)| *seq).collect();
            self.late.extend(hurt);
        }
        self.streams.insert(request.seq, (endpoint, begins));
        self.coming.insert((begins, request.seq, true));
        self.coming.insert((begins + Self::STREAM_MS, request.seq, false));
    }

    fn tell(&mut self, placer: &mut Placer, now: u64) {
        while let Some((at, seq, begins)) = self.coming.pop_first() {
            if at > now {
                self.coming.insert((at, seq, begins));
                return;
            }
            if begins {
                placer.receive(at, ROUTER, ToPlacer::Begun { seq });
            } else {
                self.streams.remove(&seq);
                placer.receive(at, ROUTER, ToPlacer::Done { seq, completion: Completion::Served });
            }
        }
    }
}

/// Sixteen engines, ten short prompts a second and one long one, of two customers.
fn play(pause_ms: u32) -> Fleet {
    let ids: Vec<String> = (0..16).map(|n| format!("engine-{n}")).collect();
    let mut placer = placer(&ids.iter().map(String::as_str).collect::<Vec<_>>());
    let mut fleet = Fleet::default();
    for seq in 1..=400 {
        let now = seq * 91;
        fleet.tell(&mut placer, now);
        let (shared, tokens) = if seq % 11 == 0 { (2, 20_000) } else { (1, 600) };
        let mut asked = request(seq, "x", shared, tokens);
        asked.parts[0].1 = 2_000;
        asked.prompt_tokens = 2_000 + tokens;
        asked.objective_ms = if tokens > 600 { 2_000 } else { 400 };
        asked.pause_objective_ms = pause_ms;
        let answer = place(&mut placer, now, asked.clone());
        fleet.take(now, &asked, answer);
    }
    fleet
}

#[test]
fn streams_keep_their_pauses_beside_long_prompts_that_are_all_read() {
    let (before, now) = (play(0), play(PROMISED_MS));
    assert!(before.late.len() > 40, "the load hurts: {}", before.late.len());
    assert!(now.late.len() * 5 < before.late.len(), "{} {}", before.late.len(), now.late.len());
    // Shared parts are still found where they are kept.
    assert!(now.shared_read <= before.shared_read + 6_000, "{}", now.shared_read);
}

#[test]
fn a_long_prompt_is_read_also_where_streams_run_everywhere() {
    let mut placer = placer(&["a", "b"]);
    for seq in 1..9 {
        let mut asked = request(seq, "x", 1, 600);
        asked.pause_objective_ms = PROMISED_MS;
        endpoint(place(&mut placer, seq * 1_000, asked));
        placer.receive(seq * 1_000 + 500, ROUTER, ToPlacer::Begun { seq });
    }
    for seq in 10..14 {
        let mut long = request(seq, "x", 1, 20_000);
        (long.pause_objective_ms, long.objective_ms) = (PROMISED_MS, 2_000);
        endpoint(place(&mut placer, seq * 1_000, long));
        serve(&mut placer, seq * 1_000 + 700, seq);
    }
}

#[test]
fn a_new_placer_is_told_which_streams_were_promised_what() {
    let mut asked = request(1, "x", 1, 600);
    asked.pause_objective_ms = PROMISED_MS;
    let mut memory = Memory::default();
    memory.placed(&asked, EndpointStartRef { endpoint: "a", started_at_ms: 0 }, Told::Local);
    memory.begun(1);
    let mut placer = placer(&["a", "b"]);
    placer.receive(0, ROUTER, ToPlacer::Known(memory.tell(0, ROUTER)));
    // What its parts are worth at the one engine, the stream there is worth more.
    let mut long = request(2, "x", 1, 20_000);
    (long.pause_objective_ms, long.objective_ms) = (PROMISED_MS, 2_000);
    assert_eq!(endpoint(place(&mut placer, 0, long)), "b");
}
