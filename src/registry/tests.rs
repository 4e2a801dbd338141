use proptest::prelude::*;

use super::*;

fn said(id: &str, sequence: u64, state: EndpointState) -> Registration {
    Registration {
        id: id.into(),
        service: "llm".into(),
        address: Some(([127, 0, 0, 1], 8_000).into()),
        hall: "a".into(),
        slots: 64,
        state,
        warmup_ms: 0,
        sequence,
    }
}

#[test]
fn a_late_heartbeat_does_not_bring_a_leaving_endpoint_back() {
    let mut registry = Registry::default();
    assert!(registry.merge(said("e", 3, EndpointState::Ready)).is_some());
    assert!(registry.merge(said("e", 5, EndpointState::Leaving)).is_some());
    assert!(registry.merge(said("e", 4, EndpointState::Ready)).is_none());
    assert!(registry.merge(said("e", 9, EndpointState::Ready)).is_none());
    assert_eq!(registry.ready("llm").count(), 0);
}

#[test]
fn an_endpoint_that_is_gone_never_returns() {
    let mut registry = Registry::default();
    registry.merge(Registration::gone("e"));
    assert!(registry.merge(said("e", 9, EndpointState::Ready)).is_none());
    assert_eq!(registry.get("e").unwrap().state, EndpointState::Gone);
}

#[test]
fn heartbeats_that_change_nothing_are_not_passed_on() {
    let mut registry = Registry::default();
    registry.merge(said("e", 1, EndpointState::Ready));
    assert!(registry.merge(said("e", 2, EndpointState::Ready)).is_none());
    let moved = Registration { slots: 32, ..said("e", 3, EndpointState::Ready) };
    assert_eq!(registry.merge(moved).unwrap().slots, 32);
}

fn any_registration() -> impl Strategy<Value = Registration> {
    let state = prop_oneof![
        Just(EndpointState::Ready),
        Just(EndpointState::Leaving),
        Just(EndpointState::Gone)
    ];
    (0u8..3, 1u64..20, state).prop_map(|(id, sequence, state)| {
        let slots = sequence as u32;
        Registration { slots, ..said(&id.to_string(), sequence, state) }
    })
}

proptest! {
    #![proptest_config(crate::testing::property(128))]

    /// Two processes that heard the same, in any order, agree on who takes work.
    #[test]
    fn the_order_of_news_does_not_matter(
        (news, shuffled) in proptest::collection::vec(any_registration(), 0..20)
            .prop_flat_map(|v| (Just(v.clone()), Just(v).prop_shuffle())),
    ) {
        let learn = |news: Vec<Registration>| {
            let mut registry = Registry::default();
            for said in news {
                registry.merge(said);
            }
            let state = |r: &Registration| (r.id.clone(), r.state);
            registry.all().map(state).collect::<Vec<_>>()
        };
        prop_assert_eq!(learn(news), learn(shuffled));
    }
}

#[test]
fn what_is_remembered_counts_until_it_speaks_or_is_forgotten() {
    let mut registry = Registry::default();
    registry.merge(said("left", 3, EndpointState::Leaving));
    let remembered = ["left", "quiet", "back", "leaving"];
    registry.remember(remembered.map(|id| said(id, 2, EndpointState::Ready)).into());
    assert_eq!(registry.ready("llm").count(), 3, "one had said that it leaves");
    assert!(registry.merge(said("back", 3, EndpointState::Ready)).is_some());
    assert!(registry.merge(said("leaving", 3, EndpointState::Leaving)).is_some());
    assert_eq!(registry.ready("llm").count(), 2);
    assert_eq!(registry.get("quiet").unwrap().sequence, 2);
    assert_eq!(registry.forget_remembered(), 1);
    let ready: Vec<_> = registry.ready("llm").map(|r| r.id.as_str()).collect();
    assert_eq!(ready, ["back"]);
}

#[test]
fn saved_endpoints_are_found_again_and_damage_is_passed_over() {
    let folder = tempfile::tempdir().unwrap();
    assert!(saved::load(folder.path()).is_empty());
    let endpoints = vec![said("a", 2, EndpointState::Ready), said("b", 7, EndpointState::Ready)];
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
