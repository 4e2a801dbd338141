//! Which engines are far from a router: those of another region.
//!
//! A request placed there takes milliseconds longer, and its bytes take part of a link
//! that all traffic between two regions shares.

use super::message::PlacementRequest;
use crate::region::Regions;

/// What lies between data halls.
#[derive(Clone, Debug, Default)]
pub struct HallRegions {
    regions: Regions,
}

impl HallRegions {
    /// Distances between the data halls of these regions.
    pub fn new(regions: Regions) -> HallRegions {
        HallRegions { regions }
    }

    /// The region of the router that asks; empty where it is not known.
    pub fn region_of(&self, request: &PlacementRequest) -> &str {
        self.regions.of(&request.hall)
    }
}
