//! The control host's side of a feed.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::watch;

use super::FeedMessage;
use crate::control::Leadership;
use crate::error::{Result, RpcSnafu};
use crate::registry::SharedRegistry;
use crate::routing::Documents;
use crate::wire::{SentBytes, write_frame};

/// How long a subscriber may take to read one message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Tells one subscriber everything, and then each change, until it leaves.
pub async fn publish(
    documents: Arc<Documents>,
    registry: Arc<SharedRegistry>,
    mut leadership: watch::Receiver<Leadership>,
    sent: SentBytes,
    mut writer: OwnedWriteHalf,
) -> Result<()> {
    let mut routing = documents.watch();
    routing.mark_changed();
    leadership.mark_changed();
    let (known, mut changes) = registry.subscribe();
    let mut next = FeedMessage::Endpoints(known);
    loop {
        let write = write_frame(&mut writer, &next);
        match tokio::time::timeout(WRITE_TIMEOUT, write).await {
            Ok(written) => sent.add(written?),
            Err(_) => return RpcSnafu { message: "a subscriber reads nothing" }.fail(),
        }
        next = tokio::select! {
            changed = changes.recv() => match changed {
                Ok(endpoint) => FeedMessage::Endpoints(vec![endpoint]),
                Err(RecvError::Lagged(_)) => {
                    FeedMessage::Endpoints(registry.read(|r| r.all().cloned().collect()))
                }
                Err(RecvError::Closed) => return Ok(()),
            },
            Ok(()) = leadership.changed() => {
                let known = leadership.borrow_and_update();
                FeedMessage::Leader { term: known.term, leader: known.leader }
            }
            Ok(()) = routing.changed() => match routing.borrow_and_update().clone() {
                Some(routing) => FeedMessage::Routing(Box::new(routing.table.clone())),
                None => FeedMessage::Endpoints(Vec::new()),
            },
        };
    }
}
