//! The subscribers' side: one task for each control host in view.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;

use super::FeedMessage;
use crate::error::Result;
use crate::peer::Peers;
use crate::registry::SharedRegistry;
use crate::routing::Documents;
use crate::wire::{HostId, Open, Role};

/// How long to wait before a lost feed is opened again.
const PAUSE: Duration = Duration::from_millis(200);

/// What a control host last said of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LeaderNews {
    term: u64,
    leader: Option<HostId>,
}

/// The feeds that a process follows.
#[derive(Debug)]
pub struct Subscriptions {
    peers: Arc<Peers>,
    documents: Arc<Documents>,
    registry: Arc<SharedRegistry>,
    leaders: Mutex<BTreeMap<HostId, LeaderNews>>,
    routers: AtomicUsize,
}

impl Subscriptions {
    /// Follows every control host in view but this one.
    pub fn start(
        peers: Arc<Peers>,
        documents: Arc<Documents>,
        registry: Arc<SharedRegistry>,
    ) -> Arc<Subscriptions> {
        let leaders = Mutex::default();
        let routers = AtomicUsize::new(1);
        let all = Arc::new(Subscriptions { peers, documents, registry, leaders, routers });
        tokio::spawn(follow_view(all.clone()));
        all
    }

    /// The leader that the newest news in view names.
    pub fn leader(&self) -> Option<HostId> {
        let leaders = self.leaders.lock().unwrap_or_else(PoisonError::into_inner);
        let named = leaders.values().filter(|news| news.leader.is_some());
        named.max_by_key(|news| news.term).and_then(|news| news.leader)
    }

    /// Routers in the fleet, as far as control hosts last said.
    pub fn routers(&self) -> usize {
        self.routers.load(Ordering::Relaxed)
    }

    /// Control hosts whose feeds are open.
    pub fn open_feeds(&self) -> usize {
        self.leaders.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    fn heard(&self, from: HostId, message: FeedMessage) {
        match message {
            FeedMessage::Routing { version, encoded } => {
                if let Err(error) = self.documents.adopt_encoded(version, &encoded) {
                    log::error!("feed: routing version {version} of host {from}: {error}");
                }
            }
            FeedMessage::Endpoints(endpoints) => {
                endpoints.into_iter().for_each(|endpoint| self.registry.merge(endpoint));
            }
            FeedMessage::Remembered(endpoints) => self.registry.remember(endpoints),
            FeedMessage::Routers(routers) => {
                self.routers.store(routers as usize, Ordering::Relaxed);
            }
            FeedMessage::Leader { term, leader } => {
                let mut leaders = self.leaders.lock().unwrap_or_else(PoisonError::into_inner);
                leaders.insert(from, LeaderNews { term, leader });
            }
        }
    }

    fn lost(&self, from: HostId) {
        self.leaders.lock().unwrap_or_else(PoisonError::into_inner).remove(&from);
    }
}

/// A feed task, and the start of the control host that it was opened to.
struct Feed {
    incarnation: u64,
    task: JoinHandle<()>,
}

async fn follow_view(all: Arc<Subscriptions>) {
    let mut view = all.peers.watch();
    let mut feeds: BTreeMap<HostId, Feed> = BTreeMap::new();
    loop {
        let now = view.borrow_and_update().clone();
        let controls = now.with_role(Role::Control).filter(|m| m.host != all.peers.me);
        let controls: BTreeMap<_, _> = controls.map(|m| (m.host, m)).collect();
        feeds.retain(|host, feed| {
            let same = controls.get(host).is_some_and(|m| m.incarnation == feed.incarnation);
            if !same {
                let why = if controls.contains_key(host) { "restarted" } else { "suspected" };
                log::info!("feed: ended, control host {host} is {why}");
                feed.task.abort();
                all.lost(*host);
            }
            same
        });
        for (host, member) in controls {
            feeds.entry(host).or_insert_with(|| Feed {
                incarnation: member.incarnation,
                task: tokio::spawn(follow(all.clone(), host, member.peer)),
            });
        }
        if view.changed().await.is_err() {
            return;
        }
    }
}

async fn follow(all: Arc<Subscriptions>, host: HostId, address: SocketAddr) {
    loop {
        if let Err(error) = read_feed(&all, host, address).await {
            log::warn!("feed: lost control host {host}: {error}");
        }
        all.lost(host);
        tokio::time::sleep(PAUSE).await;
    }
}

async fn read_feed(all: &Subscriptions, host: HostId, address: SocketAddr) -> Result<()> {
    let open = Open::Feed { host: all.peers.me };
    let (mut reader, _writer) = all.peers.connect(address, &open).await?;
    log::info!("feed: follows control host {host}");
    loop {
        let message = reader.next::<FeedMessage>().await?;
        all.heard(host, message);
    }
}
