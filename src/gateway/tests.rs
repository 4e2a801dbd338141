//! Decisions of the gateway.

mod rollouts;

use proptest::prelude::*;

use super::endpoints::ColdLimit;
use super::header_names::{prompt_parts, token_counts};
use super::nearby::no_endpoint_reason;
use super::neighbours::{REFRESH_INTERVAL_MS, REFUSAL_BACKOFF_MS};
use super::refusal::Refusal;
use super::*;
use crate::feed::Neighbour;
use crate::region::AllowedRegions;
use crate::registry::{EndpointState, Registration};
use crate::wire::HostId;

fn endpoint(id: &str) -> Registration {
    Registration {
        id: id.into(),
        started_at_ms: 0,
        service: "app".into(),
        version: "v1".into(),
        address: Some(([127, 0, 0, 1], 8_000).into()),
        hall: "a".into(),
        slots: 6,
        state: EndpointState::Ready,
        warmup_ms: 0,
        sequence: 1,
        revivals: 0,
    }
}

/// Any number will do where only one endpoint fits.
const ANY: Preference = Preference::Random(0);
/// Cold endpoints bear as many requests as others.
const ANY_COLD: ColdLimit = ColdLimit { per_second: None, routers: 1, router: HostId(1) };

#[test]
fn routers_with_nothing_under_way_do_not_agree_on_one_endpoint() {
    let ready = ["a", "b", "c", "d", "e"].map(endpoint);
    let mut chosen = std::collections::BTreeMap::new();
    for router in 0..1_000 {
        let preference = Preference::Random(router);
        let idle = EndpointTracker::default();
        let id = &idle.choose(0, ready.iter(), &[], preference, ANY_COLD).unwrap().id;
        *chosen.entry(id.clone()).or_insert(0) += 1;
    }
    assert!(chosen.values().all(|n| (150..250).contains(n)), "{chosen:?}");
}

#[test]
fn requests_with_the_same_prompt_go_to_the_same_endpoint() {
    let ready = ["a", "b", "c", "d", "e"].map(endpoint);
    let choose = |affinity| {
        let idle = EndpointTracker::default();
        let chosen = idle.choose(0, ready.iter(), &[], Preference::Affinity(affinity), ANY_COLD);
        chosen.unwrap().id.clone()
    };
    for affinity in 0..20 {
        assert_eq!(choose(affinity), choose(affinity));
    }
}

#[test]
fn the_least_loaded_endpoint_that_was_not_tried_is_chosen() {
    let ready = [endpoint("a"), endpoint("b"), endpoint("c")];
    let mut endpoints = EndpointTracker::default();
    endpoints.record_sent(0, "a", 0, 0);
    endpoints.record_sent(0, "b", 0, 0);
    let chosen = endpoints.choose(0, ready.iter(), &[], ANY, ANY_COLD).unwrap();
    assert_eq!(chosen.id, "c");
    let chosen =
        endpoints.choose(0, ready.iter(), &["c".into(), "a".into()], ANY, ANY_COLD).unwrap();
    assert_eq!(chosen.id, "b");
    let tried = ["a", "b", "c"].map(String::from);
    assert!(endpoints.choose(0, ready.iter(), &tried, ANY, ANY_COLD).is_none());
}

#[test]
fn regions_are_the_reason_only_where_no_endpoint_is_in_an_allowed_one() {
    let bound = AllowedRegions::Only(["r".to_string()].into());
    let why = |allowed: &AllowedRegions, ready: &[&str]| {
        no_endpoint_reason(allowed, ready.iter().copied())
    };
    let (no_region, no_endpoint) = (Refusal::NoAllowedRegion, Refusal::NoEndpoint);
    assert_eq!(why(&bound, &["s", ""]), no_region);
    assert_eq!(why(&bound, &["s", "r"]), no_endpoint, "it was tried, or is of another release");
    assert_eq!(why(&bound, &[]), no_endpoint);
    assert_eq!(why(&AllowedRegions::Anywhere, &["s"]), no_endpoint);
}

#[test]
fn an_endpoint_that_cannot_be_reached_is_avoided_and_tried_again() {
    let ready = [endpoint("a"), endpoint("b")];
    let mut endpoints = EndpointTracker::default();
    endpoints.record_sent(0, "b", 0, 0);
    let avoided = endpoints.record_failure(0, "a", 0, Failure::Unreachable);
    assert!(avoided > 0);
    assert_eq!(endpoints.choose(0, ready.iter(), &[], ANY, ANY_COLD).unwrap().id, "b");
    assert_eq!(endpoints.choose(avoided, ready.iter(), &[], ANY, ANY_COLD).unwrap().id, "a");
    // The only one left is used even so.
    assert_eq!(endpoints.choose(0, ready[..1].iter(), &[], ANY, ANY_COLD).unwrap().id, "a");
}

#[test]
fn an_endpoint_whose_address_another_holds_is_never_chosen_again() {
    let ready = [endpoint("a")];
    let mut endpoints = EndpointTracker::default();
    endpoints.record_failure(0, "a", 0, Failure::Replaced);
    assert!(endpoints.choose(1_000_000, ready.iter(), &[], ANY, ANY_COLD).is_none());
}

#[test]
fn one_error_may_be_chance_and_two_in_a_row_are_not() {
    let mut endpoints = EndpointTracker::default();
    assert_eq!(endpoints.record_failure(0, "a", 0, Failure::Failed), 0);
    endpoints.record_success(0, "a", 0);
    assert_eq!(endpoints.record_failure(1, "a", 0, Failure::Failed), 0);
    assert!(endpoints.record_failure(2, "a", 0, Failure::Failed) > 0);
}

#[test]
fn events_are_passed_on_whole_and_the_last_id_is_known() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(b"id: 1\ndata: x\n").is_empty());
    assert_eq!(&splitter.push(b"\nid: 2\nda")[..], b"id: 1\ndata: x\n\n");
    assert_eq!(splitter.last_id(), Some("1"));
    splitter.discard_partial();
    assert_eq!(&splitter.push(b"id: 2\ndata: y\n\n")[..], b"id: 2\ndata: y\n\n");
    assert_eq!(splitter.last_id(), Some("2"));
    assert!(splitter.finish().is_empty());
}

#[test]
fn a_part_of_a_prompt_counts_as_the_same_only_behind_the_same_parts() {
    let one = prompt_parts("a:10,b:20");
    let two = prompt_parts("c:10,b:20");
    assert_eq!(one, prompt_parts("a:10, b:20"));
    assert_eq!(one[1].tokens, 20);
    assert_ne!(one[1].id, two[1].id);
    assert!(prompt_parts("nonsense").is_empty());
    assert_eq!(token_counts("1460,80"), (1_460, 80));
    assert_eq!(token_counts("x"), (0, 0));
}

proptest! {
    #![proptest_config(crate::testing::property(64))]

    /// However events are cut into pieces, the same bytes come out, in order.
    #[test]
    fn pieces_do_not_matter(
        events in proptest::collection::vec("[a-z]{0,12}", 0..12),
        cuts in proptest::collection::vec(1usize..9, 1..40),
    ) {
        let numbered = events.iter().enumerate();
        let text: String = numbered.map(|(n, e)| format!("id: {n}\ndata: {e}\n\n")).collect();
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut rest = text.as_bytes();
        let mut cuts = cuts.into_iter().cycle();
        while !rest.is_empty() {
            let at = cuts.next().unwrap().min(rest.len());
            let (piece, after) = rest.split_at(at);
            let whole = splitter.push(piece);
            prop_assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
            out.extend_from_slice(&whole);
            rest = after;
        }
        out.extend_from_slice(&splitter.finish());
        prop_assert_eq!(out, text.as_bytes());
    }

    /// The repeats of all routers together stay under the bound in any window.
    #[test]
    fn repeats_stay_within_the_budget(
        routers in 1usize..5,
        events in proptest::collection::vec((0u64..400, any::<u8>(), any::<bool>()), 0..400),
    ) {
        let rules = BudgetRules { ratio: 0.2, window_s: 10.0, slack: 20.0 };
        let mut budgets: Vec<_> =
            (0..routers).map(|_| RetryBudgets::new(rules, routers)).collect();
        let mut now = 0;
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (wait, router, repeat) in events {
            now += wait;
            let budget = &mut budgets[router as usize % routers];
            match repeat {
                true => if budget.try_spend(now, "app") { repeats.push(now) },
                false => {
                    budget.record_request(now, "app");
                    requests.push(now);
                }
            }
        }
        for end in &repeats {
            let from = end.saturating_sub(9_999);
            let inside = |times: &[u64], from: u64| {
                times.iter().filter(|at| (from..=*end).contains(*at)).count() as f64
            };
            // The requests counted are those of the window or of the one before.
            let asked = inside(&requests, from.saturating_sub(10_000));
            prop_assert!(inside(&repeats, from) <= rules.ratio * asked + rules.slack);
        }
    }
}

#[test]
fn a_router_behind_its_work_sheds_load_in_two_steps() {
    let rules = OverloadRules::default();
    let ms = std::time::Duration::from_millis;
    let mut overload = Overload::new(rules);
    assert!(!overload.set_lag(ms(rules.unready_lag_ms - 1)));
    assert!(overload.is_ready() && !overload.refuses());
    assert!(overload.set_lag(ms(rules.unready_lag_ms)));
    assert!(!overload.is_ready() && !overload.refuses());
    overload.set_lag(ms(rules.refuse_lag_ms));
    assert!(overload.refuses());
    // Below the limit that made it unready it waits until it is calm again.
    assert!(!overload.set_lag(ms(rules.unready_lag_ms - 1)));
    assert!(!overload.is_ready() && !overload.refuses());
    assert!(overload.set_lag(ms(rules.ready_lag_ms - 1)));
    assert!(overload.is_ready());
}

#[test]
fn a_router_hands_over_before_it_is_not_ready_and_takes_nothing_meanwhile() {
    let rules = OverloadRules::default();
    let ms = std::time::Duration::from_millis;
    let mut overload = Overload::new(rules);
    overload.set_lag(ms(rules.hand_over_lag_ms - 1));
    assert!(!overload.should_hand_over(0) && overload.accepts_handover(0));
    overload.set_lag(ms(rules.hand_over_lag_ms));
    assert!(overload.should_hand_over(0) && !overload.accepts_handover(0) && overload.is_ready());
    // It goes on until it is well below.
    overload.set_lag(ms(rules.hand_over_lag_ms - 1));
    assert!(overload.should_hand_over(0));
    overload.set_lag(ms(rules.hand_over_lag_ms / 2 - 1));
    assert!(!overload.should_hand_over(0) && overload.accepts_handover(0));
    // What it serves counts at once.
    let many = rules.hand_over_requests;
    assert!(!overload.should_hand_over(many - 1) && overload.accepts_handover(many - 1));
    assert!(overload.should_hand_over(many) && !overload.accepts_handover(many));
    // One whose limit is 0 hands over all that comes, also before it was measured.
    let all = OverloadRules { hand_over_lag_ms: 0, ..rules };
    assert!(Overload::new(all).should_hand_over(0));
}

fn neighbour(host: u32) -> Neighbour {
    Neighbour { host: HostId(host), peer: ([127, 0, 0, 1], 7_000 + host as u16).into() }
}

#[test]
fn a_router_that_said_no_is_not_asked_again_for_a_while() {
    let known = [neighbour(1), neighbour(2)];
    let mut neighbours = Neighbours::default();
    assert_eq!(neighbours.choose(0, &[], 7), None);
    let chosen: Vec<_> = (0..2).filter_map(|n| neighbours.choose(0, &known, n)).collect();
    assert_eq!(chosen, known, "every one may be asked");
    neighbours.record_refusal(0, HostId(1));
    for random in 0..4 {
        assert_eq!(neighbours.choose(REFUSAL_BACKOFF_MS - 1, &known, random), Some(known[1]));
    }
    neighbours.record_refusal(1, HostId(2));
    assert_eq!(neighbours.choose(2, &known, 0), None);
    assert_eq!(neighbours.choose(REFUSAL_BACKOFF_MS, &known, 0), Some(known[0]));
}

#[test]
fn the_list_of_routers_is_asked_for_again_after_a_while() {
    let mut neighbours = Neighbours::default();
    assert!(neighbours.start_refresh_if_due(5));
    assert!(!neighbours.start_refresh_if_due(6));
    assert!(neighbours.start_refresh_if_due(5 + REFRESH_INTERVAL_MS));
}

#[test]
fn callers_connections_leave_descriptors_for_endpoints() {
    let rules = OverloadRules { descriptors: 100, ..OverloadRules::default() };
    let mut overload = Overload::new(rules);
    assert_eq!((1..=100).filter(|_| overload.try_add_connection()).count(), 45);
    overload.set_lag(std::time::Duration::ZERO);
    assert!(!overload.is_ready(), "crowded");
    (0..20).for_each(|_| overload.remove_connection());
    assert!(overload.try_add_connection());
    overload.set_lag(std::time::Duration::ZERO);
    assert!(overload.is_ready());
}

#[test]
fn all_routers_together_send_a_cold_endpoint_what_it_bears() {
    let mut cold = endpoint("cold");
    cold.warmup_ms = 3_000;
    for routers in [1, 5, 63, 300] {
        let mut sent = 0;
        for router in 0..routers {
            let router = HostId(router as u32);
            let part = ColdLimit { per_second: Some(20.0), routers, router };
            let mut endpoints = EndpointTracker::default();
            for now in 0..1_000 {
                let ready = std::iter::once(&cold);
                if endpoints.choose(now, ready, &[], ANY, part).is_some() {
                    endpoints.record_sent(now, "cold", 0, 0);
                    sent += 1;
                }
            }
        }
        assert!((10..=30).contains(&sent), "{routers} routers sent {sent}");
    }
}

#[test]
fn a_cold_endpoint_gets_more_a_second_later_and_a_warm_one_at_once() {
    let mut cold = endpoint("a");
    cold.warmup_ms = 3_000;
    let part = ColdLimit { per_second: Some(1.0), routers: 1, router: HostId(1) };
    let mut endpoints = EndpointTracker::default();
    endpoints.record_sent(10, "a", 0, 0);
    let choose = |now, endpoint: &Registration| {
        endpoints.choose(now, std::iter::once(endpoint), &[], ANY, part).is_some()
    };
    assert!(!choose(1_009, &cold));
    assert!(choose(1_010, &cold));
    assert!(choose(11, &endpoint("a")));
}

/// Requests that were meant for the start before reached the new one before it was known.
#[test]
fn what_was_sent_before_a_cold_start_was_known_counts_for_it() {
    let cold = Registration { started_at_ms: 2_000, warmup_ms: 3_000, ..endpoint("a") };
    let part = ColdLimit { per_second: Some(2.0), routers: 1, router: HostId(1) };
    let mut endpoints = EndpointTracker::default();
    let may_send = |endpoints: &EndpointTracker, now| {
        endpoints.choose(now, std::iter::once(&cold), &[], ANY, part).is_some()
    };
    endpoints.record_sent(10, "a", 1_000, 0);
    assert!(may_send(&endpoints, 11));
    endpoints.record_sent(12, "a", 2_000, 0);
    assert!(!may_send(&endpoints, 13));
    assert!(may_send(&endpoints, 1_010));
}

#[test]
fn callers_cannot_say_what_only_the_gateway_may_say() {
    use axum::http::{HeaderMap, HeaderName, HeaderValue};

    let reserved = HeaderName::from_static("x-reserved");
    let header_names = HeaderNames { reserved: vec![reserved.clone()], ..HeaderNames::native() };
    let mut headers = HeaderMap::new();
    let names = [
        &header_names.key,
        &header_names.endpoint,
        &header_names.customer,
        &header_names.copy_from,
        &reserved,
    ];
    for name in names {
        headers.insert(name, HeaderValue::from_static("said by the caller"));
    }
    let forwarding = Forwarding {
        remaining_ms: 70,
        endpoint: "e1",
        customer: None,
        copy_from: None,
        after_event: None,
    };
    header_names.write_request(&mut headers, &forwarding);
    let left: Vec<_> = headers.iter().map(|(name, value)| (name.as_str(), value)).collect();
    assert_eq!(left.len(), 2, "{left:?}");
    assert_eq!(headers[&header_names.endpoint], "e1");
    assert_eq!(headers[&header_names.deadline], "70");
}

#[test]
fn a_router_that_chooses_an_engine_alone_leaves_cold_ones_to_the_placer() {
    let mut cold = endpoint("a");
    cold.warmup_ms = 3_000;
    for router in 0..300 {
        let part = ColdLimit { per_second: Some(6.1), routers: 63, router: HostId(router) };
        let alone = part.reserved_for_placer(true);
        assert!(
            EndpointTracker::default().choose(0, [&cold].into_iter(), &[], ANY, alone).is_none()
        );
    }
    let without_bound = ANY_COLD.reserved_for_placer(true);
    let choice = EndpointTracker::default().choose(0, [&cold].into_iter(), &[], ANY, without_bound);
    assert!(choice.is_some());
}

#[test]
fn what_was_seen_of_an_earlier_start_says_nothing_of_a_later_one() {
    let again = [Registration { started_at_ms: 2_000, ..endpoint("a") }];
    let mut endpoints = EndpointTracker::default();
    endpoints.record_sent(0, "a", 1_000, 500);
    endpoints.record_failure(0, "a", 1_000, Failure::Replaced);
    assert!(endpoints.choose(0, again.iter(), &[], ANY, ANY_COLD).is_some());
    endpoints.record_sent(0, "a", 2_000, 500);
    // What ends now was sent to the earlier start.
    endpoints.record_end("a", 1_000);
    assert_eq!(endpoints.record_failure(1, "a", 1_000, Failure::Replaced), 0);
    let other = [again[0].clone(), endpoint("b")];
    assert_eq!(endpoints.choose(1, other.iter(), &[], ANY, ANY_COLD).unwrap().id, "b");
    endpoints.record_end("a", 2_000);
    assert!(endpoints.choose(1, again.iter(), &[], ANY, ANY_COLD).is_some());
}
