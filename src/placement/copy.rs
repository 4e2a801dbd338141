//! What an engine should copy from another one instead of reading it again.

use std::cmp::Reverse;

use slab::Slab;

use super::choice::Engine;
use super::message::PlacementRequest;
use super::parts::{EngineNumber, Match};
use crate::dispatch::Millis;

/// Milliseconds to begin a copy.
const COPY_SETUP_MS: f64 = 5.0;
/// Fewer tokens are read again rather than copied.
const MIN_COPY_TOKENS: u32 = 500;

/// Prompt parts to be copied from another engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartCopy {
    /// That engine.
    pub from: EngineNumber,
    /// Their tokens.
    pub tokens: u32,
    /// Milliseconds that it takes.
    pub ms: f64,
}

/// An engine from which parts of a prompt can be copied.
#[derive(Clone, Copy, Debug)]
struct Source<'a> {
    number: EngineNumber,
    engine: &'a Engine,
    /// Tokens of the prompt that it has read.
    read: u32,
}

impl Source<'_> {
    fn order(&self) -> (u32, &str) {
        (self.read, &self.engine.id)
    }

    /// Whether an engine can use what it has read: another release cannot.
    fn is_usable_by(&self, engine: &Engine) -> bool {
        self.engine.service == engine.service && self.engine.version == engine.version
    }

    fn is_in_region_of(&self, engine: &Engine) -> bool {
        self.engine.region == engine.region
    }
}

/// From which engines the parts of one prompt can be copied.
#[derive(Clone, Debug)]
pub struct CopySources<'a> {
    /// Of each release and region the engine that has read most, the most read first.
    sources: Vec<Source<'a>>,
    /// Whether engines copy from other regions: the memory of a prompt is thousands of
    /// times its text, so only those with a network of their own between regions do.
    between_regions: bool,
}

impl<'a> CopySources<'a> {
    /// Those for a request, of whose prompt the engines have read what was `found`. What
    /// is bound to regions is copied from none outside them.
    pub fn find(
        now: Millis,
        engines: &'a Slab<Engine>,
        found: &[Match],
        request: &PlacementRequest,
        between_regions: bool,
    ) -> CopySources<'a> {
        let mut sources: Vec<Source<'a>> = Vec::new();
        for (number, engine) in engines {
            let read = found.get(number).map_or(0, |found| found.read);
            let is_allowed = request.eligibility.regions.allows(&engine.region);
            if read == 0 || !is_allowed || !can_copy(engine, now) {
                continue;
            }
            let source = Source { number, engine, read };
            let is_alike = |known: &&mut Source<'_>| {
                known.is_usable_by(engine) && known.is_in_region_of(engine)
            };
            match sources.iter_mut().find(is_alike) {
                Some(known) if source.order() > known.order() => *known = source,
                Some(_) => {}
                None => sources.push(source),
            }
        }
        sources.sort_by(|one, other| Reverse(one.order()).cmp(&Reverse(other.order())));
        CopySources { sources, between_regions }
    }

    /// What an engine that keeps `kept` tokens should copy, if that is worth it.
    pub fn copy_for(&self, engine: &Engine, kept: u32) -> Option<PartCopy> {
        let is_usable = |source: &&Source<'_>| {
            source.is_usable_by(engine) && (self.between_regions || source.is_in_region_of(engine))
        };
        let source = self.sources.iter().find(is_usable)?;
        let tokens = source.read.checked_sub(kept)?;
        let ms = COPY_SETUP_MS + f64::from(tokens) * engine.copy_ms_per_token?;
        (tokens >= MIN_COPY_TOKENS).then_some(PartCopy { from: source.number, tokens, ms })
    }
}

fn can_copy(engine: &Engine, now: Millis) -> bool {
    engine.takes_work() && engine.copy_ms_per_token.is_some() && !engine.model.is_excluded(now)
}
