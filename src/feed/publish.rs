//! The control host's side of a feed.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::{mpsc, watch};
use tokio_util::task::AbortOnDropHandle;

use super::{FeedMessage, FeedRequest, Neighbour};
use crate::control::Leadership;
use crate::error::{Result, RpcSnafu};
use crate::member::View;
use crate::peer::PeerReader;
use crate::registry::SharedRegistry;
use crate::routing::Documents;
use crate::wire::{Role, SentBytes, write_frame};

/// How long a subscriber may take to read one message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Requests of one subscriber that may wait; one at a time is usual.
const REQUESTS: usize = 4;

/// Tells one subscriber everything, and then each change, until it leaves. Routing
/// tables are sent when it asks.
pub async fn publish(
    documents: Arc<Documents>,
    registry: Arc<SharedRegistry>,
    mut leadership: watch::Receiver<Leadership>,
    mut view: watch::Receiver<Arc<View>>,
    sent: SentBytes,
    reader: PeerReader,
    mut writer: OwnedWriteHalf,
) -> Result<()> {
    let (requests, mut asked) = mpsc::channel(REQUESTS);
    let _reading = AbortOnDropHandle::new(tokio::spawn(read_requests(reader, requests)));
    let mut routing = documents.watch();
    routing.mark_changed();
    leadership.mark_changed();
    view.mark_changed();
    let mut routers = 0;
    let (known, mut changes) = registry.subscribe();
    write(&mut writer, &sent, FeedMessage::Endpoints(known)).await?;
    let remembered: Vec<_> = registry.read(|r| r.remembered().cloned().collect());
    if !remembered.is_empty() {
        write(&mut writer, &sent, FeedMessage::Remembered(remembered)).await?;
    }
    loop {
        // In this order: whoever has a routing knows who leads, so that it can tell
        // whether the routing is the newest.
        let next = tokio::select! {
            biased;
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
                None => return Ok(()),
            },
            changed = changes.recv() => match changed {
                Ok(endpoint) => FeedMessage::Endpoints(vec![endpoint]),
                Err(RecvError::Lagged(_)) => {
                    FeedMessage::Endpoints(registry.read(|r| r.all().cloned().collect()))
                }
                Err(RecvError::Closed) => return Ok(()),
            },
        };
        write(&mut writer, &sent, next).await?;
    }
}

/// The routers of a data hall that take requests.
fn neighbours(view: &View, hall: &str) -> Vec<Neighbour> {
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
    let written = write_frame(writer, &message);
    match tokio::time::timeout(WRITE_TIMEOUT, written).await {
        Ok(bytes) => sent.add(bytes?),
        Err(_) => return RpcSnafu { message: "a subscriber reads nothing" }.fail(),
    }
    Ok(())
}
