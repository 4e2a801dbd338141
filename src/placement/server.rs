//! The placer's task on a control host, and the sessions of routers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::distance::Distances;
use super::engines::engines_of;
use super::message::{FromPlacer, ToPlacer};
use super::placer::Placer;
use super::rules::PlacementRules;
use super::warmth::ColdSender;
use crate::clock::Clock;
use crate::dispatch::Millis;
use crate::peer::PeerReader;
use crate::region::Regions;
use crate::registry::SharedRegistry;
use crate::routing::CurrentRouting;
use crate::wire::{BatchSender, BatchWriter, HostId, SentBytes};

/// How often the engines are looked up even where no change was told.
const LEARN_AGAIN: Duration = Duration::from_secs(1);
/// The shortest time between two looks: a look goes through all engines, of which
/// thousands may register within a second.
const LEARN_INTERVAL: Duration = Duration::from_millis(20);
/// Messages that may wait for the placer.
const INBOX: usize = 4_096;
enum Event {
    Opened { router: HostId, session: u64, out: BatchSender<FromPlacer> },
    Messages { router: HostId, session: u64, messages: Vec<ToPlacer> },
    Closed { router: HostId, session: u64 },
}

/// Where routers' connections to the placer are handed over.
#[derive(Clone, Debug)]
pub struct PlacerHandle {
    events: mpsc::Sender<Event>,
    sent: SentBytes,
}

/// Starts the placer of a control host; `leads` tells in which term that host
/// leads, if it does.
pub fn serve(
    rules: PlacementRules,
    clock: Clock,
    leads: impl Fn() -> Option<u64> + Send + 'static,
    documents: Arc<CurrentRouting>,
    registry: Arc<SharedRegistry>,
    regions: Regions,
    sent: SentBytes,
) -> PlacerHandle {
    let (events, inbox) = mpsc::channel(INBOX);
    let mut placer = Placer::new(rules);
    placer.set_distances(Distances::new(regions.clone()));
    let task = Task {
        clock,
        documents,
        registry,
        regions,
        placer,
        leads: Box::new(leads),
        cold_sender: ColdSender::default(),
        cold_part: rules.cold_part,
        sessions: HashMap::new(),
    };
    tokio::spawn(task.run(inbox));
    PlacerHandle { events, sent }
}

impl PlacerHandle {
    /// Serves one router's connection until it closes.
    pub async fn attach(
        self,
        router: HostId,
        session: u64,
        mut reader: PeerReader,
        writer: OwnedWriteHalf,
    ) {
        let (out, batch) = BatchWriter::immediate(Some(self.sent.clone()));
        tokio::spawn(batch.run(writer, || std::future::ready(())));
        if self.events.send(Event::Opened { router, session, out }).await.is_err() {
            return;
        }
        while let Ok(messages) = reader.next::<Vec<ToPlacer>>().await {
            let messages = Event::Messages { router, session, messages };
            if self.events.send(messages).await.is_err() {
                return;
            }
        }
        // The placer lives as long as the process.
        let _ = self.events.send(Event::Closed { router, session }).await;
    }
}

struct Task {
    clock: Clock,
    documents: Arc<CurrentRouting>,
    registry: Arc<SharedRegistry>,
    regions: Regions,
    placer: Placer,
    leads: Box<dyn Fn() -> Option<u64> + Send>,
    cold_sender: ColdSender,
    /// Part of what cold engines bear that the leader's placer may send them.
    cold_part: f64,
    sessions: HashMap<HostId, (u64, BatchSender<FromPlacer>)>,
}

impl Task {
    async fn run(mut self, mut inbox: mpsc::Receiver<Event>) {
        let mut routing = self.documents.watch();
        let mut changes = self.registry.watch();
        let mut learnt_at = Instant::now();
        let mut learn_at = learnt_at;
        // Whether a change is about to be learnt.
        let mut soon = false;
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.event(event),
                    None => return,
                },
                Ok(()) = changes.changed(), if !soon => {
                    soon = true;
                    learn_at = learn_at.min(learnt_at + LEARN_INTERVAL);
                }
                Ok(()) = routing.changed() => learn_at = Instant::now(),
                () = tokio::time::sleep_until(learn_at) => {
                    changes.mark_unchanged();
                    self.learn_engines();
                    learnt_at = Instant::now();
                    // What is only remembered is forgotten without a change.
                    learn_at = learnt_at + LEARN_AGAIN;
                    soon = false;
                }
            }
        }
    }

    /// Whether it is this placer's turn to send to cold engines.
    fn take_turn(&mut self, now: Millis) {
        self.cold_sender.set_leads(now, (self.leads)());
        self.placer.set_cold_part(self.cold_part * self.cold_sender.part(now));
    }

    fn learn_engines(&mut self) {
        self.take_turn(self.clock.now());
        if let Some(routing) = self.documents.current() {
            let engines =
                self.registry.read(|registry| engines_of(&routing, registry, &self.regions));
            self.placer.set_engines(self.clock.now(), engines);
            self.placer.set_nominal(routing.table.limits.tokens_per_second);
        }
    }

    fn event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Opened { router, session, out } => {
                log::info!("placement: router {router} attached");
                self.placer.lost(now, router);
                self.sessions.insert(router, (session, out));
            }
            Event::Messages { router, session, messages } => {
                if self.sessions.get(&router).is_none_or(|(current, _)| *current != session) {
                    return;
                }
                for message in messages {
                    self.receive(router, message);
                }
            }
            Event::Closed { router, session } => {
                if self.sessions.get(&router).is_some_and(|(current, _)| *current == session) {
                    log::info!("placement: router {router} left");
                    self.sessions.remove(&router);
                    self.placer.lost(now, router);
                }
            }
        }
    }

    fn receive(&mut self, router: HostId, message: ToPlacer) {
        let now = self.clock.now();
        self.take_turn(now);
        let Some(decision) = self.placer.receive(now, router, message) else {
            return;
        };
        log::debug!("placement: {decision:?}");
        if let Some((_, out)) = self.sessions.get(&router) {
            // A session that has just closed is noticed by its reader.
            let _ = out.send(decision.answer.into());
        }
    }
}
