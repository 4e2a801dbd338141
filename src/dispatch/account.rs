//! Each customer's virtual counter and queued requests.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::Millis;
use crate::config::CustomerId;
use crate::wire::HostId;

/// Virtual units for one unit of service at share 1.
pub const VIRTUAL_SCALE: u64 = 1_000;
/// Weight of the newest request in the moving mean of the output.
const OUTPUT_WEIGHT: f64 = 0.2;

/// A request waiting for a grant.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub seq: u64,
    pub input: u32,
    /// Position in the order in which the dispatcher received requests.
    pub arrival: u64,
    pub queued_at: Millis,
    pub start_by: Millis,
    pub prefix: Vec<u32>,
}

/// Accounting and queues of one customer.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    /// Service received divided by share, in virtual units.
    pub counter: u64,
    /// Queued requests by router, oldest first.
    pub queues: BTreeMap<HostId, VecDeque<QueuedRequest>>,
    /// Requests in all queues.
    pub waiting: u32,
    /// Input units in all queues.
    pub waiting_input: u64,
    /// Start of the current uninterrupted backlog; none while nothing is queued.
    pub backlogged_since: Option<Millis>,
    /// Moving mean of the output of its requests, in units.
    pub mean_output: Option<f64>,
    /// Whether the counter was reported by a router during recovery, so that it can be
    /// compared with those of other customers.
    pub counter_known: bool,
}

impl Account {
    /// Routers with queued requests, ordered by the arrival of their oldest one.
    pub fn routers_by_oldest_request(&self) -> Vec<HostId> {
        let oldest_of = |(router, queue): (&HostId, &VecDeque<QueuedRequest>)| {
            queue.front().map(|r| (r.arrival, *router))
        };
        let mut oldest: Vec<_> = self.queues.iter().filter_map(oldest_of).collect();
        oldest.sort_unstable();
        oldest.into_iter().map(|(_, router)| router).collect()
    }

    /// Includes the output of an answered request in the mean, in units.
    pub fn record_output(&mut self, units: u32) {
        self.mean_output = Some(moving_mean(self.mean_output, units));
    }
}

/// Exponentially weighted moving mean after a new sample of `units`.
pub(super) fn moving_mean(mean: Option<f64>, units: u32) -> f64 {
    match mean {
        Some(mean) => mean + OUTPUT_WEIGHT * (f64::from(units) - mean),
        None => f64::from(units),
    }
}

/// All accounts, with an index of the backlogged ones by counter.
#[derive(Clone, Debug, Default)]
pub(super) struct Accounts {
    by_id: BTreeMap<CustomerId, Account>,
    backlog: BTreeSet<(u64, CustomerId)>,
    /// The highest counter at which a customer was served; the floor while no customer is
    /// backlogged.
    virtual_time: u64,
}

impl Accounts {
    pub fn get(&self, id: CustomerId) -> Option<&Account> {
        self.by_id.get(&id)
    }

    pub fn entry(&mut self, id: CustomerId) -> &mut Account {
        self.by_id.entry(id).or_default()
    }

    /// Backlogged customers, lowest counter first.
    pub fn backlogged(&self) -> impl Iterator<Item = (CustomerId, &Account)> {
        self.backlog.iter().map(|(_, id)| (*id, &self.by_id[id]))
    }

    pub fn backlogged_count(&self) -> usize {
        self.backlog.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (CustomerId, &Account)> {
        self.by_id.iter().map(|(id, account)| (*id, account))
    }

    /// The lowest counter among backlogged customers, else the virtual time.
    pub fn floor(&self) -> u64 {
        let lowest = self.backlog.first().map(|(counter, _)| *counter);
        lowest.unwrap_or(self.virtual_time)
    }

    /// Advances the virtual time: a customer with this counter is served.
    pub fn advance(&mut self, counter: u64) {
        self.virtual_time = self.virtual_time.max(counter);
    }

    /// Queues a request. The counter of a customer that was idle is raised to the floor, so
    /// that idle time earns no credit. `raise_to_floor` is false during recovery, when the
    /// floor is not yet known.
    pub fn push(
        &mut self,
        now: Millis,
        id: CustomerId,
        router: HostId,
        request: QueuedRequest,
        raise_to_floor: bool,
    ) {
        let floor = if raise_to_floor { self.floor() } else { 0 };
        let account = self.by_id.entry(id).or_default();
        if account.waiting == 0 {
            account.counter = account.counter.max(floor);
            account.backlogged_since = Some(now);
            self.backlog.insert((account.counter, id));
        }
        account.waiting += 1;
        account.waiting_input += u64::from(request.input);
        account.queues.entry(router).or_default().push_back(request);
    }

    /// Removes and returns the oldest request of a customer's queue for a router.
    pub fn pop(&mut self, id: CustomerId, router: HostId) -> Option<QueuedRequest> {
        let account = self.by_id.get_mut(&id)?;
        let queue = account.queues.get_mut(&router)?;
        let request = queue.pop_front()?;
        self.subtract_removed(id, router, &[&request]);
        Some(request)
    }

    /// Removes and returns the requests of a queue for which `should_remove` is true.
    pub fn remove_if(
        &mut self,
        id: CustomerId,
        router: HostId,
        mut should_remove: impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let Some(account) = self.by_id.get_mut(&id) else {
            return Vec::new();
        };
        let Some(queue) = account.queues.get_mut(&router) else {
            return Vec::new();
        };
        let (removed, kept): (Vec<_>, Vec<_>) = queue.drain(..).partition(|r| should_remove(r));
        queue.extend(kept);
        self.subtract_removed(id, router, &removed.iter().collect::<Vec<_>>());
        removed
    }

    fn subtract_removed(&mut self, id: CustomerId, router: HostId, requests: &[&QueuedRequest]) {
        let Some(account) = self.by_id.get_mut(&id) else {
            return;
        };
        account.waiting -= requests.len() as u32;
        account.waiting_input -= requests.iter().map(|r| u64::from(r.input)).sum::<u64>();
        if account.queues.get(&router).is_some_and(VecDeque::is_empty) {
            account.queues.remove(&router);
        }
        if account.waiting == 0 {
            account.backlogged_since = None;
            self.backlog.remove(&(account.counter, id));
        }
    }

    /// Drops every queued request of a router.
    pub fn drop_router(&mut self, router: HostId) {
        let of_router =
            |(id, a): (&CustomerId, &Account)| a.queues.contains_key(&router).then_some(*id);
        let ids: Vec<_> = self.by_id.iter().filter_map(of_router).collect();
        for id in ids {
            self.remove_if(id, router, |_| true);
        }
    }

    /// Sets a customer's counter.
    pub fn set_counter(&mut self, id: CustomerId, counter: u64) {
        let account = self.by_id.entry(id).or_default();
        let before = account.counter;
        account.counter = counter;
        if account.waiting > 0 {
            self.backlog.remove(&(before, id));
            self.backlog.insert((counter, id));
        }
    }

    /// Ends recovery: raises customers without a known counter to the lowest known counter
    /// among backlogged customers.
    pub fn settle_recovery(&mut self) {
        let known = self.by_id.values().filter(|a| a.counter_known && a.waiting > 0);
        let floor = known.map(|a| a.counter).min().unwrap_or(0);
        let without_counter: Vec<_> = self
            .by_id
            .iter()
            .filter(|(_, a)| !a.counter_known && a.counter < floor)
            .map(|(id, _)| *id)
            .collect();
        for id in without_counter {
            self.set_counter(id, floor);
        }
        self.by_id.values_mut().for_each(|a| a.counter_known = true);
    }
}
