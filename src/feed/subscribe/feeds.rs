//! One task for each control host whose feed is followed.

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
use crate::feed::following::{self, Following};
use crate::wire::{BatchWriter, HostId, Open};

/// How long to wait before a lost feed is opened again.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// The same at most; doubled each time that no connection comes about. A host that
/// is heard again after a suspicion is called at once.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// A feed task; it ends when this is dropped.
struct Feed {
    delivered: Arc<AtomicU64>,
    _task: AbortOnDropHandle<()>,
}

/// Opens and ends feeds as control hosts come and go.
pub(super) async fn follow_view(all: Arc<Subscriptions>) {
    let mut view = all.peers.watch();
    let mut following = Following::default();
    let mut feeds: BTreeMap<HostId, Feed> = BTreeMap::new();
    loop {
        let now = view.borrow_and_update().clone();
        let delivered =
            |host| feeds.get(&host).map_or(0, |feed: &Feed| feed.delivered.load(Ordering::Relaxed));
        for step in following.adopt(all.peers.me, &now, delivered) {
            match step {
                following::Step::End(host, reason) => {
                    log::info!("feed: ended, control host {host} {reason}");
                    feeds.remove(&host);
                    all.lost(host);
                }
                following::Step::Open(host, address) => {
                    let delivered = Arc::new(AtomicU64::new(0));
                    let task = follow(all.clone(), host, address, delivered.clone());
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

async fn follow(
    all: Arc<Subscriptions>,
    host: HostId,
    address: SocketAddr,
    delivered: Arc<AtomicU64>,
) {
    let mut pause = FIRST_PAUSE;
    loop {
        let before = delivered.load(Ordering::Relaxed);
        if let Err(error) = read_feed(&all, host, address, &delivered).await {
            log::warn!("feed: lost control host {host}: {error}");
            if matches!(error, Error::SilenceTimeout) {
                // Nobody may be told.
                let _ = all.silent.send(host);
            }
        }
        all.lost(host);
        if delivered.load(Ordering::Relaxed) > before {
            pause = FIRST_PAUSE;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

async fn read_feed(
    all: &Subscriptions,
    host: HostId,
    address: SocketAddr,
    delivered: &AtomicU64,
) -> Result<()> {
    let open = Open::Feed { host: all.peers.me };
    let (reader, writer) = all.peers.connect(address, &open).await?;
    // A feed may have nothing to tell for hours, and its connection may die meanwhile.
    let mut reader = reader.with_silence_timeout();
    let (requests, batch) = BatchWriter::immediate(Some(all.peers.sent.clone()));
    // The writing half stays open for as long as the reader works.
    let _writing = AbortOnDropHandle::new(tokio::spawn(batch.run(writer, || ready(()))));
    log::info!("feed: follows control host {host}");
    all.opened(host, requests);
    loop {
        let message = reader.next_or_keep_alive::<FeedMessage>().await?;
        delivered.fetch_add(1, Ordering::Relaxed);
        all.news().heard(all.peers.clock.now(), host);
        if let Some(message) = message {
            all.take(host, message);
        }
    }
}
