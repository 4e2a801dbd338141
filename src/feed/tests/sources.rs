//! Who tells whom of endpoints.

use std::collections::BTreeMap;

use super::super::sources::{Sources, Step};
use crate::registry::Scope;
use crate::wire::{HostId, Role};

const HALLS: [&str; 3] = ["a", "b", "c"];
const LEADER: HostId = HostId(1_000);

fn control(number: u32) -> (HostId, &'static str) {
    (HostId(1_000 + number), HALLS[number as usize % HALLS.len()])
}

/// The control hosts that a subscriber has asked after these feeds were opened.
fn asked(me: u32, hall: &str, role: Role, controls: u32) -> (Sources, Vec<(HostId, Scope)>) {
    let mut sources = Sources::new(HostId(me), hall, role);
    let mut asked = Vec::new();
    for number in 0..controls {
        let (host, hall) = control(number);
        sources.opened(host, hall);
    }
    take(&mut asked, sources.settle(Some(LEADER)));
    (sources, asked)
}

fn take(asked: &mut Vec<(HostId, Scope)>, steps: Vec<Step>) {
    for step in steps {
        match step {
            Step::Ask(host, scope) => {
                asked.retain(|(other, _)| *other != host);
                asked.push((host, scope));
            }
            Step::Leave(host) => asked.retain(|(other, _)| *other != host),
        }
    }
}

fn hall_of(host: HostId) -> &'static str {
    control(host.0 - 1_000).1
}

#[test]
fn a_router_is_told_by_one_host_of_its_hall_and_one_of_another_and_not_by_the_leader() {
    for me in 0..50 {
        let (_, asked) = asked(me, "b", Role::Router, 6);
        assert_eq!(asked.len(), 2, "{asked:?}");
        assert!(asked.iter().all(|(host, scope)| *host != LEADER && *scope == Scope::All));
        let halls: Vec<_> = asked.iter().map(|(host, _)| hall_of(*host)).collect();
        assert!(halls.contains(&"b") && halls.iter().any(|hall| *hall != "b"), "{halls:?}");
    }
}

#[test]
fn a_host_that_is_lost_is_replaced_at_once() {
    let (mut sources, mut asked) = asked(7, "b", Role::Router, 6);
    let lost = asked[0].0;
    sources.lost(lost);
    take(&mut asked, sources.settle(Some(LEADER)));
    asked.retain(|(host, _)| *host != lost);
    assert_eq!(asked.len(), 2);
}

#[test]
fn who_reaches_the_leader_alone_asks_the_leader() {
    let (_, asked) = asked(7, "b", Role::Router, 1);
    assert_eq!(asked, [(LEADER, Scope::All)]);
}

#[test]
fn control_hosts_are_told_all_by_two_and_by_the_others_what_these_heard_themselves() {
    let (_, asked) = asked(1_099, "b", Role::Control, 6);
    assert_eq!(asked.len(), 6);
    assert_eq!(asked.iter().filter(|(_, scope)| *scope == Scope::All).count(), 2);
}

/// What control hosts tell of endpoints grows with routers, not with routers times
/// control hosts, and no host has much more of it than another.
#[test]
fn messages_grow_with_routers_and_are_spread() {
    for (routers, controls) in [(30, 6), (60, 6), (300, 6), (300, 12)] {
        let mut told: BTreeMap<HostId, u32> = BTreeMap::new();
        for me in 0..routers {
            let hall = HALLS[me as usize % HALLS.len()];
            for (host, _) in asked(me, hall, Role::Router, controls).1 {
                *told.entry(host).or_default() += 1;
            }
        }
        assert_eq!(told.values().sum::<u32>(), 2 * routers);
        let most = told.values().max().copied().unwrap_or(0);
        let mean = 2 * routers / controls;
        assert!(most <= 3 * mean, "{most} of {routers} at one of {controls}");
    }
}

#[test]
fn who_was_asked_stays_when_more_feeds_open() {
    let mut sources = Sources::new(HostId(7), "b", Role::Router);
    let mut asked = Vec::new();
    for number in 1..=2 {
        let (host, hall) = control(number);
        sources.opened(host, hall);
    }
    take(&mut asked, sources.settle(None));
    for number in 3..=12 {
        let (host, hall) = control(number);
        sources.opened(host, hall);
        assert_eq!(sources.settle(Some(control(1).0)), [], "a new one tells all again");
    }
    assert_eq!(asked.len(), 2);
}
