//! Where the agreed state is published to the other parts of a control host.

use std::sync::Arc;

use super::state::State;
use crate::feed::Followed;
use crate::spread::Configs;

/// What the other parts of a control host know of the agreed state.
pub(super) struct Published {
    pub configs: Arc<Configs>,
    pub followed: Followed,
}

impl Published {
    /// Takes the newest state over.
    pub fn adopt(&self, state: &State) {
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
