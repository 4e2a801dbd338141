//! What the placer aims at.

use serde::{Deserialize, Serialize};

/// What the placer aims at. The defaults are the measured ones, see
/// `docs/DISPATCH.md`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementRules {
    /// Part of their time that engines may spend on reading prompts; the rest
    /// keeps running streams from slowing down.
    pub reading_share: f64,
    /// How much dearer reading a prompt counts than waiting for others': what is
    /// read twice is lost to all.
    pub reading_weight: f64,
    /// How much dearer copying prompt parts counts than waiting.
    pub copying_weight: f64,
    /// Part of its objective that a customer at its share may count on; it falls
    /// with the square of what it was served over its share.
    pub above_share: f64,
    /// Milliseconds kept back from each objective, for what the model misses.
    pub margin_ms: f64,
    /// Part of its objective that a request which can never be in time may wait
    /// for others.
    pub never_in_time_wait: f64,
    /// The same for a customer that got less than `underserved` of what it is owed:
    /// it is rather late than refused.
    pub underserved_wait: f64,
    /// Milliseconds of waiting that an engine in another region counts dearer: bytes
    /// between regions take a narrow link and a price.
    pub other_region_cost_ms: f64,
    /// Milliseconds to another region and back.
    pub other_region_round_trip_ms: f64,
    /// Whether engines copy prompt parts between regions: only where they have a network
    /// of their own there. On a link that all traffic shares a copy takes minutes.
    pub copies_between_regions: bool,
    /// Part of what a customer is owed below which it is underserved.
    pub underserved: f64,
    /// Part of what cold engines bear that this placer may send them.
    pub cold_part: f64,
    /// Tokens of a prompt that an engine reads before a step of what runs: what engines
    /// are commonly set to.
    pub piece_tokens: u32,
    /// Milliseconds of waiting that a stream counts for whose pauses a prompt would
    /// stretch beyond what its caller was promised.
    pub late_stream_cost_ms: f64,
}

impl Default for PlacementRules {
    fn default() -> Self {
        PlacementRules {
            reading_share: 0.72,
            reading_weight: 1.6,
            copying_weight: 14.0,
            above_share: 0.05,
            margin_ms: 100.0,
            never_in_time_wait: 0.35,
            underserved_wait: 1.0,
            other_region_cost_ms: 40.0,
            other_region_round_trip_ms: 25.0,
            copies_between_regions: false,
            underserved: 0.5,
            cold_part: 1.0,
            piece_tokens: 2_048,
            late_stream_cost_ms: 400.0,
        }
    }
}
