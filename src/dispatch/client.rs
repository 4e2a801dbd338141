//! A router's side of dispatch for one service: what it has waiting and running.

use std::collections::{BTreeMap, BTreeSet};

use super::Millis;
use crate::config::{CustomerId, EndpointId, HallSet};
use crate::wire::{Completion, FromDispatcher, GrantRequest, RefuseReason, ToDispatcher};

/// Units beyond the last report after which a running request reports again.
const PROGRESS_UNITS: u32 = 512;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running { endpoint: EndpointId, units: u32, reported: u32 },
}

#[derive(Clone, Debug)]
struct OpenRequest {
    customer: CustomerId,
    input: u32,
    start_by: Millis,
    prefix: Vec<u32>,
    phase: Phase,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    until: Millis,
    reason: RefuseReason,
}

/// What became of a submitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// Send this to the dispatcher.
    Send(ToDispatcher),
    /// It is sent with the next session.
    Queued,
    /// The dispatcher asked to refuse the customer for now.
    Refused {
        /// Why.
        reason: RefuseReason,
        /// Milliseconds after which to come back.
        retry_after_ms: u32,
    },
}

/// What a message from the dispatcher means here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// Run the request on the endpoint.
    Run {
        /// Number of the request.
        seq: u64,
        /// Where.
        endpoint: EndpointId,
    },
    /// Refuse the request.
    Refuse {
        /// Number of the request.
        seq: u64,
        /// Why.
        reason: RefuseReason,
        /// Milliseconds after which to come back.
        retry_after_ms: u32,
    },
    /// Nothing is waiting for this; answer the dispatcher.
    Reply(ToDispatcher),
    /// Nothing to do.
    Nothing,
}

/// The requests of one router for one service.
#[derive(Clone, Debug, Default)]
pub struct Client {
    session: Option<u64>,
    attached_before: bool,
    reach: HallSet,
    open: BTreeMap<u64, OpenRequest>,
    leads: BTreeMap<CustomerId, u64>,
    holds: BTreeMap<CustomerId, Hold>,
    /// When the rests end that endpoints asked this router for.
    rests: BTreeMap<EndpointId, Millis>,
    /// Endpoints that told this router that they leave.
    leaving: BTreeSet<EndpointId>,
}

impl Client {
    /// A client whose router reaches the endpoints of `reach`.
    pub fn new(reach: HallSet) -> Client {
        Client { reach, ..Client::default() }
    }

    /// Requests waiting or running.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Requests waiting for a grant.
    pub fn waiting_count(&self) -> usize {
        let waiting = self.open.values().filter(|r| r.phase == Phase::Waiting);
        waiting.count()
    }

    /// A session with a dispatcher begins: all that it must know, in order.
    pub fn attach(&mut self, now: Millis, session: u64) -> Vec<ToDispatcher> {
        self.session = Some(session);
        let takeover = std::mem::replace(&mut self.attached_before, true);
        self.holds.clear();
        let mut out =
            vec![ToDispatcher::Join { reach: self.reach, takeover, leads: self.open_leads() }];
        out.extend(
            self.leaving.iter().map(|e| ToDispatcher::Leaving { endpoint: *e, is_leaving: true }),
        );
        out.extend(self.rests.iter().filter_map(|(endpoint, until)| {
            let time_ms = until.checked_sub(now).filter(|left| *left > 0)? as u32;
            Some(ToDispatcher::Rest { endpoint: *endpoint, time_ms })
        }));
        out.extend(self.open.iter().map(|(seq, request)| request.introduce(now, *seq)));
        out
    }

    /// An endpoint asked this router for so many milliseconds of rest.
    pub fn record_rest(
        &mut self,
        now: Millis,
        endpoint: EndpointId,
        time: Millis,
    ) -> Option<ToDispatcher> {
        self.rests.retain(|_, until| *until > now);
        self.rests.insert(endpoint, now.saturating_add(time));
        let message = ToDispatcher::Rest { endpoint, time_ms: time as u32 };
        self.session.map(|_| message)
    }

    /// An endpoint told this router that it leaves, or is back after that.
    pub fn set_leaving(&mut self, endpoint: EndpointId, is_leaving: bool) -> Option<ToDispatcher> {
        match is_leaving {
            true => self.leaving.insert(endpoint),
            false => self.leaving.remove(&endpoint),
        };
        self.session.map(|_| ToDispatcher::Leaving { endpoint, is_leaving })
    }

    /// The session has ended.
    pub fn detach(&mut self) {
        self.session = None;
    }

    /// The data halls in reach have changed.
    pub fn set_reach(&mut self, reach: HallSet) -> Option<ToDispatcher> {
        let changed = self.reach != reach;
        self.reach = reach;
        (changed && self.session.is_some()).then_some(ToDispatcher::Reach(reach))
    }

    /// A request wants to run.
    pub fn submit(&mut self, now: Millis, want: GrantRequest) -> Submitted {
        if let Some(held) = self.held(now, want.customer) {
            return held;
        }
        let request = OpenRequest {
            customer: want.customer,
            input: want.input,
            start_by: now + Millis::from(want.start_within_ms),
            prefix: want.prefix.clone(),
            phase: Phase::Waiting,
        };
        self.open.insert(want.seq, request);
        match self.session {
            Some(_) => Submitted::Send(ToDispatcher::GrantRequest(want)),
            None => Submitted::Queued,
        }
    }

    fn held(&mut self, now: Millis, customer: CustomerId) -> Option<Submitted> {
        let hold = *self.holds.get(&customer)?;
        if hold.until <= now {
            self.holds.remove(&customer);
            return None;
        }
        Some(Submitted::Refused { reason: hold.reason, retry_after_ms: (hold.until - now) as u32 })
    }

    /// A message arrived on `session`; those of ended sessions are ignored.
    pub fn receive(&mut self, now: Millis, session: u64, message: FromDispatcher) -> Received {
        if self.session != Some(session) {
            return Received::Nothing;
        }
        match message {
            FromDispatcher::Grant { seq, endpoint, charged, lead } => {
                self.granted(seq, endpoint, charged, lead)
            }
            FromDispatcher::Refuse { seq, reason, retry_after_ms, hold_ms } => {
                self.refused(now, seq, reason, retry_after_ms, hold_ms)
            }
        }
    }

    fn granted(&mut self, seq: u64, endpoint: EndpointId, charged: u32, lead: u64) -> Received {
        let Some(request) = self.open.get_mut(&seq) else {
            let completion = Completion::Unused;
            return Received::Reply(ToDispatcher::Done { seq, units: 0, completion });
        };
        if request.phase != Phase::Waiting {
            return Received::Nothing;
        }
        request.phase = Phase::Running { endpoint, units: 0, reported: charged };
        self.leads.insert(request.customer, lead);
        Received::Run { seq, endpoint }
    }

    fn refused(
        &mut self,
        now: Millis,
        seq: u64,
        reason: RefuseReason,
        retry_after_ms: u32,
        hold_ms: u32,
    ) -> Received {
        let Some(request) = self.open.get(&seq) else {
            return Received::Nothing;
        };
        if request.phase != Phase::Waiting {
            return Received::Nothing;
        }
        if hold_ms > 0 {
            let until = now + Millis::from(hold_ms);
            self.holds.insert(request.customer, Hold { until, reason });
        }
        self.open.remove(&seq);
        Received::Refuse { seq, reason, retry_after_ms }
    }

    /// A running request has used `units` so far.
    pub fn progress(&mut self, seq: u64, units: u32) -> Option<ToDispatcher> {
        let request = self.open.get_mut(&seq)?;
        let Phase::Running { units: used, reported, .. } = &mut request.phase else {
            return None;
        };
        *used = units;
        if units < reported.saturating_add(PROGRESS_UNITS) {
            return None;
        }
        *reported = units;
        self.session.map(|_| ToDispatcher::Progress { seq, units })
    }

    /// A running request has ended.
    pub fn finish(&mut self, seq: u64, units: u32, completion: Completion) -> Option<ToDispatcher> {
        self.open.remove(&seq)?;
        self.session.map(|_| ToDispatcher::Done { seq, units, completion })
    }

    /// A waiting request is given up.
    pub fn cancel(&mut self, seq: u64) -> Option<ToDispatcher> {
        let request = self.open.get(&seq)?;
        if request.phase != Phase::Waiting {
            return None;
        }
        let customer = request.customer;
        self.open.remove(&seq);
        self.session.map(|_| ToDispatcher::Cancel { seq, customer })
    }

    fn open_leads(&self) -> Vec<(CustomerId, u64)> {
        let open: std::collections::BTreeSet<_> = self.open.values().map(|r| r.customer).collect();
        let known = self.leads.iter().filter(|(customer, _)| open.contains(customer));
        known.map(|(customer, lead)| (*customer, *lead)).collect()
    }
}

impl OpenRequest {
    fn introduce(&self, now: Millis, seq: u64) -> ToDispatcher {
        match self.phase {
            Phase::Waiting => ToDispatcher::GrantRequest(GrantRequest {
                seq,
                customer: self.customer,
                input: self.input,
                start_within_ms: self.start_by.saturating_sub(now) as u32,
                prefix: self.prefix.clone(),
            }),
            Phase::Running { endpoint, units, .. } => {
                ToDispatcher::Running { seq, customer: self.customer, endpoint, units }
            }
        }
    }
}
