//! Ways to treat what answers say while it is not known which start of an endpoint gave them,
//! compared on the same generated days.
//!
//! `cargo test --test generated_starts -- --nocapture` prints the figures; `STARTS_SEEDS` sets
//! the number of seeds.

#[path = "starts/day.rs"]
mod day;
#[path = "starts/ways.rs"]
mod ways;

use day::{Figures, Kind};
use ways::Way;

const SEEDS: u64 = 20;

const USUAL: Kind = Kind {
    name: "news in time",
    lives_ms: 2_000..9_000,
    late_news_ms: 0..150,
    late_share: 0.0,
    skew_ms: 0,
    requests_per_s: 20.0,
    answers_ms: 20..400,
};

const KINDS: [Kind; 6] = [
    USUAL,
    Kind { name: "news late by seconds", late_news_ms: 500..8_000, late_share: 0.5, ..USUAL },
    Kind {
        name: "the same, endpoints' clocks ahead",
        late_news_ms: 500..8_000,
        late_share: 0.5,
        skew_ms: 30_000,
        ..USUAL
    },
    Kind {
        name: "the same, behind",
        late_news_ms: 500..8_000,
        late_share: 0.5,
        skew_ms: -30_000,
        ..USUAL
    },
    Kind {
        name: "starts in quick succession",
        lives_ms: 300..4_000,
        late_news_ms: 200..3_000,
        late_share: 0.5,
        ..USUAL
    },
    Kind { name: "long answers", answers_ms: 500..4_000, ..USUAL },
];

fn play(kind: &Kind, way: Way) -> Figures {
    let seeds: u64 = std::env::var("STARTS_SEEDS").map_or(SEEDS, |text| text.parse().unwrap());
    let mut sum = Figures::default();
    for seed in 0..seeds {
        sum.add(&day::play(kind, way, seed));
    }
    println!(
        "{:34} {way:8?} {:6} requests, {:4} to who had said no, {:4} of {} starts not used, \
         first request {:5.0} ms after it could be sent, {:5} at most, {:4} questions",
        kind.name,
        sum.requests,
        sum.broken,
        sum.unused,
        sum.usable,
        sum.waited_ms as f64 / (sum.usable - sum.unused).max(1) as f64,
        sum.longest_wait_ms,
        sum.questions,
    );
    sum
}

#[test]
fn a_start_is_held_to_its_own_word_and_to_no_other() {
    for kind in &KINDS {
        for way in [Way::Forget, Way::Carry, Way::Rest, Way::Trial] {
            play(kind, way);
        }
        let kept = play(kind, Way::Ask);
        assert_eq!((kept.broken, kept.unused), (0, 0), "{}", kind.name);
        assert!(kept.longest_wait_ms <= 2_000, "{}: {} ms", kind.name, kept.longest_wait_ms);
    }
}

/// The checks find what was seen, and what the plain remedies cost.
#[test]
fn other_ways_break_one_promise_or_the_other() {
    let late = &KINDS[1];
    assert!(play(late, Way::Forget).broken > 0);
    assert!(play(late, Way::Carry).unused > 0);
    assert!(play(late, Way::Trial).broken > 0);
}
