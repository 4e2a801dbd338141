//! A router's side of dispatch for one service: its waiting and running requests.

use std::collections::{BTreeMap, BTreeSet};

use super::Millis;
use crate::config::{CustomerId, EndpointId, HallSet};
use crate::wire::{Completion, FromDispatcher, GrantRequest, RefuseReason, ToDispatcher};

/// Units beyond the last report after which a running request reports its progress again.
const PROGRESS_REPORT_UNITS: u32 = 512;

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

/// Outcome of submitting a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// Send this to the dispatcher.
    Send(ToDispatcher),
    /// No session is open; it is sent when the next one begins.
    Queued,
    /// Refused here: the dispatcher requested a hold on the customer.
    Refused {
        /// Reason of the hold or refusal.
        reason: RefuseReason,
        /// Milliseconds after which the caller may retry.
        retry_after_ms: u32,
    },
}

/// Action that follows from a message of the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// Run the request on the endpoint.
    Run {
        /// Number of the request.
        seq: u64,
        /// The endpoint that runs it.
        endpoint: EndpointId,
    },
    /// Refuse the request.
    Refuse {
        /// Number of the request.
        seq: u64,
        /// Reason of the hold or refusal.
        reason: RefuseReason,
        /// Milliseconds after which the caller may retry.
        retry_after_ms: u32,
    },
    /// The granted request is no longer open; send this to the dispatcher.
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
    /// End of the rest that each endpoint requested from this router.
    rest_ends: BTreeMap<EndpointId, Millis>,
    /// Endpoints that notified this router that they are leaving.
    leaving: BTreeSet<EndpointId>,
}

impl Client {
    /// A client whose router reaches the endpoints in these data halls.
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

    /// Begins a session with a dispatcher. Returns the messages that give it this client's
    /// full state, in the order to send them.
    pub fn attach(&mut self, now: Millis, session: u64) -> Vec<ToDispatcher> {
        self.session = Some(session);
        let takeover = std::mem::replace(&mut self.attached_before, true);
        self.holds.clear();
        let mut out =
            vec![ToDispatcher::Join { reach: self.reach, takeover, leads: self.open_leads() }];
        out.extend(
            self.leaving.iter().map(|e| ToDispatcher::Leaving { endpoint: *e, is_leaving: true }),
        );
        out.extend(self.rest_ends.iter().filter_map(|(endpoint, until)| {
            let time_ms = until.checked_sub(now).filter(|left| *left > 0)? as u32;
            Some(ToDispatcher::Rest { endpoint: *endpoint, time_ms })
        }));
        out.extend(self.open.iter().map(|(seq, request)| request.to_message(now, *seq)));
        out
    }

    /// Records that an endpoint requested a rest of `time` milliseconds from this router.
    /// Returns the message for the dispatcher, if a session is open.
    pub fn record_rest(
        &mut self,
        now: Millis,
        endpoint: EndpointId,
        time: Millis,
    ) -> Option<ToDispatcher> {
        self.rest_ends.retain(|_, until| *until > now);
        self.rest_ends.insert(endpoint, now.saturating_add(time));
        let message = ToDispatcher::Rest { endpoint, time_ms: time as u32 };
        self.session.map(|_| message)
    }

    /// Records that an endpoint is leaving, or no longer is. Returns the message for the
    /// dispatcher, if a session is open.
    pub fn set_leaving(&mut self, endpoint: EndpointId, is_leaving: bool) -> Option<ToDispatcher> {
        match is_leaving {
            true => self.leaving.insert(endpoint),
            false => self.leaving.remove(&endpoint),
        };
        self.session.map(|_| ToDispatcher::Leaving { endpoint, is_leaving })
    }

    /// Ends the session.
    pub fn detach(&mut self) {
        self.session = None;
    }

    /// Sets the data halls in reach. Returns the message for the dispatcher if they changed
    /// and a session is open.
    pub fn set_reach(&mut self, reach: HallSet) -> Option<ToDispatcher> {
        let changed = self.reach != reach;
        self.reach = reach;
        (changed && self.session.is_some()).then_some(ToDispatcher::Reach(reach))
    }

    /// Submits a request to run.
    pub fn submit(&mut self, now: Millis, grant_request: GrantRequest) -> Submitted {
        if let Some(refused) = self.active_hold(now, grant_request.customer) {
            return refused;
        }
        let request = OpenRequest {
            customer: grant_request.customer,
            input: grant_request.input,
            start_by: now + Millis::from(grant_request.start_within_ms),
            prefix: grant_request.prefix.clone(),
            phase: Phase::Waiting,
        };
        self.open.insert(grant_request.seq, request);
        match self.session {
            Some(_) => Submitted::Send(ToDispatcher::GrantRequest(grant_request)),
            None => Submitted::Queued,
        }
    }

    fn active_hold(&mut self, now: Millis, customer: CustomerId) -> Option<Submitted> {
        let hold = *self.holds.get(&customer)?;
        if hold.until <= now {
            self.holds.remove(&customer);
            return None;
        }
        Some(Submitted::Refused { reason: hold.reason, retry_after_ms: (hold.until - now) as u32 })
    }

    /// Applies a message that arrived on `session`; those of ended sessions are ignored.
    pub fn receive(&mut self, now: Millis, session: u64, message: FromDispatcher) -> Received {
        if self.session != Some(session) {
            return Received::Nothing;
        }
        match message {
            FromDispatcher::Grant { seq, endpoint, charged, lead } => {
                self.on_grant(seq, endpoint, charged, lead)
            }
            FromDispatcher::Refuse { seq, reason, retry_after_ms, hold_ms } => {
                self.on_refusal(now, seq, reason, retry_after_ms, hold_ms)
            }
        }
    }

    fn on_grant(&mut self, seq: u64, endpoint: EndpointId, charged: u32, lead: u64) -> Received {
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

    fn on_refusal(
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

    /// Records the units that a running request has used so far. Returns the message for the
    /// dispatcher, if a new report is due.
    pub fn progress(&mut self, seq: u64, units: u32) -> Option<ToDispatcher> {
        let request = self.open.get_mut(&seq)?;
        let Phase::Running { units: used, reported, .. } = &mut request.phase else {
            return None;
        };
        *used = units;
        if units < reported.saturating_add(PROGRESS_REPORT_UNITS) {
            return None;
        }
        *reported = units;
        self.session.map(|_| ToDispatcher::Progress { seq, units })
    }

    /// Removes a request that has ended. Returns the message for the dispatcher, if a session
    /// is open.
    pub fn finish(&mut self, seq: u64, units: u32, completion: Completion) -> Option<ToDispatcher> {
        self.open.remove(&seq)?;
        self.session.map(|_| ToDispatcher::Done { seq, units, completion })
    }

    /// Cancels a waiting request. Returns the message for the dispatcher, if a session is open.
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
    fn to_message(&self, now: Millis, seq: u64) -> ToDispatcher {
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
