//! Places at endpoints, as requests hold them.

use std::sync::Arc;

use super::{PlacementClient, lock};
use crate::placement::message::{Completion, ToPlacer};

/// A place at an endpoint, given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    /// The endpoint's id.
    pub endpoint: String,
    /// The id of an endpoint from which it should copy prompt parts.
    pub copy_from: Option<String>,
    pub(super) seq: u64,
    pub(super) placements: Arc<PlacementClient>,
    pub(super) completion: Completion,
    pub(super) begun: bool,
}

impl Reservation {
    /// The first event came.
    pub fn record_first_event(&mut self) {
        if !std::mem::replace(&mut self.begun, true) {
            let told = lock(&self.placements.memory).begun(self.seq);
            self.placements.tell(&told, &ToPlacer::Begun { seq: self.seq });
        }
    }

    /// Says how the request ended; otherwise it counts as abandoned.
    pub fn set_completion(&mut self, completion: Completion) {
        self.completion = completion;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let told = lock(&self.placements.memory).ended(self.seq);
        self.placements.tell(&told, &ToPlacer::Done { seq: self.seq, completion: self.completion });
    }
}
