//! Drains and restores data halls.

use super::Control;
use super::documents::{CallError, unexpected_reply};
use super::state::{Command, Reply};
use crate::registry::DrainedHalls;

/// An operator's order for a data hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HallOrder {
    /// Send no new requests to its endpoints; those in progress there finish there.
    Drain,
    /// Send requests to its endpoints again.
    Restore,
}

impl Control {
    /// Executes an order for a data hall. Returns the halls that are drained after it, once
    /// that is on the disks of a majority. A repeated order changes nothing.
    pub async fn order_hall(
        &self,
        order: HallOrder,
        hall: &str,
    ) -> Result<DrainedHalls, CallError> {
        if !self.has_hall(hall) {
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
                    "control: order {order:?} of data hall {hall} accepted, \
                     drained halls [{names}], revision {revision}"
                );
                Ok(drained)
            }
            other => Err(unexpected_reply(&other)),
        }
    }

    /// Whether the data hall exists: the settings name it, or a known host or endpoint is in it.
    fn has_hall(&self, hall: &str) -> bool {
        let view = self.peers.view();
        self.settings.halls.iter().any(|name| name == hall)
            || view.live.iter().chain(&view.suspected).any(|host| host.hall == hall)
            || self.registry.read(|r| r.all().any(|endpoint| endpoint.hall == hall))
    }
}
