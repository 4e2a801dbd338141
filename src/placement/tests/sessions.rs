//! A router's sessions with a placer over real sockets, on connections that fall silent. A router
//! that kept using a dead connection would place requests by itself forever, and customers would
//! not get equal shares.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::mpsc;

use super::super::unanswered::Unanswered;
use super::super::*;
use crate::feed::{FleetState, Subscriptions, publish};
use crate::loop_lag::LoopLag;
use crate::peer::{Incoming, Peers};
use crate::registry::SharedRegistry;
use crate::routing::CurrentRouting;
use crate::testing::{peer_address, publication_of_leader, start_peers, wait_until};
use crate::wire::{Open, Role, write_frame};

/// A control host that stops answering on some connections.
#[derive(Clone, Debug)]
struct ControlHost {
    peers: Arc<Peers>,
    /// Number of feeds that it publishes; it sends nothing on later ones.
    feeds: usize,
    /// Number of placement sessions in which it does not answer; it refuses every request in later
    /// ones.
    silent_sessions: usize,
    feeds_accepted: Arc<AtomicUsize>,
    sessions_accepted: Arc<AtomicUsize>,
}

impl ControlHost {
    async fn serve(self, mut incoming: mpsc::Receiver<Incoming>) {
        while let Some(connection) = incoming.recv().await {
            let host = self.clone();
            match connection.open {
                Open::Feed { .. } => tokio::spawn(host.serve_feed(connection)),
                Open::Place { .. } => tokio::spawn(host.serve_session(connection)),
                open => panic!("{open:?}"),
            };
        }
    }

    async fn serve_feed(self, connection: Incoming) {
        let Incoming { reader, writer, .. } = connection;
        if self.feeds_accepted.fetch_add(1, Ordering::SeqCst) >= self.feeds {
            let _open = (reader, writer);
            return std::future::pending().await;
        }
        let publication = publication_of_leader(&self.peers, Arc::default(), Arc::default());
        // The router disconnects at the end of the test.
        let _ = publish(publication, self.peers.sent.clone(), reader, writer).await;
    }

    async fn serve_session(self, connection: Incoming) {
        let Incoming { mut reader, mut writer, .. } = connection;
        let is_silent =
            self.sessions_accepted.fetch_add(1, Ordering::SeqCst) < self.silent_sessions;
        while let Ok(messages) = reader.next::<Vec<ToPlacer>>().await {
            let refuse = |message| match message {
                ToPlacer::Place(request) if !is_silent => {
                    let refusal = Refusal {
                        retry_after_ms: 1,
                        backlog_ms: 0,
                        allowed_ms: 0,
                        own_ms: 0,
                        share_percent: 0,
                    };
                    Some(FromPlacer::Refuse { seq: request.seq, refusal })
                }
                _ => None,
            };
            let answers: Vec<_> = messages.into_iter().filter_map(refuse).collect();
            if !answers.is_empty() && write_frame(&mut writer, &answers).await.is_err() {
                return;
            }
        }
    }
}

/// A router with a session to one control host.
async fn start(first: u8, feeds: usize, silent: usize) -> (ControlHost, Arc<PlacementClient>) {
    let (peers, incoming) = start_peers(Role::Control, first, vec![]).await;
    let host = ControlHost {
        peers,
        feeds,
        silent_sessions: silent,
        feeds_accepted: Arc::default(),
        sessions_accepted: Arc::default(),
    };
    tokio::spawn(host.clone().serve(incoming));
    let (router, _) = start_peers(Role::Router, first + 1, vec![peer_address(first)]).await;
    let routing = Arc::new(CurrentRouting::default());
    let registry = Arc::new(SharedRegistry::default());
    let fleet_state = FleetState {
        documents: routing.clone(),
        registry: registry.clone(),
        ..FleetState::default()
    };
    let subscriptions = Subscriptions::start(router.clone(), fleet_state, "a", Role::Router);
    let local = LocalPlacer::new(router.me, router.clock, routing, registry, Default::default());
    let client =
        PlacementClient::start(router, subscriptions, local, "a".into(), LoopLag::default());
    wait_until(|| host.sessions_accepted.load(Ordering::SeqCst) > 0).await;
    (host, client)
}

#[tokio::test]
async fn a_session_without_answers_is_reopened() {
    let (_host, client) = start(101, usize::MAX, 1).await;
    let asking = async {
        while !matches!(
            client.place(PlacementRequest::default()).await,
            PlacementOutcome::Refused(_)
        ) {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    };
    let answered = tokio::time::timeout(crate::testing::WAIT_TIMEOUT, asking).await;
    assert!(answered.is_ok(), "the placer is never asked on a new connection");
}

/// Connections to one host fail together. A session without queries shows nothing by itself, and
/// would only be found dead when it is needed.
#[tokio::test]
async fn a_session_is_reopened_when_the_feed_falls_silent() {
    let (host, _client) = start(103, 0, 0).await;
    wait_until(|| host.feeds_accepted.load(Ordering::SeqCst) > 1).await;
    wait_until(|| host.sessions_accepted.load(Ordering::SeqCst) > 1).await;
}

#[test]
fn a_connection_counts_as_dead_after_two_seconds_of_unanswered_queries() {
    let mut unanswered = Unanswered::default();
    assert!(!unanswered.record_timeout(1_000));
    assert!(!unanswered.record_timeout(1_800));
    assert!(!unanswered.record_timeout(2_900));
    assert!(unanswered.record_timeout(3_000));
}

#[test]
fn occasional_timeouts_do_not_count_as_a_dead_connection() {
    let mut unanswered = Unanswered::default();
    assert!([1_000, 3_000, 60_000, 90_000].iter().all(|now| !unanswered.record_timeout(*now)));
}
