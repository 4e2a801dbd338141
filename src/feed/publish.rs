//! The publisher of a feed, on a control host.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use super::cursor::Cursor;
use super::subscribers::{SubscriberFeed, Subscribers};
use super::{FeedMessage, FeedRequest, FleetState, LeaderUpdate, Neighbour};
use crate::control::Leadership;
use crate::error::{Result, RpcSnafu};
use crate::member::View;
use crate::peer::PeerReader;
use crate::quarantine::Quarantines;
use crate::registry::Origin;
use crate::rollout::{Grants, Rollouts};
use crate::routing::Routing;
use crate::wire::{
    HostId, KEEP_ALIVE_INTERVAL, Role, SentBytes, Traffic, write_frame, write_keep_alive,
};

/// The time-out for writing one message to a subscriber.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The capacity of the queue of a subscriber's requests; usually one at a time is queued.
const REQUEST_QUEUE: usize = 4;

/// What is published to a subscriber.
#[derive(Clone, Debug)]
pub struct Publication {
    /// The subscriber.
    pub subscriber: HostId,
    /// The state whose changes are published.
    pub fleet_state: FleetState,
    /// The leader of the agreement.
    pub leadership: watch::Receiver<Leadership>,
    /// The view of the hosts.
    pub view: watch::Receiver<Arc<View>>,
    /// The number of live routers.
    pub router_count: watch::Receiver<u32>,
    /// The start of this process, which identifies the numbering of the registry's changes.
    pub numbering: u64,
    /// Records the open feeds and the routing version sent to each.
    pub subscribers: Arc<Subscribers>,
}

/// What a feed reacts to.
#[derive(Debug)]
pub(super) enum Event {
    Leadership,
    RouterCount,
    DrainedHalls,
    Rollouts,
    Grants,
    Quarantine,
    EndpointsChanged,
    EndpointsDue,
    Routing,
    Requested(FeedRequest),
    KeepAliveDue,
    /// The subscriber has closed the connection, or opened another feed.
    Closed,
}

/// The feed of one subscriber.
pub(super) struct Feed {
    publication: Publication,
    subscriber_feed: SubscriberFeed,
    routing: watch::Receiver<Option<Arc<Routing>>>,
    changes: watch::Receiver<u64>,
    drained: watch::Receiver<u64>,
    rollouts: watch::Receiver<Arc<Rollouts>>,
    grants: watch::Receiver<Grants>,
    quarantine: watch::Receiver<Arc<Quarantines>>,
    requests: mpsc::Receiver<FeedRequest>,
    /// The number of routers that was last sent.
    sent_routers: u32,
    /// The revision of the drained halls that was last sent.
    sent_drained_revision: u64,
    /// The revision of the quarantine that was last sent.
    sent_quarantine_revision: u64,
    /// The position in the changes of endpoints; `None` where they are not requested.
    cursor: Option<Cursor>,
    /// When anything was last sent.
    last_sent_at: Instant,
}

/// Sends a subscriber the current state and then each change, until it closes the connection
/// or opens another feed. Routing tables and endpoints are sent on request only.
pub async fn publish(
    publication: Publication,
    sent: SentBytes,
    reader: PeerReader,
    mut writer: OwnedWriteHalf,
) -> Result<()> {
    let (sender, requests) = mpsc::channel(REQUEST_QUEUE);
    let _reading = AbortOnDropHandle::new(tokio::spawn(read_requests(reader, sender)));
    let mut feed = Feed::new(publication, requests);
    loop {
        let message = match feed.wait().await {
            Event::Closed => return Ok(()),
            Event::KeepAliveDue => {
                write_within_limit(&sent.of(Traffic::Routing), write_keep_alive(&mut writer))
                    .await?;
                feed.last_sent_at = Instant::now();
                continue;
            }
            event => feed.message_for(event),
        };
        let Some(message) = message else { continue };
        write(&mut writer, &sent, &message).await?;
        feed.record_sent(&message);
    }
}

impl Feed {
    /// A feed on which nothing was sent yet.
    pub fn new(mut publication: Publication, requests: mpsc::Receiver<FeedRequest>) -> Feed {
        let mut routing = publication.fleet_state.routing.watch();
        let changes = publication.fleet_state.registry.watch();
        let mut drained = publication.fleet_state.registry.watch_drained();
        let mut rollouts = publication.fleet_state.rollouts.watch();
        let mut quarantine = publication.fleet_state.quarantine.watch();
        routing.mark_changed();
        drained.mark_changed();
        rollouts.mark_changed();
        quarantine.mark_changed();
        publication.leadership.mark_changed();
        publication.router_count.mark_changed();
        Feed {
            subscriber_feed: publication.subscribers.open(publication.subscriber),
            grants: publication.fleet_state.rollouts.watch_grants(),
            publication,
            routing,
            changes,
            drained,
            rollouts,
            quarantine,
            requests,
            sent_routers: 0,
            sent_drained_revision: 0,
            sent_quarantine_revision: 0,
            cursor: None,
            last_sent_at: Instant::now(),
        }
    }

    /// Waits for the next event.
    pub async fn wait(&mut self) -> Event {
        let due_at = self.endpoints_due_at();
        // Most feeds carry no endpoints and must not wake up at each of their changes.
        let awaits_endpoints = self.cursor.is_some() && due_at.is_none();
        // The order matters: a subscriber learns of the leader before the routing, so that it
        // can tell whether the routing is the newest.
        tokio::select! {
            biased;
            () = self.subscriber_feed.superseded() => Event::Closed,
            Ok(()) = self.publication.leadership.changed() => Event::Leadership,
            Ok(()) = self.publication.router_count.changed() => Event::RouterCount,
            Ok(()) = self.drained.changed() => Event::DrainedHalls,
            Ok(()) = self.rollouts.changed() => Event::Rollouts,
            Ok(()) = self.grants.changed() => Event::Grants,
            Ok(()) = self.quarantine.changed() => Event::Quarantine,
            Ok(()) = self.changes.changed(), if awaits_endpoints => Event::EndpointsChanged,
            () = wait_until(due_at) => Event::EndpointsDue,
            Ok(()) = self.routing.changed() => Event::Routing,
            request = self.requests.recv() => request.map_or(Event::Closed, Event::Requested),
            () = tokio::time::sleep_until(self.last_sent_at + KEEP_ALIVE_INTERVAL) => {
                Event::KeepAliveDue
            }
        }
    }

    /// When the next update of endpoints is due, if any have changed.
    fn endpoints_due_at(&self) -> Option<Instant> {
        let cursor = self.cursor.as_ref()?;
        let last_change = self.publication.fleet_state.registry.read(|r| r.last_change());
        if !cursor.is_behind(last_change) {
            return None;
        }
        // Endpoints are sent before the routing that refers to them.
        let is_routing_next = self.routing.has_changed().unwrap_or(false);
        Some(if is_routing_next { Instant::now() } else { cursor.not_before() })
    }

    /// The message to send for an event, if there is one.
    pub fn message_for(&mut self, event: Event) -> Option<FeedMessage> {
        match event {
            Event::Leadership => {
                let known = self.publication.leadership.borrow_and_update();
                Some(FeedMessage::Leader(LeaderUpdate {
                    term: known.term,
                    leader: known.leader,
                    has_caught_up: known.has_caught_up,
                }))
            }
            Event::RouterCount => {
                let now = *self.publication.router_count.borrow_and_update();
                let before = std::mem::replace(&mut self.sent_routers, now);
                (before != now).then_some(FeedMessage::Routers(now))
            }
            Event::DrainedHalls => {
                self.drained.mark_unchanged();
                let now = self.publication.fleet_state.registry.read(|r| r.drained().clone());
                let before = std::mem::replace(&mut self.sent_drained_revision, now.revision());
                (before != now.revision()).then_some(FeedMessage::DrainedHalls(now))
            }
            Event::Rollouts => {
                let now = self.rollouts.borrow_and_update().clone();
                (now.revision() != 0).then(|| FeedMessage::Rollouts((*now).clone()))
            }
            Event::Grants => Some(FeedMessage::Grants(self.grants.borrow_and_update().clone())),
            Event::Quarantine => {
                let now = self.quarantine.borrow_and_update().clone();
                let before = std::mem::replace(&mut self.sent_quarantine_revision, now.revision());
                now.update_after(before).map(FeedMessage::Quarantine)
            }
            Event::EndpointsDue => self.endpoints(),
            Event::Routing => {
                let routing = self.routing.borrow_and_update().clone()?;
                Some(FeedMessage::RoutingVersion(routing.table.version))
            }
            Event::Requested(request) => self.answer(request),
            // The time at which they are due is computed anew.
            Event::EndpointsChanged | Event::KeepAliveDue | Event::Closed => None,
        }
    }

    fn endpoints(&mut self) -> Option<FeedMessage> {
        let cursor = self.cursor.as_mut()?;
        let (endpoints, upto) = cursor.next_batch(&self.publication.fleet_state.registry);
        if endpoints.is_empty() {
            return None;
        }
        let (numbering, scope) = (self.publication.numbering, cursor.scope());
        Some(FeedMessage::Endpoints { numbering, upto, scope, endpoints })
    }

    fn answer(&mut self, request: FeedRequest) -> Option<FeedMessage> {
        let publication = &self.publication;
        match request {
            FeedRequest::Routing => {
                let routing = publication.fleet_state.routing.current()?;
                let (version, encoded) = (routing.table.version, routing.encoded());
                Some(FeedMessage::Routing { version, encoded })
            }
            FeedRequest::Neighbours { hall } => {
                Some(FeedMessage::Neighbours(neighbours(&publication.view.borrow(), &hall)))
            }
            FeedRequest::RolloutReport(report) => {
                publication.fleet_state.rollouts.record_report(publication.subscriber, report);
                None
            }
            FeedRequest::CrashReport(report) => {
                if !publication
                    .fleet_state
                    .quarantine
                    .receive_report(publication.subscriber, report)
                {
                    log::warn!("quarantine: dropped a crash report, too many are pending");
                }
                None
            }
            FeedRequest::LeavingEndpoints(starts) => {
                // As direct, so that it is relayed to the other control hosts.
                publication.fleet_state.registry.record_leaving(&starts, Origin::Direct);
                None
            }
            FeedRequest::Probe { stall } => Some(FeedMessage::ProbeAnswer { stall }),
            FeedRequest::Endpoints(after) => {
                self.cursor = Some(Cursor::new(after, publication.numbering));
                // A subscriber that received updates before already has the remembered endpoints.
                let remembered =
                    || publication.fleet_state.registry.read(|r| r.remembered().cloned().collect());
                (after.numbering == 0).then(|| FeedMessage::Remembered(remembered()))
            }
            FeedRequest::NoEndpoints => {
                self.cursor = None;
                None
            }
        }
    }

    /// Records that a message was sent.
    fn record_sent(&mut self, message: &FeedMessage) {
        self.last_sent_at = Instant::now();
        if let FeedMessage::RoutingVersion(version) = message {
            self.subscriber_feed.record_version_sent(*version);
        }
    }
}

async fn wait_until(due_at: Option<Instant>) {
    match due_at {
        // A timer may fire a millisecond late, and other events would then come first.
        Some(due_at) if due_at <= Instant::now() => {}
        Some(due_at) => tokio::time::sleep_until(due_at).await,
        None => std::future::pending().await,
    }
}

/// The routers of a data hall that accept requests.
pub(super) fn neighbours(view: &View, hall: &str) -> Vec<Neighbour> {
    let in_hall = view.with_role(Role::Router).filter(|m| m.hall == hall && !m.draining);
    in_hall.map(|m| Neighbour { host: m.host, peer: m.peer }).collect()
}

/// Reads the subscriber's requests until its connection ends.
async fn read_requests(mut reader: PeerReader, sender: mpsc::Sender<FeedRequest>) {
    // The end of the connection also ends the feed, so the error is not reported here.
    while let Ok(batch) = reader.next::<Vec<FeedRequest>>().await {
        for request in batch {
            if sender.send(request).await.is_err() {
                return;
            }
        }
    }
}

async fn write(writer: &mut OwnedWriteHalf, sent: &SentBytes, message: &FeedMessage) -> Result<()> {
    let traffic = match message {
        FeedMessage::Endpoints { .. } | FeedMessage::Remembered(_) => Traffic::Endpoints,
        _ => Traffic::Routing,
    };
    write_within_limit(&sent.of(traffic), write_frame(writer, message)).await
}

async fn write_within_limit(
    sent: &SentBytes,
    writing: impl Future<Output = Result<u64>>,
) -> Result<()> {
    match tokio::time::timeout(WRITE_TIMEOUT, writing).await {
        Ok(bytes) => sent.add(bytes?),
        Err(_) => return RpcSnafu { message: "write to a subscriber timed out" }.fail(),
    }
    Ok(())
}
