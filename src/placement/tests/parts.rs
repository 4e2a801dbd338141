//! Tests the index of prompt parts against a simple model of each engine's cache.

use proptest::prelude::*;

use super::super::parts::{Matches, PartIndex};

const ENGINES: usize = 3;
const CAPACITY: u64 = 50;

/// One engine's parts, most recently used last: id, tokens, whether it was read.
type SimpleCache = Vec<(u64, u32, bool)>;

fn touch(cache: &mut SimpleCache, parts: &[(u64, u32)]) {
    for (id, tokens) in parts.iter().rev() {
        let read = cache.iter().any(|kept| kept.0 == *id && kept.2);
        cache.retain(|kept| kept.0 != *id);
        cache.push((*id, *tokens, read));
    }
    while cache.iter().map(|kept| u64::from(kept.1)).sum::<u64>() > CAPACITY {
        cache.remove(0);
    }
}

fn leading(cache: &SimpleCache, parts: &[(u64, u32)], read: bool) -> u32 {
    let keeps = |id: u64| cache.iter().any(|kept| kept.0 == id && (kept.2 || !read));
    parts.iter().take_while(|(id, _)| keeps(*id)).map(|(_, tokens)| *tokens).sum()
}

#[derive(Clone, Debug)]
enum Step {
    Touch(usize, Vec<u64>),
    Read(usize, Vec<u64>),
    Remove(usize),
}

fn prompt() -> impl Strategy<Value = Vec<u64>> {
    proptest::collection::vec(0u64..8, 1..4)
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..ENGINES, prompt()).prop_map(|(engine, parts)| Step::Touch(engine, parts)),
        3 => (0..ENGINES, prompt()).prop_map(|(engine, parts)| Step::Read(engine, parts)),
        1 => (0..ENGINES).prop_map(Step::Remove),
    ]
}

/// Parts with their tokens, without duplicates.
fn with_tokens(ids: &[u64]) -> Vec<(u64, u32)> {
    let mut parts: Vec<(u64, u32)> = Vec::new();
    for id in ids {
        if parts.iter().all(|(known, _)| known != id) {
            parts.push((*id, 5 + *id as u32));
        }
    }
    parts
}

proptest! {
    #![proptest_config(crate::testing::property(128))]

    #[test]
    fn the_index_finds_what_each_engine_keeps(
        steps in proptest::collection::vec(step(), 0..60),
        asked in prompt(),
    ) {
        let mut index = PartIndex::default();
        let mut caches: [SimpleCache; ENGINES] = Default::default();
        for step in steps {
            match step {
                Step::Touch(engine, ids) => {
                    let parts = with_tokens(&ids);
                    index.touch(engine, &parts, CAPACITY);
                    touch(&mut caches[engine], &parts);
                }
                Step::Read(engine, ids) => {
                    index.set_read(engine, &with_tokens(&ids));
                    for kept in caches[engine].iter_mut().filter(|kept| ids.contains(&kept.0)) {
                        kept.2 = true;
                    }
                }
                Step::Remove(engine) => {
                    index.remove_engine(engine);
                    caches[engine].clear();
                }
            }
        }
        let parts = with_tokens(&asked);
        let mut found = Matches::default();
        // What an earlier lookup has found does not count.
        index.find(&with_tokens(&[0, 1]), 0, &mut found);
        index.find(&parts, 0, &mut found);
        for (engine, cache) in caches.iter().enumerate() {
            prop_assert_eq!(found.at(engine).kept, leading(cache, &parts, false));
            prop_assert_eq!(found.at(engine).read, leading(cache, &parts, true));
            prop_assert_eq!(index.kept(engine, &parts), leading(cache, &parts, false));
        }
    }
}
