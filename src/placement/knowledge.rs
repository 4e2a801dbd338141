//! What a router remembers of its own placements.
//!
//! A placer that takes over knows neither what engines have still to read nor
//! what they keep. Each router tells it its own part of both before it asks the
//! first time, so that nothing is read again that some engine keeps, and no
//! engine is taken for idle.

use std::collections::{BTreeMap, HashMap};

use super::message::{KeptParts, Knowledge, OpenRequest, PlacementRequest, RestTold};
use crate::dispatch::Millis;
use crate::wire::HostId;

/// Prompt parts that are remembered, those used last.
const MOST_KEPT: usize = 256;
/// Engines of which it is remembered that they want rest: more than a fleet has.
const MOST_RESTS: usize = 2_048;

/// Who was told of an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// The placer of a control host.
    Host(HostId),
    /// This router's own placer.
    Local,
}

#[derive(Clone, Debug)]
struct Open {
    request: OpenRequest,
    told: Vec<Told>,
}

/// One start of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointStartRef<'a> {
    /// The endpoint's id.
    pub endpoint: &'a str,
    /// When it started.
    pub started_at_ms: u64,
}

/// Open requests and kept prompt parts.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    open: BTreeMap<u64, Open>,
    kept: BTreeMap<u64, KeptParts>,
    last_use: HashMap<(u64, String), u64>,
    uses: u64,
    rests: HashMap<String, Resting>,
}

/// A rest that an engine asked for.
#[derive(Clone, Copy, Debug)]
struct Resting {
    started_at_ms: u64,
    until: Millis,
}

impl Memory {
    /// A request was placed at an endpoint.
    pub fn placed(&mut self, request: &PlacementRequest, at: EndpointStartRef<'_>, by: Told) {
        let open = OpenRequest {
            seq: request.seq,
            endpoint: at.endpoint.to_string(),
            started_at_ms: at.started_at_ms,
            parts: request.parts.clone(),
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            pause_objective_ms: request.pause_objective_ms,
            begun: false,
        };
        self.open.insert(request.seq, Open { request: open, told: vec![by] });
    }

    /// The first event of a request came; returns who is to be told.
    pub fn begun(&mut self, seq: u64) -> Vec<Told> {
        let Some(open) = self.open.get_mut(&seq) else { return Vec::new() };
        open.request.begun = true;
        let told = open.told.clone();
        let (endpoint, started_at_ms) = (open.request.endpoint.clone(), open.request.started_at_ms);
        // The last part is the request's own; few ask for it again.
        let shared = open.request.parts.len().saturating_sub(1);
        let parts = open.request.parts[..shared].to_vec();
        self.keep(KeptParts { endpoint, started_at_ms, parts });
        told
    }

    /// A request has ended; returns who is to be told.
    pub fn ended(&mut self, seq: u64) -> Vec<Told> {
        self.open.remove(&seq).map(|open| open.told).unwrap_or_default()
    }

    fn keep(&mut self, read: KeptParts) {
        let Some((last, _)) = read.parts.last() else { return };
        let key = (*last, read.endpoint.clone());
        self.uses += 1;
        if let Some(before) = self.last_use.insert(key, self.uses) {
            self.kept.remove(&before);
        }
        self.kept.insert(self.uses, read);
        if self.kept.len() > MOST_KEPT
            && let Some((_, oldest)) = self.kept.pop_first()
            && let Some((last, _)) = oldest.parts.last()
        {
            self.last_use.remove(&(*last, oldest.endpoint));
        }
    }

    /// An engine asked for so many milliseconds of rest.
    pub fn rested(&mut self, now: Millis, at: EndpointStartRef<'_>, time: Millis) {
        self.rests.retain(|_, rest| rest.until > now);
        if self.rests.len() < MOST_RESTS {
            let until = now.saturating_add(time);
            let EndpointStartRef { endpoint, started_at_ms } = at;
            self.rests.insert(endpoint.to_string(), Resting { started_at_ms, until });
        }
    }

    fn rests(&self, now: Millis) -> Vec<RestTold> {
        let told = |(endpoint, rest): (&String, &Resting)| {
            let time_ms = rest.until.checked_sub(now).filter(|left| *left > 0)? as u32;
            let (endpoint, started_at_ms) = (endpoint.clone(), rest.started_at_ms);
            Some(RestTold { endpoint, started_at_ms, time_ms })
        };
        self.rests.iter().filter_map(told).collect()
    }

    /// All that `placer` does not know yet; from now on it is told.
    pub fn tell(&mut self, now: Millis, placer: HostId) -> Knowledge {
        let told = Told::Host(placer);
        let mut open = Vec::new();
        for entry in self.open.values_mut() {
            if !entry.told.contains(&told) {
                entry.told.push(told);
            }
            open.push(entry.request.clone());
        }
        let kept = self.kept.values().cloned().collect();
        Knowledge { open, kept, rests: self.rests(now) }
    }
}
