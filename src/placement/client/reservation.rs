//! Reservations of endpoints that requests hold.

use std::sync::Arc;

use super::{PlacementClient, lock};
use crate::placement::message::{Completion, ToPlacer};

/// A place reserved at an endpoint, released when dropped.
#[derive(Debug)]
pub struct Reservation {
    /// The endpoint's id.
    pub endpoint: String,
    /// The id of an endpoint from which it should copy prompt parts.
    pub copy_from: Option<String>,
    pub(super) seq: u64,
    pub(super) client: Arc<PlacementClient>,
    pub(super) completion: Completion,
    pub(super) first_event_reported: bool,
}

impl Reservation {
    /// Reports the first event of the answer to the placers.
    pub fn record_first_event(&mut self) {
        if !std::mem::replace(&mut self.first_event_reported, true) {
            let placers = lock(&self.client.records).record_first_event(self.seq);
            self.client.notify(&placers, &ToPlacer::FirstEvent { seq: self.seq });
        }
    }

    /// Sets how the request completed; without a call it counts as abandoned.
    pub fn set_completion(&mut self, completion: Completion) {
        self.completion = completion;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let placers = lock(&self.client.records).record_end(self.seq);
        self.client
            .notify(&placers, &ToPlacer::Done { seq: self.seq, completion: self.completion });
    }
}
