//! Simulated routers and dispatchers over sessions that break, for property tests.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::super::*;
use crate::config::{Config, CustomerId, EndpointId, HallSet, ServiceId};
use crate::wire::{Completion, FromDispatcher, GrantRequest, HostId, ToDispatcher};

/// Simulated time of one step, in milliseconds.
pub const STEP_MS: Millis = 10;
/// Simulated duration of a request, in milliseconds per unit.
const MS_PER_UNIT: u64 = 2;

/// A simulated router with its requests.
pub struct Router {
    pub client: Client,
    /// Index of the dispatcher that it is attached to, and the session.
    pub session: Option<(usize, u64)>,
    next_session: u64,
    next_seq: u64,
    running: Vec<(u64, Millis, u32, EndpointId)>,
    to: VecDeque<ToDispatcher>,
    from: VecDeque<FromDispatcher>,
    customers: BTreeMap<u64, CustomerId>,
}

/// Simulated routers and dispatchers, with counts for the properties.
pub struct Fleet {
    pub now: Millis,
    pub dispatchers: Vec<Dispatcher>,
    /// Time until which each dispatcher is stalled and does not run.
    pub stalled_until: Vec<Millis>,
    pub routers: Vec<Router>,
    pub served: BTreeMap<CustomerId, u64>,
    /// Requests running at each endpoint.
    pub load: BTreeMap<EndpointId, u32>,
    pub submitted: u64,
    pub ended: u64,
    config: Arc<Config>,
    rng: SmallRng,
    session: u64,
}

impl Fleet {
    pub fn new(config: Arc<Config>, routers: usize, dispatchers: usize, seed: u64) -> Fleet {
        let router = |_| Router {
            client: Client::new(HallSet::ALL),
            session: None,
            next_session: 0,
            next_seq: 0,
            running: Vec::new(),
            to: VecDeque::new(),
            from: VecDeque::new(),
            customers: BTreeMap::new(),
        };
        let mut fleet = Fleet {
            now: 0,
            dispatchers: Vec::new(),
            stalled_until: vec![0; dispatchers],
            routers: (0..routers).map(router).collect(),
            served: BTreeMap::new(),
            load: BTreeMap::new(),
            submitted: 0,
            ended: 0,
            config,
            rng: SmallRng::seed_from_u64(seed),
            session: 0,
        };
        for _ in 0..dispatchers {
            let fresh = fleet.fresh_dispatcher();
            fleet.dispatchers.push(fresh);
        }
        (0..routers).for_each(|r| fleet.attach(r, 0));
        fleet
    }

    fn fresh_dispatcher(&self) -> Dispatcher {
        let mut dispatcher = Dispatcher::new(self.now, ServiceId(0), 1);
        dispatcher.configure(self.now, self.config.clone(), &BTreeSet::new());
        dispatcher
    }

    /// Breaks a router's session; messages in transit are lost.
    pub fn detach(&mut self, router: usize) {
        let state = &mut self.routers[router];
        let Some((dispatcher, session)) = state.session.take() else { return };
        state.client.detach();
        state.to.clear();
        state.from.clear();
        let host = host(router);
        let decisions = self.dispatchers[dispatcher].on_session_lost(self.now, host, session);
        self.apply_decisions(dispatcher, decisions);
    }

    pub fn attach(&mut self, router: usize, dispatcher: usize) {
        self.detach(router);
        self.session += 1;
        let state = &mut self.routers[router];
        state.next_session = self.session;
        state.session = Some((dispatcher, self.session));
        let messages = state.client.attach(self.now, self.session);
        state.to.extend(messages);
    }

    /// Kills a dispatcher; its routers attach to another.
    pub fn kill(&mut self, dispatcher: usize, next: usize) {
        let fresh = self.fresh_dispatcher();
        self.dispatchers[dispatcher] = fresh;
        for router in 0..self.routers.len() {
            let attached = self.routers[router].session.is_some_and(|(d, _)| d == dispatcher);
            if attached {
                self.attach(router, next);
            }
        }
    }

    /// Restarts a router; its requests are lost with their callers.
    pub fn restart_router(&mut self, router: usize) {
        let dispatcher = self.routers[router].session.map_or(0, |(d, _)| d);
        self.detach(router);
        let state = &mut self.routers[router];
        for (_, _, _, endpoint) in state.running.drain(..) {
            *self.load.entry(endpoint).or_default() -= 1;
        }
        self.ended += state.customers.len() as u64;
        state.customers.clear();
        state.client = Client::new(HallSet::ALL);
        self.attach(router, dispatcher);
    }

    pub fn submit(&mut self, router: usize, customer: u32) {
        let input = self.rng.random_range(1..40);
        let state = &mut self.routers[router];
        state.next_seq += 1;
        let seq = state.next_seq;
        let request = GrantRequest {
            seq,
            customer: CustomerId(customer),
            input,
            start_within_ms: 600_000,
            prefix: vec![],
        };
        self.submitted += 1;
        state.customers.insert(seq, CustomerId(customer));
        match state.client.submit(self.now, request) {
            Submitted::Send(message) => state.to.push_back(message),
            Submitted::Queued => {}
            Submitted::Refused { .. } => self.end(router, seq),
        }
    }

    fn end(&mut self, router: usize, seq: u64) {
        if self.routers[router].customers.remove(&seq).is_some() {
            self.ended += 1;
        }
    }

    /// Number of a customer's requests that wait or run at any router.
    pub fn open_of(&self, customer: u32) -> usize {
        let open = self.routers.iter().flat_map(|r| r.customers.values());
        open.filter(|c| c.0 == customer).count()
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        for router in 0..self.routers.len() {
            self.finish_due(router);
            self.deliver_to_dispatcher(router);
        }
        for dispatcher in 0..self.dispatchers.len() {
            if self.now >= self.stalled_until[dispatcher] {
                let decisions = self.dispatchers[dispatcher].tick(self.now);
                self.apply_decisions(dispatcher, decisions);
            }
        }
        for router in 0..self.routers.len() {
            self.deliver_to_router(router);
        }
    }

    fn finish_due(&mut self, router: usize) {
        let now = self.now;
        let state = &mut self.routers[router];
        let (due, running): (Vec<_>, Vec<_>) = state.running.drain(..).partition(|r| r.1 <= now);
        state.running = running;
        for (seq, _, units, endpoint) in due {
            let state = &mut self.routers[router];
            if let Some(message) = state.client.finish(seq, units, Completion::Answered) {
                state.to.push_back(message);
            }
            *self.load.entry(endpoint).or_default() -= 1;
            let customer = state.customers.get(&seq).copied();
            if let Some(customer) = customer {
                *self.served.entry(customer).or_default() += u64::from(units);
            }
            self.end(router, seq);
        }
    }

    fn deliver_to_dispatcher(&mut self, router: usize) {
        let Some((dispatcher, session)) = self.routers[router].session else { return };
        if self.now < self.stalled_until[dispatcher] {
            return;
        }
        let messages: Vec<_> = self.routers[router].to.drain(..).collect();
        for message in messages {
            let decisions =
                self.dispatchers[dispatcher].receive(self.now, host(router), session, message);
            self.apply_decisions(dispatcher, decisions);
        }
    }

    fn deliver_to_router(&mut self, router: usize) {
        let messages: Vec<_> = self.routers[router].from.drain(..).collect();
        let Some((_, session)) = self.routers[router].session else { return };
        for message in messages {
            match self.routers[router].client.receive(self.now, session, message) {
                Received::Run { seq, endpoint } => {
                    let units = self.rng.random_range(1..60);
                    let until = self.now + u64::from(units) * MS_PER_UNIT;
                    *self.load.entry(endpoint).or_default() += 1;
                    self.routers[router].running.push((seq, until, units, endpoint));
                }
                Received::Refuse { seq, .. } => self.end(router, seq),
                Received::Reply(message) => self.routers[router].to.push_back(message),
                Received::Nothing => {}
            }
        }
    }

    fn apply_decisions(&mut self, dispatcher: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            let (router, message) = match decision {
                Decision::Grant { router, seq, endpoint, charged, lead, .. } => {
                    (router, FromDispatcher::Grant { seq, endpoint, charged, lead })
                }
                Decision::Refuse { router, seq, reason, retry_after_ms, hold_ms, .. } => {
                    (router, FromDispatcher::Refuse { seq, reason, retry_after_ms, hold_ms })
                }
                Decision::Exclude { .. } => continue,
                Decision::Reset { .. } => {
                    self.reset(dispatcher);
                    continue;
                }
            };
            let state = &mut self.routers[router.0 as usize];
            if state.session.is_some_and(|(d, _)| d == dispatcher) {
                state.from.push_back(message);
            }
        }
    }

    /// Attaches the routers of a dispatcher that closed its sessions after a stall.
    fn reset(&mut self, dispatcher: usize) {
        for router in 0..self.routers.len() {
            if self.routers[router].session.is_some_and(|(d, _)| d == dispatcher) {
                self.attach(router, dispatcher);
            }
        }
    }
}

pub fn host(router: usize) -> HostId {
    HostId(router as u32)
}
