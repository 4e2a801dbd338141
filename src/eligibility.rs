//! Which endpoints a request may be sent to, independent of their load.
//!
//! This definition is used wherever an endpoint is chosen or a request is sent: by the placer,
//! by a router that chooses by itself, and in the check before each attempt.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::region::AllowedRegions;

/// The properties of an endpoint that decide whether it is eligible.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The region of its data hall; empty if unknown.
    pub region: &'a str,
    /// The release of its software.
    pub version: &'a str,
    /// Its position in an order that every host computes alike: [`order_of`] its id.
    pub order: u32,
}

/// The position of an endpoint in an order that every host computes alike from the id.
pub fn order_of(id: &str) -> u32 {
    (hash_of(id) >> ORDER_SHIFT) as u32
}

/// The hash of an endpoint's id, whose upper half is [`order_of`] it.
pub fn hash_of(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// Bits of [`hash_of`] below those of [`order_of`].
const ORDER_SHIFT: u32 = 32;

/// Which releases of a service may run a request during a rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionRule {
    /// All releases.
    #[default]
    Any,
    /// All releases but this one.
    Not(String),
    /// Only this release.
    Only {
        /// The release.
        version: String,
        /// Highest [`Candidate::order`] of its endpoints that may be used. Few endpoints get
        /// much load each, so that a release which fails under load is detected early.
        highest_order: u32,
    },
}

/// Which endpoints a request may be sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Eligibility {
    /// The regions in which it may be served.
    pub regions: AllowedRegions,
    /// The releases that may serve it.
    pub version: VersionRule,
}

impl Eligibility {
    /// Whether an endpoint may run the request.
    pub fn allows(&self, candidate: Candidate<'_>) -> bool {
        self.regions.allows(candidate.region) && self.version.allows(candidate)
    }

    /// The highest [`hash_of`] an endpoint that may run the request.
    pub fn highest_hash(&self) -> u64 {
        match &self.version {
            VersionRule::Only { highest_order, .. } => {
                ((u64::from(*highest_order) + 1) << ORDER_SHIFT).wrapping_sub(1)
            }
            VersionRule::Any | VersionRule::Not(_) => u64::MAX,
        }
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
