//! The dispatcher of one service.

mod refusal;
mod service;
mod session;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::Millis;
use super::account::{Accounts, VIRTUAL_SCALE, Waiting};
use super::capacity::{Capacity, EndpointLoad};
use super::estimate::{FairOrder, SlotRate};
use crate::config::{Config, CustomerId, EndpointId, HallSet, ServiceId};
use crate::wire::{Completion, GrantRequest, HostId, RefuseReason, ToDispatcher};

/// A dispatcher not run for this long may have been replaced: it forgets.
pub const STALL_RESET_MS: Millis = 1_000;
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
        max_delay_ms: Millis,
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
    Exclude {
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
    order: FairOrder,
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
            order: FairOrder::default(),
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
            ToDispatcher::GrantRequest(want) => self.want(now, router, want, &mut out),
            ToDispatcher::Running { seq, customer, endpoint, units } => {
                self.running(now, router, seq, customer, endpoint, units);
            }
            ToDispatcher::Progress { seq, units } => self.progress(router, seq, units),
            ToDispatcher::Done { seq, units, completion } => {
                self.done(now, router, seq, units, completion, &mut out);
            }
            ToDispatcher::Rest { endpoint, time_ms } => {
                self.capacity.rest(now, router, endpoint, time_ms.into());
                self.give_up_at_rest(now, router, &mut out);
            }
            ToDispatcher::Leaving { endpoint, is_leaving } => {
                self.capacity.set_leaving(router, endpoint, is_leaving);
            }
            ToDispatcher::Cancel { seq, customer } => {
                self.accounts.remove_if(customer, router, |w| w.seq == seq);
            }
        }
        self.serve(now, &mut out);
        out
    }

    /// A router's session broke: its waiting requests are dropped, its running
    /// ones keep their slots for [`ORPHAN_MS`].
    pub fn on_session_lost(&mut self, now: Millis, router: HostId, session: u64) -> Vec<Decision> {
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

    fn want(&mut self, now: Millis, router: HostId, want: GrantRequest, out: &mut Vec<Decision>) {
        if self.granted.contains_key(&(router, want.seq)) {
            return;
        }
        let reach = self.sessions.get(&router).map_or(HallSet::ALL, |s| s.reach);
        let refusal = self.refusal(now, router, reach, &want);
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
}
