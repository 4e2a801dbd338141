//! Which engines are far from a router: those of another region.
//!
//! A request placed there takes milliseconds longer, and its bytes take part of a link
//! that all traffic between two regions shares.

use super::choice::Engine;
use super::message::PlacementRequest;
use crate::region::Regions;

/// What lies between data halls.
#[derive(Clone, Debug, Default)]
pub struct Distances {
    regions: Regions,
}

impl Distances {
    /// Distances between the data halls of these regions.
    pub fn new(regions: Regions) -> Distances {
        Distances { regions }
    }

    /// The region of the router that asks; none where it is not known.
    pub fn region_of(&self, request: &PlacementRequest) -> Option<&str> {
        Some(self.regions.of(&request.hall)).filter(|region| !region.is_empty())
    }

    /// Whether an engine is in another region than the router that asks. One whose
    /// region is not known counts as near.
    pub fn is_across(&self, request: &PlacementRequest, engine: &Engine) -> bool {
        let from = self.region_of(request);
        from.is_some_and(|from| !engine.region.is_empty() && engine.region != from)
    }
}
