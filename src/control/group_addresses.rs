//! Sends heartbeats to the hosts of the group: after a restart they may be the only running
//! control hosts whose addresses this host knows, and those that heartbeats announce to routers.

use std::sync::Arc;

use super::Control;

/// Adds the addresses of the group's hosts to the seeds, now and as the group changes.
pub(super) async fn follow(control: Arc<Control>) {
    let mut leadership = control.handle.leadership.clone();
    loop {
        let hosts = leadership.borrow_and_update().hosts.clone();
        control.peers.add_seeds(hosts.into_iter().map(|(_, address)| address));
        if leadership.changed().await.is_err() {
            return;
        }
    }
}
