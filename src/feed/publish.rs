//! The control host's side of a feed.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use super::{EndpointsAfter, FeedMessage, FeedRequest, Followers, Neighbour};
use crate::control::Leadership;
use crate::error::{Result, RpcSnafu};
use crate::member::View;
use crate::peer::PeerReader;
use crate::registry::{Changes, EndpointState, Registration, Scope, SharedRegistry};
use crate::rollout::SharedRollouts;
use crate::routing::Documents;
use crate::wire::{HostId, KEEP_ALIVE, Role, SentBytes, Traffic, write_frame, write_keep_alive};

/// How long a subscriber may take to read one message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Requests of one subscriber that may wait; one at a time is usual.
const REQUESTS: usize = 4;
/// Endpoints in one message, some 10 KB: what a subscriber that reads slowly holds up.
const MOST_ENDPOINTS: usize = 256;
/// How long changes of endpoints gather before a subscriber is told again: thousands
/// that register within a second come in twenty messages, not in thousands. Short
/// beside the 2 s in which a leaving endpoint must get no new work.
const GATHER: Duration = Duration::from_millis(50);

/// What a feed tells of, and to whom.
#[derive(Clone, Debug)]
pub struct Publication {
    /// Who follows.
    pub subscriber: HostId,
    /// The routing in force.
    pub documents: Arc<Documents>,
    /// The endpoints.
    pub registry: Arc<SharedRegistry>,
    /// Releases that are rolled out.
    pub rollouts: Arc<SharedRollouts>,
    /// Who leads.
    pub leadership: watch::Receiver<Leadership>,
    /// The other hosts.
    pub view: watch::Receiver<Arc<View>>,
    /// Names the numbers of the registry's changes: this start of the process.
    pub numbering: u64,
    /// Where it is noted what each feed was told.
    pub followers: Arc<Followers>,
}

/// How far a subscriber has been told of endpoints.
#[derive(Clone, Copy, Debug)]
struct Cursor {
    /// The last change that it was told.
    told: u64,
    /// Endpoints that went before this change are passed over.
    gone_after: u64,
    scope: Scope,
    /// When it may be told again.
    not_before: Instant,
}

/// Tells one subscriber everything, and then each change, until it leaves. Routing
/// tables and endpoints are sent when it asks.
pub async fn publish(
    publication: Publication,
    sent: SentBytes,
    reader: PeerReader,
    mut writer: OwnedWriteHalf,
) -> Result<()> {
    let Publication {
        subscriber,
        documents,
        registry,
        rollouts,
        mut leadership,
        mut view,
        numbering,
        followers,
    } = publication;
    let follower = followers.opened(subscriber);
    let (requests, mut asked) = mpsc::channel(REQUESTS);
    let _reading = AbortOnDropHandle::new(tokio::spawn(read_requests(reader, requests)));
    let mut routing = documents.watch();
    routing.mark_changed();
    leadership.mark_changed();
    view.mark_changed();
    let mut table = rollouts.watch();
    table.mark_changed();
    let mut offers = rollouts.watch_offers();
    let mut routers = 0;
    let mut drained = 0;
    let mut cursor: Option<Cursor> = None;
    let mut changes = registry.watch();
    changes.mark_changed();
    let mut said = Instant::now();
    loop {
        let behind = cursor.filter(|c| c.told < registry.read(|r| r.last_change()));
        // Who is told of a route is told of the endpoints before.
        let is_routing_next = routing.has_changed().unwrap_or(false);
        let due_at = behind.map(|c| if is_routing_next { Instant::now() } else { c.not_before });
        // In this order: whoever has a routing knows who leads, so that it can tell
        // whether the routing is the newest.
        let next = tokio::select! {
            biased;
            () = follower.superseded() => return Ok(()),
            Ok(()) = leadership.changed() => {
                let known = leadership.borrow_and_update();
                FeedMessage::Leader { term: known.term, leader: known.leader }
            }
            Ok(()) = view.changed() => {
                let now = view.borrow_and_update().with_role(Role::Router).count() as u32;
                if std::mem::replace(&mut routers, now) == now {
                    continue;
                }
                FeedMessage::Routers(now)
            }
            Ok(()) = changes.changed() => {
                let now = registry.read(|r| r.drained().clone());
                if std::mem::replace(&mut drained, now.revision()) == now.revision() {
                    continue;
                }
                FeedMessage::DrainedHalls(now)
            }
            Ok(()) = table.changed() => {
                let now = table.borrow_and_update().clone();
                if now.revision() == 0 {
                    continue;
                }
                FeedMessage::Rollouts((*now).clone())
            }
            Ok(()) = offers.changed() => FeedMessage::Grants(offers.borrow_and_update().clone()),
            () = wait_until(due_at) => {
                let Some(cursor) = &mut cursor else { continue };
                let changes = registry
                    .read(|r| r.changes_after(cursor.told, MOST_ENDPOINTS, cursor.scope));
                cursor.advance(&changes);
                let endpoints = cursor.wanted(changes.endpoints);
                if endpoints.is_empty() {
                    continue;
                }
                let (upto, scope) = (changes.upto, cursor.scope);
                FeedMessage::Endpoints { numbering, upto, scope, endpoints }
            }
            Ok(()) = routing.changed() => match routing.borrow_and_update().clone() {
                Some(routing) => FeedMessage::RoutingVersion(routing.table.version),
                None => continue,
            },
            request = asked.recv() => match request {
                Some(FeedRequest::Routing) => match documents.current() {
                    Some(routing) => FeedMessage::Routing {
                        version: routing.table.version,
                        encoded: routing.encoded(),
                    },
                    None => continue,
                },
                Some(FeedRequest::Neighbours { hall }) => {
                    FeedMessage::Neighbours(neighbours(&view.borrow(), &hall))
                }
                Some(FeedRequest::RolloutReport(report)) => {
                    rollouts.reported(subscriber, report);
                    continue;
                }
                Some(FeedRequest::Endpoints(after)) => {
                    cursor = Some(Cursor::new(after, numbering, &registry));
                    // Who was told before knows what the sender only remembers.
                    let remembered = registry.read(|r| r.remembered().cloned().collect());
                    match after.numbering {
                        0 => FeedMessage::Remembered(remembered),
                        _ => continue,
                    }
                }
                Some(FeedRequest::NoEndpoints) => {
                    cursor = None;
                    continue;
                }
                None => return Ok(()),
            },
            () = tokio::time::sleep_until(said + KEEP_ALIVE) => {
                said = Instant::now();
                within_limit(&sent.of(Traffic::Routing), write_keep_alive(&mut writer)).await?;
                continue;
            }
        };
        said = Instant::now();
        let announced = match next {
            FeedMessage::RoutingVersion(version) => Some(version),
            _ => None,
        };
        write(&mut writer, &sent, next).await?;
        if let Some(version) = announced {
            follower.told(version);
        }
    }
}

async fn wait_until(due_at: Option<Instant>) {
    match due_at {
        // A timer may fire a millisecond late; what is due comes first.
        Some(due_at) if due_at <= Instant::now() => {}
        Some(due_at) => tokio::time::sleep_until(due_at).await,
        None => std::future::pending().await,
    }
}

impl Cursor {
    fn new(after: EndpointsAfter, numbering: u64, registry: &SharedRegistry) -> Cursor {
        let is_known = after.numbering == numbering;
        let told = if is_known { after.change } else { 0 };
        let gone_after = match after.with_gone || is_known {
            true => 0,
            false => registry.read(|r| r.last_change()),
        };
        Cursor { told, gone_after, scope: after.scope, not_before: Instant::now() }
    }

    fn advance(&mut self, changes: &Changes) {
        // What is left is sent at once; what changes later waits for more.
        if changes.endpoints.len() < MOST_ENDPOINTS {
            self.not_before = Instant::now() + GATHER;
        }
        self.told = changes.upto;
    }

    fn wanted(&self, mut endpoints: Vec<Registration>) -> Vec<Registration> {
        if self.told <= self.gone_after {
            endpoints.retain(|endpoint| endpoint.state != EndpointState::Gone);
        }
        endpoints
    }
}

/// The routers of a data hall that take requests.
pub(super) fn neighbours(view: &View, hall: &str) -> Vec<Neighbour> {
    let of_hall = view.with_role(Role::Router).filter(|m| m.hall == hall && !m.draining);
    of_hall.map(|m| Neighbour { host: m.host, peer: m.peer }).collect()
}

/// Reads what the subscriber asks for until its connection ends.
async fn read_requests(mut reader: PeerReader, requests: mpsc::Sender<FeedRequest>) {
    // The end of the connection ends the feed too, which says so.
    while let Ok(batch) = reader.next::<Vec<FeedRequest>>().await {
        for request in batch {
            if requests.send(request).await.is_err() {
                return;
            }
        }
    }
}

async fn write(writer: &mut OwnedWriteHalf, sent: &SentBytes, message: FeedMessage) -> Result<()> {
    let traffic = match message {
        FeedMessage::Endpoints { .. } | FeedMessage::Remembered(_) => Traffic::Endpoints,
        _ => Traffic::Routing,
    };
    within_limit(&sent.of(traffic), write_frame(writer, &message)).await
}

async fn within_limit(sent: &SentBytes, writing: impl Future<Output = Result<u64>>) -> Result<()> {
    match tokio::time::timeout(WRITE_TIMEOUT, writing).await {
        Ok(bytes) => sent.add(bytes?),
        Err(_) => return RpcSnafu { message: "a subscriber reads nothing" }.fail(),
    }
    Ok(())
}
