//! The region of each data hall, which decides which engines are far from a router: those of
//! another region.
//!
//! A request placed there takes milliseconds longer, and its bytes use part of a link that all
//! traffic between two regions shares.

use super::message::PlacementRequest;
use crate::region::Regions;

/// Regions of the data halls of routers.
#[derive(Clone, Debug, Default)]
pub struct HallRegions {
    regions: Regions,
}

impl HallRegions {
    /// Wraps the regions of data halls.
    pub fn new(regions: Regions) -> HallRegions {
        HallRegions { regions }
    }

    /// The region of the router that sent a request; empty if it is not known.
    pub fn region_of(&self, request: &PlacementRequest) -> &str {
        self.regions.of(&request.hall)
    }
}
