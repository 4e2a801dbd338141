//! Choice of the next request, and the charges to its customer.

use super::{
    Completion, CustomerId, Decision, Dispatcher, EndpointId, Granted, HostId, Millis, QueueWait,
    QueuedRequest, VIRTUAL_SCALE,
};
use crate::dispatch::account::moving_mean;

impl Dispatcher {
    pub(super) fn grant_waiting(&mut self, now: Millis, out: &mut Vec<Decision>) {
        if self.recovering_until.is_some() {
            return;
        }
        while self.capacity.has_room() {
            let Some((customer, router, endpoint)) = self.choose_next(now) else {
                return;
            };
            let Some(request) = self.accounts.pop(customer, router) else {
                return;
            };
            out.push(self.grant(now, customer, router, endpoint, request));
        }
    }

    /// The least served customer with a request that an endpoint has room for, with the router
    /// that holds the request and the endpoint.
    pub(super) fn choose_next(&self, now: Millis) -> Option<(CustomerId, HostId, EndpointId)> {
        for (customer, account) in self.accounts.backlogged() {
            for router in account.routers_by_oldest_request() {
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
        request: QueuedRequest,
    ) -> Decision {
        let floor = self.accounts.floor();
        let before = self.accounts.entry(customer).counter;
        let waited = QueueWait {
            ms: now.saturating_sub(request.queued_at),
            backlogged: self.accounts.backlogged_count(),
            lead_before: before.saturating_sub(floor) / VIRTUAL_SCALE,
        };
        self.accounts.advance(before);
        let charged = self.predicted_units(customer, request.input);
        self.charge(customer, charged);
        let max_delay_ms = self.capacity.max_grant_delay(endpoint);
        self.capacity.acquire(now, router, endpoint, &request.prefix);
        let after = self.accounts.entry(customer).counter;
        let granted =
            Granted { customer, endpoint, input: request.input, charged, granted_at: now };
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

    /// Units that a request is expected to use: its input and the mean output.
    pub(super) fn predicted_units(&self, customer: CustomerId, input: u32) -> u32 {
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

    pub(super) fn record_progress(&mut self, router: HostId, seq: u64, units: u32) {
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

    pub(super) fn record_completion(
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
            Completion::Answered => self.record_answer(now, router, &granted, units),
            Completion::Unused => {}
            Completion::Failed => {
                let for_ms = self.capacity.record_failure(now, router, granted.endpoint);
                let endpoint = granted.endpoint;
                out.push(Decision::Exclude { router, endpoint, for_ms });
            }
        }
    }

    /// Replaces the predicted charge of a request by the units that it used.
    pub(super) fn settle(&mut self, granted: &Granted, units: u32) {
        if units >= granted.charged {
            self.charge(granted.customer, units - granted.charged);
            return;
        }
        let refund = self.virtual_units(granted.customer, granted.charged - units);
        let counter = self.accounts.entry(granted.customer).counter;
        self.accounts.set_counter(granted.customer, counter.saturating_sub(refund));
    }

    pub(super) fn record_answer(
        &mut self,
        now: Millis,
        router: HostId,
        granted: &Granted,
        units: u32,
    ) {
        self.capacity.record_answer(now, router, granted.endpoint);
        self.rate.record(units, now.saturating_sub(granted.granted_at));
        if let Some(mean_ms) = self.rate.mean_ms() {
            self.capacity.update_lookahead(mean_ms);
        }
        let output = units.saturating_sub(granted.input);
        self.mean_output = Some(moving_mean(self.mean_output, output));
        self.accounts.entry(granted.customer).record_output(output);
    }
}
