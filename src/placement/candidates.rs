//! Index of the engines that accept requests, from which a sample is weighed for each request.
//!
//! Weighing every engine costs time in proportion to the fleet for each request, and requests
//! grow with the fleet as well. The load behind this module: some thousand requests a second for
//! ten thousand engines, nearly all of them idle. A sample holds, for each kind of engine that may
//! run the request, the idle ones that follow the prompt's hash in the order of the engines'
//! hashes, so that requests with the same prompt parts meet at the same engines without a record
//! of them, and those that are free around now, so that the wait by which a request is refused is
//! that of the whole fleet.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use super::choice::Engine;
use super::message::PlacementRequest;
use super::parts::EngineNumber;
use crate::dispatch::Millis;
use crate::eligibility::Candidate;
use crate::wire::HostId;

/// Usable engines that a sample takes in the order of hashes, from each group.
const NEXT_BY_HASH: usize = 24;
/// Engines that are looked at to find these. More are busy or unusable in a row only when nearly
/// all engines are.
const MAX_LOOKED_AT: usize = 8 * NEXT_BY_HASH;
/// Engines that a sample takes from each group among those that became free last, and among those
/// that will be free next.
const JUST_FREE: usize = 12;
const FREE_NEXT: usize = 24;
/// Added to the time at which an engine without a free slot is free, so that it comes last.
const NO_SLOT_MS: Millis = 1 << 48;

/// A hash of what a prompt shares with others: its first part. Every placer computes the same one,
/// so that a placer without a record of the prompt chooses the engines that already keep the part.
/// Prompts without known parts have nothing in common, and each gets a hash of its own: placers
/// that do not see each other's requests would otherwise send all of them to one engine.
pub fn prompt_hash(router: HostId, request: &PlacementRequest) -> u64 {
    let seed = match request.parts.first() {
        Some((part, _)) => *part,
        None => (u64::from(router.0) << 32) ^ request.seq,
    };
    xxh3_64(&seed.to_be_bytes())
}

/// Engines that are alike in what decides whether a request is eligible for them.
#[derive(Clone, Debug)]
struct Group {
    service: String,
    version: String,
    region: String,
    by_hash: BTreeSet<(u64, EngineNumber)>,
    by_free_time: BTreeSet<(Millis, EngineNumber)>,
}

impl Group {
    fn holds(&self, engine: &Engine) -> bool {
        self.service == engine.service
            && self.version == engine.version
            && self.region == engine.region
    }

    /// Its engines from a hash on, around the order up to `highest`.
    fn following(&self, start: u64, highest: u64) -> impl Iterator<Item = EngineNumber> + '_ {
        let start = start.checked_rem(highest.wrapping_add(1)).unwrap_or(start);
        let after = self.by_hash.range((start, 0)..=(highest, EngineNumber::MAX));
        after.chain(self.by_hash.range(..(start, 0))).map(|(_, number)| *number)
    }
}

/// Where an engine is in the index.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Entry {
    group: usize,
    hash: u64,
    free_at: Millis,
}

/// The engines that accept requests, by hash and by the time at which they are free.
#[derive(Clone, Debug, Default)]
pub struct CandidateIndex {
    groups: Vec<Group>,
    /// By engine number.
    entries: Vec<Option<Entry>>,
}

impl CandidateIndex {
    /// Updates an engine after a change.
    pub fn update(&mut self, number: EngineNumber, engine: &Engine) {
        if !engine.accepts_requests() {
            return self.remove(number);
        }
        let busy_until = engine.free_at();
        let free_at = if engine.model.has_slot() { busy_until } else { NO_SLOT_MS + busy_until };
        let known = self.entries.get(number).copied().flatten();
        let group = match known {
            Some(entry) if self.groups[entry.group].holds(engine) => entry.group,
            _ => self.group_of(engine),
        };
        let entry = Entry { group, hash: engine.hash, free_at };
        if known == Some(entry) {
            return;
        }
        self.remove(number);
        if self.entries.len() <= number {
            self.entries.resize(number + 1, None);
        }
        self.entries[number] = Some(entry);
        let group = &mut self.groups[group];
        group.by_hash.insert((entry.hash, number));
        group.by_free_time.insert((entry.free_at, number));
    }

    /// Removes an engine.
    pub fn remove(&mut self, number: EngineNumber) {
        let Some(entry) = self.entries.get_mut(number).and_then(Option::take) else { return };
        let group = &mut self.groups[entry.group];
        group.by_hash.remove(&(entry.hash, number));
        group.by_free_time.remove(&(entry.free_at, number));
    }

    fn group_of(&mut self, engine: &Engine) -> usize {
        let known = self.groups.iter().position(|group| group.holds(engine));
        // The releases of the past leave empty groups behind.
        let unused = || self.groups.iter().position(|group| group.by_hash.is_empty());
        let new = Group {
            service: engine.service.clone(),
            version: engine.version.clone(),
            region: engine.region.clone(),
            by_hash: BTreeSet::new(),
            by_free_time: BTreeSet::new(),
        };
        match known.or_else(unused) {
            Some(at) if known.is_some() => at,
            Some(at) => {
                self.groups[at] = new;
                at
            }
            None => {
                self.groups.push(new);
                self.groups.len() - 1
            }
        }
    }

    /// A sample of the engines that a request may be sent to: those that are usable, from the hash
    /// `start` on, and those that are free around `now`.
    pub fn sample(
        &self,
        now: Millis,
        request: &PlacementRequest,
        start: u64,
        is_usable: impl Fn(EngineNumber) -> bool,
    ) -> Vec<EngineNumber> {
        let mut sample = Vec::new();
        let eligibility = &request.eligibility;
        let highest = eligibility.highest_hash();
        for group in self.groups.iter().filter(|group| group.service == request.service) {
            let candidate = Candidate { region: &group.region, version: &group.version, order: 0 };
            if !eligibility.allows(candidate) {
                continue;
            }
            let following = group.following(start, highest).take(MAX_LOOKED_AT);
            sample.extend(following.filter(|number| is_usable(*number)).take(NEXT_BY_HASH));
            let just_free = group.by_free_time.range(..(now, 0)).rev().take(JUST_FREE);
            let free_next = group.by_free_time.range((now, 0)..).take(FREE_NEXT);
            sample.extend(just_free.chain(free_next).map(|(_, number)| *number));
        }
        sample
    }
}
