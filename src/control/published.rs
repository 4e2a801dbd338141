//! Publishes the agreed state to the other parts of a control host.

use std::sync::Arc;

use super::state::State;
use crate::feed::FleetState;
use crate::spread::CurrentConfig;

/// The agreed state as the other parts of a control host see it.
pub(super) struct PublishedState {
    pub configs: Arc<CurrentConfig>,
    pub fleet_state: FleetState,
}

impl PublishedState {
    /// Publishes the newest state.
    pub fn update(&self, state: &State) {
        let fleet_state = &self.fleet_state;
        self.configs.replace(state.history().clone());
        if let Some(document) = state.document() {
            fleet_state.routing.adopt(document.clone());
        }
        fleet_state.registry.adopt_drained(state.drained().clone());
        fleet_state.rollouts.adopt(state.rollouts().clone(), &fleet_state.registry);
        fleet_state.quarantine.replace(state.quarantines());
    }
}
