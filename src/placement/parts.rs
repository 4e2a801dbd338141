//! Index of the prompt parts that engines keep: by engine in order of last use, and by part, so
//! that a lookup does not visit every engine.

use std::collections::{BTreeMap, HashMap};

/// An engine's number at its placer.
pub type EngineNumber = usize;

/// Engines that are looked up for each part of a prompt. A part that every prompt of a kind begins
/// with is kept by as many engines as run that kind.
pub const MAX_HOLDERS: usize = 512;

/// How much of one prompt an engine keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Match {
    /// Tokens of the leading parts that it keeps, including parts that it is about to read.
    pub kept: u32,
    /// Tokens of the leading parts that it has read, so that other engines can copy them.
    pub read: u32,
    kept_parts: usize,
    read_parts: usize,
    is_listed: bool,
}

/// How much of the prompt looked up last the engines keep.
#[derive(Clone, Debug, Default)]
pub struct Matches {
    /// By engine number.
    found: Vec<Match>,
    /// The engines that keep some of it, or whose entry in `found` may differ from the default.
    engines: Vec<EngineNumber>,
}

impl Matches {
    /// The engines that keep some of the prompt.
    pub fn engines(&self) -> &[EngineNumber] {
        &self.engines
    }

    /// What one engine keeps.
    pub fn at(&self, engine: EngineNumber) -> Match {
        self.found.get(engine).copied().unwrap_or_default()
    }

    fn clear(&mut self) {
        for engine in self.engines.drain(..) {
            self.found[engine] = Match::default();
        }
    }

    fn entry(&mut self, engine: EngineNumber) -> &mut Match {
        if self.found.len() <= engine {
            self.found.resize(engine + 1, Match::default());
        }
        &mut self.found[engine]
    }

    /// Adds an engine, which may be known.
    fn add(&mut self, engine: EngineNumber) {
        let found = self.entry(engine);
        if !std::mem::replace(&mut found.is_listed, true) {
            self.engines.push(engine);
        }
    }

    /// Counts a part that a listed engine keeps, the one after `before` other parts.
    fn count(&mut self, holder: Holder, before: usize, tokens: u32) {
        let found = self.entry(holder.engine);
        if found.kept_parts == before {
            found.kept_parts += 1;
            found.kept += tokens;
        }
        if holder.read && found.read_parts == before {
            found.read_parts += 1;
            found.read += tokens;
        }
    }
}

/// An engine that keeps a part.
#[derive(Clone, Copy, Debug)]
struct Holder {
    engine: EngineNumber,
    read: bool,
}

/// The prompt parts that all engines keep.
#[derive(Clone, Debug, Default)]
pub struct PartIndex {
    caches: Vec<PartCache>,
    /// Holders of each part, ordered by engine number.
    holders: HashMap<u64, Vec<Holder>>,
}

impl PartIndex {
    /// Records that an engine has read the parts or is about to read them. Evicts its least
    /// recently used parts beyond `capacity` tokens.
    pub fn touch(&mut self, engine: EngineNumber, parts: &[(u64, u32)], capacity: u64) {
        if self.caches.len() <= engine {
            self.caches.resize_with(engine + 1, PartCache::default);
        }
        let cache = &mut self.caches[engine];
        for part in cache.touch(parts) {
            let holders = self.holders.entry(part).or_default();
            if let Err(at) = holders.binary_search_by_key(&engine, |holder| holder.engine) {
                holders.insert(at, Holder { engine, read: false });
            }
        }
        while let Some(part) = cache.evict_oldest(capacity) {
            remove_holder(&mut self.holders, engine, part);
        }
    }

    /// Marks those of the parts that an engine keeps as read.
    pub fn set_read(&mut self, engine: EngineNumber, parts: &[(u64, u32)]) {
        for (part, _) in parts {
            let Some(holders) = self.holders.get_mut(part) else { continue };
            if let Ok(at) = holders.binary_search_by_key(&engine, |holder| holder.engine) {
                holders[at].read = true;
            }
        }
    }

    /// Removes an engine.
    pub fn remove_engine(&mut self, engine: EngineNumber) {
        let Some(cache) = self.caches.get_mut(engine) else { return };
        while let Some(part) = cache.evict_oldest(0) {
            remove_holder(&mut self.holders, engine, part);
        }
    }

    /// Tokens of the leading parts that one engine keeps.
    pub fn kept(&self, engine: EngineNumber, parts: &[(u64, u32)]) -> u32 {
        self.caches.get(engine).map_or(0, |cache| cache.kept_tokens(parts))
    }

    /// Writes to `matches` how much of a prompt engines keep. Of a part that more than
    /// [`MAX_HOLDERS`] engines keep, only those count that keep a later part as well, and some
    /// others that follow `start` in the order of engine numbers.
    pub fn find(&self, parts: &[(u64, u32)], start: u64, matches: &mut Matches) {
        matches.clear();
        for (part, _) in parts.iter().rev() {
            let holders = self.holders_of(*part);
            let from = start.checked_rem(holders.len() as u64).unwrap_or(0) as usize;
            let (before, after) = holders.split_at(from);
            for holder in after.iter().chain(before).take(MAX_HOLDERS) {
                matches.add(holder.engine);
            }
        }
        for (before, (part, tokens)) in parts.iter().enumerate() {
            let holders = self.holders_of(*part);
            if holders.len() <= MAX_HOLDERS {
                holders.iter().for_each(|holder| matches.count(*holder, before, *tokens));
                continue;
            }
            for at in 0..matches.engines.len() {
                let engine = matches.engines[at];
                if let Ok(at) = holders.binary_search_by_key(&engine, |holder| holder.engine) {
                    matches.count(holders[at], before, *tokens);
                }
            }
        }
    }

    /// The engines that keep a part, by engine number.
    fn holders_of(&self, part: u64) -> &[Holder] {
        self.holders.get(&part).map_or(&[], Vec::as_slice)
    }
}

fn remove_holder(holders: &mut HashMap<u64, Vec<Holder>>, engine: EngineNumber, part: u64) {
    let Some(of_part) = holders.get_mut(&part) else { return };
    if let Ok(at) = of_part.binary_search_by_key(&engine, |holder| holder.engine) {
        of_part.remove(at);
    }
    if of_part.is_empty() {
        holders.remove(&part);
    }
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: u64,
}

/// The prompt parts that one engine keeps, in order of last use.
#[derive(Clone, Debug, Default)]
struct PartCache {
    kept: HashMap<u64, Kept>,
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    uses: u64,
}

impl PartCache {
    fn kept_tokens(&self, parts: &[(u64, u32)]) -> u32 {
        let kept = parts.iter().take_while(|(id, _)| self.kept.contains_key(id));
        kept.map(|(_, tokens)| *tokens).sum()
    }

    /// Keeps the parts; returns those that were not kept before.
    fn touch(&mut self, parts: &[(u64, u32)]) -> Vec<u64> {
        let mut new = Vec::new();
        // Later parts are useless without the earlier ones, so they are evicted first.
        for (id, tokens) in parts.iter().rev() {
            self.uses += 1;
            let kept = Kept { tokens: *tokens, used: self.uses };
            match self.kept.insert(*id, kept) {
                Some(before) => {
                    self.by_use.remove(&before.used);
                    self.tokens -= u64::from(before.tokens);
                }
                None => new.push(*id),
            }
            self.by_use.insert(self.uses, *id);
            self.tokens += u64::from(*tokens);
        }
        new
    }

    /// Evicts the least recently used part if more than `capacity` tokens are kept; returns its id.
    fn evict_oldest(&mut self, capacity: u64) -> Option<u64> {
        if self.tokens <= capacity {
            return None;
        }
        let (_, id) = self.by_use.pop_first()?;
        let gone = self.kept.remove(&id)?;
        self.tokens -= u64::from(gone.tokens);
        Some(id)
    }
}
