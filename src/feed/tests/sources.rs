//! Which control hosts send endpoint updates to which subscribers.

use std::collections::BTreeMap;

use super::super::sources::{Sources, Step};
use crate::registry::Scope;
use crate::wire::{HostId, Role};

const HALLS: [&str; 3] = ["a", "b", "c"];
const LEADER: HostId = HostId(1_000);

fn control(number: u32) -> (HostId, &'static str) {
    (HostId(1_000 + number), HALLS[number as usize % HALLS.len()])
}

/// The sources that a subscriber has chosen after it opened feeds to `controls` control hosts.
fn choose_sources(
    me: u32,
    hall: &str,
    role: Role,
    controls: u32,
) -> (Sources, Vec<(HostId, Scope)>) {
    let mut sources = Sources::new(HostId(me), hall, role);
    let mut subscribed = Vec::new();
    for number in 0..controls {
        let (host, hall) = control(number);
        sources.on_feed_opened(host, hall);
    }
    apply(&mut subscribed, sources.update(Some(LEADER)));
    (sources, subscribed)
}

fn apply(subscribed: &mut Vec<(HostId, Scope)>, steps: Vec<Step>) {
    for step in steps {
        match step {
            Step::Subscribe(host, scope) => {
                subscribed.retain(|(other, _)| *other != host);
                subscribed.push((host, scope));
            }
            Step::Unsubscribe(host) => subscribed.retain(|(other, _)| *other != host),
        }
    }
}

fn hall_of(host: HostId) -> &'static str {
    control(host.0 - 1_000).1
}

#[test]
fn a_router_has_one_source_in_its_hall_and_one_in_another_but_not_the_leader() {
    for me in 0..50 {
        let (_, subscribed) = choose_sources(me, "b", Role::Router, 6);
        assert_eq!(subscribed.len(), 2, "{subscribed:?}");
        assert!(subscribed.iter().all(|(host, scope)| *host != LEADER && *scope == Scope::All));
        let halls: Vec<_> = subscribed.iter().map(|(host, _)| hall_of(*host)).collect();
        assert!(halls.contains(&"b") && halls.iter().any(|hall| *hall != "b"), "{halls:?}");
    }
}

#[test]
fn a_lost_source_is_replaced_at_once() {
    let (mut sources, mut subscribed) = choose_sources(7, "b", Role::Router, 6);
    let lost = subscribed[0].0;
    sources.on_feed_lost(lost);
    apply(&mut subscribed, sources.update(Some(LEADER)));
    subscribed.retain(|(host, _)| *host != lost);
    assert_eq!(subscribed.len(), 2);
}

#[test]
fn the_leader_is_the_source_if_it_is_the_only_control_host() {
    let (_, subscribed) = choose_sources(7, "b", Role::Router, 1);
    assert_eq!(subscribed, [(LEADER, Scope::All)]);
}

#[test]
fn control_hosts_have_two_sources_for_all_and_the_others_for_direct_updates() {
    let (_, subscribed) = choose_sources(1_099, "b", Role::Control, 6);
    assert_eq!(subscribed.len(), 6);
    assert_eq!(subscribed.iter().filter(|(_, scope)| *scope == Scope::All).count(), 2);
}

/// The number of endpoint subscriptions grows with routers, not with routers times control
/// hosts, and no control host has many more of them than another.
#[test]
fn subscriptions_grow_with_routers_and_are_spread() {
    for (routers, controls) in [(30, 6), (60, 6), (300, 6), (300, 12)] {
        let mut subscribers: BTreeMap<HostId, u32> = BTreeMap::new();
        for me in 0..routers {
            let hall = HALLS[me as usize % HALLS.len()];
            for (host, _) in choose_sources(me, hall, Role::Router, controls).1 {
                *subscribers.entry(host).or_default() += 1;
            }
        }
        assert_eq!(subscribers.values().sum::<u32>(), 2 * routers);
        let max = subscribers.values().max().copied().unwrap_or(0);
        let mean = 2 * routers / controls;
        assert!(max <= 3 * mean, "{max} of {routers} at one of {controls}");
    }
}

#[test]
fn sources_are_kept_when_more_feeds_open() {
    let mut sources = Sources::new(HostId(7), "b", Role::Router);
    let mut subscribed = Vec::new();
    for number in 1..=2 {
        let (host, hall) = control(number);
        sources.on_feed_opened(host, hall);
    }
    apply(&mut subscribed, sources.update(None));
    for number in 3..=12 {
        let (host, hall) = control(number);
        sources.on_feed_opened(host, hall);
        assert_eq!(
            sources.update(Some(control(1).0)),
            [],
            "a new source would send everything again"
        );
    }
    assert_eq!(subscribed.len(), 2);
}

/// Routers that hand connections over ask a control host every two seconds.
#[test]
fn requests_that_any_control_host_answers_are_spread_and_spare_the_leader() {
    for (routers, controls) in [(60, 6), (240, 12)] {
        let mut asked: BTreeMap<HostId, u32> = BTreeMap::new();
        for me in 0..routers {
            let hall = HALLS[me as usize % HALLS.len()];
            let (sources, _) = choose_sources(me, hall, Role::Router, controls);
            *asked.entry(sources.any(Some(LEADER)).unwrap()).or_default() += 1;
        }
        assert_eq!(asked.get(&LEADER), None);
        let max = asked.values().max().copied().unwrap_or(0);
        assert!(max <= 3 * routers / controls, "{max} of {routers} at one of {controls}");
    }
    let (sources, _) = choose_sources(7, "b", Role::Router, 1);
    assert_eq!(sources.any(Some(LEADER)), Some(LEADER));
}
