//! A router's records of its own placements.
//!
//! A placer that takes over has no record of the prompts that engines have still to read, nor of
//! the parts that they keep. Each router sends it a snapshot of its own requests before its first
//! query, so that no prompt is read again that an engine keeps, and no busy engine is taken for
//! idle.

use std::collections::{BTreeMap, HashMap};

use super::message::{KeptParts, OpenRequest, PlacementRequest, RestReport, RouterSnapshot};
use crate::dispatch::Millis;
use crate::wire::HostId;

/// Maximum number of recorded prompt prefixes; the least recently used is evicted.
const MAX_KEPT_PREFIXES: usize = 256;
/// Maximum number of recorded rests: more than a fleet has engines.
const MAX_RESTS: usize = 2_048;

/// A placer that was sent an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacerId {
    /// The placer of a control host.
    Host(HostId),
    /// This router's own placer.
    Local,
}

#[derive(Clone, Debug)]
struct Open {
    request: OpenRequest,
    placers: Vec<PlacerId>,
}

/// One start of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointStartRef<'a> {
    /// The endpoint's id.
    pub endpoint: &'a str,
    /// When its process started, in milliseconds since the epoch.
    pub started_at_ms: u64,
}

/// Open requests, prompt parts that engines keep, and rests.
#[derive(Clone, Debug, Default)]
pub struct PlacementRecords {
    open: BTreeMap<u64, Open>,
    kept: BTreeMap<u64, KeptParts>,
    last_use: HashMap<(u64, String), u64>,
    uses: u64,
    rests: HashMap<String, Resting>,
}

/// A rest that an engine requested.
#[derive(Clone, Copy, Debug)]
struct Resting {
    started_at_ms: u64,
    until: Millis,
}

impl PlacementRecords {
    /// Records that a request was placed at an endpoint by placer `by`.
    pub fn record_placement(
        &mut self,
        request: &PlacementRequest,
        at: EndpointStartRef<'_>,
        by: PlacerId,
    ) {
        let open = OpenRequest {
            seq: request.seq,
            endpoint: at.endpoint.to_string(),
            started_at_ms: at.started_at_ms,
            parts: request.parts.clone(),
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            pause_objective_ms: request.pause_objective_ms,
            first_event_seen: false,
        };
        self.open.insert(request.seq, Open { request: open, placers: vec![by] });
    }

    /// Records the first event of a request; returns the placers to notify.
    pub fn record_first_event(&mut self, seq: u64) -> Vec<PlacerId> {
        let Some(open) = self.open.get_mut(&seq) else { return Vec::new() };
        open.request.first_event_seen = true;
        let placers = open.placers.clone();
        let (endpoint, started_at_ms) = (open.request.endpoint.clone(), open.request.started_at_ms);
        // The last part belongs to this request alone and is rarely requested again.
        let shared = open.request.parts.len().saturating_sub(1);
        let parts = open.request.parts[..shared].to_vec();
        self.record_kept(KeptParts { endpoint, started_at_ms, parts });
        placers
    }

    /// Records that a request has ended; returns the placers to notify.
    pub fn record_end(&mut self, seq: u64) -> Vec<PlacerId> {
        self.open.remove(&seq).map(|open| open.placers).unwrap_or_default()
    }

    fn record_kept(&mut self, read: KeptParts) {
        let Some((last, _)) = read.parts.last() else { return };
        let key = (*last, read.endpoint.clone());
        self.uses += 1;
        if let Some(before) = self.last_use.insert(key, self.uses) {
            self.kept.remove(&before);
        }
        self.kept.insert(self.uses, read);
        if self.kept.len() > MAX_KEPT_PREFIXES
            && let Some((_, oldest)) = self.kept.pop_first()
            && let Some((last, _)) = oldest.parts.last()
        {
            self.last_use.remove(&(*last, oldest.endpoint));
        }
    }

    /// Records that an engine requested a rest of `time` milliseconds.
    pub fn record_rest(&mut self, now: Millis, at: EndpointStartRef<'_>, time: Millis) {
        self.rests.retain(|_, rest| rest.until > now);
        if self.rests.len() < MAX_RESTS {
            let until = now.saturating_add(time);
            let EndpointStartRef { endpoint, started_at_ms } = at;
            self.rests.insert(endpoint.to_string(), Resting { started_at_ms, until });
        }
    }

    fn active_rests(&self, now: Millis) -> Vec<RestReport> {
        let report = |(endpoint, rest): (&String, &Resting)| {
            let time_ms = rest.until.checked_sub(now).filter(|left| *left > 0)? as u32;
            let (endpoint, started_at_ms) = (endpoint.clone(), rest.started_at_ms);
            Some(RestReport { endpoint, started_at_ms, time_ms })
        };
        self.rests.iter().filter_map(report).collect()
    }

    /// The state to send to `placer`, which is notified of changes from now on.
    pub fn snapshot_for(&mut self, now: Millis, placer: HostId) -> RouterSnapshot {
        let id = PlacerId::Host(placer);
        let mut open = Vec::new();
        for entry in self.open.values_mut() {
            if !entry.placers.contains(&id) {
                entry.placers.push(id);
            }
            open.push(entry.request.clone());
        }
        let kept = self.kept.values().cloned().collect();
        RouterSnapshot { open, kept, rests: self.active_rests(now) }
    }
}
