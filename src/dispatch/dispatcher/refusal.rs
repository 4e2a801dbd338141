//! What cannot be served is refused at once.

use super::{
    BLIND_RETRY_MS, CustomerId, Decision, Dispatcher, GIVE_UP_FACTOR, GrantRequest, HallSet,
    HostId, MAX_HOLD_MS, MAX_RETRY_MS, MIN_RETRY_MS, Millis, RefuseReason, Waiting,
};
use crate::dispatch::estimate::{FairOrder, queued_units, share_of};

impl Dispatcher {
    pub(super) fn refusal(
        &self,
        now: Millis,
        router: HostId,
        reach: HallSet,
        want: &GrantRequest,
    ) -> Option<(RefuseReason, u32, u32)> {
        // A dispatcher that does not know the service yet is behind its routers.
        let knows = self.config.services.contains_key(&self.service);
        if knows && !self.capacity.serves(reach) {
            return Some((RefuseReason::NoEndpoint, BLIND_RETRY_MS, 0));
        }
        if let Some(rest) = self.capacity.all_rest_for(now, router, reach)
            && rest > Millis::from(want.start_within_ms)
        {
            return Some((RefuseReason::EndpointsRest, rest as u32, 0));
        }
        let waiting = self.accounts.get(want.customer).map_or(0, |a| a.waiting);
        let limit = self.config.customers.get(&want.customer).map_or(u32::MAX, |c| c.max_waiting);
        let queue_ms = self.queue_ms(want.customer);
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
    pub(super) fn queue_ms(&self, customer: CustomerId) -> Option<f64> {
        let rate = self.rate.of(self.capacity.slots())?;
        let units = queued_units(&self.accounts, customer, self.mean_output);
        let share = share_of(&self.config, customer);
        Some(self.order.units_until(units, share) / rate)
    }

    /// Gives up what a router has waiting and what cannot start before the first endpoint
    /// ends its rest.
    pub(super) fn give_up_at_rest(&mut self, now: Millis, router: HostId, out: &mut Vec<Decision>) {
        let reach = self.sessions.get(&router).map_or(HallSet::ALL, |s| s.reach);
        let Some(rest) = self.capacity.all_rest_for(now, router, reach) else { return };
        let customers: Vec<_> = self.accounts.backlogged().map(|(id, _)| id).collect();
        for customer in customers {
            let is_late = |w: &Waiting| w.start_by < now + rest;
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

    pub(super) fn give_up(&mut self, now: Millis, out: &mut Vec<Decision>) {
        self.order = FairOrder::of(&self.accounts, &self.config, now, self.mean_output);
        let customers: Vec<_> = self.accounts.backlogged().map(|(id, _)| id).collect();
        for customer in customers {
            let queue_ms = self.queue_ms(customer);
            self.give_up_of(now, customer, queue_ms, out);
        }
    }

    pub(super) fn give_up_of(
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
}

fn retry_ms(ms: f64) -> u32 {
    ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) as u32
}
