//! The link from this router to the dispatcher of one service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use super::dispatchers::SESSION_BITS;
use super::state::Router;
use crate::config::{EndpointId, HallSet, ServiceId};
use crate::dispatch::{
    Client, MAX_REPORT_DELAY_MS, Millis, REPORT_DELAY_DIVISOR, Received, Submitted,
};
use crate::member::View;
use crate::peer::Peers;
use crate::settings::DispatchMode;
use crate::wire::{
    BatchSender, BatchWriter, Completion, FromDispatcher, GrantRequest, Heartbeat, HostId, Open,
    QueuedMessage, RefuseReason, ToDispatcher,
};

/// How often a link without a dispatcher looks for one.
const RETRY: Duration = Duration::from_millis(100);
/// Longest time that a message waits for others to share its frame.
const PATIENCE: Duration = Duration::from_millis(MAX_REPORT_DELAY_MS);
/// A message waits at most this part of the time that requests take.
const PATIENCE_PART: u32 = REPORT_DELAY_DIVISOR;
/// Requests over which the time they take is averaged.
const MEAN_OF: u32 = 16;

/// What the dispatcher decided about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    Run(EndpointId),
    Refuse { reason: RefuseReason, retry_after_ms: u32 },
}

enum Event {
    Submit { want: GrantRequest, verdict: oneshot::Sender<Verdict> },
    Progress { seq: u64, units: u32 },
    Finish { seq: u64, units: u32, completion: Completion },
    Cancel { seq: u64 },
    Rest { endpoint: EndpointId, time: Millis },
    Leaving { endpoint: EndpointId, is_leaving: bool },
    Up(Connection),
    Failed { host: HostId },
    Down { session: u64 },
    Messages { session: u64, messages: Vec<FromDispatcher> },
}

/// A session with one dispatcher.
struct Connection {
    session: u64,
    dispatcher: (HostId, u64),
    out: BatchSender<ToDispatcher>,
}

/// Sends requests' events to the link's task.
#[derive(Clone, Debug)]
pub(super) struct Link(mpsc::UnboundedSender<Event>);

impl Link {
    pub fn start(router: &Arc<Router>, service: ServiceId) -> Link {
        let (sender, events) = mpsc::unbounded_channel();
        let reach = router.reach.subscribe();
        let task = Task {
            service,
            peers: router.peers.clone(),
            alone: router.settings.dispatch == DispatchMode::Alone,
            client: Client::new(*reach.borrow()),
            verdicts: HashMap::new(),
            connection: None,
            connecting: None,
            last_session: 0,
            granted_at: HashMap::new(),
            mean_run: Duration::ZERO,
            events: sender.clone(),
        };
        tokio::spawn(task.run(events, reach));
        Link(sender)
    }

    /// Asks for a grant; the ticket must be held until the request has ended.
    pub fn submit(&self, want: GrantRequest) -> (Ticket, oneshot::Receiver<Verdict>) {
        let (verdict, receiver) = oneshot::channel();
        let ticket = Ticket { link: self.clone(), seq: want.seq, units: 0, open: true };
        self.send(Event::Submit { want, verdict });
        (ticket, receiver)
    }

    /// An endpoint asked this router for so many milliseconds of rest.
    pub fn rest(&self, endpoint: EndpointId, time: Millis) {
        self.send(Event::Rest { endpoint, time });
    }

    /// An endpoint told this router that it leaves, or is back after that.
    pub fn set_leaving(&self, endpoint: EndpointId, is_leaving: bool) {
        self.send(Event::Leaving { endpoint, is_leaving });
    }

    fn send(&self, event: Event) {
        // The task runs as long as the process.
        let _ = self.0.send(event);
    }
}

/// A request's place at the dispatcher; given back when dropped.
#[derive(Debug)]
pub(super) struct Ticket {
    link: Link,
    seq: u64,
    units: u32,
    open: bool,
}

impl Ticket {
    /// The running request has used `units` so far.
    pub fn progress(&mut self, units: u32) {
        self.units = units;
        self.link.send(Event::Progress { seq: self.seq, units });
    }

    /// The request has ended.
    pub fn finish(mut self, units: u32, completion: Completion) {
        self.open = false;
        self.link.send(Event::Finish { seq: self.seq, units, completion });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.open {
            return;
        }
        let (seq, units) = (self.seq, self.units);
        self.link.send(Event::Cancel { seq });
        let completion = Completion::Unused;
        self.link.send(Event::Finish { seq, units, completion });
    }
}

struct Task {
    service: ServiceId,
    peers: Arc<Peers>,
    alone: bool,
    client: Client,
    verdicts: HashMap<u64, oneshot::Sender<Verdict>>,
    connection: Option<(Connection, AbortOnDropHandle<()>)>,
    connecting: Option<((HostId, u64), AbortOnDropHandle<()>)>,
    last_session: u64,
    granted_at: HashMap<u64, Instant>,
    mean_run: Duration,
    events: mpsc::UnboundedSender<Event>,
}

impl Task {
    async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        mut reach: watch::Receiver<HallSet>,
    ) {
        let mut view = self.peers.watch();
        let mut retry = tokio::time::interval(RETRY);
        self.aim(&view.borrow_and_update().clone());
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.event(event),
                    None => return,
                },
                Ok(()) = view.changed() => {}
                Ok(()) = reach.changed() => {
                    let message = self.client.set_reach(*reach.borrow_and_update());
                    self.send(message);
                }
                _ = retry.tick() => {}
            }
            let current = view.borrow_and_update().clone();
            self.aim(&current);
        }
    }

    /// Connects to the dispatcher that the view names, keeping the old session
    /// until the new one is up.
    fn aim(&mut self, view: &View) {
        let target = match self.alone {
            true => view.get(self.peers.me),
            false => view.dispatcher(self.service),
        };
        let Some(target) = target else {
            return;
        };
        let wanted = (target.host, target.incarnation);
        let connected = self.connection.as_ref().is_some_and(|(c, _)| c.dispatcher == wanted);
        let under_way = self.connecting.as_ref().is_some_and(|(to, _)| *to == wanted);
        if connected || under_way {
            return;
        }
        self.last_session += 1;
        let session = self.peers.incarnation << SESSION_BITS | self.last_session;
        let connect =
            connect(self.peers.clone(), target.clone(), self.service, session, self.events.clone());
        let handle = AbortOnDropHandle::new(tokio::spawn(connect));
        self.connecting = Some((wanted, handle));
    }

    fn event(&mut self, event: Event) {
        let now = self.peers.clock.now();
        match event {
            Event::Submit { want, verdict } => self.submit(want, verdict),
            Event::Progress { seq, units } => {
                let message = self.client.progress(seq, units);
                self.send(message);
            }
            Event::Finish { seq, units, completion } => {
                self.verdicts.remove(&seq);
                self.learn_run(seq);
                let message = self.client.finish(seq, units, completion);
                self.send(message);
            }
            Event::Cancel { seq } => {
                self.verdicts.remove(&seq);
                let message = self.client.cancel(seq);
                self.send(message);
            }
            Event::Rest { endpoint, time } => {
                let message = self.client.record_rest(now, endpoint, time);
                self.send(message);
            }
            Event::Leaving { endpoint, is_leaving } => {
                let message = self.client.set_leaving(endpoint, is_leaving);
                self.send(message);
            }
            Event::Up(connection) => self.up(connection),
            Event::Failed { host } => {
                self.connecting = None;
                self.peers.record_connect_failure(host);
            }
            Event::Down { session } => self.down(session),
            Event::Messages { session, messages } => {
                for message in messages {
                    let received = self.client.receive(now, session, message);
                    self.received(received);
                }
            }
        }
    }

    fn submit(&mut self, want: GrantRequest, verdict: oneshot::Sender<Verdict>) {
        let now = self.peers.clock.now();
        let seq = want.seq;
        match self.client.submit(now, want) {
            Submitted::Refused { reason, retry_after_ms } => {
                // The caller may have left.
                let _ = verdict.send(Verdict::Refuse { reason, retry_after_ms });
            }
            Submitted::Queued => {
                self.verdicts.insert(seq, verdict);
            }
            Submitted::Send(message) => {
                self.verdicts.insert(seq, verdict);
                self.send(Some(message));
            }
        }
    }

    fn up(&mut self, connection: Connection) {
        let Some((to, handle)) = self.connecting.take() else {
            return;
        };
        if to != connection.dispatcher {
            self.connecting = Some((to, handle));
            return;
        }
        let (host, service) = (connection.dispatcher.0, self.service.0);
        log::info!("dispatch: service {service} is dispatched by host {host}");
        let now = self.peers.clock.now();
        let session = connection.session;
        self.connection = Some((connection, handle));
        for message in self.client.attach(now, session) {
            self.send(Some(message));
        }
    }

    fn down(&mut self, session: u64) {
        if self.connection.as_ref().is_some_and(|(c, _)| c.session == session) {
            self.connection = None;
            self.client.detach();
        }
    }

    fn received(&mut self, received: Received) {
        match received {
            Received::Run { seq, endpoint } => {
                self.granted_at.insert(seq, Instant::now());
                self.deliver(seq, Verdict::Run(endpoint));
            }
            Received::Refuse { seq, reason, retry_after_ms } => {
                self.deliver(seq, Verdict::Refuse { reason, retry_after_ms });
            }
            Received::Reply(message) => self.send(Some(message)),
            Received::Nothing => {}
        }
    }

    fn deliver(&mut self, seq: u64, verdict: Verdict) {
        let taken = self.verdicts.remove(&seq).is_some_and(|v| v.send(verdict).is_ok());
        if !taken {
            self.granted_at.remove(&seq);
            let message = self.client.finish(seq, 0, Completion::Unused);
            self.send(message);
        }
    }

    /// How long a message may wait for others: reports a small part of the time
    /// that requests take here, wants only where others wait already.
    fn max_delay(&self, message: &ToDispatcher) -> Duration {
        let of_reports = self.mean_run / PATIENCE_PART;
        match message {
            ToDispatcher::Done { .. } | ToDispatcher::Progress { .. } => of_reports.min(PATIENCE),
            ToDispatcher::GrantRequest(_) if self.client.waiting_count() > 1 => {
                of_reports.min(PATIENCE)
            }
            _ => Duration::ZERO,
        }
    }

    /// Learns how long granted requests take.
    fn learn_run(&mut self, seq: u64) {
        if let Some(since) = self.granted_at.remove(&seq) {
            let run = Instant::now() - since;
            self.mean_run = (self.mean_run * (MEAN_OF - 1) + run) / MEAN_OF;
        }
    }

    fn send(&self, message: Option<ToDispatcher>) {
        if let (Some(message), Some((connection, _))) = (message, &self.connection) {
            // A broken connection is noticed by its reader.
            let max_delay = self.max_delay(&message);
            let _ = connection.out.send(QueuedMessage { message, max_delay });
        }
    }
}

async fn connect(
    peers: Arc<Peers>,
    target: Heartbeat,
    service: ServiceId,
    session: u64,
    events: mpsc::UnboundedSender<Event>,
) {
    let host = target.host;
    let open = Open::Dispatch { router: peers.me, service, session };
    let connected = match peers.links.is_cut_to(host) {
        true => None,
        false => peers.connect(target.peer, &open).await.ok(),
    };
    let Some((reader, writer)) = connected else {
        // The task that hears this runs as long as the process.
        let _ = events.send(Event::Failed { host });
        return;
    };
    let sent = (host != peers.me).then(|| peers.sent.clone());
    let (out, batch) = BatchWriter::new(sent);
    let links = peers.links.clone();
    let write = batch.run(writer, move || {
        let links = links.clone();
        async move { links.wait_until_clear_to(host).await }
    });
    let writing = AbortOnDropHandle::new(tokio::spawn(write));
    let dispatcher = (host, target.incarnation);
    // Requests wait here for grants, and nothing else would show that none can come.
    let mut reader = reader.with_silence_timeout();
    let _ = events.send(Event::Up(Connection { session, dispatcher, out }));
    while let Ok(messages) = reader.next::<Vec<FromDispatcher>>().await {
        peers.links.wait_until_clear_from(host).await;
        let _ = events.send(Event::Messages { session, messages });
    }
    drop(writing);
    let _ = events.send(Event::Down { session });
}
