//! Tests of the gateway's decisions, without I/O.

mod open_connections;
mod overload;
mod records;
mod relayed_head;
mod rollouts;

use axum::http::HeaderMap;
use proptest::prelude::*;

use super::endpoints::ColdLimit;
use super::header_names::{prompt_parts, token_counts};
use super::nearby::no_endpoint_reason;
use super::refusal::Refusal;
use super::*;
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

/// Any random number, where only one endpoint can be chosen.
const ANY: Preference = Preference::Random(0);
/// No limit for cold endpoints.
const ANY_COLD: ColdLimit = ColdLimit { per_second: None, routers: 1, router: HostId(1) };

#[test]
fn idle_routers_spread_over_all_endpoints() {
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
fn no_allowed_region_is_reported_only_if_no_endpoint_is_in_one() {
    let bound = AllowedRegions::Only(["r".to_string()].into());
    let reason = |allowed: &AllowedRegions, ready: &[&str]| {
        no_endpoint_reason(allowed, ready.iter().copied())
    };
    let (no_region, no_endpoint) = (Refusal::NoAllowedRegion, Refusal::NoEndpoint);
    assert_eq!(reason(&bound, &["s", ""]), no_region);
    assert_eq!(reason(&bound, &["s", "r"]), no_endpoint, "it was tried, or is of another release");
    assert_eq!(reason(&bound, &[]), no_endpoint);
    assert_eq!(reason(&AllowedRegions::Anywhere, &["s"]), no_endpoint);
}

#[test]
fn an_unreachable_endpoint_is_avoided_and_then_tried_again() {
    let ready = [endpoint("a"), endpoint("b")];
    let mut endpoints = EndpointTracker::default();
    endpoints.record_sent(0, "b", 0, 0);
    let avoided = endpoints.record_failure(0, "a", 0, Failure::Unreachable);
    assert!(avoided > 0);
    assert_eq!(endpoints.choose(0, ready.iter(), &[], ANY, ANY_COLD).unwrap().id, "b");
    assert_eq!(endpoints.choose(avoided, ready.iter(), &[], ANY, ANY_COLD).unwrap().id, "a");
    // An avoided endpoint is used if it is the only one left.
    assert_eq!(endpoints.choose(0, ready[..1].iter(), &[], ANY, ANY_COLD).unwrap().id, "a");
}

#[test]
fn a_replaced_endpoint_is_never_chosen_again() {
    let ready = [endpoint("a")];
    let mut endpoints = EndpointTracker::default();
    endpoints.record_failure(0, "a", 0, Failure::Replaced);
    assert!(endpoints.choose(1_000_000, ready.iter(), &[], ANY, ANY_COLD).is_none());
}

#[test]
fn an_endpoint_is_avoided_after_two_consecutive_errors() {
    let mut endpoints = EndpointTracker::default();
    assert_eq!(endpoints.record_failure(0, "a", 0, Failure::Failed), 0);
    endpoints.record_success(0, "a", 0);
    assert_eq!(endpoints.record_failure(1, "a", 0, Failure::Failed), 0);
    assert!(endpoints.record_failure(2, "a", 0, Failure::Failed) > 0);
}

#[test]
fn an_endpoint_that_accepts_requests_and_breaks_off_its_answers_is_avoided() {
    let mut endpoints = EndpointTracker::default();
    endpoints.record_accepted(0, "a", 0);
    assert_eq!(endpoints.record_failure(0, "a", 0, Failure::Failed), 0);
    endpoints.record_accepted(1, "a", 0);
    assert!(endpoints.record_failure(1, "a", 0, Failure::Failed) > 0);
}

#[test]
fn events_are_forwarded_complete_and_the_last_id_is_tracked() {
    let mut splitter = ResumableEvents::default();
    assert!(splitter.push(b"id: 1\ndata: x\n").is_empty());
    assert_eq!(&splitter.push(b"\nid: 2\nda")[..], b"id: 1\ndata: x\n\n");
    assert_eq!(splitter.last_id(), Some("1"));
    splitter.discard_partial();
    assert_eq!(&splitter.push(b"id: 2\ndata: y\n\n")[..], b"id: 2\ndata: y\n\n");
    assert_eq!(splitter.last_id(), Some("2"));
    assert!(splitter.push(b"\n\r\n").ends_with(b"\r\n"), "nothing is left over");
}

#[test]
fn a_stream_is_not_resumed_inside_an_event_that_was_passed_on_in_part() {
    let mut events = ResumableEvents::after(Some("6".into()));
    let long = format!("id: 7\ndata: {}", "x".repeat(1 << 20));
    assert_eq!(events.push(long.as_bytes()).len(), long.len(), "it is too long to be held back");
    assert!(!events.can_resume());
    assert!(events.push(b"x").is_empty());
    assert!(!events.can_resume());
    assert_eq!(&events.push(b"x\r\rid: 8\rdata: y\r\r")[..], b"xx\r\rid: 8\rdata: y\r\r");
    assert!(events.can_resume());
    assert_eq!(events.last_id(), Some("8"));
}

#[test]
fn an_event_whose_id_is_not_ascii_is_named_when_its_stream_is_resumed() {
    let mut events = ResumableEvents::default();
    events.push("id: 7é\ndata: x\n\n".as_bytes());
    assert!(events.can_resume());
    let names = HeaderNames::native();
    let forwarding = Forwarding {
        remaining_ms: 1_000,
        endpoint: "i-1",
        customer: None,
        copy_from: None,
        after_event: events.last_id(),
    };
    let mut headers = HeaderMap::new();
    names.write_request(&mut headers, &forwarding);
    let sent = headers.get("last-event-id").map(|value| value.as_bytes());
    assert_eq!(sent, Some("7é".as_bytes()));
    assert_eq!(names.read_request(&headers).last_event.as_deref(), Some("7é"));
}

#[test]
fn a_stream_is_not_resumed_after_an_event_that_no_header_can_name() {
    let mut events = ResumableEvents::default();
    events.push(b"id: 7\x01\ndata: x\n\n");
    assert!(!events.can_resume());
}

#[test]
fn prompt_parts_are_kept_only_after_equal_parts_and_have_the_same_content_after_any() {
    let one = prompt_parts("a:10,b:20");
    let two = prompt_parts("c:10,b:20");
    assert_eq!(one, prompt_parts("a:10, b:20"));
    assert_eq!(one[1].tokens, 20);
    assert_ne!(one[1].prefix_id, two[1].prefix_id);
    assert_eq!(one[1].content_id, two[1].content_id);
    assert!(prompt_parts("nonsense").is_empty());
    assert_eq!(token_counts("1460,80"), (1_460, 80));
    assert_eq!(token_counts("x"), (0, 0));
}

proptest! {
    #![proptest_config(crate::testing::property(64))]

    /// However the stream is split into pieces, and whatever ends its lines, the same bytes come
    /// out, in order and event by event.
    #[test]
    fn splitting_preserves_the_bytes_of_any_pieces(
        events in proptest::collection::vec("[a-z]{0,12}", 0..12),
        lengths in proptest::collection::vec(1usize..9, 1..40),
        end in prop::sample::select(vec!["\n", "\r\n", "\r"]),
    ) {
        let numbered = events.iter().enumerate();
        let text: String =
            numbered.map(|(n, e)| format!("id: {n}{end}data: {e}{end}{end}")).collect();
        let mut splitter = ResumableEvents::default();
        let mut out = Vec::new();
        let mut rest = text.as_bytes();
        let mut lengths = lengths.into_iter().cycle();
        let event_end = end.repeat(2);
        while !rest.is_empty() {
            let at = lengths.next().unwrap().min(rest.len());
            let (piece, after) = rest.split_at(at);
            out.extend_from_slice(&splitter.push(piece));
            let is_event_end = out.is_empty()
                || out.ends_with(event_end.as_bytes())
                || end == "\r\n" && out.ends_with(b"\r\n\r");
            prop_assert!(is_event_end, "{:?}", String::from_utf8_lossy(&out));
            rest = after;
        }
        prop_assert_eq!(out, text.as_bytes());
        let last_id = (!events.is_empty()).then(|| (events.len() - 1).to_string());
        prop_assert_eq!(splitter.last_id(), last_id.as_deref());
    }

    /// The retries of all routers together stay within the limit in any window.
    #[test]
    fn retries_stay_within_the_budget(
        routers in 1usize..5,
        events in proptest::collection::vec((0u64..400, any::<u8>(), any::<bool>()), 0..400),
    ) {
        let rules = BudgetRules { ratio: 0.2, window_s: 10.0, slack: 20.0 };
        let mut budgets: Vec<_> =
            (0..routers).map(|_| RetryBudgets::new(rules, routers)).collect();
        let mut now = 0;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (wait, router, is_retry) in events {
            now += wait;
            let budget = &mut budgets[router as usize % routers];
            match is_retry {
                true => if budget.try_spend(now, "app") { retries.push(now) },
                false => {
                    budget.record_request(now, "app");
                    requests.push(now);
                }
            }
        }
        for end in &retries {
            let from = end.saturating_sub(9_999);
            let inside = |times: &[u64], from: u64| {
                times.iter().filter(|at| (from..=*end).contains(*at)).count() as f64
            };
            // Counts the requests of the window and of the one before it.
            let requested = inside(&requests, from.saturating_sub(10_000));
            prop_assert!(inside(&retries, from) <= rules.ratio * requested + rules.slack);
        }
    }
}

#[test]
fn all_routers_together_respect_the_limit_of_a_cold_endpoint() {
    let mut cold = endpoint("cold");
    cold.warmup_ms = 3_000;
    for routers in [1, 5, 63, 300] {
        let mut sent = 0;
        for router in 0..routers {
            let router = HostId(router as u32);
            let limit = ColdLimit { per_second: Some(20.0), routers, router };
            let mut endpoints = EndpointTracker::default();
            for now in 0..1_000 {
                let ready = std::iter::once(&cold);
                if endpoints.choose(now, ready, &[], ANY, limit).is_some() {
                    endpoints.record_sent(now, "cold", 0, 0);
                    sent += 1;
                }
            }
        }
        assert!((10..=30).contains(&sent), "{routers} routers sent {sent}");
    }
}

#[test]
fn a_cold_endpoint_gets_more_after_a_second_and_a_warm_one_at_once() {
    let mut cold = endpoint("a");
    cold.warmup_ms = 3_000;
    let limit = ColdLimit { per_second: Some(1.0), routers: 1, router: HostId(1) };
    let mut endpoints = EndpointTracker::default();
    endpoints.record_sent(10, "a", 0, 0);
    let choose = |now, endpoint: &Registration| {
        endpoints.choose(now, std::iter::once(endpoint), &[], ANY, limit).is_some()
    };
    assert!(!choose(1_009, &cold));
    assert!(choose(1_010, &cold));
    assert!(choose(11, &endpoint("a")));
}

/// Requests meant for the previous start may reach the new one before it is known.
#[test]
fn requests_sent_to_the_previous_start_count_for_a_cold_start() {
    let cold = Registration { started_at_ms: 2_000, warmup_ms: 3_000, ..endpoint("a") };
    let limit = ColdLimit { per_second: Some(2.0), routers: 1, router: HostId(1) };
    let mut endpoints = EndpointTracker::default();
    let may_send = |endpoints: &EndpointTracker, now| {
        endpoints.choose(now, std::iter::once(&cold), &[], ANY, limit).is_some()
    };
    endpoints.record_sent(10, "a", 1_000, 0);
    assert!(may_send(&endpoints, 11));
    endpoints.record_sent(12, "a", 2_000, 0);
    assert!(!may_send(&endpoints, 13));
    assert!(may_send(&endpoints, 1_010));
}

#[test]
fn callers_cannot_set_headers_reserved_for_the_gateway() {
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
        headers.insert(name, HeaderValue::from_static("set by the caller"));
    }
    let forwarding = Forwarding {
        remaining_ms: 70,
        endpoint: "e1",
        customer: None,
        copy_from: None,
        after_event: None,
    };
    header_names.write_request(&mut headers, &forwarding);
    let remaining: Vec<_> = headers.iter().map(|(name, value)| (name.as_str(), value)).collect();
    assert_eq!(remaining.len(), 2, "{remaining:?}");
    assert_eq!(headers[&header_names.endpoint], "e1");
    assert_eq!(headers[&header_names.deadline], "70");
}

#[test]
fn a_router_that_chooses_engines_itself_leaves_cold_ones_to_the_placer() {
    let mut cold = endpoint("a");
    cold.warmup_ms = 3_000;
    for router in 0..300 {
        let limit = ColdLimit { per_second: Some(6.1), routers: 63, router: HostId(router) };
        let reserved = limit.reserved_for_placer(true);
        assert!(
            EndpointTracker::default().choose(0, [&cold].into_iter(), &[], ANY, reserved).is_none()
        );
    }
    let without_bound = ANY_COLD.reserved_for_placer(true);
    let choice = EndpointTracker::default().choose(0, [&cold].into_iter(), &[], ANY, without_bound);
    assert!(choice.is_some());
}

#[test]
fn observations_of_an_earlier_start_do_not_apply_to_a_later_one() {
    let restarted = [Registration { started_at_ms: 2_000, ..endpoint("a") }];
    let mut endpoints = EndpointTracker::default();
    endpoints.record_sent(0, "a", 1_000, 500);
    endpoints.record_failure(0, "a", 1_000, Failure::Replaced);
    assert!(endpoints.choose(0, restarted.iter(), &[], ANY, ANY_COLD).is_some());
    endpoints.record_sent(0, "a", 2_000, 500);
    // This request was sent to the earlier start.
    endpoints.record_end("a", 1_000);
    assert_eq!(endpoints.record_failure(1, "a", 1_000, Failure::Replaced), 0);
    let other = [restarted[0].clone(), endpoint("b")];
    assert_eq!(endpoints.choose(1, other.iter(), &[], ANY, ANY_COLD).unwrap().id, "b");
    endpoints.record_end("a", 2_000);
    assert!(endpoints.choose(1, restarted.iter(), &[], ANY, ANY_COLD).is_some());
}
