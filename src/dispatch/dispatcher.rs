//! The dispatcher of one service.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::Millis;
use super::account::{Accounts, VIRTUAL_SCALE, Waiting, blend};
use super::capacity::{Capacity, EndpointLoad};
use super::estimate::{SlotRate, queued_units, wait_ms};
use crate::config::{Config, CustomerId, EndpointId, HallSet, ServiceId};
use crate::wire::{Ending, HostId, RefuseReason, ToDispatcher, Want};

/// A dispatcher not run for this long may have been replaced: it forgets.
pub const THAW_MS: Millis = 1_000;
/// How long a dispatcher that takes over waits for the routers it may not know.
pub const RECOVERY_MS: Millis = 300;
/// How long the grants of a lost router are kept before their slots are freed.
pub const ORPHAN_MS: Millis = 2_000;
/// Shortest time to come back after, in milliseconds.
const MIN_RETRY_MS: f64 = 100.0;
/// Longest time to come back after, in milliseconds.
const MAX_RETRY_MS: f64 = 60_000.0;
/// Longest time a router refuses a customer by itself, in milliseconds.
const MAX_HOLD_MS: f64 = 1_000.0;
/// Time to come back after when nothing is known, in milliseconds.
const BLIND_RETRY_MS: u32 = 1_000;
/// A waiting request is given up when its estimate exceeds its deadline by this factor.
const GIVE_UP_FACTOR: f64 = 1.25;

/// How long a granted request waited and why it was its turn, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waited {
    /// Milliseconds in the queue.
    pub ms: Millis,
    /// Customers that were backlogged at the time.
    pub backlogged: usize,
    /// The customer's lead over the least served when chosen, in virtual units.
    pub lead_before: u64,
}

/// What a dispatcher has decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A request may run.
    Grant {
        /// The router that holds it.
        router: HostId,
        /// Its number there.
        seq: u64,
        /// Whose it is.
        customer: CustomerId,
        /// Where it runs.
        endpoint: EndpointId,
        /// Units charged in advance.
        charged: u32,
        /// The customer's lead after the charge, in units over share.
        lead: u64,
        /// Milliseconds that it may wait for others to share its frame.
        patience_ms: Millis,
        /// Why now.
        waited: Waited,
    },
    /// A request will not run.
    Refuse {
        /// The router that holds it.
        router: HostId,
        /// Its number there.
        seq: u64,
        /// Whose it is.
        customer: CustomerId,
        /// Why.
        reason: RefuseReason,
        /// Milliseconds after which to come back.
        retry_after_ms: u32,
        /// Milliseconds during which the router refuses the customer by itself.
        hold_ms: u32,
    },
    /// An endpoint failed and is left out for a router.
    LeftOut {
        /// The router that saw it fail.
        router: HostId,
        /// The endpoint.
        endpoint: EndpointId,
        /// For how many milliseconds.
        for_ms: Millis,
    },
    /// Everything was forgotten; every session must be closed.
    Reset {
        /// Milliseconds for which the dispatcher did not run.
        stalled_ms: Millis,
    },
}

#[derive(Clone, Copy, Debug)]
struct Granted {
    customer: CustomerId,
    endpoint: EndpointId,
    input: u32,
    charged: u32,
    since: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Session {
    number: u64,
    reach: HallSet,
    lost_at: Option<Millis>,
}

/// What a dispatcher holds, for reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Waiting requests by customer.
    pub waiting: BTreeMap<CustomerId, u32>,
    /// Requests granted and not ended.
    pub running: usize,
    /// Endpoints and their load.
    pub endpoints: Vec<EndpointLoad>,
    /// Routers attached.
    pub routers: Vec<HostId>,
}

/// Decides for one service who is served next, and where.
///
/// Every input carries the time; nothing is read from clock or network.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    service: ServiceId,
    config: Arc<Config>,
    capacity: Capacity,
    accounts: Accounts,
    sessions: BTreeMap<HostId, Session>,
    granted: BTreeMap<(HostId, u64), Granted>,
    rate: SlotRate,
    mean_output: Option<f64>,
    recovering_until: Option<Millis>,
    arrivals: u64,
    last_step: Millis,
}

impl Dispatcher {
    /// A dispatcher without memory. It uses one part in `divisor` of each
    /// endpoint's slots; 1 unless routers dispatch alone.
    pub fn new(now: Millis, service: ServiceId, divisor: u32) -> Dispatcher {
        Dispatcher {
            service,
            config: Arc::default(),
            capacity: Capacity::new(divisor),
            accounts: Accounts::default(),
            sessions: BTreeMap::new(),
            granted: BTreeMap::new(),
            rate: SlotRate::default(),
            mean_output: None,
            recovering_until: None,
            arrivals: 0,
            last_step: now,
        }
    }

    /// Adopts a configuration and the endpoints that the platform says are leaving.
    pub fn configure(
        &mut self,
        now: Millis,
        config: Arc<Config>,
        leaving: &BTreeSet<EndpointId>,
    ) -> Vec<Decision> {
        let mut out = self.notice_stall(now);
        self.capacity.configure(&config, self.service, leaving);
        self.config = config;
        self.serve(now, &mut out);
        out
    }

    /// Takes a message from a router's session. Sessions older than the newest
    /// of that router are ignored.
    pub fn receive(
        &mut self,
        now: Millis,
        router: HostId,
        session: u64,
        message: ToDispatcher,
    ) -> Vec<Decision> {
        let mut out = self.notice_stall(now);
        if let ToDispatcher::Join { reach, takeover, leads } = message {
            self.join(now, router, session, reach, takeover, leads);
            return out;
        }
        let current = self.sessions.get(&router);
        if current.is_none_or(|s| s.number != session) {
            return out;
        }
        match message {
            ToDispatcher::Join { .. } => {}
            ToDispatcher::Reach(reach) => self.set_reach(router, reach),
            ToDispatcher::Want(want) => self.want(now, router, want, &mut out),
            ToDispatcher::Running { seq, customer, endpoint, units } => {
                self.running(now, router, seq, customer, endpoint, units);
            }
            ToDispatcher::Progress { seq, units } => self.progress(router, seq, units),
            ToDispatcher::Done { seq, units, ending } => {
                self.done(now, router, seq, units, ending, &mut out);
            }
            ToDispatcher::Cancel { seq } => self.cancel(router, seq),
        }
        self.serve(now, &mut out);
        out
    }

    /// A router's session broke: its waiting requests are dropped, its running
    /// ones keep their slots for [`ORPHAN_MS`].
    pub fn lost(&mut self, now: Millis, router: HostId, session: u64) -> Vec<Decision> {
        let mut out = self.notice_stall(now);
        let Some(current) = self.sessions.get_mut(&router) else {
            return out;
        };
        if current.number != session {
            return out;
        }
        current.lost_at = Some(now);
        self.accounts.drop_router(router);
        self.serve(now, &mut out);
        out
    }

    /// Time passes: gives up what cannot start in time, frees orphans, grants.
    pub fn tick(&mut self, now: Millis) -> Vec<Decision> {
        let mut out = self.notice_stall(now);
        self.end_recovery(now);
        self.free_orphans(now);
        self.give_up(now, &mut out);
        self.serve(now, &mut out);
        out
    }

    /// Whether nobody is attached and nothing is held.
    pub fn is_idle(&self) -> bool {
        self.sessions.is_empty() && self.granted.is_empty()
    }

    /// What it holds now.
    pub fn snapshot(&self) -> Snapshot {
        let waiting = self.accounts.iter().filter(|(_, a)| a.waiting > 0);
        let attached = self.sessions.iter().filter(|(_, s)| s.lost_at.is_none());
        Snapshot {
            waiting: waiting.map(|(id, a)| (id, a.waiting)).collect(),
            running: self.granted.len(),
            endpoints: self.capacity.loads(),
            routers: attached.map(|(router, _)| *router).collect(),
        }
    }

    fn notice_stall(&mut self, now: Millis) -> Vec<Decision> {
        let stalled_ms = now.saturating_sub(self.last_step);
        self.last_step = self.last_step.max(now);
        if stalled_ms < THAW_MS || self.sessions.is_empty() {
            return Vec::new();
        }
        self.accounts = Accounts::default();
        self.sessions.clear();
        self.granted.clear();
        self.capacity.release_all();
        self.recovering_until = None;
        vec![Decision::Reset { stalled_ms }]
    }

    fn join(
        &mut self,
        now: Millis,
        router: HostId,
        session: u64,
        reach: HallSet,
        takeover: bool,
        leads: Vec<(CustomerId, u64)>,
    ) {
        if self.sessions.get(&router).is_some_and(|s| s.number >= session) {
            return;
        }
        if takeover && self.sessions.is_empty() {
            self.recovering_until = Some(now + RECOVERY_MS);
        }
        self.drop_grants_of(router);
        self.accounts.drop_router(router);
        let joined = Session { number: session, reach, lost_at: None };
        self.sessions.insert(router, joined);
        if self.recovering_until.is_some() {
            self.adopt_leads(leads);
        }
    }

    fn adopt_leads(&mut self, leads: Vec<(CustomerId, u64)>) {
        for (customer, lead) in leads {
            let counter = lead.saturating_mul(VIRTUAL_SCALE);
            let account = self.accounts.entry(customer);
            account.known = true;
            let counter = account.counter.max(counter);
            self.accounts.set_counter(customer, counter);
        }
    }

    fn end_recovery(&mut self, now: Millis) {
        if self.recovering_until.is_some_and(|until| now >= until) {
            self.recovering_until = None;
            self.accounts.settle_recovery();
        }
    }

    fn set_reach(&mut self, router: HostId, reach: HallSet) {
        if let Some(session) = self.sessions.get_mut(&router) {
            session.reach = reach;
        }
    }

    fn want(&mut self, now: Millis, router: HostId, want: Want, out: &mut Vec<Decision>) {
        if self.granted.contains_key(&(router, want.seq)) {
            return;
        }
        let reach = self.sessions.get(&router).map_or(HallSet::ALL, |s| s.reach);
        let refusal = self.refusal(now, reach, &want);
        if let Some((reason, retry_after_ms, hold_ms)) = refusal {
            out.push(Decision::Refuse {
                router,
                seq: want.seq,
                customer: want.customer,
                reason,
                retry_after_ms,
                hold_ms,
            });
            return;
        }
        self.arrivals += 1;
        let waiting = Waiting {
            seq: want.seq,
            input: want.input,
            arrival: self.arrivals,
            since: now,
            start_by: now + Millis::from(want.start_within_ms),
            prefix: want.prefix,
        };
        let lift = self.recovering_until.is_none();
        self.accounts.push(now, want.customer, router, waiting, lift);
    }

    fn refusal(
        &self,
        now: Millis,
        reach: HallSet,
        want: &Want,
    ) -> Option<(RefuseReason, u32, u32)> {
        // A dispatcher that does not know the service yet is behind its routers.
        let knows = self.config.services.contains_key(&self.service);
        if knows && !self.capacity.serves(reach) {
            return Some((RefuseReason::NoEndpoint, BLIND_RETRY_MS, 0));
        }
        let waiting = self.accounts.get(want.customer).map_or(0, |a| a.waiting);
        let limit = self.config.customers.get(&want.customer).map_or(u32::MAX, |c| c.max_waiting);
        let queue_ms = self.queue_ms(now, want.customer);
        if waiting >= limit {
            let quarter = queue_ms.map_or(f64::from(BLIND_RETRY_MS), |ms| ms / 4.0);
            let hold = quarter.min(MAX_HOLD_MS) as u32;
            return Some((RefuseReason::QueueFull, retry_ms(quarter), hold));
        }
        let late = queue_ms? - f64::from(want.start_within_ms);
        let hold = late.min(MAX_HOLD_MS) as u32;
        (late > 0.0).then(|| (RefuseReason::DeadlineUnmet, retry_ms(late), hold))
    }

    /// Milliseconds until all that a customer has waiting has started.
    fn queue_ms(&self, now: Millis, customer: CustomerId) -> Option<f64> {
        let rate = self.rate.of(self.capacity.slots())?;
        let units = queued_units(&self.accounts, customer, self.mean_output);
        let mean = self.mean_output;
        Some(wait_ms(&self.accounts, &self.config, now, customer, units, rate, mean))
    }

    fn running(
        &mut self,
        now: Millis,
        router: HostId,
        seq: u64,
        customer: CustomerId,
        endpoint: EndpointId,
        units: u32,
    ) {
        let charged = units.max(self.predicted(customer, 0));
        let granted = Granted { customer, endpoint, input: 0, charged, since: now };
        if self.granted.insert((router, seq), granted).is_none() {
            self.capacity.acquire(endpoint, &[]);
        }
    }

    fn progress(&mut self, router: HostId, seq: u64, units: u32) {
        let Some(granted) = self.granted.get_mut(&(router, seq)) else {
            return;
        };
        if units <= granted.charged {
            return;
        }
        let more = units - granted.charged;
        granted.charged = units;
        let customer = granted.customer;
        self.charge(customer, more);
    }

    fn done(
        &mut self,
        now: Millis,
        router: HostId,
        seq: u64,
        units: u32,
        ending: Ending,
        out: &mut Vec<Decision>,
    ) {
        let Some(granted) = self.granted.remove(&(router, seq)) else {
            return;
        };
        self.capacity.release(granted.endpoint);
        self.settle(&granted, units);
        match ending {
            Ending::Answered => self.learn(now, router, &granted, units),
            Ending::Unused => {}
            Ending::Failed => {
                let for_ms = self.capacity.failed(now, router, granted.endpoint);
                let endpoint = granted.endpoint;
                out.push(Decision::LeftOut { router, endpoint, for_ms });
            }
        }
    }

    fn settle(&mut self, granted: &Granted, units: u32) {
        if units >= granted.charged {
            self.charge(granted.customer, units - granted.charged);
            return;
        }
        let refund = self.virtual_units(granted.customer, granted.charged - units);
        let counter = self.accounts.entry(granted.customer).counter;
        self.accounts.set_counter(granted.customer, counter.saturating_sub(refund));
    }

    fn learn(&mut self, now: Millis, router: HostId, granted: &Granted, units: u32) {
        self.capacity.answered(router, granted.endpoint);
        self.rate.learn(units, now.saturating_sub(granted.since));
        if let Some(mean_ms) = self.rate.mean_ms() {
            self.capacity.keep_full(mean_ms);
        }
        let output = units.saturating_sub(granted.input);
        self.mean_output = Some(blend(self.mean_output, output));
        self.accounts.entry(granted.customer).learn_output(output);
    }

    fn cancel(&mut self, router: HostId, seq: u64) {
        let holds = |(id, a): (CustomerId, &super::account::Account)| {
            let queue = a.queues.get(&router)?;
            queue.iter().any(|w| w.seq == seq).then_some(id)
        };
        let found = self.accounts.backlogged().find_map(holds);
        if let Some(customer) = found {
            self.accounts.remove_if(customer, router, |w| w.seq == seq);
        }
    }

    fn drop_grants_of(&mut self, router: HostId) {
        let of_router = self.granted.range((router, 0)..=(router, u64::MAX));
        let keys: Vec<_> = of_router.map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(granted) = self.granted.remove(&key) {
                self.capacity.release(granted.endpoint);
            }
        }
    }

    fn free_orphans(&mut self, now: Millis) {
        let expired = |(router, s): (&HostId, &Session)| {
            let lost_at = s.lost_at?;
            (now >= lost_at + ORPHAN_MS).then_some(*router)
        };
        let routers: Vec<_> = self.sessions.iter().filter_map(expired).collect();
        for router in routers {
            self.drop_grants_of(router);
            self.capacity.forget_router(router);
            self.sessions.remove(&router);
        }
    }

    fn give_up(&mut self, now: Millis, out: &mut Vec<Decision>) {
        let customers: Vec<_> = self.accounts.backlogged().map(|(id, _)| id).collect();
        for customer in customers {
            let queue_ms = self.queue_ms(now, customer);
            self.give_up_of(now, customer, queue_ms, out);
        }
    }

    fn give_up_of(
        &mut self,
        now: Millis,
        customer: CustomerId,
        queue_ms: Option<f64>,
        out: &mut Vec<Decision>,
    ) {
        let Some(account) = self.accounts.get(customer) else {
            return;
        };
        let routers: Vec<_> = account.queues.iter().map(|(r, q)| (*r, q.len())).collect();
        for (router, length) in routers {
            let step = queue_ms.unwrap_or(0.0) / length as f64 / GIVE_UP_FACTOR;
            let mut ahead = 0.0;
            let late = |w: &Waiting| {
                let left = w.start_by.saturating_sub(now) as f64;
                let hopeless = left == 0.0 || ahead > left;
                if !hopeless {
                    ahead += step;
                }
                hopeless
            };
            for request in self.accounts.remove_if(customer, router, late) {
                out.push(Decision::Refuse {
                    router,
                    seq: request.seq,
                    customer,
                    reason: RefuseReason::DeadlineUnmet,
                    retry_after_ms: retry_ms(queue_ms.unwrap_or(f64::from(BLIND_RETRY_MS))),
                    hold_ms: 0,
                });
            }
        }
    }

    fn serve(&mut self, now: Millis, out: &mut Vec<Decision>) {
        if self.recovering_until.is_some() {
            return;
        }
        while self.capacity.has_room() {
            let Some((customer, router, endpoint)) = self.choose(now) else {
                return;
            };
            let Some(request) = self.accounts.pop(customer, router) else {
                return;
            };
            out.push(self.grant(now, customer, router, endpoint, request));
        }
    }

    /// The least served customer with a request that an endpoint can take.
    fn choose(&self, now: Millis) -> Option<(CustomerId, HostId, EndpointId)> {
        for (customer, account) in self.accounts.backlogged() {
            for router in account.heads() {
                let reach = self.sessions.get(&router)?.reach;
                let head = account.queues.get(&router)?.front()?;
                let picked = self.capacity.pick(now, router, reach, &head.prefix);
                if let Some(endpoint) = picked {
                    return Some((customer, router, endpoint));
                }
            }
        }
        None
    }

    fn grant(
        &mut self,
        now: Millis,
        customer: CustomerId,
        router: HostId,
        endpoint: EndpointId,
        request: Waiting,
    ) -> Decision {
        let floor = self.accounts.floor();
        let before = self.accounts.entry(customer).counter;
        let waited = Waited {
            ms: now.saturating_sub(request.since),
            backlogged: self.accounts.backlogged().count(),
            lead_before: before.saturating_sub(floor) / VIRTUAL_SCALE,
        };
        self.accounts.advance(before);
        let charged = self.predicted(customer, request.input);
        self.charge(customer, charged);
        let patience_ms = self.capacity.grant_patience(endpoint);
        self.capacity.acquire(endpoint, &request.prefix);
        let after = self.accounts.entry(customer).counter;
        let granted = Granted { customer, endpoint, input: request.input, charged, since: now };
        self.granted.insert((router, request.seq), granted);
        Decision::Grant {
            router,
            seq: request.seq,
            customer,
            endpoint,
            charged,
            lead: after.saturating_sub(self.accounts.floor()) / VIRTUAL_SCALE,
            patience_ms,
            waited,
        }
    }

    fn predicted(&self, customer: CustomerId, input: u32) -> u32 {
        let own = self.accounts.get(customer).and_then(|a| a.mean_output);
        let output = own.or(self.mean_output).unwrap_or(0.0);
        input.saturating_add(output as u32)
    }

    fn virtual_units(&self, customer: CustomerId, units: u32) -> u64 {
        let share = self.config.customers.get(&customer).map_or(1, |c| c.share.max(1));
        u64::from(units) * VIRTUAL_SCALE / u64::from(share)
    }

    fn charge(&mut self, customer: CustomerId, units: u32) {
        let more = self.virtual_units(customer, units);
        let counter = self.accounts.entry(customer).counter;
        self.accounts.set_counter(customer, counter.saturating_add(more));
    }
}

fn retry_ms(ms: f64) -> u32 {
    ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) as u32
}
