//! Draining data halls and taking them back.

use super::Control;
use super::documents::{CallError, unexpected};
use super::state::{Command, Reply};
use crate::registry::DrainedHalls;

/// What an operator orders about a data hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HallOrder {
    /// Nothing new is sent to its endpoints; what is under way there ends there.
    Drain,
    /// Its endpoints get work again.
    Restore,
}

impl Control {
    /// Carries out an order about a data hall. Returns the halls that are drained then,
    /// which is on the disks of a majority. An order sent again changes nothing.
    pub async fn order_hall(
        &self,
        order: HallOrder,
        hall: &str,
    ) -> Result<DrainedHalls, CallError> {
        if !self.knows_hall(hall) {
            return Err(CallError::UnknownHall);
        }
        let command = match order {
            HallOrder::Drain => Command::DrainHall(hall.to_string()),
            HallOrder::Restore => Command::RestoreHall(hall.to_string()),
        };
        match self.handle.propose(command).await? {
            Reply::Halls(drained) => {
                let names = drained.names().collect::<Vec<_>>().join(", ");
                let revision = drained.revision();
                log::info!(
                    "control: order {order:?} of data hall {hall} is taken, \
                     drained are [{names}], revision {revision}"
                );
                Ok(drained)
            }
            other => Err(unexpected(&other)),
        }
    }

    /// Whether there is such a data hall: the settings name it, or a host or an endpoint
    /// stands in it.
    fn knows_hall(&self, hall: &str) -> bool {
        let view = self.peers.view();
        self.settings.halls.iter().any(|name| name == hall)
            || view.live.iter().chain(&view.suspected).any(|host| host.hall == hall)
            || self.registry.read(|r| r.all().any(|endpoint| endpoint.hall == hall))
    }
}
