//! Where the agreed state is published to the other parts of a control host.

use std::sync::Arc;

use super::state::State;
use crate::feed::FleetState;
use crate::spread::Configs;

/// What the other parts of a control host know of the agreed state.
pub(super) struct Published {
    pub configs: Arc<Configs>,
    pub fleet_state: FleetState,
}

impl Published {
    /// Takes the newest state over.
    pub fn adopt(&self, state: &State) {
        let fleet_state = &self.fleet_state;
        self.configs.replace(state.history().clone());
        if let Some(document) = state.document() {
            fleet_state.documents.adopt(document.clone());
        }
        fleet_state.registry.adopt_drained(state.drained().clone());
        fleet_state.rollouts.adopt(state.rollouts().clone(), &fleet_state.registry);
        fleet_state.quarantine.replace(state.quarantines());
    }
}
