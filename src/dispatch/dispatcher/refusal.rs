//! Refusal of requests that cannot be served in time.

use super::{
    CustomerId, DEFAULT_RETRY_MS, Decision, Dispatcher, GrantRequest, HallSet, HostId,
    LATENESS_FACTOR, MAX_HOLD_MS, MAX_RETRY_MS, MIN_RETRY_MS, Millis, QueuedRequest, RefuseReason,
};
use crate::dispatch::estimate::{FairOrder, queued_units, share_of};

impl Dispatcher {
    /// Reason, retry time and hold (both in milliseconds) for a new request that is refused.
    pub(super) fn refusal(
        &self,
        now: Millis,
        router: HostId,
        reach: HallSet,
        request: &GrantRequest,
    ) -> Option<(RefuseReason, u32, u32)> {
        // A dispatcher without the service has an older configuration than its routers: the
        // request is queued until the configuration arrives.
        let is_configured = self.config.services.contains_key(&self.service);
        if is_configured && !self.capacity.serves(reach) {
            return Some((RefuseReason::NoEndpoint, DEFAULT_RETRY_MS, 0));
        }
        if let Some(rest) = self.capacity.ms_until_rest_ends(now, router, reach)
            && rest > Millis::from(request.start_within_ms)
        {
            return Some((RefuseReason::EndpointsRest, rest as u32, 0));
        }
        let waiting = self.accounts.get(request.customer).map_or(0, |a| a.waiting);
        let limit =
            self.config.customers.get(&request.customer).map_or(u32::MAX, |c| c.max_waiting);
        let queue_ms = self.queue_ms(request.customer);
        if waiting >= limit {
            let retry_after = queue_ms.map_or(f64::from(DEFAULT_RETRY_MS), |ms| ms / 4.0);
            let hold = retry_after.min(MAX_HOLD_MS) as u32;
            return Some((RefuseReason::QueueFull, retry_ms(retry_after), hold));
        }
        let late_by = queue_ms? - f64::from(request.start_within_ms);
        let hold = late_by.min(MAX_HOLD_MS) as u32;
        (late_by > 0.0).then(|| (RefuseReason::DeadlineUnmet, retry_ms(late_by), hold))
    }

    /// Estimated milliseconds until all queued requests of a customer have started; none
    /// before the rate is known.
    pub(super) fn queue_ms(&self, customer: CustomerId) -> Option<f64> {
        let rate = self.rate.units_per_ms(self.capacity.slots())?;
        let units = queued_units(&self.accounts, customer, self.mean_output);
        let share = share_of(&self.config, customer);
        Some(self.order.units_until(units, share) / rate)
    }

    /// Refuses the queued requests of a router whose deadlines pass before the first endpoint
    /// ends its rest. Does nothing unless all endpoints in reach are resting.
    pub(super) fn refuse_during_rest(
        &mut self,
        now: Millis,
        router: HostId,
        out: &mut Vec<Decision>,
    ) {
        let reach = self.sessions.get(&router).map_or(HallSet::ALL, |s| s.reach);
        let Some(rest) = self.capacity.ms_until_rest_ends(now, router, reach) else { return };
        let customers: Vec<_> = self.accounts.backlogged().map(|(id, _)| id).collect();
        for customer in customers {
            let is_late = |r: &QueuedRequest| r.start_by < now + rest;
            for request in self.accounts.remove_if(customer, router, is_late) {
                out.push(Decision::Refuse {
                    router,
                    seq: request.seq,
                    customer,
                    reason: RefuseReason::EndpointsRest,
                    retry_after_ms: rest as u32,
                    hold_ms: 0,
                });
            }
        }
    }

    /// Refuses all queued requests that are not expected to start before their deadlines.
    pub(super) fn refuse_late(&mut self, now: Millis, out: &mut Vec<Decision>) {
        self.order = FairOrder::of(&self.accounts, &self.config, now, self.mean_output);
        let customers: Vec<_> = self.accounts.backlogged().map(|(id, _)| id).collect();
        for customer in customers {
            let queue_ms = self.queue_ms(customer);
            self.refuse_late_of(now, customer, queue_ms, out);
        }
    }

    pub(super) fn refuse_late_of(
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
            let step = queue_ms.unwrap_or(0.0) / length as f64 / LATENESS_FACTOR;
            let mut ahead = 0.0;
            let is_late_in_queue = |r: &QueuedRequest| {
                let left = r.start_by.saturating_sub(now) as f64;
                let is_late = left == 0.0 || ahead > left;
                if !is_late {
                    ahead += step;
                }
                is_late
            };
            for request in self.accounts.remove_if(customer, router, is_late_in_queue) {
                out.push(Decision::Refuse {
                    router,
                    seq: request.seq,
                    customer,
                    reason: RefuseReason::DeadlineUnmet,
                    retry_after_ms: retry_ms(queue_ms.unwrap_or(f64::from(DEFAULT_RETRY_MS))),
                    hold_ms: 0,
                });
            }
        }
    }
}

fn retry_ms(ms: f64) -> u32 {
    ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) as u32
}
