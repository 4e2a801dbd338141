//! The control host's side of a feed.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use super::cursor::Cursor;
use super::subscribers::{SubscriberFeed, Subscribers};
use super::{FeedMessage, FeedRequest, FleetState, LeaderNews, Neighbour};
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

/// How long a subscriber may take to read one message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Requests of one subscriber that may wait; one at a time is usual.
const REQUESTS: usize = 4;

/// What a feed tells of, and to whom.
#[derive(Clone, Debug)]
pub struct Publication {
    /// Who follows.
    pub subscriber: HostId,
    /// What it is told of.
    pub fleet_state: FleetState,
    /// Who leads.
    pub leadership: watch::Receiver<Leadership>,
    /// The other hosts.
    pub view: watch::Receiver<Arc<View>>,
    /// Names the numbers of the registry's changes: this start of the process.
    pub numbering: u64,
    /// Where it is noted what each feed was told.
    pub subscribers: Arc<Subscribers>,
}

/// Why a feed goes on.
#[derive(Debug)]
enum Event {
    Leadership,
    Hosts,
    Registry,
    Rollouts,
    Grants,
    Quarantine,
    EndpointsDue,
    Routing,
    Asked(FeedRequest),
    KeepAliveDue,
    /// The subscriber has left, or opened another feed.
    Over,
}

/// A feed to one subscriber.
struct Feed {
    publication: Publication,
    follower: SubscriberFeed,
    routing: watch::Receiver<Option<Arc<Routing>>>,
    changes: watch::Receiver<u64>,
    rollouts: watch::Receiver<Arc<Rollouts>>,
    grants: watch::Receiver<Grants>,
    quarantine: watch::Receiver<Arc<Quarantines>>,
    asked: mpsc::Receiver<FeedRequest>,
    /// How many routers it was told of.
    routers: u32,
    /// Revision of the drained halls that it was told.
    drained: u64,
    /// Revision of the requests that crash endpoints that it was told.
    quarantined: u64,
    /// How far it was told of endpoints; none where it has not asked.
    cursor: Option<Cursor>,
    /// When it was last told anything.
    told_at: Instant,
}

/// Tells one subscriber everything, and then each change, until it leaves. Routing
/// tables and endpoints are sent when it asks.
pub async fn publish(
    publication: Publication,
    sent: SentBytes,
    reader: PeerReader,
    mut writer: OwnedWriteHalf,
) -> Result<()> {
    let (requests, asked) = mpsc::channel(REQUESTS);
    let _reading = AbortOnDropHandle::new(tokio::spawn(read_requests(reader, requests)));
    let mut feed = Feed::new(publication, asked);
    loop {
        let message = match feed.wait().await {
            Event::Over => return Ok(()),
            Event::KeepAliveDue => {
                write_within_limit(&sent.of(Traffic::Routing), write_keep_alive(&mut writer))
                    .await?;
                feed.told_at = Instant::now();
                continue;
            }
            event => feed.message(event),
        };
        let Some(message) = message else { continue };
        write(&mut writer, &sent, &message).await?;
        feed.note_told(&message);
    }
}

impl Feed {
    /// A feed that was told nothing yet.
    fn new(mut publication: Publication, asked: mpsc::Receiver<FeedRequest>) -> Feed {
        let mut routing = publication.fleet_state.documents.watch();
        let mut changes = publication.fleet_state.registry.watch();
        let mut rollouts = publication.fleet_state.rollouts.watch();
        let mut quarantine = publication.fleet_state.quarantine.watch();
        routing.mark_changed();
        changes.mark_changed();
        rollouts.mark_changed();
        quarantine.mark_changed();
        publication.leadership.mark_changed();
        publication.view.mark_changed();
        Feed {
            follower: publication.subscribers.opened(publication.subscriber),
            grants: publication.fleet_state.rollouts.watch_grants(),
            publication,
            routing,
            changes,
            rollouts,
            quarantine,
            asked,
            routers: 0,
            drained: 0,
            quarantined: 0,
            cursor: None,
            told_at: Instant::now(),
        }
    }

    async fn wait(&mut self) -> Event {
        let due_at = self.endpoints_due_at();
        // In this order: whoever has a routing knows who leads, so that it can tell
        // whether the routing is the newest.
        tokio::select! {
            biased;
            () = self.follower.superseded() => Event::Over,
            Ok(()) = self.publication.leadership.changed() => Event::Leadership,
            Ok(()) = self.publication.view.changed() => Event::Hosts,
            Ok(()) = self.changes.changed() => Event::Registry,
            Ok(()) = self.rollouts.changed() => Event::Rollouts,
            Ok(()) = self.grants.changed() => Event::Grants,
            Ok(()) = self.quarantine.changed() => Event::Quarantine,
            () = wait_until(due_at) => Event::EndpointsDue,
            Ok(()) = self.routing.changed() => Event::Routing,
            request = self.asked.recv() => request.map_or(Event::Over, Event::Asked),
            () = tokio::time::sleep_until(self.told_at + KEEP_ALIVE_INTERVAL) => Event::KeepAliveDue,
        }
    }

    /// When endpoints are to be told, if any have changed.
    fn endpoints_due_at(&self) -> Option<Instant> {
        let cursor = self.cursor.as_ref()?;
        let last_change = self.publication.fleet_state.registry.read(|r| r.last_change());
        if !cursor.is_behind(last_change) {
            return None;
        }
        // Who is told of a route is told of the endpoints before.
        let is_routing_next = self.routing.has_changed().unwrap_or(false);
        Some(if is_routing_next { Instant::now() } else { cursor.not_before() })
    }

    /// What to say, if there is anything.
    fn message(&mut self, event: Event) -> Option<FeedMessage> {
        match event {
            Event::Leadership => {
                let known = self.publication.leadership.borrow_and_update();
                Some(FeedMessage::Leader(LeaderNews {
                    term: known.term,
                    leader: known.leader,
                    has_caught_up: known.has_caught_up,
                }))
            }
            Event::Hosts => {
                let view = self.publication.view.borrow_and_update();
                let now = view.with_role(Role::Router).count() as u32;
                let before = std::mem::replace(&mut self.routers, now);
                (before != now).then_some(FeedMessage::Routers(now))
            }
            Event::Registry => {
                let now = self.publication.fleet_state.registry.read(|r| r.drained().clone());
                let before = std::mem::replace(&mut self.drained, now.revision());
                (before != now.revision()).then_some(FeedMessage::DrainedHalls(now))
            }
            Event::Rollouts => {
                let now = self.rollouts.borrow_and_update().clone();
                (now.revision() != 0).then(|| FeedMessage::Rollouts((*now).clone()))
            }
            Event::Grants => Some(FeedMessage::Grants(self.grants.borrow_and_update().clone())),
            Event::Quarantine => {
                let now = self.quarantine.borrow_and_update().clone();
                let told = std::mem::replace(&mut self.quarantined, now.revision());
                now.update_after(told).map(FeedMessage::Quarantine)
            }
            Event::EndpointsDue => self.endpoints(),
            Event::Routing => {
                let routing = self.routing.borrow_and_update().clone()?;
                Some(FeedMessage::RoutingVersion(routing.table.version))
            }
            Event::Asked(request) => self.answer(request),
            Event::KeepAliveDue | Event::Over => None,
        }
    }

    fn endpoints(&mut self) -> Option<FeedMessage> {
        let cursor = self.cursor.as_mut()?;
        let (endpoints, upto) = cursor.next(&self.publication.fleet_state.registry);
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
                let routing = publication.fleet_state.documents.current()?;
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
                    log::warn!("quarantine: too many reports of crashes, one is dropped");
                }
                None
            }
            FeedRequest::EndpointsLeave(starts) => {
                // As first hand: the other control hosts are told.
                publication.fleet_state.registry.record_leaving(&starts, Origin::Direct);
                None
            }
            FeedRequest::Speak { waking } => Some(FeedMessage::Speaks { waking }),
            FeedRequest::Endpoints(after) => {
                let cursor =
                    Cursor::new(after, publication.numbering, &publication.fleet_state.registry);
                self.cursor = Some(cursor);
                // Who was told before knows what the sender only remembers.
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

    /// A message was written.
    fn note_told(&mut self, message: &FeedMessage) {
        self.told_at = Instant::now();
        if let FeedMessage::RoutingVersion(version) = message {
            self.follower.told(*version);
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
        Err(_) => return RpcSnafu { message: "a subscriber reads nothing" }.fail(),
    }
    Ok(())
}
