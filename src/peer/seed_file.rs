//! Reads the seeds again from the settings file while no control host is known to be live: all
//! that were known may have been replaced by hosts at other addresses.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use super::Peers;
use crate::settings;
use crate::wire::Role;

/// The interval at which it is checked whether a control host is live.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Adds the seeds in `file` to those of `peers` whenever no other control host is live.
pub(super) async fn follow(peers: Arc<Peers>, file: PathBuf) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if peers.view().with_role(Role::Control).any(|m| m.host != peers.me) {
            continue;
        }
        match settings::read_seeds(&file) {
            Ok(seeds) => {
                let added = peers.add_seeds(seeds);
                if added > 0 {
                    log::info!("member: no control host is live, read {added} new seeds");
                }
            }
            // It may be replaced at this moment.
            Err(error) => log::debug!("member: cannot read the seeds again: {error}"),
        }
    }
}
