//! Tracks the data halls whose endpoints this router can reach.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;

use super::state::Router;
use crate::config::{Config, HallId, HallSet};
use crate::member::View;

/// Interval between two checks of all data halls.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for opening a connection to an endpoint.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Keeps the set of data halls in reach up to date. A hall is in reach if one of its hosts is live
/// or its first endpoint accepts a connection.
pub async fn follow(router: Arc<Router>) {
    let mut version = router.configs.watch();
    loop {
        let config = version.borrow_and_update().clone();
        let view = router.peers.view();
        let mut reach = HallSet::default();
        for (id, name) in &config.halls {
            if is_in_reach(&router, &config, &view, *id, name).await {
                reach = reach.with(*id);
            }
        }
        // Without a configuration no data hall is known to be out of reach.
        let reach = if config.halls.is_empty() { HallSet::ALL } else { reach };
        router.reach.send_if_modified(|current| {
            let changed = *current != reach;
            if changed {
                log::info!("reach: data halls in reach are {:#b}", reach.0);
                *current = reach;
            }
            changed
        });
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            changed = version.changed() => if changed.is_err() { return },
        }
    }
}

async fn is_in_reach(
    router: &Router,
    config: &Config,
    view: &View,
    id: HallId,
    name: &str,
) -> bool {
    if router.peers.links.is_hall_cut(name) {
        return false;
    }
    if view.live.iter().any(|m| m.hall == name) {
        return true;
    }
    let endpoint = config.endpoints.values().find(|e| config.hall_id(&e.hall) == Some(id));
    let Some(endpoint) = endpoint else {
        return false;
    };
    let probe = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(&endpoint.address));
    matches!(probe.await, Ok(Ok(_)))
}
