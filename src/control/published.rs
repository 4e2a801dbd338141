//! Publishes the agreed state to the other parts of a control host.

use std::sync::Arc;

use super::state::State;
use crate::feed::Followed;
use crate::spread::Configs;

/// The agreed state as the other parts of a control host see it.
pub(super) struct PublishedState {
    pub configs: Arc<Configs>,
    pub followed: Followed,
}

impl PublishedState {
    /// Publishes the newest state.
    pub fn update(&self, state: &State) {
        let followed = &self.followed;
        self.configs.replace(state.history().clone());
        if let Some(document) = state.document() {
            followed.documents.adopt(document.clone());
        }
        followed.registry.adopt_drained(state.drained().clone());
        followed.rollouts.adopt(state.rollouts().clone(), &followed.registry);
        followed.quarantine.replace(state.quarantines());
    }
}
