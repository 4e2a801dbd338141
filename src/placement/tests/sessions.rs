//! A router's sessions with a placer over real sockets, when connections fall silent: a
//! router that asked on a dead connection again and again would place for itself for ever,
//! and customers would not get equal parts.

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

/// What a control host does with what it takes.
#[derive(Clone, Debug)]
struct ControlHost {
    peers: Arc<Peers>,
    /// Feeds that it publishes; it says nothing on later ones.
    feeds: usize,
    /// Placement sessions in which it answers nothing; it refuses all in later ones.
    silent_sessions: usize,
    feeds_taken: Arc<AtomicUsize>,
    sessions_taken: Arc<AtomicUsize>,
}

impl ControlHost {
    async fn serve(self, mut incoming: mpsc::Receiver<Incoming>) {
        while let Some(connection) = incoming.recv().await {
            let host = self.clone();
            match connection.open {
                Open::Feed { .. } => tokio::spawn(host.take_feed(connection)),
                Open::Place { .. } => tokio::spawn(host.take_session(connection)),
                open => panic!("{open:?}"),
            };
        }
    }

    async fn take_feed(self, connection: Incoming) {
        let Incoming { reader, writer, .. } = connection;
        if self.feeds_taken.fetch_add(1, Ordering::SeqCst) >= self.feeds {
            let _open = (reader, writer);
            return std::future::pending().await;
        }
        let publication = publication_of_leader(&self.peers, Arc::default(), Arc::default());
        // The router leaves at the end of the test.
        let _ = publish(publication, self.peers.sent.clone(), reader, writer).await;
    }

    async fn take_session(self, connection: Incoming) {
        let Incoming { mut reader, mut writer, .. } = connection;
        let is_silent = self.sessions_taken.fetch_add(1, Ordering::SeqCst) < self.silent_sessions;
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
        feeds_taken: Arc::default(),
        sessions_taken: Arc::default(),
    };
    tokio::spawn(host.clone().serve(incoming));
    let (router, _) = start_peers(Role::Router, first + 1, vec![peer_address(first)]).await;
    let documents = Arc::new(CurrentRouting::default());
    let registry = Arc::new(SharedRegistry::default());
    let fleet_state = FleetState {
        documents: documents.clone(),
        registry: registry.clone(),
        ..FleetState::default()
    };
    let subscriptions = Subscriptions::start(router.clone(), fleet_state, "a", Role::Router);
    let local = LocalPlacer::new(router.me, router.clock, documents, registry, Default::default());
    let placements =
        PlacementClient::start(router, subscriptions, local, "a".into(), LoopLag::default());
    wait_until(|| host.sessions_taken.load(Ordering::SeqCst) > 0).await;
    (host, placements)
}

#[tokio::test]
async fn a_session_that_answers_nothing_is_opened_anew() {
    let (_host, placements) = start(101, usize::MAX, 1).await;
    let asking = async {
        while !matches!(
            placements.place(PlacementRequest::default()).await,
            PlacementOutcome::Refused(_)
        ) {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    };
    let answered = tokio::time::timeout(crate::testing::NEVER, asking).await;
    assert!(answered.is_ok(), "the placer is never asked on a new connection");
}

/// Connections to one host die together, and a session on which nothing is asked shows
/// nothing by itself: it would be found dead when it is needed.
#[tokio::test]
async fn a_session_is_opened_anew_with_the_feed_that_fell_silent() {
    let (host, _placements) = start(103, 0, 0).await;
    wait_until(|| host.feeds_taken.load(Ordering::SeqCst) > 1).await;
    wait_until(|| host.sessions_taken.load(Ordering::SeqCst) > 1).await;
}

#[test]
fn a_placer_counts_as_out_of_reach_after_two_seconds_of_unanswered_questions() {
    let mut unanswered = Unanswered::default();
    assert!(!unanswered.note(1_000));
    assert!(!unanswered.note(1_800));
    assert!(!unanswered.note(2_900));
    assert!(unanswered.note(3_000));
}

#[test]
fn a_question_unanswered_now_and_then_says_nothing_of_the_connection() {
    let mut unanswered = Unanswered::default();
    assert!([1_000, 3_000, 60_000, 90_000].iter().all(|now| !unanswered.note(*now)));
}
