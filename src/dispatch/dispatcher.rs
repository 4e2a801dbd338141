//! The dispatcher of one service.

mod refusal;
mod service;
mod session;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::Millis;
use super::account::{Accounts, QueuedRequest, VIRTUAL_SCALE};
use super::capacity::{Capacity, EndpointLoad};
use super::estimate::{FairOrder, SlotRate};
use crate::config::{Config, CustomerId, EndpointId, HallSet, ServiceId};
use crate::wire::{Completion, GrantRequest, HostId, RefuseReason, ToDispatcher};

/// A dispatcher that was not run for this many milliseconds may have been replaced: it
/// drops its state.
pub const STALL_RESET_MS: Millis = 1_000;
/// How long a dispatcher that takes over waits for routers to attach, in milliseconds.
pub const RECOVERY_MS: Millis = 300;
/// How long the grants of a lost router are kept before their slots are freed, in
/// milliseconds.
pub const ORPHAN_MS: Millis = 2_000;
/// Minimum time after which a caller is asked to retry, in milliseconds.
const MIN_RETRY_MS: f64 = 100.0;
/// Maximum time after which a caller is asked to retry, in milliseconds.
const MAX_RETRY_MS: f64 = 60_000.0;
/// Maximum time for which a router refuses a customer without asking, in milliseconds.
const MAX_HOLD_MS: f64 = 1_000.0;
/// Time after which a caller is asked to retry if its wait cannot be estimated, in
/// milliseconds.
const DEFAULT_RETRY_MS: u32 = 1_000;
/// A queued request is refused when its estimated wait exceeds the time to its deadline by
/// this factor.
const LATENESS_FACTOR: f64 = 1.25;

/// How long a granted request waited and why it was chosen, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueWait {
    /// Time in the queue, in milliseconds.
    pub ms: Millis,
    /// Customers that were backlogged when it was granted.
    pub backlogged: usize,
    /// The customer's lead over the least served customer when chosen, in units over share.
    pub lead_before: u64,
}

/// A decision of the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A request may run.
    Grant {
        /// The router that holds it.
        router: HostId,
        /// Number of the request at its router.
        seq: u64,
        /// The customer that it belongs to.
        customer: CustomerId,
        /// The endpoint that runs it.
        endpoint: EndpointId,
        /// Units charged in advance, from the predicted use.
        charged: u32,
        /// The customer's lead after the charge, in units over share.
        lead: u64,
        /// Milliseconds that the message may wait for others to share its frame.
        max_delay_ms: Millis,
        /// Time in the queue and reason for the choice.
        waited: QueueWait,
    },
    /// A request is refused.
    Refuse {
        /// The router that holds it.
        router: HostId,
        /// Number of the request at its router.
        seq: u64,
        /// The customer that it belongs to.
        customer: CustomerId,
        /// Reason of the refusal.
        reason: RefuseReason,
        /// Milliseconds after which the caller may retry.
        retry_after_ms: u32,
        /// Milliseconds for which the router refuses the customer without asking.
        hold_ms: u32,
    },
    /// An endpoint failed and is excluded for a router.
    Exclude {
        /// The router whose request failed.
        router: HostId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Duration of the exclusion, in milliseconds.
        for_ms: Millis,
    },
    /// The dispatcher dropped its state after a stall; every session must be closed.
    Reset {
        /// Time for which the dispatcher did not run, in milliseconds.
        stalled_ms: Millis,
    },
}

#[derive(Clone, Copy, Debug)]
struct Granted {
    customer: CustomerId,
    endpoint: EndpointId,
    input: u32,
    charged: u32,
    granted_at: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Session {
    number: u64,
    reach: HallSet,
    lost_at: Option<Millis>,
}

/// State of a dispatcher, for reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Number of queued requests by customer.
    pub waiting: BTreeMap<CustomerId, u32>,
    /// Number of granted requests that have not completed.
    pub running: usize,
    /// Load of each endpoint.
    pub endpoints: Vec<EndpointLoad>,
    /// Routers with an open session.
    pub routers: Vec<HostId>,
}

/// Decides for one service which request runs next, and on which endpoint.
///
/// Every input carries the time; nothing is read from a clock or the network.
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
    /// A dispatcher without state. It uses 1/`divisor` of each endpoint's slots; `divisor` is
    /// 1 unless each router dispatches for itself.
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

    /// Adopts a configuration and the endpoints that the platform reports as leaving.
    pub fn configure(
        &mut self,
        now: Millis,
        config: Arc<Config>,
        leaving: &BTreeSet<EndpointId>,
    ) -> Vec<Decision> {
        let mut out = self.detect_stall(now);
        self.capacity.configure(&config, self.service, leaving);
        self.config = config;
        self.grant_waiting(now, &mut out);
        out
    }

    /// Applies a message from a router's session. Messages of other sessions than the
    /// current one of that router are ignored.
    pub fn receive(
        &mut self,
        now: Millis,
        router: HostId,
        session: u64,
        message: ToDispatcher,
    ) -> Vec<Decision> {
        let mut out = self.detect_stall(now);
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
            ToDispatcher::GrantRequest(request) => {
                self.queue_or_refuse(now, router, request, &mut out)
            }
            ToDispatcher::Running { seq, customer, endpoint, units } => {
                self.adopt_running(now, router, seq, customer, endpoint, units);
            }
            ToDispatcher::Progress { seq, units } => self.record_progress(router, seq, units),
            ToDispatcher::Done { seq, units, completion } => {
                self.record_completion(now, router, seq, units, completion, &mut out);
            }
            ToDispatcher::Rest { endpoint, time_ms } => {
                self.capacity.record_rest(now, router, endpoint, time_ms.into());
                self.refuse_during_rest(now, router, &mut out);
            }
            ToDispatcher::Leaving { endpoint, is_leaving } => {
                self.capacity.set_leaving(router, endpoint, is_leaving);
            }
            ToDispatcher::Cancel { seq, customer } => {
                self.accounts.remove_if(customer, router, |r| r.seq == seq);
            }
        }
        self.grant_waiting(now, &mut out);
        out
    }

    /// Records the loss of a router's session: its queued requests are dropped, its running
    /// ones keep their slots for [`ORPHAN_MS`].
    pub fn on_session_lost(&mut self, now: Millis, router: HostId, session: u64) -> Vec<Decision> {
        let mut out = self.detect_stall(now);
        let Some(current) = self.sessions.get_mut(&router) else {
            return out;
        };
        if current.number != session {
            return out;
        }
        current.lost_at = Some(now);
        self.accounts.drop_router(router);
        self.grant_waiting(now, &mut out);
        out
    }

    /// Does the work that is due at `now`: refuses requests that cannot start in time, frees
    /// the slots of lost routers, and grants.
    pub fn tick(&mut self, now: Millis) -> Vec<Decision> {
        let mut out = self.detect_stall(now);
        self.end_recovery(now);
        self.free_orphans(now);
        self.refuse_late(now, &mut out);
        self.grant_waiting(now, &mut out);
        out
    }

    /// Whether no router is attached and no grant is outstanding.
    pub fn is_idle(&self) -> bool {
        self.sessions.is_empty() && self.granted.is_empty()
    }

    /// The current state, for reports.
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

    fn queue_or_refuse(
        &mut self,
        now: Millis,
        router: HostId,
        request: GrantRequest,
        out: &mut Vec<Decision>,
    ) {
        if self.granted.contains_key(&(router, request.seq)) {
            return;
        }
        let reach = self.sessions.get(&router).map_or(HallSet::ALL, |s| s.reach);
        let refusal = self.refusal(now, router, reach, &request);
        if let Some((reason, retry_after_ms, hold_ms)) = refusal {
            out.push(Decision::Refuse {
                router,
                seq: request.seq,
                customer: request.customer,
                reason,
                retry_after_ms,
                hold_ms,
            });
            return;
        }
        self.arrivals += 1;
        let queued = QueuedRequest {
            seq: request.seq,
            input: request.input,
            arrival: self.arrivals,
            queued_at: now,
            start_by: now + Millis::from(request.start_within_ms),
            prefix: request.prefix,
        };
        let raise_to_floor = self.recovering_until.is_none();
        self.accounts.push(now, request.customer, router, queued, raise_to_floor);
    }
}
