//! Regions: groups of data halls near each other, and where requests may be served.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Region of each data hall, from the settings of every host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Regions {
    by_hall: BTreeMap<String, String>,
}

impl Regions {
    /// The region of a data hall; empty if the settings do not name the hall.
    pub fn of(&self, hall: &str) -> &str {
        self.by_hall.get(hall).map_or("", String::as_str)
    }

    /// Whether two data halls are in different regions. A hall without a known region counts
    /// as near.
    pub fn is_other_region(&self, from_hall: &str, to_hall: &str) -> bool {
        are_distinct_regions(self.of(from_hall), self.of(to_hall))
    }

    /// Whether no data hall is assigned to a region.
    pub fn is_empty(&self) -> bool {
        self.by_hall.is_empty()
    }
}

/// Whether these are two different regions. An empty name stands for an unknown region, which
/// counts as near.
pub fn are_distinct_regions(from: &str, to: &str) -> bool {
    !from.is_empty() && !to.is_empty() && from != to
}

impl FromIterator<(String, String)> for Regions {
    fn from_iter<T: IntoIterator<Item = (String, String)>>(halls: T) -> Self {
        Regions { by_hall: halls.into_iter().collect() }
    }
}

/// Regions in which requests of a route or customer may be served, cached and stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllowedRegions {
    /// In every region.
    #[default]
    Anywhere,
    /// Only in these regions; nowhere if the set is empty.
    Only(BTreeSet<String>),
}

impl AllowedRegions {
    /// Whether a region is allowed. The empty region of an unassigned data hall is allowed only
    /// by [`AllowedRegions::Anywhere`].
    pub fn allows(&self, region: &str) -> bool {
        match self {
            AllowedRegions::Anywhere => true,
            AllowedRegions::Only(regions) => regions.contains(region),
        }
    }

    /// The regions that both allow.
    pub fn and(&self, other: &AllowedRegions) -> AllowedRegions {
        match (self, other) {
            (AllowedRegions::Anywhere, only) | (only, AllowedRegions::Anywhere) => only.clone(),
            (AllowedRegions::Only(one), AllowedRegions::Only(other)) => {
                AllowedRegions::Only(one.intersection(other).cloned().collect())
            }
        }
    }
}
