//! Generated days of a fleet in which requests crash endpoints, endpoints die of something
//! else and connections break: how many endpoints a request that crashes them can end, and how
//! many others are refused by mistake; today's way beside others.
//!
//! `cargo test --test generated_crashes -- --nocapture` prints the table.

#[path = "crashes/day.rs"]
mod day;
#[path = "crashes/ways.rs"]
mod ways;

use day::{Day, Outcome, Trouble};
use ways::Way;

/// Seeds of each kind of day: few of the large fleet, which takes ten times as long to play.
/// `CRASH_SEEDS` asks for more of both.
const SEEDS: u64 = 20;
const SEEDS_LARGE: u64 = 2;

fn days(endpoints: usize, trouble: Trouble, way: Way) -> Outcome {
    let asked = std::env::var("CRASH_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds = asked.unwrap_or(if endpoints > 9 { SEEDS_LARGE } else { SEEDS });
    let outcomes = (0..seeds).map(|seed| Day::new(seed, endpoints, trouble, way).play());
    outcomes.fold(Outcome::default(), Outcome::and)
}

#[test]
fn what_crashes_endpoints_is_stopped_and_hardly_anything_else_is() {
    for endpoints in [9, 90] {
        for trouble in Trouble::ALL {
            let kept = days(endpoints, trouble, Way::FewestThatExplain);
            let what = format!("{endpoints} endpoints, {trouble:?}: {kept}");
            println!("{what}");
            // A request that crashes endpoints may reach three more, once the fleet had 3 s
            // to learn of the third crash.
            assert!(kept.most_after_learning <= 3, "{what}");
            // One in a thousand is what else is lost on a day without any trouble.
            assert!(kept.refused_by_mistake * 1_000 <= kept.innocent, "{what}");
        }
    }
}

#[test]
fn other_ways_stop_it_later_or_refuse_others() {
    let of = |trouble, way| {
        let outcome = days(9, trouble, way);
        println!("{trouble:?}: {way:?}: {outcome}");
        outcome
    };
    for trouble in Trouble::ALL {
        let [never, each_router, two, three] =
            [Way::Never, Way::EachRouterThree, Way::AllTwo, Way::AllThree]
                .map(|way| of(trouble, way));
        assert!(never.ended > 10 * three.ended.min(two.ended));
        assert!(each_router.most_after_learning > 3, "it never learns in time");
        assert!(two.refused_by_mistake > three.refused_by_mistake);
    }
}
