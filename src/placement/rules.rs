//! Settings of the placer.

use serde::{Deserialize, Serialize};

/// Settings of the placer. `docs/DISPATCH.md` explains the measurements behind the defaults.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementRules {
    /// Fraction of their time that engines may spend on reading prompts; the rest keeps running
    /// streams from slowing down.
    pub reading_share: f64,
    /// Weight of the time to read a prompt relative to waiting for other prompts: reading a prompt
    /// twice wastes capacity of the whole fleet.
    pub reading_weight: f64,
    /// Weight of the time to copy prompt parts relative to waiting.
    pub copying_weight: f64,
    /// Fraction of its objective for which a request of a customer at its share may wait; it falls
    /// with the square of received service divided by the share.
    pub above_share: f64,
    /// Milliseconds kept back from each objective for errors of the model.
    pub margin_ms: f64,
    /// Fraction of its objective for which a request that can never meet it may wait for others.
    pub never_in_time_wait: f64,
    /// The same for a customer that received less than `underserved` of its share: its requests are
    /// late rather than refused.
    pub underserved_wait: f64,
    /// Extra cost of an engine in another region, in milliseconds of waiting: links between regions
    /// are narrow and cost money.
    pub other_region_cost_ms: f64,
    /// Milliseconds of the round trip to another region.
    pub other_region_round_trip_ms: f64,
    /// Whether engines copy prompt parts between regions, which needs a dedicated network between
    /// them. On a link that all traffic shares a copy takes minutes.
    pub copies_between_regions: bool,
    /// Fraction of its share below which a customer is underserved.
    pub underserved: f64,
    /// Fraction of cold engines' capacity that this placer may use.
    pub cold_part: f64,
    /// Tokens of a prompt that an engine reads before a step of the running requests (prefill chunk
    /// size). The default is a common setting of engines.
    pub piece_tokens: u32,
    /// Cost, in milliseconds of waiting, of each stream whose pauses a prompt would extend beyond
    /// their objective.
    pub late_stream_cost_ms: f64,
    /// Number of engines up to which all of them are weighed for each request; of more, a sample.
    pub weigh_all_up_to: usize,
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
            weigh_all_up_to: 512,
        }
    }
}
