//! Records the notices that endpoints give in their answers to this router.
//!
//! Endpoints are declared by operators and do not report when they started. A leaving endpoint
//! counts as restarted once it has refused a connection and then accepts one again.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;

use super::serve::Job;
use super::state::Router;
use crate::clock::BootInstant;
use crate::config::{EndpointId, ServiceId};
use crate::dispatch::Millis;
use crate::notice::{Notice, RequestedRest, Rest};

/// Interval between connection attempts that check whether a leaving endpoint has stopped or is
/// back. It is shorter than a process takes to stop and start again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for which an endpoint counts as leaving. A planned stop ends within minutes; after
/// this time, an endpoint whose restart was not noticed is used again.
const MAX_LEAVING_TIME: Duration = Duration::from_secs(600);

/// Which endpoints are leaving, and which are resting.
#[derive(Debug, Default)]
pub(super) struct EndpointNotices {
    leaving: Mutex<HashSet<EndpointId>>,
    rests: Mutex<HashMap<EndpointId, Rest>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EndpointNotices {
    /// Whether an endpoint has reported that it is leaving.
    pub fn is_leaving(&self, endpoint: EndpointId) -> bool {
        lock(&self.leaving).contains(&endpoint)
    }

    /// Remaining milliseconds of an endpoint's rest.
    pub fn remaining_rest(&self, now: Millis, endpoint: EndpointId) -> Option<Millis> {
        lock(&self.rests).get(&endpoint)?.remaining(now)
    }

    fn record_leaving(&self, endpoint: EndpointId) -> bool {
        lock(&self.leaving).insert(endpoint)
    }

    fn clear(&self, endpoint: EndpointId) {
        lock(&self.leaving).remove(&endpoint);
        lock(&self.rests).remove(&endpoint);
    }

    fn record_rest(&self, now: Millis, endpoint: EndpointId, duration_ms: Millis) {
        let mut rests = lock(&self.rests);
        rests.retain(|_, rest| rest.remaining(now).is_some());
        rests.entry(endpoint).or_default().extend(now, duration_ms);
    }
}

impl Job {
    /// Records the notice in an answer of an endpoint.
    pub(super) fn record_notice(&self, endpoint: EndpointId, name: &str, notice: &Notice) {
        self.router.record_notice(self.service_id, endpoint, name, notice);
    }
}

impl Router {
    /// Whether an endpoint may be sent a request now.
    pub(super) fn accepts_requests(&self, endpoint: EndpointId) -> bool {
        let now = self.peers.clock.now();
        !self.is_leaving(endpoint) && self.notices.remaining_rest(now, endpoint).is_none()
    }

    /// Records the notice in an answer of an endpoint and reports it to the dispatcher of its
    /// service, which decides for all routers and receives no answers itself.
    pub(super) fn record_notice(
        self: &Arc<Self>,
        service: ServiceId,
        endpoint: EndpointId,
        name: &str,
        notice: &Notice,
    ) {
        if notice.is_leaving && self.notices.record_leaving(endpoint) {
            log::info!("router: endpoint {name} reports in an answer that it is leaving");
            self.link(service).set_leaving(endpoint, true);
            tokio::spawn(watch_for_return(self.clone(), service, endpoint));
        }
        match &notice.rest {
            RequestedRest::None => {}
            RequestedRest::For(duration_ms) => {
                log::info!("router: endpoint {name} requests a rest of {duration_ms} ms");
                self.notices.record_rest(self.peers.clock.now(), endpoint, *duration_ms);
                self.link(service).record_rest(endpoint, *duration_ms);
            }
            RequestedRest::Unreadable(value) => {
                log::info!(
                    "router: endpoint {name} requests a rest of unreadable duration: {value:?}"
                );
            }
        }
    }

    fn address_of(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.config().endpoints.get(&endpoint)?.address.parse().ok()
    }
}

/// Waits until a leaving endpoint has stopped and is back, until it is declared at another address
/// or until [`MAX_LEAVING_TIME`] has passed, and then clears its notices.
async fn watch_for_return(router: Arc<Router>, service: ServiceId, endpoint: EndpointId) {
    let started_at = BootInstant::now();
    let address = router.address_of(endpoint);
    let mut has_ended = false;
    while let Some(address) = address.filter(|_| router.address_of(endpoint) == address) {
        if started_at.elapsed() > MAX_LEAVING_TIME {
            break;
        }
        match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) if has_ended => break,
            Ok(Ok(_)) => {}
            // A time-out does not prove that the endpoint has stopped: it may be cut off.
            Err(_) => {}
            Ok(Err(_)) => has_ended = true,
        }
        tokio::time::sleep(RECONNECT_INTERVAL).await;
    }
    log::info!(
        "router: endpoint {} is no longer leaving: back, declared elsewhere or timed out",
        endpoint.0
    );
    router.notices.clear(endpoint);
    router.link(service).set_leaving(endpoint, false);
}
