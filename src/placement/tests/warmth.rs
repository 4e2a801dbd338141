//! Engines that are cold.

use super::*;
use crate::agree::MIN_ELECTION_TIMEOUT_MS;
use crate::placement::cold_limiter::{ColdLimiter, ColdSendPermit};

/// Requests per second that a cold engine can handle, and the number that is allowed in any
/// second.
const COLD_PER_SECOND: f64 = 6.1;
const ALLOWED_PER_SECOND: usize = 14;

fn cold_engine(id: &str, registration_seq: u64, warmup_ms: u64) -> EngineInfo {
    EngineInfo { cold_per_second: Some(COLD_PER_SECOND), registration_seq, warmup_ms, ..engine(id) }
}

/// A prompt that is read in 2 ms.
fn short(seq: u64) -> PlacementRequest {
    let parts = vec![(seq, 100)];
    PlacementRequest { parts, prompt_tokens: 100, output_tokens: 10, ..request(seq, "x", 0, 0) }
}

/// Places a short prompt every 10 ms, each answered at once; returns the time and the endpoint of
/// each request sent.
fn place_short_prompts(placer: &mut Placer, from: u64, until: u64) -> Vec<(u64, String)> {
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

fn max_in_a_second(sent: &[(u64, String)], id: &str) -> usize {
    let times: Vec<_> = sent.iter().filter(|(_, to)| to == id).map(|(at, _)| *at).collect();
    let within = |from: &u64| times.iter().filter(|at| (*from..from + 1_000).contains(at)).count();
    times.iter().map(within).max().unwrap_or(0)
}

#[test]
fn an_engine_that_returns_cold_to_a_busy_fleet_is_sent_no_more_than_its_limit() {
    let mut placer = Placer::new(PlacementRules::default());
    placer.set_engines(0, vec![cold_engine("back", 1, 3_000)]);
    let sent = place_short_prompts(&mut placer, 0, 6_000);
    let cold: Vec<_> = sent.iter().filter(|(at, _)| *at < 3_000).cloned().collect();
    let max_sent = max_in_a_second(&cold, "back");
    assert!(max_sent as f64 <= COLD_PER_SECOND, "{max_sent} in a second");
    assert!(cold.len() >= 15, "its cold capacity is used: {} in 3 s", cold.len());
    assert!(max_in_a_second(&sent, "back") > ALLOWED_PER_SECOND, "not limited once it is warm");
}

/// Requests meant for the earlier start reach the new one before the placer learns of it.
#[test]
fn requests_sent_before_a_cold_start_was_known_count() {
    let mut placer = Placer::new(PlacementRules::default());
    let start = |started_at_ms, warmup_ms| EngineInfo {
        started_at_ms,
        ..cold_engine("again", 1, warmup_ms)
    };
    placer.set_engines(0, vec![start(1, 0)]);
    assert_eq!(place_short_prompts(&mut placer, 0, 1_000).len(), 100);
    placer.set_engines(1_000, vec![start(2, 3_000)]);
    assert_eq!(place_short_prompts(&mut placer, 1_000, 1_900).len(), 0);
    assert!(!place_short_prompts(&mut placer, 1_900, 3_000).is_empty());
}

#[test]
fn requests_go_to_warm_engines_while_others_are_cold() {
    let mut placer = Placer::new(PlacementRules::default());
    placer.set_engines(0, vec![cold_engine("back", 1, 3_000), cold_engine("warm", 1, 0)]);
    let sent = place_short_prompts(&mut placer, 0, 1_000);
    assert_eq!(sent.len(), 100, "none is refused");
    assert!(max_in_a_second(&sent, "back") as f64 <= COLD_PER_SECOND);
}

#[test]
fn requests_sent_before_an_engine_turned_cold_count() {
    let mut placer = Placer::new(PlacementRules::default());
    placer.set_engines(0, vec![cold_engine("a", 1, 0)]);
    let warm = place_short_prompts(&mut placer, 0, 500);
    assert_eq!(warm.len(), 50);
    placer.set_engines(500, vec![cold_engine("a", 2, 3_000)]);
    assert_eq!(place_short_prompts(&mut placer, 500, 1_400), [], "it was sent more than its limit");
    assert!(!place_short_prompts(&mut placer, 1_400, 2_000).is_empty());
}

#[test]
fn a_refusal_for_cold_engines_gives_the_time_until_one_may_be_sent_more() {
    let mut placer = Placer::new(PlacementRules::default());
    placer.set_engines(0, vec![cold_engine("a", 1, 3_000)]);
    assert_eq!(place_short_prompts(&mut placer, 0, 100).len(), 6);
    match place(&mut placer, 100, short(9_999)) {
        FromPlacer::Refuse { refusal, .. } => assert_eq!(refusal.retry_after_ms, 900),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_router_that_decides_by_itself_sends_cold_engines_nothing() {
    let rules = PlacementRules { cold_part: 0.0, ..PlacementRules::default() };
    let mut placer = Placer::new(rules);
    placer.set_engines(0, vec![cold_engine("a", 1, 3_000)]);
    assert_eq!(place_short_prompts(&mut placer, 0, 2_990), []);
    assert!(!place_short_prompts(&mut placer, 3_000, 3_100).is_empty());
}

#[test]
fn a_repeated_registration_does_not_extend_the_cold_phase() {
    let mut placer = Placer::new(PlacementRules::default());
    for now in (0..3_000).step_by(1_000) {
        placer.set_engines(now, vec![cold_engine("a", 1, 3_000)]);
    }
    assert_eq!(place_short_prompts(&mut placer, 3_000, 3_500).len(), 50);
}

/// A control host's placer, and the terms in which its host considers itself the leader, each with
/// the time for which it does.
struct Host {
    placer: Placer,
    permit: ColdSendPermit,
    terms: Vec<(u64, std::ops::Range<u64>)>,
}

impl Host {
    fn leading(terms: Vec<(u64, std::ops::Range<u64>)>) -> Host {
        let mut placer = Placer::new(PlacementRules::default());
        placer.set_engines(0, vec![cold_engine("back", 1, 60_000)]);
        Host { placer, permit: ColdSendPermit::default(), terms }
    }

    /// Places a request; returns whether it was sent.
    fn place(&mut self, now: u64, seq: u64) -> bool {
        let term = self.terms.iter().find(|(_, during)| during.contains(&now));
        self.permit.set_leading_term(now, term.map(|(term, _)| *term));
        self.placer.set_cold_part(self.permit.fraction(now));
        let sent = matches!(place(&mut self.placer, now, short(seq)), FromPlacer::Go { .. });
        if sent {
            serve(&mut self.placer, now, seq);
        }
        sent
    }
}

proptest! {
    #![proptest_config(crate::testing::property(64))]

    /// All placers together send a cold engine no more than it can handle: whichever placers are
    /// asked, including one that led before and leads again, and however long a former leader does
    /// not notice that it was replaced.
    #[test]
    fn all_placers_together_send_a_cold_engine_no_more_than_its_limit(
        second in 3_000u64..6_000,
        third in 2_000u64..4_000,
        notice_delay in 0..MIN_ELECTION_TIMEOUT_MS,
        asked in proptest::collection::vec(0usize..3, 1_400),
    ) {
        let third = second + third;
        let mut hosts = [
            Host::leading(vec![(1, 0..second + notice_delay), (3, third..u64::MAX)]),
            Host::leading(vec![(2, second..third + notice_delay)]),
            Host::leading(vec![]),
        ];
        let mut sent = Vec::new();
        for (number, host) in asked.into_iter().enumerate() {
            let now = number as u64 * 10;
            if hosts[host].place(now, number as u64 + 1) {
                sent.push((now, "back".to_string()));
            }
        }
        let max_sent = max_in_a_second(&sent, "back");
        prop_assert!(max_sent as f64 <= COLD_PER_SECOND, "{} in a second", max_sent);
        prop_assert!(sent.iter().any(|(at, _)| *at < second), "the first one sends");
        prop_assert!(sent.iter().any(|(at, _)| *at > third + 2_000), "the last one too");
    }
}

/// A placer is not asked while another one leads, so it does not observe that term.
#[test]
fn a_placer_that_leads_again_waits_even_if_it_was_not_asked_meanwhile() {
    let mut permit = ColdSendPermit::default();
    permit.set_leading_term(0, Some(1));
    permit.set_leading_term(5_000, Some(1));
    assert_eq!(permit.fraction(5_000), 1.0);
    permit.set_leading_term(6_000, Some(3));
    assert_eq!(permit.fraction(6_000), 0.0);
    assert_eq!(permit.fraction(8_000), 1.0);
}

#[test]
fn an_engine_that_reports_an_endless_warm_up_stays_cold() {
    let mut cold_limiter = ColdLimiter::default();
    cold_limiter.update(1_000, Some(1.0), 1, u64::MAX);
    assert!(cold_limiter.is_exhausted(2_000, 0.0));
}
