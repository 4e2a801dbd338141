//! Learned reading rates.

use std::collections::{BTreeMap, HashSet};

use super::*;

/// Tokens that these engines read per millisecond, ten times the rate derived from the fleet's
/// nominal tokens.
const TRUE_RATE: f64 = 50.0;
const ENGINES: usize = 300;
/// Milliseconds to a first event in addition to reading.
const FIRST_EVENT_OVERHEAD_MS: u64 = 55;

/// Many engines under light load: a request every 20 ms, four in a row with the same shared part.
/// Each prompt takes the time given by the true rate. Returns the number of refused requests in the
/// second half.
fn refused(requests: u64) -> usize {
    let mut placer = Placer::new(PlacementRules::default());
    let slow = |number: usize| EngineInfo { rate: TRUE_RATE / 10.0, ..engine(&number.to_string()) };
    placer.set_engines(0, (0..ENGINES).map(slow).collect());
    let mut kept = HashSet::new();
    let mut running: BTreeMap<(u64, u64), ()> = BTreeMap::new();
    let mut refused = 0;
    for seq in 1..=requests {
        let now = seq * 20;
        while let Some(((at, ended), ())) = running.pop_first() {
            if at > now {
                running.insert((at, ended), ());
                break;
            }
            serve(&mut placer, at, ended);
        }
        let shared = seq / 4;
        match place(&mut placer, now, request(seq, "x", shared, 500)) {
            FromPlacer::Go { endpoint, .. } => {
                let tokens = if kept.insert((endpoint, shared)) { 10_500.0 } else { 500.0 };
                let read_ms = (tokens / TRUE_RATE) as u64;
                running.insert((now + read_ms + FIRST_EVENT_OVERHEAD_MS, seq), ());
            }
            _ if seq > requests / 2 => refused += 1,
            _ => {}
        }
    }
    refused
}

#[test]
fn the_learned_rate_applies_to_engines_without_observations() {
    assert_eq!(refused(500), 0);
}
