//! Selects the prompt parts that an engine should copy from another engine instead of reading them
//! again.

use std::cmp::Reverse;

use slab::Slab;

use super::choice::Engine;
use super::message::PlacementRequest;
use super::parts::{EngineNumber, Matches};
use crate::dispatch::Millis;

/// Milliseconds to set up a copy.
const COPY_SETUP_MS: f64 = 5.0;
/// Minimum number of tokens for a copy; fewer are read again.
const MIN_COPY_TOKENS: u32 = 500;

/// Prompt parts to copy from another engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartCopy {
    /// The engine to copy from.
    pub from: EngineNumber,
    /// Number of tokens.
    pub tokens: u32,
    /// Duration of the copy in milliseconds.
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

    /// Whether an engine can use the parts that this one has read: other releases cannot.
    fn is_usable_by(&self, engine: &Engine) -> bool {
        self.engine.service == engine.service && self.engine.version == engine.version
    }

    fn is_in_region_of(&self, engine: &Engine) -> bool {
        self.engine.region == engine.region
    }
}

/// The engines from which parts of one prompt can be copied.
#[derive(Clone, Debug)]
pub struct CopySources<'a> {
    /// For each release and region the engine that has read most of the prompt, in descending order
    /// of tokens read.
    sources: Vec<Source<'a>>,
    /// Whether engines copy from other regions. The memory of a prompt is thousands of times the
    /// size of its text, so this needs a dedicated network between regions.
    between_regions: bool,
}

impl<'a> CopySources<'a> {
    /// The sources for a request; `found` holds the tokens of its prompt that each engine has read.
    /// A request that is bound to regions uses no source outside them.
    pub fn find(
        now: Millis,
        engines: &'a Slab<Engine>,
        found: &Matches,
        request: &PlacementRequest,
        between_regions: bool,
    ) -> CopySources<'a> {
        let mut sources: Vec<Source<'a>> = Vec::new();
        for &number in found.engines() {
            let Some(engine) = engines.get(number) else { continue };
            let read = found.at(number).read;
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

    /// The parts that an engine which keeps `kept` tokens should copy, if that is worthwhile.
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
    engine.accepts_requests()
        && engine.copy_ms_per_token.is_some()
        && !engine.model.is_excluded(now)
}
