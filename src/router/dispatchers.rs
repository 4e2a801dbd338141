//! Dispatchers that run on this host, one task per service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::state::LeavingEndpoints;
use crate::config::ServiceId;
use crate::dispatch::{Decision, Dispatcher, Snapshot};
use crate::peer::{PeerReader, Peers};
use crate::spread::CurrentConfig;
use crate::telemetry::{RequestId, Trace};
use crate::wire::{BatchSender, BatchWriter, FromDispatcher, HostId, QueuedMessage, ToDispatcher};

/// Interval at which a dispatcher checks deadlines and orphaned grants.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of events that wait for a dispatcher; routers' sessions are not read while the
/// queue is full.
const EVENT_QUEUE_CAPACITY: usize = 4_096;
/// Number of low bits of a session number that count sessions; the incarnation is above them.
pub(super) const SESSION_BITS: u32 = 20;

enum Event {
    Attached { router: HostId, session: Session },
    Messages { router: HostId, session: u64, messages: Vec<ToDispatcher> },
    Lost { router: HostId, session: u64 },
    Snapshot(oneshot::Sender<Snapshot>),
}

/// A router's session; its connection is closed on drop.
struct Session {
    number: u64,
    out: BatchSender<FromDispatcher>,
    _close: DropGuard,
}

/// Starts dispatchers as routers attach to them.
#[derive(Debug)]
pub struct Dispatchers {
    peers: Arc<Peers>,
    configs: Arc<CurrentConfig>,
    leaving: watch::Receiver<LeavingEndpoints>,
    trace: Arc<Trace>,
    divisor: u32,
    running: Mutex<HashMap<ServiceId, mpsc::Sender<Event>>>,
}

impl Dispatchers {
    /// Creates an empty set of dispatchers, each of which uses 1/`divisor` of the slots.
    pub fn new(
        peers: Arc<Peers>,
        configs: Arc<CurrentConfig>,
        leaving: watch::Receiver<LeavingEndpoints>,
        trace: Arc<Trace>,
        divisor: u32,
    ) -> Dispatchers {
        let running = Mutex::default();
        Dispatchers { peers, configs, leaving, trace, divisor, running }
    }

    /// Attaches a router's session to the dispatcher of `service`, starting the dispatcher if
    /// necessary.
    pub fn attach(
        &self,
        router: HostId,
        service: ServiceId,
        session: u64,
        reader: PeerReader,
        writer: OwnedWriteHalf,
    ) {
        let events = self.events_of(service);
        let peers = self.peers.clone();
        let sent = (router != peers.me).then(|| peers.sent.clone());
        let (out, batch) = BatchWriter::new(sent);
        let batch = batch.with_keep_alives();
        let links = peers.links.clone();
        tokio::spawn(batch.run(writer, move || {
            let links = links.clone();
            async move { links.wait_until_clear_to(router).await }
        }));
        let closed = CancellationToken::new();
        let _close = closed.clone().drop_guard();
        let session = Session { number: session, out, _close };
        tokio::spawn(read_session(peers, router, session, reader, closed, events));
    }

    /// Returns snapshots of the dispatchers on this host with their services.
    pub async fn snapshots(&self) -> Vec<(ServiceId, Snapshot)> {
        let running: Vec<_> = {
            let running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
            running.iter().map(|(service, events)| (*service, events.clone())).collect()
        };
        let mut snapshots = Vec::new();
        for (service, events) in running {
            let (sender, receiver) = oneshot::channel();
            if events.send(Event::Snapshot(sender)).await.is_err() {
                continue;
            }
            if let Ok(snapshot) = receiver.await {
                snapshots.push((service, snapshot));
            }
        }
        snapshots
    }

    fn events_of(&self, service: ServiceId) -> mpsc::Sender<Event> {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        let start = || {
            log::info!("dispatch: starting the dispatcher of service {}", service.0);
            let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
            let now = self.peers.clock.now();
            let task = Task {
                service,
                peers: self.peers.clone(),
                trace: self.trace.clone(),
                dispatcher: Dispatcher::new(now, service, self.divisor),
                sessions: HashMap::new(),
            };
            tokio::spawn(task.run(events, self.configs.clone(), self.leaving.clone()));
            sender
        };
        running.entry(service).or_insert_with(start).clone()
    }
}

async fn read_session(
    peers: Arc<Peers>,
    router: HostId,
    session: Session,
    mut reader: PeerReader,
    closed: CancellationToken,
    events: mpsc::Sender<Event>,
) {
    let number = session.number;
    if events.send(Event::Attached { router, session }).await.is_err() {
        return;
    }
    loop {
        let messages = tokio::select! {
            read = reader.next::<Vec<ToDispatcher>>() => match read {
                Ok(messages) => messages,
                Err(_) => break,
            },
            // The dispatcher closed the session.
            () = closed.cancelled() => break,
        };
        peers.links.wait_until_clear_from(router).await;
        let messages = Event::Messages { router, session: number, messages };
        if events.send(messages).await.is_err() {
            return;
        }
    }
    // The dispatcher outlives its sessions, so this fails only when the process stops.
    let _ = events.send(Event::Lost { router, session: number }).await;
}

struct Task {
    service: ServiceId,
    peers: Arc<Peers>,
    trace: Arc<Trace>,
    dispatcher: Dispatcher,
    sessions: HashMap<HostId, Session>,
}

impl Task {
    async fn run(
        mut self,
        mut events: mpsc::Receiver<Event>,
        configs: Arc<CurrentConfig>,
        mut leaving: watch::Receiver<LeavingEndpoints>,
    ) {
        let mut config = configs.watch();
        let mut view = self.peers.watch();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        config.mark_changed();
        loop {
            let decisions = tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                _ = ticks.tick() => self.dispatcher.tick(self.peers.clock.now()),
                Ok(()) = config.changed() => self.configure(&config, &leaving),
                Ok(()) = leaving.changed() => self.configure(&config, &leaving),
                Ok(()) = view.changed() => self.drop_suspected(&view.borrow_and_update().clone()),
            };
            self.execute(decisions);
        }
    }

    fn on_event(&mut self, event: Event) -> Vec<Decision> {
        let now = self.peers.clock.now();
        match event {
            Event::Attached { router, session } => {
                let current = self.sessions.get(&router);
                if current.is_none_or(|s| s.number < session.number) {
                    self.sessions.insert(router, session);
                }
                Vec::new()
            }
            Event::Messages { router, session, messages } => {
                let mut decisions = Vec::new();
                for message in messages {
                    decisions.extend(self.dispatcher.receive(now, router, session, message));
                }
                decisions
            }
            Event::Lost { router, session } => {
                if self.sessions.get(&router).is_some_and(|s| s.number == session) {
                    self.sessions.remove(&router);
                }
                self.dispatcher.on_session_lost(now, router, session)
            }
            Event::Snapshot(sender) => {
                // The requester may have been cancelled.
                let _ = sender.send(self.dispatcher.snapshot());
                Vec::new()
            }
        }
    }

    fn configure(
        &mut self,
        config: &watch::Receiver<Arc<crate::config::Config>>,
        leaving: &watch::Receiver<LeavingEndpoints>,
    ) -> Vec<Decision> {
        let now = self.peers.clock.now();
        let config = config.borrow().clone();
        let leaving = leaving.borrow().clone();
        self.dispatcher.configure(now, config, &leaving)
    }

    fn drop_suspected(&mut self, view: &crate::member::View) -> Vec<Decision> {
        let now = self.peers.clock.now();
        let lost: Vec<_> = self
            .sessions
            .iter()
            .filter(|(router, _)| view.get(**router).is_none())
            .map(|(router, session)| (*router, session.number))
            .collect();
        let mut decisions = Vec::new();
        for (router, session) in lost {
            self.sessions.remove(&router);
            decisions.extend(self.dispatcher.on_session_lost(now, router, session));
        }
        decisions
    }

    fn execute(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Grant {
                    router,
                    seq,
                    customer,
                    endpoint,
                    charged,
                    lead,
                    max_delay_ms,
                    waited,
                } => {
                    let text = format!(
                        "granted endpoint {} to customer {} after {} ms: least served of {} waiting, \
                         lead {} -> {lead}, charged {charged}",
                        endpoint.0, customer.0, waited.ms, waited.backlogged, waited.lead_before,
                    );
                    self.decide(router, seq, text);
                    let grant = FromDispatcher::Grant { seq, endpoint, charged, lead };
                    let max_delay = Duration::from_millis(max_delay_ms);
                    self.send(router, grant, max_delay);
                }
                Decision::Refuse { router, seq, customer, reason, retry_after_ms, hold_ms } => {
                    let text = format!(
                        "refused to customer {}: {reason:?}, come back in {retry_after_ms} ms",
                        customer.0
                    );
                    self.decide(router, seq, text);
                    let refuse = FromDispatcher::Refuse { seq, reason, retry_after_ms, hold_ms };
                    self.send(router, refuse, Duration::ZERO);
                }
                Decision::Exclude { router, endpoint, for_ms } => {
                    let id = endpoint.0;
                    log::warn!(
                        "dispatch: endpoint {id} excluded for host {router} for {for_ms} ms"
                    );
                }
                Decision::Reset { stalled_ms } => {
                    let service = self.service.0;
                    log::warn!(
                        "dispatch: service {service} stalled for {stalled_ms} ms, state reset"
                    );
                    self.sessions.clear();
                }
            }
        }
    }

    fn decide(&self, router: HostId, seq: u64, text: String) {
        let session = self.sessions.get(&router).map_or(0, |s| s.number);
        let incarnation = session >> SESSION_BITS;
        self.trace.decide(RequestId { router, incarnation, seq }, "dispatch", text);
    }

    fn send(&self, router: HostId, message: FromDispatcher, max_delay: Duration) {
        if let Some(Session { out, .. }) = self.sessions.get(&router) {
            // An error means that the session has just been closed, which its reader notices.
            let _ = out.send(QueuedMessage { message, max_delay });
        }
    }
}
