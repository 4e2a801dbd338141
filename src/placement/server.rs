//! The placer's task on a control host, and the sessions of routers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::cold_limiter::ColdSendPermit;
use super::engines::{EngineChanges, EngineUpdate, FleetEngines};
use super::hall_regions::HallRegions;
use super::message::{FromPlacer, ToPlacer};
use super::placer::Placer;
use super::rules::PlacementRules;
use crate::clock::Clock;
use crate::dispatch::Millis;
use crate::peer::PeerReader;
use crate::region::Regions;
use crate::registry::SharedRegistry;
use crate::routing::CurrentRouting;
use crate::wire::{BatchSender, BatchWriter, HostId, SentBytes};

/// How often the engines are read from the registry even if no change was announced.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two reads of the engines, in which changes are batched: thousands may
/// register within a second.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(20);
/// Messages that may wait for the placer.
const INBOX_CAPACITY: usize = 4_096;
enum Event {
    Opened { router: HostId, session: u64, out: BatchSender<FromPlacer> },
    Messages { router: HostId, session: u64, messages: Vec<ToPlacer> },
    Closed { router: HostId, session: u64 },
}

/// A handle to the placer's task, which takes over routers' connections.
#[derive(Clone, Debug)]
pub struct PlacerHandle {
    events: mpsc::Sender<Event>,
    sent: SentBytes,
}

/// Starts the placer of a control host; `leading_term` returns the term in which that host leads,
/// if it does.
pub fn serve(
    rules: PlacementRules,
    clock: Clock,
    leading_term: impl Fn() -> Option<u64> + Send + 'static,
    routing: Arc<CurrentRouting>,
    registry: Arc<SharedRegistry>,
    regions: Regions,
    sent: SentBytes,
) -> PlacerHandle {
    let (events, inbox) = mpsc::channel(INBOX_CAPACITY);
    let mut placer = Placer::new(rules);
    placer.set_hall_regions(HallRegions::new(regions.clone()));
    let task = Task {
        clock,
        routing,
        registry,
        regions,
        engine_changes: EngineChanges::default(),
        placer,
        leading_term: Box::new(leading_term),
        cold_send_permit: ColdSendPermit::default(),
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
    routing: Arc<CurrentRouting>,
    registry: Arc<SharedRegistry>,
    regions: Regions,
    engine_changes: EngineChanges,
    placer: Placer,
    leading_term: Box<dyn Fn() -> Option<u64> + Send>,
    cold_send_permit: ColdSendPermit,
    /// Fraction of cold engines' capacity that the leader's placer may use.
    cold_part: f64,
    sessions: HashMap<HostId, (u64, BatchSender<FromPlacer>)>,
}

impl Task {
    async fn run(mut self, mut inbox: mpsc::Receiver<Event>) {
        let mut routing = self.routing.watch();
        let mut changes = self.registry.watch();
        let mut refreshed_at = Instant::now();
        let mut refresh_at = refreshed_at;
        // Whether a refresh is already scheduled for a change.
        let mut is_refresh_scheduled = false;
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                Ok(()) = changes.changed(), if !is_refresh_scheduled => {
                    is_refresh_scheduled = true;
                    refresh_at = refresh_at.min(refreshed_at + MIN_REFRESH_INTERVAL);
                }
                Ok(()) = routing.changed() => refresh_at = Instant::now(),
                () = tokio::time::sleep_until(refresh_at) => {
                    changes.mark_unchanged();
                    self.refresh_engines();
                    refreshed_at = Instant::now();
                    // Registrations that expire do so without a change being announced.
                    refresh_at = refreshed_at + REFRESH_INTERVAL;
                    is_refresh_scheduled = false;
                }
            }
        }
    }

    /// Updates the fraction of cold engines' capacity that this placer may use.
    fn update_cold_part(&mut self, now: Millis) {
        self.cold_send_permit.set_leading_term(now, (self.leading_term)());
        self.placer.set_cold_part(self.cold_part * self.cold_send_permit.fraction(now));
    }

    fn refresh_engines(&mut self) {
        self.update_cold_part(self.clock.now());
        let Some(routing) = self.routing.current() else { return };
        let (changes, regions) = (&mut self.engine_changes, &self.regions);
        let update = self
            .registry
            .read(|registry| changes.next(FleetEngines { routing: &routing, registry, regions }));
        let now = self.clock.now();
        match update {
            EngineUpdate::All(engines) => self.placer.set_engines(now, engines),
            EngineUpdate::Changed { ready, gone } => {
                self.placer.update_engines(now, ready, &gone);
            }
        }
        self.placer.set_nominal(routing.table.limits.tokens_per_second);
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Opened { router, session, out } => {
                log::info!("placement: router {router} attached");
                self.placer.remove_router(now, router);
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
                    log::info!("placement: router {router} detached");
                    self.sessions.remove(&router);
                    self.placer.remove_router(now, router);
                }
            }
        }
    }

    fn receive(&mut self, router: HostId, message: ToPlacer) {
        let now = self.clock.now();
        self.update_cold_part(now);
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
