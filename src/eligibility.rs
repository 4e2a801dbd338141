//! Which endpoints a request may be sent to at all, whatever they have to do.
//!
//! One definition, asked wherever an endpoint is chosen and again where a request is
//! sent: by the placer, by a router that chooses alone, and before each attempt.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::region::AllowedRegions;

/// What of an endpoint decides whether it is eligible.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The region of its data hall; empty where none is known.
    pub region: &'a str,
    /// The release of its software.
    pub version: &'a str,
    /// Its place in an order that every host knows: [`order_of`] its id.
    pub order: u32,
}

/// The place of an endpoint in an order that every host knows without being told.
pub fn order_of(id: &str) -> u32 {
    (xxh3_64(id.as_bytes()) >> 32) as u32
}

/// Which releases of a service may run a request, while one is rolled out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionRule {
    /// All of them.
    #[default]
    Any,
    /// All but this one.
    Not(String),
    /// This one only.
    Only {
        /// The release.
        version: String,
        /// Of its endpoints those up to here in the order of all: few get much each, so
        /// that a release which fails under load is found out early.
        highest_order: u32,
    },
}

/// Which endpoints a request may be sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Eligibility {
    /// Where it may be served.
    pub regions: AllowedRegions,
    /// By which releases.
    pub version: VersionRule,
}

impl Eligibility {
    /// Whether an endpoint may run the request.
    pub fn allows(&self, candidate: Candidate<'_>) -> bool {
        self.regions.allows(candidate.region) && self.version.allows(candidate)
    }
}

impl VersionRule {
    fn allows(&self, candidate: Candidate<'_>) -> bool {
        match self {
            VersionRule::Any => true,
            VersionRule::Not(version) => candidate.version != version,
            VersionRule::Only { version, highest_order } => {
                candidate.version == version && candidate.order <= *highest_order
            }
        }
    }
}
