//! A router's client of the placers on control hosts.

mod reservation;
mod session;

pub use reservation::Reservation;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;

use super::local::LocalPlacer;
use super::message::{Completion, FromPlacer, PlacementRequest, Refusal, RestReport, ToPlacer};
use super::records::{EndpointStartRef, PlacementRecords, PlacerId};
use super::unanswered::Unanswered;
use crate::dispatch::Millis;
use crate::feed::Subscriptions;
use crate::loop_lag::LoopLag;
use crate::member::View;
use crate::peer::Peers;
use session::{Query, Session, maintain_session};

use crate::wire::{HostId, Role};

/// Time that a placer has to answer, without event loop lag.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Multiple of the event loop's lag that is added to the answer timeout.
const LAG_MULTIPLIER: u32 = 4;
/// Lag of the event loop from which on a missed answer is not counted against the placer.
const UNRELIABLE_LAG: Duration = Duration::from_millis(10);
/// Consecutive missed answers after which a placer is suspended.
const MISSED_ANSWERS_TO_SUSPEND: u32 = 2;
/// Placers that are asked before a router decides by itself.
const MAX_PLACERS_ASKED: usize = 2;
/// How long a placer that does not answer is suspended.
const SUSPENSION: Duration = Duration::from_millis(700);

/// The result of placing a request.
#[derive(Debug)]
pub enum PlacementOutcome {
    /// The request goes to the reserved endpoint.
    Reserved(Reservation),
    /// No engine can meet the request's objective.
    Refused(Refusal),
    /// No placer answers or has an engine of the service; the router chooses by itself.
    Undecided,
}

#[derive(Debug)]
struct PlacerPeer {
    hall: String,
    task: JoinHandle<()>,
    incarnation: u64,
    session: Option<Session>,
    missed_answers: u32,
    unanswered: Unanswered,
    suspended_until: tokio::time::Instant,
}

/// Sessions with the placers of all control hosts in view.
#[derive(Debug)]
pub struct PlacementClient {
    peers: Arc<Peers>,
    feeds: Arc<Subscriptions>,
    hall: String,
    local: Arc<LocalPlacer>,
    placers: Mutex<BTreeMap<HostId, PlacerPeer>>,
    records: Mutex<PlacementRecords>,
    /// The placer asked last, which has received all of this router's state.
    synced_host: Mutex<Option<HostId>>,
    next_seq: AtomicU64,
    lag: LoopLag,
}

impl PlacerPeer {
    fn end_session(&self) {
        if let Some(session) = &self.session {
            session.cancellation.cancel();
        }
    }
}

impl PlacementClient {
    /// Opens a session with every control host in view.
    pub fn start(
        peers: Arc<Peers>,
        feeds: Arc<Subscriptions>,
        local: LocalPlacer,
        hall: String,
        lag: LoopLag,
    ) -> Arc<PlacementClient> {
        let client = Arc::new(PlacementClient {
            peers,
            feeds,
            hall,
            local: Arc::new(local),
            placers: Mutex::default(),
            records: Mutex::default(),
            synced_host: Mutex::default(),
            next_seq: AtomicU64::new(1),
            lag,
        });
        tokio::spawn(follow_view(client.clone()));
        client
    }

    /// Places a request. Asks the leader's host, so that one placer decides for all routers; if it
    /// cannot be reached, another control host, preferring this data hall; and if none answers,
    /// this router's own placer.
    pub async fn place(self: &Arc<Self>, mut request: PlacementRequest) -> PlacementOutcome {
        let started = tokio::time::Instant::now();
        let objective_ms = request.objective_ms;
        for _ in 0..MAX_PLACERS_ASKED {
            let Some((host, session)) = self.session() else { break };
            request.seq = self.next_seq.fetch_add(1, Ordering::Relaxed);
            if let Some(answer) = self.ask(host, &session, request.clone()).await {
                return self.outcome(answer, &request, PlacerId::Host(host));
            }
            let spent = started.elapsed().as_millis() as u32;
            request.objective_ms = objective_ms.saturating_sub(spent);
        }
        request.seq = self.next_seq.fetch_add(1, Ordering::Relaxed);
        let answer = self.local.place(request.clone(), self.feeds.router_count());
        self.outcome(answer, &request, PlacerId::Local)
    }

    fn outcome(
        self: &Arc<Self>,
        answer: FromPlacer,
        request: &PlacementRequest,
        by: PlacerId,
    ) -> PlacementOutcome {
        match answer {
            FromPlacer::Go { endpoint, started_at_ms, copy_from, .. } => {
                let at = EndpointStartRef { endpoint: &endpoint, started_at_ms };
                lock(&self.records).record_placement(request, at, by);
                let client = self.clone();
                let seq = request.seq;
                let completion = Completion::Abandoned;
                let first_event_reported = false;
                PlacementOutcome::Reserved(Reservation {
                    endpoint,
                    copy_from,
                    seq,
                    client,
                    completion,
                    first_event_reported,
                })
            }
            FromPlacer::Refuse { refusal, .. } => PlacementOutcome::Refused(refusal),
            FromPlacer::Unknown { .. } => PlacementOutcome::Undecided,
        }
    }

    /// Records that an engine requested a rest of `time` milliseconds from this router, and reports
    /// it to the current placer. Placers asked later get it with the snapshot.
    pub fn record_rest(&self, at: EndpointStartRef<'_>, time: Millis) {
        lock(&self.records).record_rest(self.peers.clock.now(), at, time);
        let mut recipients = vec![PlacerId::Local];
        recipients.extend(lock(&self.synced_host).map(PlacerId::Host));
        let (endpoint, started_at_ms) = (at.endpoint.to_string(), at.started_at_ms);
        let rest = RestReport { endpoint, started_at_ms, time_ms: time as u32 };
        self.notify(&recipients, &ToPlacer::Rest(rest));
    }

    /// Sends an update of an open request to the placers that have it. A placer drops all requests
    /// of a session that closes.
    fn notify(&self, recipients: &[PlacerId], message: &ToPlacer) {
        for recipient in recipients {
            match recipient {
                PlacerId::Local => self.local.receive(message.clone()),
                PlacerId::Host(host) => {
                    let placers = lock(&self.placers);
                    let session = placers.get(host).and_then(|p| p.session.as_ref());
                    if let Some(session) = session {
                        let _ = session.out.send(message.clone().into());
                    }
                }
            }
        }
    }

    /// Sends a snapshot of this router's state to a placer that was not the last one asked.
    fn sync(&self, host: HostId, session: &Session) {
        let mut synced_host = lock(&self.synced_host);
        if synced_host.replace(host) != Some(host) {
            let snapshot = lock(&self.records).snapshot_for(self.peers.clock.now(), host);
            // A session that has closed is noticed by its reader.
            let _ = session.out.send(ToPlacer::Snapshot(snapshot).into());
        }
    }

    async fn ask(
        &self,
        host: HostId,
        session: &Session,
        request: PlacementRequest,
    ) -> Option<FromPlacer> {
        self.sync(host, session);
        let mut query = Query::ask(session, request)?;
        // A router with a lagging event loop takes longer to receive an answer.
        let lag = self.lag.get();
        let timeout = ANSWER_TIMEOUT + lag * LAG_MULTIPLIER;
        match tokio::time::timeout(timeout, &mut query.answer).await {
            Ok(Ok(answer)) => {
                self.record_answer(host);
                query.is_open = false;
                Some(answer)
            }
            Ok(Err(_)) => None,
            Err(_) => {
                self.record_timeout(host);
                if lag < UNRELIABLE_LAG {
                    self.record_missed_answer(host);
                }
                None
            }
        }
    }

    fn session(&self) -> Option<(HostId, Session)> {
        let leader = self.feeds.leader();
        let now = tokio::time::Instant::now();
        let placers = lock(&self.placers);
        let active_session =
            |p: &PlacerPeer| p.session.clone().filter(|_| p.suspended_until <= now);
        let preferred = placers.iter().filter_map(|(host, placer)| {
            let session = active_session(placer)?;
            let rank = (Some(*host) != leader, placer.hall != self.hall, *host);
            Some((rank, *host, session))
        });
        preferred.min_by_key(|(rank, ..)| *rank).map(|(_, host, session)| (host, session))
    }

    /// Opens sessions to control hosts that joined the view, and closes those to hosts that left
    /// it.
    fn adopt_view(self: &Arc<Self>, view: &View) {
        let controls: BTreeMap<_, _> = view.with_role(Role::Control).map(|m| (m.host, m)).collect();
        let mut placers = lock(&self.placers);
        placers.retain(|host, placer| {
            let is_current =
                controls.get(host).is_some_and(|m| m.incarnation == placer.incarnation);
            if !is_current {
                placer.task.abort();
            }
            is_current
        });
        for (host, member) in controls {
            placers.entry(host).or_insert_with(|| PlacerPeer {
                hall: member.hall.clone(),
                task: tokio::spawn(maintain_session(self.clone(), host, member.peer)),
                incarnation: member.incarnation,
                session: None,
                missed_answers: 0,
                unanswered: Unanswered::default(),
                suspended_until: tokio::time::Instant::now(),
            });
        }
    }

    fn record_answer(&self, host: HostId) {
        if let Some(placer) = lock(&self.placers).get_mut(&host) {
            placer.missed_answers = 0;
            placer.unanswered = Unanswered::default();
        }
    }

    /// Records that a query timed out, also while this router itself lags. A long run without any
    /// answer means that the connection is dead, and the session is ended.
    fn record_timeout(&self, host: HostId) {
        let now = self.peers.clock.now();
        let mut placers = lock(&self.placers);
        if let Some(placer) = placers.get_mut(&host)
            && placer.unanswered.record_timeout(now)
        {
            log::info!("placement: control host {host} does not answer, closing its session");
            placer.end_session();
        }
    }

    fn record_missed_answer(&self, host: HostId) {
        if let Some(placer) = lock(&self.placers).get_mut(&host) {
            placer.missed_answers += 1;
            let now = tokio::time::Instant::now();
            let is_suspended = placer.suspended_until > now;
            if placer.missed_answers >= MISSED_ANSWERS_TO_SUSPEND && !is_suspended {
                placer.suspended_until = now + SUSPENSION;
                // Requests that wait there are sent to another placer at once.
                if let Some(session) = &placer.session {
                    lock(&session.waiting).clear();
                }
                log::info!("placement: control host {host} misses answers, suspended");
            }
        }
    }

    /// Ends the session with a control host, so that a new one is opened.
    fn end_session(&self, host: HostId) {
        if let Some(placer) = lock(&self.placers).get(&host) {
            placer.end_session();
        }
    }

    fn set_session(&self, host: HostId, session: Option<Session>) {
        if let Some(placer) = lock(&self.placers).get_mut(&host) {
            placer.session = session;
            placer.missed_answers = 0;
            placer.unanswered = Unanswered::default();
        }
        // A new session has no state of this router.
        let mut synced_host = lock(&self.synced_host);
        if *synced_host == Some(host) {
            *synced_host = None;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn follow_view(client: Arc<PlacementClient>) {
    let mut view = client.peers.watch();
    let mut silent = client.feeds.watch_silent_hosts();
    loop {
        let now = view.borrow_and_update().clone();
        client.adopt_view(&now);
        tokio::select! {
            changed = view.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            // A missed notification shows up as a timeout when the placer is next asked.
            Ok(host) = silent.recv() => client.end_session(host),
        }
    }
}
