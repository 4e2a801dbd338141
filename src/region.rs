//! Regions: the data halls near each other, and where requests may be served.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Which region each data hall belongs to, from the settings of every host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Regions {
    by_hall: BTreeMap<String, String>,
}

impl Regions {
    /// The region of a data hall; empty where the settings do not name the hall.
    pub fn of(&self, hall: &str) -> &str {
        self.by_hall.get(hall).map_or("", String::as_str)
    }

    /// Whether two data halls are in different regions. One whose region is not known
    /// counts as near.
    pub fn is_other_region(&self, from_hall: &str, to_hall: &str) -> bool {
        are_distinct_regions(self.of(from_hall), self.of(to_hall))
    }

    /// Whether no data hall is assigned to a region.
    pub fn is_empty(&self) -> bool {
        self.by_hall.is_empty()
    }
}

/// Whether these are two regions. The empty name stands for one that is not known, which
/// counts as near.
pub fn are_distinct_regions(from: &str, to: &str) -> bool {
    !from.is_empty() && !to.is_empty() && from != to
}

impl FromIterator<(String, String)> for Regions {
    fn from_iter<T: IntoIterator<Item = (String, String)>>(halls: T) -> Self {
        Regions { by_hall: halls.into_iter().collect() }
    }
}

/// Where requests of a route or customer may be served, cached and stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllowedRegions {
    /// In every region.
    #[default]
    Anywhere,
    /// In these only; nowhere if there are none.
    Only(BTreeSet<String>),
}

impl AllowedRegions {
    /// Whether a region is among them. A data hall without a region is in none.
    pub fn allows(&self, region: &str) -> bool {
        match self {
            AllowedRegions::Anywhere => true,
            AllowedRegions::Only(regions) => regions.contains(region),
        }
    }

    /// Where both allow it.
    pub fn and(&self, other: &AllowedRegions) -> AllowedRegions {
        match (self, other) {
            (AllowedRegions::Anywhere, only) | (only, AllowedRegions::Anywhere) => only.clone(),
            (AllowedRegions::Only(one), AllowedRegions::Only(other)) => {
                AllowedRegions::Only(one.intersection(other).cloned().collect())
            }
        }
    }
}
