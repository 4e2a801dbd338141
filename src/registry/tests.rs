mod halls;
mod late;
mod leaving;
mod starts;

use std::collections::BTreeSet;

use proptest::prelude::*;

use super::Origin::{Direct, Relayed};
use super::*;

fn registration(id: &str, sequence: u64, state: EndpointState) -> Registration {
    Registration {
        id: id.into(),
        started_at_ms: 0,
        service: "llm".into(),
        version: "v1".into(),
        address: Some(([127, 0, 0, 1], 8_000).into()),
        hall: "a".into(),
        slots: 64,
        state,
        warmup_ms: 0,
        sequence,
        revivals: 0,
    }
}

#[test]
fn a_late_heartbeat_does_not_bring_a_leaving_endpoint_back() {
    let mut registry = Registry::default();
    assert!(registry.merge(registration("e", 3, EndpointState::Ready), Direct).is_some());
    assert!(registry.merge(registration("e", 5, EndpointState::Leaving), Direct).is_some());
    assert!(registry.merge(registration("e", 4, EndpointState::Ready), Direct).is_none());
    assert!(registry.merge(registration("e", 9, EndpointState::Ready), Direct).is_none());
    assert_eq!(registry.ready("llm").count(), 0);
}

#[test]
fn an_endpoint_that_is_gone_never_returns() {
    let mut registry = Registry::default();
    registry.merge(Registration::gone("e"), Direct);
    assert!(registry.merge(registration("e", 9, EndpointState::Ready), Direct).is_none());
    assert_eq!(registry.get("e").unwrap().state, EndpointState::Gone);
}

#[test]
fn heartbeats_that_change_nothing_are_not_relayed() {
    let mut registry = Registry::default();
    registry.merge(registration("e", 1, EndpointState::Ready), Direct);
    assert!(registry.merge(registration("e", 2, EndpointState::Ready), Direct).is_none());
    let resized = Registration { slots: 32, ..registration("e", 3, EndpointState::Ready) };
    assert_eq!(registry.merge(resized, Direct).unwrap().slots, 32);
}

#[test]
fn another_release_or_data_hall_of_an_endpoint_is_relayed() {
    let mut registry = Registry::default();
    registry.merge(registration("e", 1, EndpointState::Ready), Direct);
    let released =
        Registration { version: "v2".into(), ..registration("e", 2, EndpointState::Ready) };
    assert_eq!(registry.merge(released.clone(), Direct), Some(released.clone()));
    let moved = Registration { hall: "b".into(), sequence: 3, ..released };
    assert_eq!(registry.merge(moved.clone(), Direct), Some(moved));
}

fn any_registration() -> impl Strategy<Value = Registration> {
    let state = prop_oneof![
        Just(EndpointState::Ready),
        Just(EndpointState::Leaving),
        Just(EndpointState::Gone)
    ];
    (0u8..3, 0u64..4, 1u64..20, state).prop_map(|(id, started_at_ms, sequence, state)| {
        let slots = (started_at_ms * 100 + sequence) as u32;
        Registration { slots, started_at_ms, ..registration(&id.to_string(), sequence, state) }
    })
}

proptest! {
    #![proptest_config(crate::testing::property(128))]

    /// Two processes that received the same updates, in any order, agree on which endpoints
    /// accept requests, and on the last update of those that have not ended.
    #[test]
    fn the_order_of_updates_does_not_matter(
        (updates, shuffled) in proptest::collection::vec(any_registration(), 0..20)
            .prop_flat_map(|v| (Just(v.clone()), Just(v).prop_shuffle())),
    ) {
        let merge_all = |updates: Vec<Registration>| {
            let mut registry = Registry::default();
            for update in updates {
                registry.merge(update, Direct);
            }
            let slots = |r: &Registration| (r.state != EndpointState::Gone).then_some(r.slots);
            let state = |r: &Registration| (r.id.clone(), r.started_at_ms, r.state, slots(r));
            registry.all().map(state).collect::<Vec<_>>()
        };
        prop_assert_eq!(merge_all(updates), merge_all(shuffled));
    }
}

#[test]
fn remembered_endpoints_count_until_they_register_or_are_removed() {
    let mut registry = Registry::default();
    registry.merge(registration("left", 3, EndpointState::Leaving), Direct);
    let remembered = ["left", "quiet", "back", "leaving"];
    registry.remember(remembered.map(|id| registration(id, 2, EndpointState::Ready)).into());
    assert_eq!(registry.ready("llm").count(), 3, "one had reported that it is leaving");
    assert!(registry.merge(registration("back", 3, EndpointState::Ready), Direct).is_some());
    assert!(registry.merge(registration("leaving", 3, EndpointState::Leaving), Direct).is_some());
    assert_eq!(registry.ready("llm").count(), 2);
    assert_eq!(registry.get("quiet").unwrap().sequence, 2);
    assert_eq!(registry.forget_remembered(), 1);
    let ready: Vec<_> = registry.ready("llm").map(|r| r.id.as_str()).collect();
    assert_eq!(ready, ["back"]);
}

#[test]
fn saved_endpoints_are_loaded_again_and_damaged_files_are_ignored() {
    let folder = tempfile::tempdir().unwrap();
    assert!(saved::load(folder.path()).is_empty());
    let endpoints = vec![
        registration("a", 2, EndpointState::Ready),
        registration("b", 7, EndpointState::Ready),
    ];
    saved::save(folder.path(), &endpoints[..1]).unwrap();
    saved::save(folder.path(), &endpoints).unwrap();
    assert_eq!(saved::load(folder.path()), endpoints);
    let path = folder.path().join("endpoints");
    let mut bytes = std::fs::read(&path).unwrap();
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    std::fs::write(&path, &bytes).unwrap();
    assert!(saved::load(folder.path()).is_empty());
    std::fs::write(&path, &bytes[..last / 2]).unwrap();
    assert!(saved::load(folder.path()).is_empty());
}

#[test]
fn saved_endpoints_without_a_format_are_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let endpoints = vec![registration("a", 2, EndpointState::Ready)];
    let unformatted = crate::store::checksummed::encode(&endpoints).unwrap();
    std::fs::write(folder.path().join("endpoints"), unformatted).unwrap();
    assert!(saved::load(folder.path()).is_empty());
}

fn drained(halls: &[&str]) -> DrainedHalls {
    let mut drained = DrainedHalls::default();
    halls.iter().for_each(|hall| drained.drain(hall));
    drained
}

#[test]
fn endpoints_of_a_drained_hall_get_no_new_requests() {
    let mut registry = Registry::default();
    registry.merge(registration("a1", 1, EndpointState::Ready), Direct);
    registry.merge(
        Registration { hall: "b".into(), ..registration("b1", 1, EndpointState::Ready) },
        Direct,
    );
    assert!(registry.adopt_drained(drained(&["a"])));
    let ready: Vec<_> = registry.ready("llm").map(|r| r.id.as_str()).collect();
    assert_eq!(ready, ["b1"]);
    assert!(registry.get_ready("a1").is_none());
    assert!(registry.get("a1").is_some(), "running requests finish there");
    registry.merge(registration("a2", 1, EndpointState::Ready), Direct);
    assert!(registry.get_ready("a2").is_none(), "endpoints that register later get none either");
}

#[test]
fn an_older_revision_of_drained_halls_changes_nothing() {
    let mut registry = Registry::default();
    let mut newer = drained(&["a", "b"]);
    newer.restore("b");
    assert!(registry.adopt_drained(newer));
    assert!(!registry.adopt_drained(drained(&["a", "b"])));
    assert!(!registry.drained().contains("b"));
}

#[test]
fn a_repeated_order_changes_nothing() {
    let mut halls = drained(&["a"]);
    let once = halls.clone();
    halls.drain("a");
    halls.restore("b");
    assert_eq!(halls, once);
}

#[test]
fn endpoints_of_a_restored_hall_count_as_cold_until_they_report_twice_that_they_are_warm() {
    let mut registry = Registry::default();
    registry.merge(registration("e", 7, EndpointState::Ready), Direct);
    let mut halls = drained(&["a"]);
    registry.adopt_drained(halls.clone());
    halls.restore("a");
    registry.adopt_drained(halls);
    assert!(registry.get("e").unwrap().warmup_ms > 0);
    // The first heartbeat may have been sent before it turned cold.
    registry.merge(registration("e", 8, EndpointState::Ready), Direct);
    assert!(registry.get("e").unwrap().warmup_ms > 0);
    assert!(
        registry.merge(registration("e", 9, EndpointState::Ready), Direct).is_some(),
        "the change is sent to others"
    );
    assert_eq!(registry.get("e").unwrap().warmup_ms, 0);
}

#[test]
fn an_endpoint_that_turns_cold_again_is_a_change() {
    let mut registry = Registry::default();
    let cold = |sequence, warmup_ms| Registration {
        warmup_ms,
        ..registration("e", sequence, EndpointState::Ready)
    };
    registry.merge(cold(1, 900), Direct);
    assert!(registry.merge(cold(2, 300), Direct).is_none());
    assert!(registry.merge(cold(3, 3_000), Direct).is_some(), "it restarted");
    assert!(registry.merge(cold(4, 0), Direct).is_some());
}

/// A listener that reads in small parts ends with the current state, however far it was
/// behind, and reads an endpoint that changed many times only once.
#[test]
fn changes_are_read_in_parts_and_each_endpoint_once() {
    let mut registry = Registry::default();
    for round in 1..=100 {
        for id in 0..50 {
            let slots = round as u32;
            let state = EndpointState::Ready;
            registry.merge(
                Registration { slots, ..registration(&id.to_string(), round, state) },
                Direct,
            );
        }
    }
    assert_eq!(registry.last_change(), 5_000);
    let mut last_read = 0;
    let mut read = Vec::new();
    while last_read < registry.last_change() {
        let changes = registry.changes_after(last_read, 7, Scope::All);
        assert!(changes.endpoints.len() <= 7);
        last_read = changes.upto;
        read.extend(changes.endpoints);
    }
    assert_eq!(read.len(), 50);
    assert!(read.iter().all(|endpoint| endpoint.slots == 100));
    assert!(registry.changes_after(last_read, 7, Scope::All).endpoints.is_empty());
}

#[test]
fn listeners_for_direct_changes_do_not_receive_relayed_ones() {
    let mut registry = Registry::default();
    registry.merge(registration("here", 1, EndpointState::Ready), Direct);
    registry.merge(registration("elsewhere", 1, EndpointState::Ready), Relayed);
    let ids = |registry: &Registry, scope| {
        let changes = registry.changes_after(0, 10, scope);
        assert_eq!(changes.upto, registry.last_change());
        changes.endpoints.into_iter().map(|e| e.id).collect::<Vec<_>>()
    };
    assert_eq!(ids(&registry, Scope::All), ["here", "elsewhere"]);
    assert_eq!(ids(&registry, Scope::Direct), ["here"]);
    // Its next heartbeat comes directly.
    registry.merge(registration("elsewhere", 2, EndpointState::Leaving), Direct);
    assert_eq!(ids(&registry, Scope::Direct), ["here", "elsewhere"]);
}

fn registration_of_release(id: &str, version: &str, started_at_ms: u64) -> Registration {
    Registration {
        version: version.into(),
        started_at_ms,
        ..registration(id, 1, EndpointState::Ready)
    }
}

/// A rollout of `llm` that ended at 1,000 ms.
fn retirement(releases: RetiredReleases<'_>, seen_in_progress: bool) -> Retirement<'_> {
    Retirement { service: "llm", releases, at_ms: 1_000, seen_in_progress }
}

fn ready_ids(registry: &Registry) -> Vec<&str> {
    let ready = registry.ready("llm").map(|endpoint| endpoint.id.as_str());
    // Their order is that of hashes.
    ready.collect::<BTreeSet<_>>().into_iter().collect()
}

#[test]
fn endpoints_of_other_releases_are_retired_and_later_ones_are_not() {
    let mut registry = Registry::default();
    for endpoint in
        [registration_of_release("old", "v1", 100), registration_of_release("new", "v2", 900)]
    {
        registry.merge(endpoint, Direct);
    }
    let other = Registration { service: "app".into(), ..registration_of_release("app", "v1", 100) };
    registry.merge(other, Direct);
    let before = registry.last_change();
    assert_eq!(registry.retire(retirement(RetiredReleases::AllBut("v2"), true)), 1);
    assert_eq!(registry.changes_after(before, 9, Scope::All).endpoints[0].id, "old");
    // A heartbeat that was in flight does not bring it back.
    registry
        .merge(Registration { sequence: 9, ..registration_of_release("old", "v1", 100) }, Direct);
    // The next release is deployed later.
    registry.merge(registration_of_release("next", "v3", 1_500), Direct);
    assert_eq!(ready_ids(&registry), ["new", "next"]);
    assert_eq!(registry.ready("app").count(), 1);
}

/// A host that was down reads the end of a rollout from its log after the endpoints have
/// registered.
#[test]
fn endpoints_that_started_after_the_end_are_not_retired_by_a_host_that_learns_of_it_late() {
    let mut registry = Registry::default();
    registry.remember(vec![
        registration_of_release("a", "v1", 100),
        registration_of_release("b", "v3", 1_500),
    ]);
    for endpoint in
        [registration_of_release("next", "v3", 1_500), registration_of_release("silent", "v3", 0)]
    {
        registry.merge(endpoint, Direct);
    }
    assert_eq!(registry.retire(retirement(RetiredReleases::AllBut("v2"), false)), 1);
    assert_eq!(ready_ids(&registry), ["b", "next", "silent"]);
}

/// The next rollout is of another release; endpoints of the bad one may still be running.
#[test]
fn endpoints_of_a_release_that_was_rolled_back_get_no_requests_until_they_restart() {
    let mut registry = Registry::default();
    for endpoint in
        [registration_of_release("old", "v1", 100), registration_of_release("bad", "v2", 900)]
    {
        registry.merge(endpoint, Direct);
    }
    assert_eq!(registry.retire(retirement(RetiredReleases::Only("v2"), true)), 1);
    registry
        .merge(Registration { sequence: 9, ..registration_of_release("bad", "v2", 900) }, Direct);
    assert_eq!(ready_ids(&registry), ["old"]);
    assert_eq!(registry.get("bad").unwrap().state, EndpointState::Leaving);
    // It accepts requests again after a restart.
    registry.merge(registration_of_release("bad", "v2", 2_000), Direct);
    assert_eq!(ready_ids(&registry), ["bad", "old"]);
}

/// A release replaces all endpoints within seconds, and heartbeats of those that have ended may
/// arrive seconds late.
#[test]
fn no_endpoint_returns_after_all_of_a_large_fleet_were_replaced() {
    let mut registry = Registry::default();
    let endpoints = 6_000;
    for number in 0..endpoints {
        registry.merge(registration(&format!("old-{number}"), 1, EndpointState::Ready), Direct);
    }
    for number in 0..endpoints {
        registry.merge(registration(&format!("new-{number}"), 1, EndpointState::Ready), Direct);
        registry.merge(registration(&format!("old-{number}"), 2, EndpointState::Gone), Direct);
    }
    registry.merge(registration("old-0", 3, EndpointState::Ready), Direct);
    assert_eq!(registry.ready_count("llm"), endpoints);
}

/// The list by service is kept through all changes of endpoints.
#[test]
fn the_ready_endpoints_of_a_service_are_those_of_all_that_are_ready() {
    let mut registry = Registry::default();
    let states = [EndpointState::Ready, EndpointState::Leaving, EndpointState::Gone];
    for step in 0..500_u64 {
        let id = format!("e-{}", step * 7 % 40);
        let state = states[(step * 5 % 11) as usize % states.len()];
        let service = if step % 6 == 0 { "app" } else { "llm" };
        let started_at_ms = step / 40;
        let update = registration(&id, step, state);
        let update = Registration { service: service.into(), started_at_ms, ..update };
        registry.merge(update, if step % 3 == 0 { Relayed } else { Direct });
        for service in ["app", "llm"] {
            let is_ready =
                |r: &&Registration| r.service == service && registry.get_ready(&r.id).is_some();
            let mut all: Vec<_> = registry.all().filter(is_ready).collect();
            all.sort_by_key(|r| (crate::eligibility::order_of(&r.id), &r.id));
            let mut from: Vec<_> = registry.ready(service).collect();
            assert_eq!(from, all);
            assert_eq!(registry.ready_count(service), all.len());
            from.rotate_left(all.len() / 2);
            let start = from.first().map_or(0, |r| crate::eligibility::order_of(&r.id));
            assert_eq!(registry.ready_from(service, start).collect::<Vec<_>>(), from);
        }
    }
}
