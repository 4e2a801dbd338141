mod network;
mod replacement;
mod restart;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use proptest::prelude::*;

use super::*;
use crate::config::ServiceId;
use crate::settings::HeartbeatScope;
use crate::wire::{Heartbeat, HeartbeatMessage, HostId, Role};

/// The sender's address, in tests that don't depend on it.
const FROM: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7_999);

fn heartbeat(host: u32, incarnation: u64) -> Heartbeat {
    Heartbeat {
        host: HostId(host),
        incarnation,
        role: Role::Router,
        hall: "a".into(),
        peer: format!("127.0.0.1:{}", 7_000 + host).parse().unwrap(),
        operator: "127.0.0.1:1".parse().unwrap(),
        version: 0,
        draining: false,
        also: None,
    }
}

#[test]
fn a_silent_host_is_suspected_and_comes_back() {
    let mut table = MemberTable::new(heartbeat(1, 1), vec![], HeartbeatScope::All);
    table.on_heartbeat(0, FROM, HeartbeatMessage::Full(heartbeat(2, 1)));
    assert_eq!(table.view(SUSPECT_AFTER_MS - 1).live.len(), 2);
    let view = table.view(SUSPECT_AFTER_MS);
    assert_eq!((view.live.len(), view.suspected.len()), (1, 1));
    table.on_heartbeat(SUSPECT_AFTER_MS, FROM, HeartbeatMessage::Full(heartbeat(2, 1)));
    assert_eq!(table.view(SUSPECT_AFTER_MS).live.len(), 2);
}

#[test]
fn a_late_heartbeat_of_an_earlier_incarnation_is_ignored() {
    let mut table = MemberTable::new(heartbeat(1, 1), vec![], HeartbeatScope::All);
    table.on_heartbeat(0, FROM, HeartbeatMessage::Full(heartbeat(2, 9)));
    table.on_heartbeat(
        5,
        FROM,
        HeartbeatMessage::Full(Heartbeat { draining: true, ..heartbeat(2, 8) }),
    );
    assert!(!table.view(5).get(HostId(2)).unwrap().draining);
}

#[test]
fn a_host_that_restarts_after_its_clock_was_set_back_is_accepted() {
    let mut table = MemberTable::new(heartbeat(1, 1), vec![], HeartbeatScope::All);
    table.on_heartbeat(0, FROM, HeartbeatMessage::Full(heartbeat(2, 9)));
    table.on_heartbeat(SUSPECT_AFTER_MS, FROM, HeartbeatMessage::Full(heartbeat(2, 8)));
    assert_eq!(table.view(SUSPECT_AFTER_MS).get(HostId(2)).unwrap().incarnation, 8);
}

#[test]
fn routers_can_exchange_heartbeats_with_control_hosts_only() {
    let control = |host| Heartbeat { role: Role::Control, ..heartbeat(host, 1) };
    let mut router = MemberTable::new(heartbeat(1, 1), vec![], HeartbeatScope::Control);
    router.on_heartbeat(0, FROM, HeartbeatMessage::Full(heartbeat(2, 1)));
    router.on_heartbeat(0, FROM, HeartbeatMessage::Full(control(3)));
    assert_eq!(router.next_heartbeat().1, [heartbeat(3, 1).peer]);
    let mut other = MemberTable::new(control(3), vec![], HeartbeatScope::Control);
    other.on_heartbeat(0, FROM, HeartbeatMessage::Full(heartbeat(2, 1)));
    other.on_heartbeat(0, FROM, HeartbeatMessage::Full(control(4)));
    assert_eq!(other.next_heartbeat().1, [heartbeat(2, 1).peer, heartbeat(4, 1).peer]);
}

#[test]
fn a_draining_router_does_not_dispatch() {
    let mut table = MemberTable::new(heartbeat(1, 1), vec![], HeartbeatScope::All);
    table.on_heartbeat(0, FROM, HeartbeatMessage::Full(heartbeat(2, 1)));
    let service = ServiceId(0);
    let first = table.view(0).dispatcher(service).unwrap().host;
    let other = HostId(3 - first.0);
    if first == HostId(1) {
        table.set_draining();
    } else {
        table.on_heartbeat(
            1,
            FROM,
            HeartbeatMessage::Full(Heartbeat { draining: true, ..heartbeat(2, 1) }),
        );
    }
    assert_eq!(table.view(1).dispatcher(service).unwrap().host, other);
}

#[test]
fn a_host_that_refused_a_connection_is_avoided_while_its_heartbeats_arrive() {
    let mut table = MemberTable::new(heartbeat(1, 1), vec![], HeartbeatScope::All);
    table.on_heartbeat(0, FROM, HeartbeatMessage::Full(heartbeat(2, 1)));
    table.avoid(0, HostId(2));
    table.on_heartbeat(10, FROM, HeartbeatMessage::Full(heartbeat(2, 1)));
    assert!(table.view(10).get(HostId(2)).is_none());
    table.on_heartbeat(2_000, FROM, HeartbeatMessage::Full(heartbeat(2, 1)));
    assert!(table.view(2_000).get(HostId(2)).is_some());
}

#[test]
fn a_restarted_host_is_not_avoided() {
    let mut table = MemberTable::new(heartbeat(1, 1), vec![], HeartbeatScope::All);
    table.on_heartbeat(0, FROM, HeartbeatMessage::Full(heartbeat(2, 1)));
    table.avoid(0, HostId(2));
    table.on_heartbeat(10, FROM, HeartbeatMessage::Full(heartbeat(2, 2)));
    assert!(table.view(10).get(HostId(2)).is_some());
}

#[test]
fn new_hosts_are_announced_by_other_members() {
    let mut table = MemberTable::new(heartbeat(1, 1), vec![], HeartbeatScope::All);
    let also = Some(heartbeat(3, 1).peer);
    table.on_heartbeat(0, FROM, HeartbeatMessage::Full(Heartbeat { also, ..heartbeat(2, 1) }));
    assert!(table.next_heartbeat().1.contains(&heartbeat(3, 1).peer));
}

fn brief(host: u32, incarnation: u64, version: u64) -> HeartbeatMessage {
    HeartbeatMessage::Brief { host: HostId(host), incarnation, version, draining: false }
}

#[test]
fn brief_heartbeats_keep_a_known_host_live_and_update_its_version() {
    let mut table = MemberTable::new(heartbeat(1, 1), vec![], HeartbeatScope::All);
    table.on_heartbeat(0, FROM, HeartbeatMessage::Full(heartbeat(2, 1)));
    table.on_heartbeat(SUSPECT_AFTER_MS, FROM, brief(2, 1, 7));
    assert_eq!(table.view(SUSPECT_AFTER_MS).get(HostId(2)).unwrap().version, 7);
}

#[test]
fn a_brief_heartbeat_of_an_unknown_host_or_incarnation_is_answered_by_a_request() {
    let mut table = MemberTable::new(heartbeat(1, 1), vec![], HeartbeatScope::All);
    let request = Some((FROM, HeartbeatMessage::RequestFull(heartbeat(1, 1))));
    assert_eq!(table.on_heartbeat(0, FROM, brief(2, 1, 7)), request);
    assert!(table.view(0).get(HostId(2)).is_none());
    table.on_heartbeat(0, FROM, HeartbeatMessage::Full(heartbeat(2, 1)));
    assert_eq!(table.on_heartbeat(0, FROM, brief(2, 1, 0)), None);
    assert_eq!(table.on_heartbeat(0, FROM, brief(2, 2, 7)), request);
    assert_eq!(table.view(0).get(HostId(2)).unwrap().version, 0);
    assert_eq!(table.unknown_heartbeats(), 2);
}

#[test]
fn a_request_for_a_full_heartbeat_is_answered_by_one() {
    let mut table = MemberTable::new(heartbeat(1, 1), vec![], HeartbeatScope::Control);
    let control = Heartbeat { role: Role::Control, ..heartbeat(2, 1) };
    for now in [0, 1] {
        let answer = table.on_heartbeat(now, FROM, HeartbeatMessage::RequestFull(control.clone()));
        assert_eq!(answer, Some((control.peer, table.full_heartbeat())));
    }
    assert!(table.view(1).get(HostId(2)).is_some(), "the request holds a full heartbeat");
}

#[test]
fn the_next_heartbeat_after_a_host_started_is_full() {
    let mut table = MemberTable::new(heartbeat(1, 1), vec![], HeartbeatScope::All);
    table.on_heartbeat(0, FROM, HeartbeatMessage::Full(heartbeat(2, 1)));
    assert!(matches!(table.next_heartbeat().0, HeartbeatMessage::Full(_)));
    while matches!(table.next_heartbeat().0, HeartbeatMessage::Full(_)) {}
    table.on_heartbeat(0, FROM, HeartbeatMessage::Full(heartbeat(2, 2)));
    assert!(
        matches!(table.next_heartbeat().0, HeartbeatMessage::Full(_)),
        "a restarted host needs a full heartbeat"
    );
}

proptest! {
    #![proptest_config(crate::testing::property(128))]

    /// Hosts with the same view agree on every dispatcher, and the loss of a host moves only
    /// the services that it dispatched.
    #[test]
    fn losing_a_host_moves_only_its_services(count in 2u32..20, lost in 0u32..20) {
        let lost = HostId(lost % count);
        let all = View { live: (0..count).map(|h| heartbeat(h, 1)).collect(), suspected: vec![] };
        let remaining = View {
            live: all.live.iter().filter(|m| m.host != lost).cloned().collect(),
            suspected: vec![],
        };
        for service in (0..27).map(ServiceId) {
            let before = all.dispatcher(service).unwrap().host;
            let after = remaining.dispatcher(service).unwrap().host;
            prop_assert!(before == lost || before == after);
        }
    }
}

#[test]
fn a_full_heartbeat_is_answered_once_for_each_start() {
    let mut old = MemberTable::new(heartbeat(1, 1), vec![], HeartbeatScope::All);
    let mut new = MemberTable::new(heartbeat(2, 1), vec![], HeartbeatScope::All);
    assert!(new.is_alone());
    let answer = |to: Heartbeat, from: &MemberTable| Some((to.peer, from.full_heartbeat()));
    assert_eq!(old.on_heartbeat(0, FROM, new.full_heartbeat()), answer(heartbeat(2, 1), &old));
    assert_eq!(new.on_heartbeat(0, FROM, old.full_heartbeat()), answer(heartbeat(1, 1), &new));
    assert!(!new.is_alone());
    // Each table has the other host now, so the exchange ends.
    assert_eq!(old.on_heartbeat(0, FROM, new.full_heartbeat()), None);
    assert_eq!(
        old.on_heartbeat(1, FROM, HeartbeatMessage::Full(heartbeat(2, 2))),
        answer(heartbeat(2, 2), &old)
    );
}

#[test]
fn routers_that_exchange_no_heartbeats_do_not_answer_them() {
    let mut table = MemberTable::new(heartbeat(1, 1), vec![], HeartbeatScope::Control);
    assert_eq!(table.on_heartbeat(0, FROM, HeartbeatMessage::Full(heartbeat(2, 1))), None);
}
