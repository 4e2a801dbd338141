//! Data halls that operators have drained: their endpoints get no new work.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The drained data halls. Control hosts agree on them; of two, the one with the higher
/// revision prevails.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainedHalls {
    /// Rises with each order that changes something.
    revision: u64,
    halls: BTreeSet<String>,
}

impl DrainedHalls {
    /// Drains a data hall.
    pub fn drain(&mut self, hall: &str) {
        let is_new = self.halls.insert(hall.to_string());
        self.revision += u64::from(is_new);
    }

    /// Takes a data hall back.
    pub fn restore(&mut self, hall: &str) {
        let was_drained = self.halls.remove(hall);
        self.revision += u64::from(was_drained);
    }

    /// Whether the endpoints of a data hall get no new work.
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
