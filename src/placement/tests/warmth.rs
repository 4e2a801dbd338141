//! Engines that are cold.

use super::*;
use crate::agree::MIN_ELECTION_TIMEOUT_MS;
use crate::placement::warmth::{ColdSender, Warmth};

/// What the users' cold engines bear, and what their rule allows in any second.
const BORNE: f64 = 6.1;
const ALLOWED: usize = 14;

fn cold_engine(id: &str, call: u64, warmup_ms: u64) -> EngineInfo {
    EngineInfo { cold_per_second: Some(BORNE), call, warmup_ms, ..engine(id) }
}

/// A prompt that is read in 2 ms.
fn short(seq: u64) -> PlacementRequest {
    let parts = vec![(seq, 100)];
    PlacementRequest { parts, prompt_tokens: 100, output_tokens: 10, ..request(seq, "x", 0, 0) }
}

/// Places a short prompt every 10 ms, each answered at once; returns when each endpoint
/// was sent something.
fn play(placer: &mut Placer, from: u64, until: u64) -> Vec<(u64, String)> {
    let mut sent = Vec::new();
    for now in (from..until).step_by(10) {
        let seq = now + 1;
        if let FromPlacer::Go { endpoint, .. } = place(placer, now, short(seq)) {
            serve(placer, now, seq);
            sent.push((now, endpoint));
        }
    }
    sent
}

fn most_in_a_second(sent: &[(u64, String)], id: &str) -> usize {
    let times: Vec<_> = sent.iter().filter(|(_, to)| to == id).map(|(at, _)| *at).collect();
    let within = |from: &u64| times.iter().filter(|at| (*from..from + 1_000).contains(at)).count();
    times.iter().map(within).max().unwrap_or(0)
}

#[test]
fn an_engine_that_returns_cold_to_a_busy_fleet_is_sent_what_it_bears() {
    let mut placer = Placer::new(PlacementRules::default());
    placer.set_engines(0, vec![cold_engine("back", 1, 3_000)]);
    let sent = play(&mut placer, 0, 6_000);
    let cold: Vec<_> = sent.iter().filter(|(at, _)| *at < 3_000).cloned().collect();
    let most = most_in_a_second(&cold, "back");
    assert!(most as f64 <= BORNE, "{most} in a second");
    assert!(cold.len() >= 15, "it serves what it bears: {} in 3 s", cold.len());
    assert!(most_in_a_second(&sent, "back") > ALLOWED, "warm it bears what it is sent");
}

/// Requests that were meant for the start before reached the new one before it was known.
#[test]
fn what_was_sent_before_a_cold_start_was_known_counts_for_it() {
    let mut placer = Placer::new(PlacementRules::default());
    let start = |started_at_ms, warmup_ms| EngineInfo {
        started_at_ms,
        ..cold_engine("again", 1, warmup_ms)
    };
    placer.set_engines(0, vec![start(1, 0)]);
    assert_eq!(play(&mut placer, 0, 1_000).len(), 100);
    placer.set_engines(1_000, vec![start(2, 3_000)]);
    assert_eq!(play(&mut placer, 1_000, 1_900).len(), 0);
    assert!(!play(&mut placer, 1_900, 3_000).is_empty());
}

#[test]
fn requests_go_to_warm_engines_while_others_are_cold() {
    let mut placer = Placer::new(PlacementRules::default());
    placer.set_engines(0, vec![cold_engine("back", 1, 3_000), cold_engine("warm", 1, 0)]);
    let sent = play(&mut placer, 0, 1_000);
    assert_eq!(sent.len(), 100, "none is refused");
    assert!(most_in_a_second(&sent, "back") as f64 <= BORNE);
}

#[test]
fn what_an_engine_was_sent_before_it_turned_cold_counts() {
    let mut placer = Placer::new(PlacementRules::default());
    placer.set_engines(0, vec![cold_engine("a", 1, 0)]);
    let warm = play(&mut placer, 0, 500);
    assert_eq!(warm.len(), 50);
    placer.set_engines(500, vec![cold_engine("a", 2, 3_000)]);
    assert_eq!(play(&mut placer, 500, 1_400), [], "it was sent more than it bears");
    assert!(!play(&mut placer, 1_400, 2_000).is_empty());
}

#[test]
fn who_is_refused_for_cold_engines_is_told_when_one_may_be_sent_more() {
    let mut placer = Placer::new(PlacementRules::default());
    placer.set_engines(0, vec![cold_engine("a", 1, 3_000)]);
    assert_eq!(play(&mut placer, 0, 100).len(), 6);
    match place(&mut placer, 100, short(9_999)) {
        FromPlacer::Refuse { refusal, .. } => assert_eq!(refusal.retry_after_ms, 900),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_router_that_decides_alone_sends_cold_engines_nothing() {
    let rules = PlacementRules { cold_part: 0.0, ..PlacementRules::default() };
    let mut placer = Placer::new(rules);
    placer.set_engines(0, vec![cold_engine("a", 1, 3_000)]);
    assert_eq!(play(&mut placer, 0, 2_990), []);
    assert!(!play(&mut placer, 3_000, 3_100).is_empty());
}

#[test]
fn news_told_again_does_not_make_an_engine_cold_for_longer() {
    let mut placer = Placer::new(PlacementRules::default());
    for now in (0..3_000).step_by(1_000) {
        placer.set_engines(now, vec![cold_engine("a", 1, 3_000)]);
    }
    assert_eq!(play(&mut placer, 3_000, 3_500).len(), 50);
}

/// A control host's placer, and the terms in which its host takes itself for the leader.
struct Host {
    placer: Placer,
    turn: ColdSender,
    leads: Vec<(u64, std::ops::Range<u64>)>,
}

impl Host {
    fn leading(leads: Vec<(u64, std::ops::Range<u64>)>) -> Host {
        let mut placer = Placer::new(PlacementRules::default());
        placer.set_engines(0, vec![cold_engine("back", 1, 60_000)]);
        Host { placer, turn: ColdSender::default(), leads }
    }

    /// Places a request; returns whether it was sent.
    fn ask(&mut self, now: u64, seq: u64) -> bool {
        let term = self.leads.iter().find(|(_, during)| during.contains(&now));
        self.turn.set_leads(now, term.map(|(term, _)| *term));
        self.placer.set_cold_part(self.turn.part(now));
        let sent = matches!(place(&mut self.placer, now, short(seq)), FromPlacer::Go { .. });
        if sent {
            serve(&mut self.placer, now, seq);
        }
        sent
    }
}

proptest! {
    #![proptest_config(crate::testing::property(64))]

    /// Whichever placers are asked, also one that led before and leads again, and however
    /// long a leader does not notice that it leads no more: together they send a cold
    /// engine what it bears.
    #[test]
    fn all_placers_together_send_a_cold_engine_what_it_bears(
        second in 3_000u64..6_000,
        third in 2_000u64..4_000,
        unnoticed in 0..MIN_ELECTION_TIMEOUT_MS,
        asked in proptest::collection::vec(0usize..3, 1_400),
    ) {
        let third = second + third;
        let mut hosts = [
            Host::leading(vec![(1, 0..second + unnoticed), (3, third..u64::MAX)]),
            Host::leading(vec![(2, second..third + unnoticed)]),
            Host::leading(vec![]),
        ];
        let mut sent = Vec::new();
        for (number, host) in asked.into_iter().enumerate() {
            let now = number as u64 * 10;
            if hosts[host].ask(now, number as u64 + 1) {
                sent.push((now, "back".to_string()));
            }
        }
        let most = most_in_a_second(&sent, "back");
        prop_assert!(most as f64 <= BORNE, "{} in a second", most);
        prop_assert!(sent.iter().any(|(at, _)| *at < second), "the first one sends");
        prop_assert!(sent.iter().any(|(at, _)| *at > third + 2_000), "the last one too");
    }
}

/// Nobody asks the placer while another one leads, so it does not hear of it.
#[test]
fn a_placer_that_leads_again_waits_though_it_was_not_asked_meanwhile() {
    let mut turn = ColdSender::default();
    turn.set_leads(0, Some(1));
    turn.set_leads(5_000, Some(1));
    assert_eq!(turn.part(5_000), 1.0);
    turn.set_leads(6_000, Some(3));
    assert_eq!(turn.part(6_000), 0.0);
    assert_eq!(turn.part(8_000), 1.0);
}

#[test]
fn an_engine_that_says_it_is_cold_for_ever_stays_cold() {
    let mut warmth = Warmth::default();
    warmth.learn(1_000, Some(1.0), 1, u64::MAX);
    assert!(warmth.is_full(2_000, 0.0));
}
