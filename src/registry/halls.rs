//! Data halls drained by operators: their endpoints get no new requests.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Maximum number of restored data halls that are kept: more are unlikely to be restored
/// within the seconds for which their endpoints count as cold.
const MAX_RESTORED: usize = 4;

/// The drained data halls. Control hosts agree on them; of two, the one with the higher
/// revision prevails.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainedHalls {
    /// Rises with each order that changes something.
    revision: u64,
    halls: BTreeSet<String>,
    /// Restored halls, by the revision of the order that restored them. A host that receives
    /// several orders at once finds the restored halls of the skipped revisions here.
    restored: BTreeMap<u64, String>,
}

impl DrainedHalls {
    /// Halls drained at a revision, without a record of halls restored before.
    pub fn without_restored(revision: u64, halls: BTreeSet<String>) -> DrainedHalls {
        DrainedHalls { revision, halls, restored: BTreeMap::new() }
    }

    /// Drains a data hall.
    pub fn drain(&mut self, hall: &str) {
        let is_new = self.halls.insert(hall.to_string());
        self.revision += u64::from(is_new);
        self.restored.retain(|_, restored| restored != hall);
    }

    /// Restores a drained data hall.
    pub fn restore(&mut self, hall: &str) {
        let was_drained = self.halls.remove(hall);
        if !was_drained {
            return;
        }
        self.revision += 1;
        self.restored.insert(self.revision, hall.to_string());
        while self.restored.len() > MAX_RESTORED {
            self.restored.pop_first();
        }
    }

    /// Halls restored by an order after this revision, and not drained again since.
    pub fn restored_after(&self, revision: u64) -> impl Iterator<Item = &str> {
        self.restored.range(revision + 1..).map(|(_, hall)| hall.as_str())
    }

    /// Whether the endpoints of a data hall get no new requests.
    pub fn contains(&self, hall: &str) -> bool {
        self.halls.contains(hall)
    }

    /// The revision; 0 before the first order.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The names, in order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.halls.iter().map(String::as_str)
    }
}
