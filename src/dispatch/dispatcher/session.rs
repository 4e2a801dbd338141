//! Sessions of routers: attaching, loss, and takeover from another dispatcher.

use super::{
    CustomerId, Decision, Dispatcher, EndpointId, Granted, HallSet, HostId, Millis, ORPHAN_MS,
    RECOVERY_MS, STALL_RESET_MS, Session, VIRTUAL_SCALE,
};
use crate::dispatch::account::Accounts;

impl Dispatcher {
    /// Drops all state if the dispatcher did not run for [`STALL_RESET_MS`].
    pub(super) fn detect_stall(&mut self, now: Millis) -> Vec<Decision> {
        let stalled_ms = now.saturating_sub(self.last_step);
        self.last_step = self.last_step.max(now);
        if stalled_ms < STALL_RESET_MS || self.sessions.is_empty() {
            return Vec::new();
        }
        self.accounts = Accounts::default();
        self.sessions.clear();
        self.granted.clear();
        self.capacity.release_all();
        self.recovering_until = None;
        vec![Decision::Reset { stalled_ms }]
    }

    pub(super) fn join(
        &mut self,
        now: Millis,
        router: HostId,
        session: u64,
        reach: HallSet,
        takeover: bool,
        leads: Vec<(CustomerId, u64)>,
    ) {
        // Session numbers start from the time of day at the router's start. After a lost
        // session the next number may be lower if the router's clock was set back.
        let is_outdated_by = |s: &Session| s.lost_at.is_none() && s.number >= session;
        if self.sessions.get(&router).is_some_and(is_outdated_by) {
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

    pub(super) fn adopt_leads(&mut self, leads: Vec<(CustomerId, u64)>) {
        for (customer, lead) in leads {
            let counter = lead.saturating_mul(VIRTUAL_SCALE);
            let account = self.accounts.entry(customer);
            account.counter_known = true;
            let counter = account.counter.max(counter);
            self.accounts.set_counter(customer, counter);
        }
    }

    pub(super) fn end_recovery(&mut self, now: Millis) {
        if self.recovering_until.is_some_and(|until| now >= until) {
            self.recovering_until = None;
            self.accounts.settle_recovery();
        }
    }

    pub(super) fn set_reach(&mut self, router: HostId, reach: HallSet) {
        if let Some(session) = self.sessions.get_mut(&router) {
            session.reach = reach;
        }
    }

    pub(super) fn adopt_running(
        &mut self,
        now: Millis,
        router: HostId,
        seq: u64,
        customer: CustomerId,
        endpoint: EndpointId,
        units: u32,
    ) {
        let charged = units.max(self.predicted_units(customer, 0));
        let granted = Granted { customer, endpoint, input: 0, charged, granted_at: now };
        if self.granted.insert((router, seq), granted).is_none() {
            self.capacity.acquire(now, router, endpoint, &[]);
        }
    }

    pub(super) fn drop_grants_of(&mut self, router: HostId) {
        let of_router = self.granted.range((router, 0)..=(router, u64::MAX));
        let keys: Vec<_> = of_router.map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(granted) = self.granted.remove(&key) {
                self.capacity.release(router, granted.endpoint);
            }
        }
    }

    pub(super) fn free_orphans(&mut self, now: Millis) {
        let expired = |(router, s): (&HostId, &Session)| {
            let lost_at = s.lost_at?;
            (now >= lost_at + ORPHAN_MS).then_some(*router)
        };
        let routers: Vec<_> = self.sessions.iter().filter_map(expired).collect();
        for router in routers {
            self.drop_grants_of(router);
            self.capacity.remove_router(router);
            self.sessions.remove(&router);
        }
    }
}
