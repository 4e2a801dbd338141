//! Runs one task for each control host that is subscribed to.

use std::collections::BTreeMap;
use std::future::ready;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio_util::task::AbortOnDropHandle;

use super::Subscriptions;
use crate::error::{Error, Result};
use crate::feed::FeedMessage;
use crate::feed::feed_plan::{self, FeedPlan};
use crate::wire::{BatchWriter, HostId, Open};

/// The pause before a lost feed is opened again.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The limit of the pause, which doubles each time that a feed delivered nothing. The feed of
/// a host that is live again after a suspicion is opened at once.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// The task of a feed, which is aborted when this is dropped.
struct Feed {
    /// The number of messages and keep-alives that the feed has delivered.
    delivered: Arc<AtomicU64>,
    _task: AbortOnDropHandle<()>,
}

/// Opens and ends feeds as the view of control hosts changes.
pub(super) async fn follow_view(subscriptions: Arc<Subscriptions>) {
    let mut view = subscriptions.peers.watch();
    let mut plan = FeedPlan::default();
    let mut feeds: BTreeMap<HostId, Feed> = BTreeMap::new();
    loop {
        let current = view.borrow_and_update().clone();
        let delivered =
            |host| feeds.get(&host).map_or(0, |feed: &Feed| feed.delivered.load(Ordering::Relaxed));
        for step in plan.apply(subscriptions.peers.me, &current, delivered) {
            match step {
                feed_plan::Step::End(host, reason) => {
                    log::info!("feed: ended, control host {host} {reason}");
                    feeds.remove(&host);
                    subscriptions.on_feed_lost(host);
                }
                feed_plan::Step::Open(host, address) => {
                    let delivered = Arc::new(AtomicU64::new(0));
                    let task = run_feed(subscriptions.clone(), host, address, delivered.clone());
                    let _task = AbortOnDropHandle::new(tokio::spawn(task));
                    feeds.insert(host, Feed { delivered, _task });
                }
            }
        }
        if view.changed().await.is_err() {
            return;
        }
    }
}

async fn run_feed(
    subscriptions: Arc<Subscriptions>,
    host: HostId,
    address: SocketAddr,
    delivered: Arc<AtomicU64>,
) {
    let mut pause = MIN_RETRY_PAUSE;
    loop {
        let before = delivered.load(Ordering::Relaxed);
        if let Err(error) = read_feed(&subscriptions, host, address, &delivered).await {
            log::warn!("feed: lost control host {host}: {error}");
            if matches!(error, Error::SilenceTimeout) {
                // There may be no receiver.
                let _ = subscriptions.silent.send(host);
            }
        }
        subscriptions.on_feed_lost(host);
        if delivered.load(Ordering::Relaxed) > before {
            pause = MIN_RETRY_PAUSE;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
}

async fn read_feed(
    subscriptions: &Subscriptions,
    host: HostId,
    address: SocketAddr,
    delivered: &AtomicU64,
) -> Result<()> {
    let open = Open::Feed { host: subscriptions.peers.me };
    let (reader, writer) = subscriptions.peers.connect(address, &open).await?;
    // A feed may deliver only keep-alives for hours, and its connection may die meanwhile.
    let mut reader = reader.with_silence_timeout();
    let (requests, batch) = BatchWriter::immediate(Some(subscriptions.peers.sent.clone()));
    // The writing half stays open until the reader ends.
    let _writing = AbortOnDropHandle::new(tokio::spawn(batch.run(writer, || ready(()))));
    log::info!("feed: subscribed to control host {host}");
    subscriptions.on_feed_opened(host, requests);
    loop {
        let message = reader.next_or_keep_alive::<FeedMessage>().await?;
        delivered.fetch_add(1, Ordering::Relaxed);
        subscriptions.reports().record_received(subscriptions.peers.clock.now(), host);
        if let Some(message) = message {
            subscriptions.apply(host, message);
        }
    }
}
