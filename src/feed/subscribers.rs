//! The feeds that are open from this control host: what each was told, and one at most for
//! each subscriber.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio_util::sync::CancellationToken;

use crate::wire::HostId;

/// The open feeds, by who subscribed.
#[derive(Debug, Default)]
pub struct Subscribers {
    feeds: Mutex<BTreeMap<HostId, Feed>>,
    next: AtomicU64,
}

#[derive(Debug)]
struct Feed {
    number: u64,
    /// The routing version that it was told last.
    told: u64,
    superseded: CancellationToken,
}

/// One open feed; it counts no more when this is dropped.
#[derive(Debug)]
pub struct SubscriberFeed {
    subscriber: HostId,
    number: u64,
    superseded: CancellationToken,
    all: Arc<Subscribers>,
}

impl Subscribers {
    /// A subscriber opened a feed; it was told no version yet. The feed that it had before
    /// ends: its connection is dead, which this end may not find out for a quarter of an
    /// hour.
    pub fn opened(self: &Arc<Self>, subscriber: HostId) -> SubscriberFeed {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let superseded = CancellationToken::new();
        let feed = Feed { number, told: 0, superseded: superseded.clone() };
        if let Some(before) = self.with(|feeds| feeds.insert(subscriber, feed)) {
            before.superseded.cancel();
        }
        SubscriberFeed { subscriber, number, superseded, all: self.clone() }
    }

    /// Feeds that are open.
    pub fn count(&self) -> usize {
        self.with(|feeds| feeds.len())
    }

    /// Feeds that were told this version or a later one: it was written to the socket.
    /// That it came is seen at the subscriber only.
    pub fn count_sent(&self, version: u64) -> usize {
        self.with(|feeds| feeds.values().filter(|feed| feed.told >= version).count())
    }

    fn with<T>(&self, f: impl FnOnce(&mut BTreeMap<HostId, Feed>) -> T) -> T {
        f(&mut self.feeds.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl SubscriberFeed {
    /// The feed was told a routing version.
    pub fn told(&self, version: u64) {
        self.all.with(|feeds| {
            let own = feeds.get_mut(&self.subscriber).filter(|feed| feed.number == self.number);
            if let Some(feed) = own {
                feed.told = version;
            }
        });
    }

    /// Waits until the subscriber has opened another feed.
    pub async fn superseded(&self) {
        self.superseded.cancelled().await;
    }
}

impl Drop for SubscriberFeed {
    fn drop(&mut self) {
        self.all.with(|feeds| {
            if feeds.get(&self.subscriber).is_some_and(|feed| feed.number == self.number) {
                feeds.remove(&self.subscriber);
            }
        });
    }
}
