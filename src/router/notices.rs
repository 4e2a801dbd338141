//! What endpoints say of themselves in their answers, where a router hears it.
//!
//! Endpoints are declared by operators, and do not say when they started. One that said that
//! it leaves counts as started again once it has refused a connection and takes one again.

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

/// How often it is looked whether an endpoint that leaves has ended, or is back: more often
/// than a process can end and be started again.
const LOOK: Duration = Duration::from_millis(100);
/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_millis(400);
/// Longest time for which an endpoint is taken to leave. A planned stop ends within minutes;
/// one that was started again unseen is used again.
const LONGEST_LEAVE: Duration = Duration::from_secs(600);

/// What endpoints said.
#[derive(Debug, Default)]
pub(super) struct Heard {
    leaving: Mutex<HashSet<EndpointId>>,
    rests: Mutex<HashMap<EndpointId, Rest>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Heard {
    /// Whether an endpoint said that it leaves.
    pub fn is_leaving(&self, endpoint: EndpointId) -> bool {
        lock(&self.leaving).contains(&endpoint)
    }

    /// Milliseconds that are left of an endpoint's rest.
    pub fn rest_left(&self, now: Millis, endpoint: EndpointId) -> Option<Millis> {
        lock(&self.rests).get(&endpoint)?.remaining(now)
    }

    fn leaves(&self, endpoint: EndpointId) -> bool {
        lock(&self.leaving).insert(endpoint)
    }

    fn is_back(&self, endpoint: EndpointId) {
        lock(&self.leaving).remove(&endpoint);
        lock(&self.rests).remove(&endpoint);
    }

    fn rests(&self, now: Millis, endpoint: EndpointId, time: Millis) {
        let mut rests = lock(&self.rests);
        rests.retain(|_, rest| rest.remaining(now).is_some());
        rests.entry(endpoint).or_default().extend(now, time);
    }
}

impl Job {
    /// Takes in what an answer says of its endpoint.
    pub(super) fn take_notice(&self, endpoint: EndpointId, name: &str, notice: &Notice) {
        self.router.take_notice(self.service_id, endpoint, name, notice);
    }
}

impl Router {
    /// Whether an endpoint may get a request at this moment.
    pub(super) fn takes_work(&self, endpoint: EndpointId) -> bool {
        let now = self.peers.clock.now();
        !self.is_leaving(endpoint) && self.heard.rest_left(now, endpoint).is_none()
    }

    /// Takes in what an answer says of its endpoint, and tells the dispatcher of its service:
    /// that one decides for all routers, and hears no answer itself.
    pub(super) fn take_notice(
        self: &Arc<Self>,
        service: ServiceId,
        endpoint: EndpointId,
        name: &str,
        notice: &Notice,
    ) {
        if notice.leaves && self.heard.leaves(endpoint) {
            log::info!("router: endpoint {name} says in an answer that it leaves");
            self.link(service).set_leaving(endpoint, true);
            tokio::spawn(watch_return(self.clone(), service, endpoint));
        }
        match &notice.rest {
            RequestedRest::None => {}
            RequestedRest::For(time) => {
                log::info!("router: endpoint {name} asks for {time} ms of rest");
                self.heard.rests(self.peers.clock.now(), endpoint, *time);
                self.link(service).rest(endpoint, *time);
            }
            RequestedRest::Unreadable(says) => {
                log::info!("router: endpoint {name} asks for no time: {says:?}");
            }
        }
    }

    fn address_of(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.config().endpoints.get(&endpoint)?.address.parse().ok()
    }
}

/// Waits until an endpoint that leaves has ended and is back, or is declared elsewhere.
async fn watch_return(router: Arc<Router>, service: ServiceId, endpoint: EndpointId) {
    let since = BootInstant::now();
    let address = router.address_of(endpoint);
    let mut has_ended = false;
    while let Some(address) = address.filter(|_| router.address_of(endpoint) == address) {
        if since.elapsed() > LONGEST_LEAVE {
            break;
        }
        match tokio::time::timeout(CONNECT, TcpStream::connect(address)).await {
            Ok(Ok(_)) if has_ended => break,
            Ok(Ok(_)) => {}
            // A silent one may be cut off: that is no end.
            Err(_) => {}
            Ok(Err(_)) => has_ended = true,
        }
        tokio::time::sleep(LOOK).await;
    }
    log::info!("router: endpoint {} is back, or declared elsewhere", endpoint.0);
    router.heard.is_back(endpoint);
    router.link(service).set_leaving(endpoint, false);
}
