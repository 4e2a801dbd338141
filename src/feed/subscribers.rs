//! The open feeds of this control host, at most one for each subscriber, and the routing
//! version sent to each.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio_util::sync::CancellationToken;

use crate::wire::HostId;

/// The open feeds, by subscriber.
#[derive(Debug, Default)]
pub struct Subscribers {
    feeds: Mutex<BTreeMap<HostId, Feed>>,
    next_number: AtomicU64,
}

#[derive(Debug)]
struct Feed {
    number: u64,
    /// The last routing version that was sent; 0 for none.
    sent_version: u64,
    superseded: CancellationToken,
}

/// An open feed; it is removed from the open feeds when this is dropped.
#[derive(Debug)]
pub struct SubscriberFeed {
    subscriber: HostId,
    number: u64,
    superseded: CancellationToken,
    subscribers: Arc<Subscribers>,
}

impl Subscribers {
    /// Registers a feed that a subscriber opened, to which no version was sent yet. Its
    /// previous feed is superseded: the connection is dead, which this end might otherwise not
    /// detect for a quarter of an hour.
    pub fn open(self: &Arc<Self>, subscriber: HostId) -> SubscriberFeed {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let superseded = CancellationToken::new();
        let feed = Feed { number, sent_version: 0, superseded: superseded.clone() };
        if let Some(previous) = self.with(|feeds| feeds.insert(subscriber, feed)) {
            previous.superseded.cancel();
        }
        SubscriberFeed { subscriber, number, superseded, subscribers: self.clone() }
    }

    /// The number of open feeds.
    pub fn count(&self) -> usize {
        self.with(|feeds| feeds.len())
    }

    /// The number of open feeds to which this version or a later one was sent, that is,
    /// written to the socket. Only the subscriber can tell whether it arrived.
    pub fn count_sent(&self, version: u64) -> usize {
        self.with(|feeds| feeds.values().filter(|feed| feed.sent_version >= version).count())
    }

    fn with<T>(&self, f: impl FnOnce(&mut BTreeMap<HostId, Feed>) -> T) -> T {
        f(&mut self.feeds.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl SubscriberFeed {
    /// Records that a routing version was sent.
    pub fn record_version_sent(&self, version: u64) {
        self.subscribers.with(|feeds| {
            let current = feeds.get_mut(&self.subscriber).filter(|feed| feed.number == self.number);
            if let Some(feed) = current {
                feed.sent_version = version;
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
        self.subscribers.with(|feeds| {
            if feeds.get(&self.subscriber).is_some_and(|feed| feed.number == self.number) {
                feeds.remove(&self.subscriber);
            }
        });
    }
}
