//! The placers that a router asks.

mod reservation;
mod session;

pub use reservation::Reservation;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;

use super::knowledge::{EndpointStartRef, Memory, Told};
use super::local::LocalPlacer;
use super::message::{Completion, FromPlacer, PlacementRequest, Refusal, RestTold, ToPlacer};
use super::unanswered::Unanswered;
use crate::dispatch::Millis;
use crate::feed::Subscriptions;
use crate::loop_lag::LoopLag;
use crate::member::View;
use crate::peer::Peers;
use session::{Question, Session, follow};

use crate::wire::{HostId, Role};

/// How long a placer may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// How often the lag of the event loop is added to that.
const LAG_PATIENCE: u32 = 4;
/// Lag of the event loop from which on silence says nothing about a placer.
const OWN_FAULT_LAG: Duration = Duration::from_millis(10);
/// Answers in a row that may fail to come before a placer is passed over.
const TOLERATED_SILENCE: u32 = 2;
/// Placers that are asked before a router decides for itself.
const PLACERS_ASKED: usize = 2;
/// How long a silent placer is passed over.
const PASSED_OVER: Duration = Duration::from_millis(700);

/// What a placer decided.
#[derive(Debug)]
pub enum PlacementOutcome {
    /// Go to the reserved endpoint.
    Reserved(Reservation),
    /// It cannot be served in time.
    Refused(Refusal),
    /// No placer answers, or none knows an engine: choose alone.
    Undecided,
}

#[derive(Debug)]
struct Placer {
    hall: String,
    task: JoinHandle<()>,
    incarnation: u64,
    session: Option<Session>,
    silent: u32,
    unanswered: Unanswered,
    passed_over_until: tokio::time::Instant,
}

/// The placers in view.
#[derive(Debug)]
pub struct PlacementClient {
    peers: Arc<Peers>,
    feeds: Arc<Subscriptions>,
    hall: String,
    local: Arc<LocalPlacer>,
    placers: Mutex<BTreeMap<HostId, Placer>>,
    memory: Mutex<Memory>,
    /// The placer asked last, which knows all that this router knows.
    informed: Mutex<Option<HostId>>,
    next_seq: AtomicU64,
    lag: LoopLag,
}

impl Placer {
    fn end_session(&self) {
        if let Some(session) = &self.session {
            session.dead.cancel();
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
        let placements = Arc::new(PlacementClient {
            peers,
            feeds,
            hall,
            local: Arc::new(local),
            placers: Mutex::default(),
            memory: Mutex::default(),
            informed: Mutex::default(),
            next_seq: AtomicU64::new(1),
            lag,
        });
        tokio::spawn(follow_view(placements.clone()));
        placements
    }

    /// Asks where a request goes: the leader's host, so that one decides for
    /// all; out of its reach another one, first of the same data hall; and this
    /// router's own placer where none answers.
    pub async fn place(self: &Arc<Self>, mut request: PlacementRequest) -> PlacementOutcome {
        let asked = tokio::time::Instant::now();
        let objective_ms = request.objective_ms;
        for _ in 0..PLACERS_ASKED {
            let Some((host, session)) = self.session() else { break };
            request.seq = self.next_seq.fetch_add(1, Ordering::Relaxed);
            if let Some(answer) = self.ask(host, &session, request.clone()).await {
                return self.placed(answer, &request, Told::Host(host));
            }
            let spent = asked.elapsed().as_millis() as u32;
            request.objective_ms = objective_ms.saturating_sub(spent);
        }
        request.seq = self.next_seq.fetch_add(1, Ordering::Relaxed);
        let answer = self.local.place(request.clone(), self.feeds.router_count());
        self.placed(answer, &request, Told::Local)
    }

    fn placed(
        self: &Arc<Self>,
        answer: FromPlacer,
        request: &PlacementRequest,
        by: Told,
    ) -> PlacementOutcome {
        match answer {
            FromPlacer::Go { endpoint, started_at_ms, copy_from, .. } => {
                let at = EndpointStartRef { endpoint: &endpoint, started_at_ms };
                lock(&self.memory).placed(request, at, by);
                let placements = self.clone();
                let seq = request.seq;
                let completion = Completion::Abandoned;
                let begun = false;
                PlacementOutcome::Reserved(Reservation {
                    endpoint,
                    copy_from,
                    seq,
                    placements,
                    completion,
                    begun,
                })
            }
            FromPlacer::Refuse { refusal, .. } => PlacementOutcome::Refused(refusal),
            FromPlacer::Unknown { .. } => PlacementOutcome::Undecided,
        }
    }

    /// An engine asked this router for so many milliseconds of rest: the placer that is
    /// asked must know, and any that is asked later.
    pub fn record_rest(&self, at: EndpointStartRef<'_>, time: Millis) {
        lock(&self.memory).rested(self.peers.clock.now(), at, time);
        let mut told = vec![Told::Local];
        told.extend(lock(&self.informed).map(Told::Host));
        let (endpoint, started_at_ms) = (at.endpoint.to_string(), at.started_at_ms);
        let rest = RestTold { endpoint, started_at_ms, time_ms: time as u32 };
        self.tell(&told, &ToPlacer::Rest(rest));
    }

    /// Passes on what became of an open request. A session that has closed has
    /// given everything back.
    fn tell(&self, told: &[Told], message: &ToPlacer) {
        for placer in told {
            match placer {
                Told::Local => self.local.tell(message.clone()),
                Told::Host(host) => {
                    let placers = lock(&self.placers);
                    let session = placers.get(host).and_then(|p| p.session.as_ref());
                    if let Some(session) = session {
                        let _ = session.out.send(message.clone().into());
                    }
                }
            }
        }
    }

    /// Tells a placer that was not asked last what this router knows.
    fn inform(&self, host: HostId, session: &Session) {
        let mut informed = lock(&self.informed);
        if informed.replace(host) != Some(host) {
            let knowledge = lock(&self.memory).tell(self.peers.clock.now(), host);
            // A session that has closed is noticed by its reader.
            let _ = session.out.send(ToPlacer::Known(knowledge).into());
        }
    }

    async fn ask(
        &self,
        host: HostId,
        session: &Session,
        request: PlacementRequest,
    ) -> Option<FromPlacer> {
        self.inform(host, session);
        let mut question = Question::ask(session, request)?;
        // A router that is behind its own work takes longer to see an answer.
        let lag = self.lag.get();
        let patience = ANSWER_TIMEOUT + lag * LAG_PATIENCE;
        match tokio::time::timeout(patience, &mut question.answer).await {
            Ok(Ok(answer)) => {
                self.note_answer(host);
                question.is_open = false;
                Some(answer)
            }
            Ok(Err(_)) => None,
            Err(_) => {
                self.note_unanswered(host);
                if lag < OWN_FAULT_LAG {
                    self.note_silence(host);
                }
                None
            }
        }
    }

    fn session(&self) -> Option<(HostId, Session)> {
        let leader = self.feeds.leader();
        let now = tokio::time::Instant::now();
        let placers = lock(&self.placers);
        let usable = |p: &Placer| p.session.clone().filter(|_| p.passed_over_until <= now);
        let preferred = placers.iter().filter_map(|(host, placer)| {
            let session = usable(placer)?;
            let rank = (Some(*host) != leader, placer.hall != self.hall, *host);
            Some((rank, *host, session))
        });
        preferred.min_by_key(|(rank, ..)| *rank).map(|(_, host, session)| (host, session))
    }

    /// Opens sessions to control hosts that have come, and drops the others'.
    fn adopt_view(self: &Arc<Self>, view: &View) {
        let controls: BTreeMap<_, _> = view.with_role(Role::Control).map(|m| (m.host, m)).collect();
        let mut placers = lock(&self.placers);
        placers.retain(|host, placer| {
            let same = controls.get(host).is_some_and(|m| m.incarnation == placer.incarnation);
            if !same {
                placer.task.abort();
            }
            same
        });
        for (host, member) in controls {
            placers.entry(host).or_insert_with(|| Placer {
                hall: member.hall.clone(),
                task: tokio::spawn(follow(self.clone(), host, member.peer)),
                incarnation: member.incarnation,
                session: None,
                silent: 0,
                unanswered: Unanswered::default(),
                passed_over_until: tokio::time::Instant::now(),
            });
        }
    }

    fn note_answer(&self, host: HostId) {
        if let Some(placer) = lock(&self.placers).get_mut(&host) {
            placer.silent = 0;
            placer.unanswered = Unanswered::default();
        }
    }

    /// A question was not answered in time, for whatever reason. Nothing answered for long
    /// says that the connection is dead, also on a router that is behind its own work.
    fn note_unanswered(&self, host: HostId) {
        let now = self.peers.clock.now();
        let mut placers = lock(&self.placers);
        if let Some(placer) = placers.get_mut(&host)
            && placer.unanswered.note(now)
        {
            log::info!("placement: control host {host} answers nothing, its session ends");
            placer.end_session();
        }
    }

    fn note_silence(&self, host: HostId) {
        if let Some(placer) = lock(&self.placers).get_mut(&host) {
            placer.silent += 1;
            let now = tokio::time::Instant::now();
            let known = placer.passed_over_until > now;
            if placer.silent >= TOLERATED_SILENCE && !known {
                placer.passed_over_until = now + PASSED_OVER;
                // What waits there is asked elsewhere at once.
                if let Some(session) = &placer.session {
                    lock(&session.waiting).clear();
                }
                log::info!("placement: control host {host} is silent, passed over");
            }
        }
    }

    /// Opens the session with a control host anew.
    fn end_session(&self, host: HostId) {
        if let Some(placer) = lock(&self.placers).get(&host) {
            placer.end_session();
        }
    }

    fn set_session(&self, host: HostId, session: Option<Session>) {
        if let Some(placer) = lock(&self.placers).get_mut(&host) {
            placer.session = session;
            placer.silent = 0;
            placer.unanswered = Unanswered::default();
        }
        // A new session starts from nothing.
        let mut informed = lock(&self.informed);
        if *informed == Some(host) {
            *informed = None;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn follow_view(all: Arc<PlacementClient>) {
    let mut view = all.peers.watch();
    let mut silent = all.feeds.watch_silent_hosts();
    loop {
        let now = view.borrow_and_update().clone();
        all.adopt_view(&now);
        tokio::select! {
            changed = view.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            // What is missed shows when the placer is asked.
            Ok(host) = silent.recv() => all.end_session(host),
        }
    }
}
