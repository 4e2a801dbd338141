//! Who is served next, and what it is charged.

use super::{
    Completion, CustomerId, Decision, Dispatcher, EndpointId, Granted, HostId, Millis,
    VIRTUAL_SCALE, Waited, Waiting,
};
use crate::dispatch::account::blend;

impl Dispatcher {
    pub(super) fn serve(&mut self, now: Millis, out: &mut Vec<Decision>) {
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
    pub(super) fn choose(&self, now: Millis) -> Option<(CustomerId, HostId, EndpointId)> {
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

    pub(super) fn grant(
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
            backlogged: self.accounts.backlogged_count(),
            lead_before: before.saturating_sub(floor) / VIRTUAL_SCALE,
        };
        self.accounts.advance(before);
        let charged = self.predicted(customer, request.input);
        self.charge(customer, charged);
        let max_delay_ms = self.capacity.max_grant_delay(endpoint);
        self.capacity.acquire(now, router, endpoint, &request.prefix);
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
            max_delay_ms,
            waited,
        }
    }

    pub(super) fn predicted(&self, customer: CustomerId, input: u32) -> u32 {
        let own = self.accounts.get(customer).and_then(|a| a.mean_output);
        let output = own.or(self.mean_output).unwrap_or(0.0);
        input.saturating_add(output as u32)
    }

    pub(super) fn virtual_units(&self, customer: CustomerId, units: u32) -> u64 {
        let share = self.config.customers.get(&customer).map_or(1, |c| c.share.max(1));
        u64::from(units) * VIRTUAL_SCALE / u64::from(share)
    }

    pub(super) fn charge(&mut self, customer: CustomerId, units: u32) {
        let more = self.virtual_units(customer, units);
        let counter = self.accounts.entry(customer).counter;
        self.accounts.set_counter(customer, counter.saturating_add(more));
    }

    pub(super) fn progress(&mut self, router: HostId, seq: u64, units: u32) {
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

    pub(super) fn done(
        &mut self,
        now: Millis,
        router: HostId,
        seq: u64,
        units: u32,
        completion: Completion,
        out: &mut Vec<Decision>,
    ) {
        let Some(granted) = self.granted.remove(&(router, seq)) else {
            return;
        };
        self.capacity.release(router, granted.endpoint);
        self.settle(&granted, units);
        match completion {
            Completion::Answered => self.learn(now, router, &granted, units),
            Completion::Unused => {}
            Completion::Failed => {
                let for_ms = self.capacity.failed(now, router, granted.endpoint);
                let endpoint = granted.endpoint;
                out.push(Decision::Exclude { router, endpoint, for_ms });
            }
        }
    }

    pub(super) fn settle(&mut self, granted: &Granted, units: u32) {
        if units >= granted.charged {
            self.charge(granted.customer, units - granted.charged);
            return;
        }
        let refund = self.virtual_units(granted.customer, granted.charged - units);
        let counter = self.accounts.entry(granted.customer).counter;
        self.accounts.set_counter(granted.customer, counter.saturating_sub(refund));
    }

    pub(super) fn learn(&mut self, now: Millis, router: HostId, granted: &Granted, units: u32) {
        self.capacity.answered(now, router, granted.endpoint);
        self.rate.learn(units, now.saturating_sub(granted.since));
        if let Some(mean_ms) = self.rate.mean_ms() {
            self.capacity.keep_full(mean_ms);
        }
        let output = units.saturating_sub(granted.input);
        self.mean_output = Some(blend(self.mean_output, output));
        self.accounts.entry(granted.customer).learn_output(output);
    }
}
