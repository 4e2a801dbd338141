//! Connection from this router to the dispatcher of one service.

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

/// Interval at which a link without a dispatcher tries to connect to one.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time for which a message waits to share a frame with others.
const MAX_DELAY: Duration = Duration::from_millis(MAX_REPORT_DELAY_MS);
/// Divisor of the mean run time of requests, which also limits how long a message waits.
const DELAY_DIVISOR: u32 = REPORT_DELAY_DIVISOR;
/// Number of requests over which the run time is averaged: a new one has a weight of one part in
/// this many.
const MEAN_RUN_SAMPLES: u32 = 16;

/// The dispatcher's reply to a grant request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantReply {
    Run(EndpointId),
    Refuse { reason: RefuseReason, retry_after_ms: u32 },
}

enum Event {
    Submit { request: GrantRequest, reply: oneshot::Sender<GrantReply> },
    Progress { seq: u64, units: u32 },
    Finish { seq: u64, units: u32, completion: Completion },
    Cancel { seq: u64 },
    Rest { endpoint: EndpointId, duration_ms: Millis },
    Leaving { endpoint: EndpointId, is_leaving: bool },
    Connected(Connection),
    ConnectFailed { host: HostId },
    Disconnected { session: u64 },
    Messages { session: u64, messages: Vec<FromDispatcher> },
}

/// A session with a dispatcher.
struct Connection {
    session: u64,
    /// Host and incarnation of the dispatcher.
    dispatcher: (HostId, u64),
    out: BatchSender<ToDispatcher>,
}

/// Handle that sends events of requests to the link's task.
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
            replies: HashMap::new(),
            connection: None,
            connecting: None,
            last_session: 0,
            granted_at: HashMap::new(),
            mean_run_time: Duration::ZERO,
            events: sender.clone(),
        };
        tokio::spawn(task.run(events, reach));
        Link(sender)
    }

    /// Submits a grant request. The ticket must be held until the request has ended.
    pub fn submit(&self, request: GrantRequest) -> (Ticket, oneshot::Receiver<GrantReply>) {
        let (reply, receiver) = oneshot::channel();
        let ticket = Ticket { link: self.clone(), seq: request.seq, units: 0, open: true };
        self.send(Event::Submit { request, reply });
        (ticket, receiver)
    }

    /// Records that an endpoint requested a rest of `duration_ms` milliseconds.
    pub fn record_rest(&self, endpoint: EndpointId, duration_ms: Millis) {
        self.send(Event::Rest { endpoint, duration_ms });
    }

    /// Records that an endpoint is leaving, or that it is back.
    pub fn set_leaving(&self, endpoint: EndpointId, is_leaving: bool) {
        self.send(Event::Leaving { endpoint, is_leaving });
    }

    fn send(&self, event: Event) {
        // Sending cannot fail: the task runs as long as the process.
        let _ = self.0.send(event);
    }
}

/// A request queued or running at the dispatcher. Dropping it cancels the request and releases its
/// slot.
#[derive(Debug)]
pub(super) struct Ticket {
    link: Link,
    seq: u64,
    units: u32,
    open: bool,
}

impl Ticket {
    /// Reports that the running request has used `units` so far.
    pub fn progress(&mut self, units: u32) {
        self.units = units;
        self.link.send(Event::Progress { seq: self.seq, units });
    }

    /// Reports the end of the request.
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
    replies: HashMap<u64, oneshot::Sender<GrantReply>>,
    connection: Option<(Connection, AbortOnDropHandle<()>)>,
    connecting: Option<((HostId, u64), AbortOnDropHandle<()>)>,
    last_session: u64,
    granted_at: HashMap<u64, Instant>,
    mean_run_time: Duration,
    events: mpsc::UnboundedSender<Event>,
}

impl Task {
    async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        mut reach: watch::Receiver<HallSet>,
    ) {
        let mut view = self.peers.watch();
        let mut retry = tokio::time::interval(RETRY_INTERVAL);
        self.connect_to_dispatcher(&view.borrow_and_update().clone());
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.on_event(event),
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
            self.connect_to_dispatcher(&current);
        }
    }

    /// Connects to the dispatcher chosen by the view. The old session stays open until the new one
    /// is established.
    fn connect_to_dispatcher(&mut self, view: &View) {
        let target = match self.alone {
            true => view.get(self.peers.me),
            false => view.dispatcher(self.service),
        };
        let Some(target) = target else {
            return;
        };
        let target_id = (target.host, target.incarnation);
        let is_connected = self.connection.as_ref().is_some_and(|(c, _)| c.dispatcher == target_id);
        let is_connecting = self.connecting.as_ref().is_some_and(|(to, _)| *to == target_id);
        if is_connected || is_connecting {
            return;
        }
        self.last_session += 1;
        let session = self.peers.incarnation << SESSION_BITS | self.last_session;
        let connect =
            connect(self.peers.clone(), target.clone(), self.service, session, self.events.clone());
        let handle = AbortOnDropHandle::new(tokio::spawn(connect));
        self.connecting = Some((target_id, handle));
    }

    fn on_event(&mut self, event: Event) {
        let now = self.peers.clock.now();
        match event {
            Event::Submit { request, reply } => self.on_submit(request, reply),
            Event::Progress { seq, units } => {
                let message = self.client.progress(seq, units);
                self.send(message);
            }
            Event::Finish { seq, units, completion } => {
                self.replies.remove(&seq);
                self.record_run_time(seq);
                let message = self.client.finish(seq, units, completion);
                self.send(message);
            }
            Event::Cancel { seq } => {
                self.replies.remove(&seq);
                let message = self.client.cancel(seq);
                self.send(message);
            }
            Event::Rest { endpoint, duration_ms } => {
                let message = self.client.record_rest(now, endpoint, duration_ms);
                self.send(message);
            }
            Event::Leaving { endpoint, is_leaving } => {
                let message = self.client.set_leaving(endpoint, is_leaving);
                self.send(message);
            }
            Event::Connected(connection) => self.on_connected(connection),
            Event::ConnectFailed { host } => {
                self.connecting = None;
                self.peers.record_connect_failure(host);
            }
            Event::Disconnected { session } => self.on_disconnected(session),
            Event::Messages { session, messages } => {
                for message in messages {
                    let received = self.client.receive(now, session, message);
                    self.on_received(received);
                }
            }
        }
    }

    fn on_submit(&mut self, request: GrantRequest, reply: oneshot::Sender<GrantReply>) {
        let now = self.peers.clock.now();
        let seq = request.seq;
        match self.client.submit(now, request) {
            Submitted::Refused { reason, retry_after_ms } => {
                // The caller may have disconnected.
                let _ = reply.send(GrantReply::Refuse { reason, retry_after_ms });
            }
            Submitted::Queued => {
                self.replies.insert(seq, reply);
            }
            Submitted::Send(message) => {
                self.replies.insert(seq, reply);
                self.send(Some(message));
            }
        }
    }

    fn on_connected(&mut self, connection: Connection) {
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

    fn on_disconnected(&mut self, session: u64) {
        if self.connection.as_ref().is_some_and(|(c, _)| c.session == session) {
            self.connection = None;
            self.client.detach();
        }
    }

    fn on_received(&mut self, received: Received) {
        match received {
            Received::Run { seq, endpoint } => {
                self.granted_at.insert(seq, Instant::now());
                self.deliver(seq, GrantReply::Run(endpoint));
            }
            Received::Refuse { seq, reason, retry_after_ms } => {
                self.deliver(seq, GrantReply::Refuse { reason, retry_after_ms });
            }
            Received::Reply(message) => self.send(Some(message)),
            Received::Nothing => {}
        }
    }

    fn deliver(&mut self, seq: u64, reply: GrantReply) {
        let is_received =
            self.replies.remove(&seq).is_some_and(|sender| sender.send(reply).is_ok());
        if !is_received {
            self.granted_at.remove(&seq);
            let message = self.client.finish(seq, 0, Completion::Unused);
            self.send(message);
        }
    }

    /// How long a message may wait to share a frame. Reports may wait for a small part of the mean
    /// run time of requests; grant requests may do so only if other requests are waiting already.
    fn max_delay(&self, message: &ToDispatcher) -> Duration {
        let report_delay = self.mean_run_time / DELAY_DIVISOR;
        match message {
            ToDispatcher::Done { .. } | ToDispatcher::Progress { .. } => {
                report_delay.min(MAX_DELAY)
            }
            ToDispatcher::GrantRequest(_) if self.client.waiting_count() > 1 => {
                report_delay.min(MAX_DELAY)
            }
            _ => Duration::ZERO,
        }
    }

    /// Updates the mean run time of granted requests.
    fn record_run_time(&mut self, seq: u64) {
        if let Some(since) = self.granted_at.remove(&seq) {
            let run = Instant::now() - since;
            self.mean_run_time =
                (self.mean_run_time * (MEAN_RUN_SAMPLES - 1) + run) / MEAN_RUN_SAMPLES;
        }
    }

    fn send(&self, message: Option<ToDispatcher>) {
        if let (Some(message), Some((connection, _))) = (message, &self.connection) {
            // An error means that the connection is closed, which its reader notices.
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
        // Sending cannot fail: the link's task runs as long as the process.
        let _ = events.send(Event::ConnectFailed { host });
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
    // Requests wait for grants on this session. Without ending it on silence, nothing would show
    // that no grant can arrive.
    let mut reader = reader.with_silence_timeout();
    let _ = events.send(Event::Connected(Connection { session, dispatcher, out }));
    while let Ok(messages) = reader.next::<Vec<FromDispatcher>>().await {
        peers.links.wait_until_clear_from(host).await;
        let _ = events.send(Event::Messages { session, messages });
    }
    drop(writing);
    let _ = events.send(Event::Disconnected { session });
}
