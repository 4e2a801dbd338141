//! Work and results of the placer in fleets of more engines than are all weighed for a request.

use std::collections::{BTreeMap, HashSet};

use super::super::engines::{EngineChanges, EngineUpdate, FleetEngines};
use super::*;
use crate::region::Regions;
use crate::registry::{EndpointState, Origin, Registration, Registry};
use crate::routing::{self, Routing, RoutingTable, ServicePool};

/// Tokens that the engines of these tests read per millisecond.
const RATE: f64 = 50.0;
/// Milliseconds to a first event in addition to reading, and from there to the end.
const FIRST_EVENT_OVERHEAD_MS: u64 = 55;
const STREAM_MS: u64 = 400;

fn large_placer(engines: usize) -> Placer {
    let mut placer = Placer::new(PlacementRules::default());
    placer.set_engines(0, (0..engines).map(|n| engine(&format!("e-{n}"))).collect());
    placer
}

/// What the callers of a load got, and the placer's work for it.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    placed: usize,
    refused: usize,
    /// Engines weighed for one request at most.
    most_weighed: usize,
}

/// Serves `requests` requests, one every `interval_us`, half of them with one of `parts` shared
/// parts. Engines read at the rate that the placer assumes.
fn serve_load(placer: &mut Placer, requests: u64, interval_us: u64, parts: u64) -> Outcome {
    let mut outcome = Outcome::default();
    let mut events: BTreeMap<(u64, u64, bool), ()> = BTreeMap::new();
    let mut reads_until: BTreeMap<String, f64> = BTreeMap::new();
    let mut kept = HashSet::new();
    for seq in 1..=requests {
        let now = seq * interval_us / 1_000;
        while let Some(((at, seq, is_end), ())) = events.pop_first() {
            if at > now {
                events.insert((at, seq, is_end), ());
                break;
            }
            let done = ToPlacer::Done { seq, completion: Completion::Served };
            let message = if is_end { done } else { ToPlacer::FirstEvent { seq } };
            placer.receive(at, ROUTER, message);
        }
        let shared = seq.is_multiple_of(2).then_some(1 + seq * 7 % parts);
        let mut request = request(seq, &format!("c{}", seq % 20), shared.unwrap_or(0), 2_000);
        if shared.is_none() {
            request.parts = vec![];
        }
        let decision = decide(placer, now, request);
        outcome.most_weighed = outcome.most_weighed.max(decision.weighed);
        let FromPlacer::Go { endpoint, .. } = decision.answer else {
            outcome.refused += 1;
            continue;
        };
        outcome.placed += 1;
        let is_kept = shared.is_some_and(|part| !kept.insert((endpoint.clone(), part)));
        let tokens = if is_kept { 2_000.0 } else { 12_000.0 };
        let until = reads_until.entry(endpoint).or_default();
        *until = until.max(now as f64) + tokens * 1.1 / RATE;
        let first = *until as u64 + FIRST_EVENT_OVERHEAD_MS;
        events.insert((first, seq, false), ());
        events.insert((first + STREAM_MS, seq, true), ());
    }
    outcome
}

#[test]
fn engines_weighed_for_a_request_do_not_grow_with_the_fleet() {
    let most_weighed =
        |engines| serve_load(&mut large_placer(engines), 2_000, 500, 200).most_weighed;
    let (small, large) = (most_weighed(2_000), most_weighed(8_000));
    assert!(large <= small + small / 10, "{small} of 2,000 engines, {large} of 8,000");
}

/// The engines get more than they can read.
#[test]
fn callers_are_served_as_well_as_by_weighing_all_engines() {
    let mut weighs_all = large_placer(600);
    weighs_all.set_rules(PlacementRules { weigh_all_up_to: 600, ..PlacementRules::default() });
    let all = serve_load(&mut weighs_all, 6_000, 300, 900);
    let sampled = serve_load(&mut large_placer(600), 6_000, 300, 900);
    assert_eq!(all.most_weighed, 600);
    assert!(sampled.most_weighed < 300, "{sampled:?}");
    assert!(all.refused > 200, "the load is too light to tell: {all:?}");
    assert!(sampled.refused <= all.refused + all.refused / 20, "{all:?}, {sampled:?}");
}

/// Routers that reach no placer choose without a record of each other's requests.
#[test]
fn prompts_without_parts_are_spread_by_placers_that_do_not_see_each_other() {
    let engines = 100;
    let chosen: HashSet<_> = (1..=engines)
        .map(|router| {
            let names: Vec<_> = (0..engines).map(|n| format!("e-{n}")).collect();
            let mut placer = placer(&names.iter().map(String::as_str).collect::<Vec<_>>());
            let request = PlacementRequest { parts: vec![], ..request(1, "x", 0, 500) };
            let message = ToPlacer::Place(request);
            endpoint(placer.receive(0, HostId(router), message).expect("an answer").answer)
        })
        .collect();
    assert!(chosen.len() > engines as usize / 2, "{} of {engines} engines", chosen.len());
}

#[test]
fn an_engine_that_is_gone_is_removed_with_its_last_request() {
    let mut placer = large_placer(600);
    let at = endpoint(place(&mut placer, 0, request(1, "x", 1, 500)));
    placer.update_engines(0, vec![], std::slice::from_ref(&at));
    placer.receive(10, ROUTER, ToPlacer::FirstEvent { seq: 1 });
    let done = ToPlacer::Done { seq: 1, completion: Completion::Served };
    placer.receive(20, ROUTER, done);
    for seq in 2..100 {
        assert_ne!(endpoint(place(&mut placer, 30, request(seq, "x", 1, 500))), at);
    }
}

fn registered(number: usize, state: EndpointState, sequence: u64) -> Registration {
    Registration {
        id: format!("e-{number}"),
        started_at_ms: 1,
        service: "llm".into(),
        version: "v1".into(),
        address: Some("127.0.0.1:9".parse().unwrap()),
        hall: "a".into(),
        slots: 16,
        state,
        warmup_ms: 0,
        sequence,
        revivals: 0,
    }
}

/// What a change of one endpoint costs must not grow with the fleet: changes of a release grow
/// with it already.
#[test]
fn a_change_of_one_engine_describes_only_that_engine() {
    let pool = ServicePool {
        name: "llm".into(),
        health_path: "/".into(),
        max_connections: 100,
        engine: Some(routing::Engine {
            slots: 16,
            memory_tokens: 500_000,
            tokens_per_event: 8,
            copy_ms_per_token: None,
        }),
        cold_per_second: None,
    };
    let table = RoutingTable { version: 1, services: vec![pool], ..RoutingTable::default() };
    let routing = Routing::new(table);
    for engines in [100, 400] {
        let mut registry = Registry::default();
        for number in 0..engines {
            registry.merge(registered(number, EndpointState::Ready, 1), Origin::Direct);
        }
        let mut changes = EngineChanges::default();
        let regions = Regions::default();
        let mut next = |registry: &Registry| {
            changes.next(FleetEngines { routing: &routing, registry, regions: &regions })
        };
        let EngineUpdate::All(all) = next(&registry) else { panic!("nothing was known") };
        assert_eq!(all.len(), engines);
        registry.merge(registered(3, EndpointState::Leaving, 2), Origin::Direct);
        registry.merge(registered(engines, EndpointState::Ready, 1), Origin::Direct);
        let EngineUpdate::Changed { ready, gone } = next(&registry) else { panic!("all again") };
        assert_eq!((ready.len(), gone), (1, vec!["e-3".to_string()]));
        assert_eq!(next(&registry), EngineUpdate::Changed { ready: vec![], gone: vec![] });
    }
}
