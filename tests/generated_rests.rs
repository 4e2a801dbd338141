//! Ways to let an endpoint rest that asks for it, compared on the same generated days.
//!
//! `cargo test --test generated_rests -- --nocapture` prints the figures; `RESTS_SEEDS` sets
//! the number of seeds.

#[path = "rests/day.rs"]
mod day;
#[path = "rests/ways.rs"]
mod ways;

use day::{Day, Figures, Kind};
use ways::Way;

const SEEDS: u64 = 4;

const USUAL: Kind = Kind {
    name: "one of three, as in the incident",
    routers: 8,
    endpoints: 3,
    slots: 6,
    rate: 300.0,
    takes_ms: (25, 400),
    resting: 1,
    turns_away_ms: 9_000,
    asks_ms: 3_000,
};

const KINDS: [Kind; 5] = [
    USUAL,
    Kind { name: "short rests", asks_ms: 1_000, turns_away_ms: 500, ..USUAL },
    Kind { name: "all of them", resting: 3, turns_away_ms: 1_500, asks_ms: 1_000, ..USUAL },
    Kind { name: "long answers", takes_ms: (25, 1_100), rate: 120.0, ..USUAL },
    Kind {
        name: "340 routers, 12 endpoints",
        routers: 340,
        endpoints: 12,
        slots: 60,
        rate: 4_000.0,
        takes_ms: (60, 400),
        resting: 3,
        turns_away_ms: 3_000,
        asks_ms: 3_000,
    },
];

fn play(kind: Kind, way: Way) -> Figures {
    let seeds: u64 = std::env::var("RESTS_SEEDS").map_or(SEEDS, |text| text.parse().unwrap());
    let mut sum = Figures::default();
    for seed in 0..seeds {
        let day = Day::play(kind, way, seed);
        sum.requests += day.requests;
        sum.broken += day.broken;
        sum.turned_away += day.turned_away;
        sum.refused += day.refused;
        sum.rush = sum.rush.max(day.rush);
        sum.share_back_ms = sum.share_back_ms.max(day.share_back_ms);
    }
    println!(
        "{:32} {way:8?} {:7} requests, {:4} rests broken, {:6} turned away, {:6} refused, \
         rush {:4.1}, share back after {:5} ms",
        kind.name,
        sum.requests,
        sum.broken,
        sum.turned_away,
        sum.refused,
        sum.rush,
        sum.share_back_ms
    );
    sum
}

#[test]
fn rests_are_kept_and_end_without_a_rush() {
    for kind in KINDS {
        for way in [Way::Failure, Way::Obey, Way::Ramp] {
            play(kind, way);
        }
        let kept = play(kind, Way::Trial);
        assert_eq!(kept.broken, 0, "{}", kind.name);
        // Its share is back within a second after the longest rest, from any router.
        let latest = kind.asks_ms + 1_000;
        assert!(kept.share_back_ms <= latest, "{}: {} ms", kind.name, kept.share_back_ms);
    }
}

/// The check finds what broke the rule in the incident.
#[test]
fn failures_alone_break_rests() {
    assert!(play(USUAL, Way::Failure).broken > 0);
}
