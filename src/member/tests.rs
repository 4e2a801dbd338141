use proptest::prelude::*;

use super::*;
use crate::config::ServiceId;
use crate::wire::{Heartbeat, HostId, Role};

fn beat(host: u16, incarnation: u64) -> Heartbeat {
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
    let mut table = Table::new(beat(1, 1), vec![]);
    table.heard(0, beat(2, 1));
    assert_eq!(table.view(SUSPECT_MS - 1).live.len(), 2);
    let view = table.view(SUSPECT_MS);
    assert_eq!((view.live.len(), view.suspected.len()), (1, 1));
    table.heard(SUSPECT_MS, beat(2, 1));
    assert_eq!(table.view(SUSPECT_MS).live.len(), 2);
}

#[test]
fn a_late_heartbeat_of_an_earlier_incarnation_is_ignored() {
    let mut table = Table::new(beat(1, 1), vec![]);
    table.heard(0, beat(2, 9));
    table.heard(5, Heartbeat { draining: true, ..beat(2, 8) });
    assert!(!table.view(5).get(HostId(2)).unwrap().draining);
}

#[test]
fn a_draining_router_does_not_dispatch() {
    let mut table = Table::new(beat(1, 1), vec![]);
    table.heard(0, beat(2, 1));
    let service = ServiceId(0);
    let first = table.view(0).dispatcher(service).unwrap().host;
    let other = HostId(3 - first.0);
    if first == HostId(1) {
        table.set_draining();
    } else {
        table.heard(1, Heartbeat { draining: true, ..beat(2, 1) });
    }
    assert_eq!(table.view(1).dispatcher(service).unwrap().host, other);
}

#[test]
fn a_host_that_refused_a_connection_is_avoided_though_it_beats() {
    let mut table = Table::new(beat(1, 1), vec![]);
    table.heard(0, beat(2, 1));
    table.avoid(0, HostId(2));
    table.heard(10, beat(2, 1));
    assert!(table.view(10).get(HostId(2)).is_none());
    table.heard(2_000, beat(2, 1));
    assert!(table.view(2_000).get(HostId(2)).is_some());
}

#[test]
fn a_restarted_host_is_not_avoided() {
    let mut table = Table::new(beat(1, 1), vec![]);
    table.heard(0, beat(2, 1));
    table.avoid(0, HostId(2));
    table.heard(10, beat(2, 2));
    assert!(table.view(10).get(HostId(2)).is_some());
}

#[test]
fn newcomers_spread_through_other_members() {
    let mut table = Table::new(beat(1, 1), vec![]);
    let also = Some(beat(3, 1).peer);
    table.heard(0, Heartbeat { also, ..beat(2, 1) });
    assert!(table.beat().1.contains(&beat(3, 1).peer));
}

proptest! {
    /// Hosts that see the same members agree on every dispatcher, and the loss
    /// of a host moves only the services that it dispatched.
    #[test]
    fn losing_a_host_moves_only_its_services(count in 2u16..20, lost in 0u16..20) {
        let lost = HostId(lost % count);
        let all = View { live: (0..count).map(|h| beat(h, 1)).collect(), suspected: vec![] };
        let rest = View {
            live: all.live.iter().filter(|m| m.host != lost).cloned().collect(),
            suspected: vec![],
        };
        for service in (0..27).map(ServiceId) {
            let before = all.dispatcher(service).unwrap().host;
            let after = rest.dispatcher(service).unwrap().host;
            prop_assert!(before == lost || before == after);
        }
    }
}
